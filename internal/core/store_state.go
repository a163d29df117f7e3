package core

import (
	"time"

	"micaport/internal/kv"
)

// storeState tracks whether the state service serves this controller.
type storeState struct {
	storeOK         bool // it serves this controller
	storeOKSince    Time // when storeOK last changed to true
	storeAnsweredAt Time // when it last answered a request

	// nextFormatWriteAt is when the record of the format that this controller reads is written,
	// unless the replica shows it.
	nextFormatWriteAt Time
}

// storeSilenceTimeout is how long after its last answer the state service counts as no longer
// serving this controller.
const storeSilenceTimeout = 3 * time.Second

// recordStoreOutcome updates whether the state service serves this controller from the outcome of
// a request.
func (n *Node) recordStoreOutcome(outcome kv.Outcome) {
	switch outcome {
	case kv.OK, kv.Conflict, kv.NotFound, kv.LeaseExpired, kv.TooLarge:
		if !n.storeOK {
			// During an outage the owners' validity expires and their workers are
			// redirected in vain. That is no evidence against the owners afterwards.
			n.storeOKSince = n.now
			for _, shard := range n.shards {
				shard.clearRedirects()
			}
		}
		n.storeOK, n.storeAnsweredAt = true, n.now
	default:
		if n.now-n.storeAnsweredAt > storeSilenceTimeout {
			n.storeOK = false
		}
	}
}
