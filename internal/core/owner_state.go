package core

// ownerState is what this controller remembers as the owner of shards.
type ownerState struct {
	heldReplies   []heldReply
	heldRepliesAt Time
	unstarted     []int // machines of ours with a task that they have not shown
	batch         batch
	placementAt   Time
	outcomes      map[taskKey]taskOutcome // what became of tasks, not yet in their records
	gangsToStop   map[int]bool            // gangs to be stopped in good order
	grantSeenAt   map[taskKey]Time

	admissionAt    Time // when we next look for work to admit by ourselves
	cleanupAt      Time
	imageCacheAt   Time
	imageCacheSize int // entries in the record of images as last written
}
