package core

// queuePosition is the place among those that wait of a gang whose attempt is being tried.
type queuePosition struct {
	waitingSince    Time // since when it had waited when it was granted; 0: none
	droppedAttempts int  // attempts that have been dropped since it was last placed
}

// maxDroppedAttempts is how many dropped attempts cost a gang nothing. An owner that has just
// come back denies what its machines can't take yet, and could take a moment later. One
// whose attempts go on failing waits anew, so that it does not keep room from others for
// ever.
const maxDroppedAttempts = 3

// rememberPosition remembers since when a gang that is granted now has waited.
func (j *job) rememberPosition() {
	if j.waitingSince != 0 {
		j.queuePosition.waitingSince = j.waitingSince
	}
	j.waitingSince = 0
}

// restorePosition lets a gang whose attempt was dropped wait on from when it had waited.
// Before this, a gang that had waited longest was overtaken by the next one, which was
// given the same machines half a second later.
func (j *job) restorePosition() {
	if j.waitingSince == 0 && j.queuePosition.waitingSince != 0 && j.queuePosition.droppedAttempts < maxDroppedAttempts {
		j.queuePosition.droppedAttempts++
		j.waitingSince = j.queuePosition.waitingSince
	}
}
