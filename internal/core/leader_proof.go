package core

import (
	"micaport/internal/failover"
	"micaport/internal/kv"
)

// The proofs by which a leader that may be replaced early knows that it has not been, and
// which fence its calls to the cloud.

// fenceClaim makes a new claim of ours once all controllers read that it is fenced. It
// waits for what was decided under the old one.
func (n *Node) fenceClaim() {
	if !n.cfg.EarlyFailover || !n.replica.WritesEarlyFailover() ||
		n.leadership.Record().Fenced || n.leader.batch.active ||
		!n.leadership.MayClaimAgain(n.now) {
		return
	}
	n.sendClaim(n.newClaim(0), n.leadership.Term())
}

// proveClaim proves that our claim still stood when the proof was sent. The cloud, which
// no record fences, is called only for a while after.
func (n *Node) proveClaim() {
	term := n.leadership.Term()
	if !n.fenced() || !n.failover.fence.Due(n.now) {
		return
	}
	n.transact(ClassLease, []kv.Condition{n.leaderCondition()}, nil, leaderProof{term: term, sentAt: n.now})
}

// leaderProof is a proof under way that a claim of the leadership stands.
type leaderProof struct {
	term   uint64
	sentAt Time
}

func (p leaderProof) committed(n *Node, result Committed) {
	switch {
	case n.leadership.Term() != p.term:
	case result.Outcome == kv.Conflict:
		n.leadership.Replaced(p.term) // the replica does not show it yet
	case result.Outcome == kv.OK && p.sentAt >= n.resumedAt:
		n.failover.fence.AddProof(p.sentAt, result.Revision)
		n.settleProofs()
	}
}

// settleProofs lets those proofs count whose revision the replica has reached, and extends
// the right of the calls that wait for their turn.
func (n *Node) settleProofs() {
	s := &n.failover
	before := s.fence.RemainingCallTime(n.now)
	s.fence.Settle(n.replica.Revision())
	if right := s.fence.RemainingCallTime(n.now); n.fenced() && right > before { // before it opens, nothing is to be sent
		n.emit(AllowCloudCalls{Term: n.leadership.Term(), Until: n.now + right})
	}
}

// cloudCallTime is for how much longer the cloud may be asked to provision or return.
func (n *Node) cloudCallTime() Time {
	if !n.fenced() {
		return n.cfg.LeaderLease
	}
	return n.failover.fence.RemainingCallTime(n.now)
}

// mayDecide tells whether a leader that may be replaced early has proof that it has not
// been, that its copy of the records is current, and that no commit of its own is unsettled.
func (n *Node) mayDecide() bool {
	if !n.fenced() {
		return true
	}
	s := &n.failover
	if !s.fence.CaughtUp() || !s.firstPassDone && n.batch.active && n.batch.outcomeUnknown {
		return false
	}
	s.takeover.Reach(failover.CaughtUp, n.now)
	return true
}
