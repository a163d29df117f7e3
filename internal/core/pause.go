package core

import "time"

// pauseThreshold is how long no timer has to have fired for us to have stood still
// rather than to be slow.
const pauseThreshold = 1500 * time.Millisecond

// resumeAfterPause finds out that we have stood still while the clocks ran on. What we know
// is as old as that, though little of it shows its age: machines that could not
// reach us seem silent, and so do peers; parts may have gone to others. Before
// this, a controller that resumeAfterPause within its validity had all its machines returned
// as dead. Nothing is done as an owner before a proof that was sent after it, nor
// as the leader before peers have had the time to tell; silence, and where
// machines turn to, counts anew.
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
	n.cloudBad, n.cutSince = 0, 0
	n.leader.cloud.idleFrom = map[string]Time{}
}
