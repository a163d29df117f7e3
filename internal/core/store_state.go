package core

import (
	"time"

	"micaport/internal/kv"
)

// storeState is how this controller stands with the state service.
type storeState struct {
	storeOK         bool // it serves us
	storeOKSince    Time // since when it has served us without a break
	storeAnsweredAt Time // when it last answered

	formatAt Time // when the record of the formats that we read is written, if it is not there
}

// storeSilence is how long the state service may not have answered before it counts as not
// serving this controller.
const storeSilence = 3 * time.Second

// noteStoreOutcome notes whether the state service serves this controller.
func (n *Node) noteStoreOutcome(outcome kv.Outcome) {
	switch outcome {
	case kv.OK, kv.Conflict, kv.NotFound, kv.LeaseExpired, kv.TooLarge:
		if !n.storeOK {
			// In an outage owners run out of validity and their workers go round in
			// vain. That says nothing about the owners afterwards.
			n.storeOKSince = n.now
			for _, shard := range n.shards {
				shard.forgetRedirects()
			}
		}
		n.storeOK, n.storeAnsweredAt = true, n.now
	default:
		if n.now-n.storeAnsweredAt > storeSilence {
			n.storeOK = false
		}
	}
}
