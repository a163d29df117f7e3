package core

import "time"

// stallThreshold is the gap between two steps from which on the process counts as having been
// paused rather than slow. A timer triggers a step every 50 ms.
const stallThreshold = 1500 * time.Millisecond

// resumeAfterStall discards state that became stale while the process was paused and the clocks
// continued. Machines and peers whose messages were not processed seem silent, and shards may have
// been taken over. When this state was not discarded, a controller that resumed within its validity
// had all its machines deprovisioned as unreachable. After a stall this controller acts as an owner
// only once a proof that was sent after the pause has succeeded, and as the leader only once peers
// have had time to report. The silence of machines, and their heartbeats to controllers that don't
// own them, count from the end of the stall.
func (n *Node) resumeAfterStall(gap Time) {
	n.log(LogInfo, "process stalled", "duration", gap)
	n.resumedAt = n.now
	n.ownership.ResetAfterStall(n.now)
	for _, shard := range n.shards {
		shard.clearRedirects()
	}
	for _, p := range n.peers {
		p.receivedAt += gap
	}
	n.storeAnsweredAt += gap
	n.cloudUnreachableSince = 0
	n.leadership.ResetAfterStall()
	n.failover.follower.ResetAfterStall(n.now)
	n.failover.fence.ResetAfterStall(n.now)
	n.leader.autoscaler.idleSince = map[string]Time{}
}
