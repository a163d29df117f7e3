package core

import "time"

// pauseThreshold is the gap between two steps from which on the process counts as having
// been paused rather than slow. A timer fires every 50 ms.
const pauseThreshold = 1500 * time.Millisecond

// resumeAfterPause discards what a pause of the process has made stale, while the clocks
// ran on. Machines and peers that could not reach us seem silent, and parts may have been
// taken over. Before this, a controller that resumed within its validity had all its
// machines returned as dead. As an owner we now act only after a proof that was sent
// after the pause, as the leader only after peers have had the time to report; silence of
// machines, and reports of theirs to other controllers, are counted anew.
func (n *Node) resumeAfterPause(gap Time) {
	n.log(LogInfo, "stood still", "for", gap)
	n.resumedAt, n.checks, n.checkAt = n.now, nil, 0
	for _, p := range n.parts {
		p.proven = false
		p.forgetBounces()
	}
	for _, p := range n.peers {
		p.at += gap
	}
	n.storeAt += gap
	n.cloudBadSince, n.cutOffSince = 0, 0
	n.standby.follower.Resumed(n.now)
	n.standby.fence.Resumed(n.now)
	n.leader.cloud.idleFrom = map[string]Time{}
}
