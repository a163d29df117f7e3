package core

import "time"

// stallThreshold is the gap between two steps from which on the process counts as having
// been paused rather than slow. A timer fires every 50 ms.
const stallThreshold = 1500 * time.Millisecond

// resumeAfterStall discards what a pause of the process has made stale, while the clocks
// ran on. Machines and peers that could not reach us seem silent, and shards may have been
// taken over. Before this, a controller that resumed within its validity had all its
// machines returned as dead. As an owner we now act only after a proof that was sent
// after the pause, as the leader only after peers have had the time to report; silence of
// machines, and reports of theirs to other controllers, are counted anew.
func (n *Node) resumeAfterStall(gap Time) {
	n.log(LogInfo, "process stalled", "duration", gap)
	n.resumedAt = n.now
	n.ownership.Resumed(n.now)
	for _, shard := range n.shards {
		shard.forgetRedirects()
	}
	for _, p := range n.peers {
		p.receivedAt += gap
	}
	n.storeAnsweredAt += gap
	n.cloudUnreachableSince = 0
	n.leadership.Resumed()
	n.failover.follower.Resumed(n.now)
	n.failover.fence.Resumed(n.now)
	n.leader.autoscaler.idleSince = map[string]Time{}
}
