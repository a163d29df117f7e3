package core

// ownerState holds the state of a controller in its role as the owner of shards.
type ownerState struct {
	batch                   batch
	nextOwnerPassAt         Time // when the next pass is due
	outcomes                taskOutcomes
	gangsToStop             map[int]bool // by index: jobs that must save and exit because one of their machines is about to be reclaimed
	firstPlacementFailureAt grantWaitStarts

	replies           delayedReplies
	unstartedMachines []int // indices of this controller's machines with a placed task that they have not reported

	nextAdmissionAt       Time // when the next admission of work without the leader is due
	nextCleanupAt         Time // when the next removal of machines that are gone is due
	nextImageCacheWriteAt Time // when the next write of the image cache record is due
	recordedImageCount    int  // sum of the machines' image counts in that record as last written, or unknownImageCount
}

func newOwnerState() ownerState {
	return ownerState{outcomes: taskOutcomes{}, gangsToStop: map[int]bool{}, firstPlacementFailureAt: grantWaitStarts{}}
}
