package core

// ownerState holds the state of a controller in its role as the owner of shards.
type ownerState struct {
	batch             batch
	nextOwnerPassAt   Time // when the next pass is due
	outcomes          taskOutcomes
	gangsToStop       map[int]bool // jobs that must save and exit because one of their machines is about to be reclaimed
	grantWaitingSince grantTimes

	replies           delayedReplies
	unstartedMachines []int // machines of this controller with a placed task that they have not reported

	nextAdmissionAt       Time // when work is next admitted without the leader
	nextCleanupAt         Time // when machines that are gone are next removed
	nextImageCacheWriteAt Time // when the image cache record is next written
	recordedImageCount    int  // number of images over all machines in the record as last written
}

func newOwnerState() ownerState {
	return ownerState{outcomes: taskOutcomes{}, gangsToStop: map[int]bool{}, grantWaitingSince: grantTimes{}}
}
