package core

// ownerState is what a controller knows as the owner of shards.
type ownerState struct {
	batch       batch
	placementAt Time // when the next pass is due
	outcomes    taskOutcomes
	gangsToStop map[int]bool // jobs that have to save and exit as a machine is to be reclaimed
	grantSeenAt grantTimes

	replies   delayedReplies
	unstarted []int // own machines with a task that they have not reported

	admissionAt    Time // no work is admitted without the leader before this
	forgetAt       Time // when machines that are gone are next dropped
	imageCacheAt   Time // when the image cache record is next written
	imageCacheSize int  // images of machines in the record as last written
}

func newOwnerState() ownerState {
	return ownerState{outcomes: taskOutcomes{}, gangsToStop: map[int]bool{}, grantSeenAt: grantTimes{}}
}
