package core

import (
	"time"

	"micaport/internal/kv"
)

// storeState tracks whether the state service serves this controller.
type storeState struct {
	storeOK         bool // the state service serves this controller
	storeOKSince    Time // when storeOK last changed to true
	storeAnsweredAt Time // when the state service last answered a request

	// nextFormatWriteAt is the earliest time at which the record of the newest format that this
	// controller reads is written, unless the replica shows it; 0: not set yet.
	nextFormatWriteAt Time
}

// storeSilenceTimeout is how long after its last answer the state service counts as no longer
// serving this controller.
const storeSilenceTimeout = 3 * time.Second

// recordStoreOutcome applies the outcome of a request to the state of the state service: an answer
// shows that it serves this controller, and a long time without one that it does not.
func (n *Node) recordStoreOutcome(outcome kv.Outcome) {
	switch outcome {
	case kv.OK, kv.Conflict, kv.NotFound, kv.LeaseExpired, kv.TooLarge:
		if !n.storeOK {
			// During an outage the owners' validity expires, and redirecting their
			// workers to them does not help. After the outage, redirects, and heartbeats
			// of workers that could not reach their owner, from that time must not count
			// as evidence against the owners.
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
