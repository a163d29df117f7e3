package core

// queuePosition is the queue position that a gang had before it was granted. The position is
// restored if the gang's attempt is dropped.
type queuePosition struct {
	waitingSince    Time // when the wait that the grant ended had started; 0: no position is stored
	droppedAttempts int  // attempts that have been dropped since the gang was last placed
}

// maxDroppedAttempts is how many dropped attempts a gang may have without losing its queue
// position. An owner that has just resumed service rejects tasks that its machines can't accept
// yet but could accept a moment later. A gang whose attempts keep failing loses its position, so
// that it does not withhold capacity from other jobs indefinitely.
const maxDroppedAttempts = 3

// saveQueuePosition stores the queue position of a gang that is being granted, and ends its wait.
func (j *job) saveQueuePosition() {
	if j.waitingSince != 0 {
		j.queuePosition.waitingSince = j.waitingSince
	}
	j.waitingSince = 0
}

// restoreQueuePosition restores the queue position of a gang whose attempt was dropped. Otherwise
// the gang that has waited longest would be overtaken by the next one, which would be granted the
// same machines half a second later.
func (j *job) restoreQueuePosition() {
	if j.waitingSince == 0 && j.queuePosition.waitingSince != 0 && j.queuePosition.droppedAttempts < maxDroppedAttempts {
		j.queuePosition.droppedAttempts++
		j.waitingSince = j.queuePosition.waitingSince
	}
}
