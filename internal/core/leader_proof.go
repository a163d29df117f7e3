package core

import (
	"micaport/internal/failover"
	"micaport/internal/kv"
)

// fenceClaim replaces this leader's claim by a fenced one, which permits early takeovers, as soon
// as all controllers support the record format with this field. It first waits until the batch that
// was decided under the old claim has ended, as the new claim changes the revision that commits are
// conditional on.
func (n *Node) fenceClaim() {
	if !n.cfg.EarlyFailover || !n.replica.SupportsEarlyFailover() ||
		n.leadership.Record().Fenced || n.leader.batch.active ||
		!n.leadership.MayClaimAgain(n.now) {
		return
	}
	n.sendClaim(n.newClaim(0), n.leadership.Term())
}

// proveClaim sends a proof, which is a transaction that succeeds only if this leader's claim has
// not been replaced. The cloud does not check fencing tokens, so a leader that may be replaced
// early calls it only for a limited time after it sent a proof that succeeded; see failover.Fence.
func (n *Node) proveClaim() {
	term := n.leadership.Term()
	if !n.isFencedLeader() || !n.failover.fence.StartProofIfDue(n.now) {
		return
	}
	n.transact(ClassLease, []kv.Condition{n.leaderCondition()}, nil, leaderProof{term: term, sentAt: n.now})
}

// leaderProof is the continuation of a proof that has been sent; see proveClaim.
type leaderProof struct {
	term   uint64
	sentAt Time
}

func (p leaderProof) committed(n *Node, result Committed) {
	switch {
	case n.leadership.Term() != p.term: // the proof is of an earlier claim
	case result.Outcome == kv.Conflict:
		n.leadership.MarkReplaced(p.term) // the replica does not show the new claim yet
	case result.Outcome == kv.OK && p.sentAt >= n.resumedAt:
		n.failover.fence.AddProof(p.sentAt, result.Revision)
		n.applyReachedLeaderProofs()
	}
}

// applyReachedLeaderProofs makes each proof of this leader take effect whose revision the replica
// has reached, and extends the time in which queued calls may be sent to the cloud.
func (n *Node) applyReachedLeaderProofs() {
	s := &n.failover
	before := s.fence.RemainingCallTime(n.now)
	s.fence.ApplyReachedProofs(n.replica.Revision())
	// The call time is 0 while a replaced leader may still call the cloud; see
	// failoverState.cloudFenceEndsAt.
	if callTime := s.fence.RemainingCallTime(n.now); n.isFencedLeader() && callTime > before {
		n.emit(AllowCloudCalls{Term: n.leadership.Term(), Until: n.now + callTime})
	}
}

// cloudCallTime returns for how much longer the leader may send calls to the cloud that provision
// or deprovision machines.
func (n *Node) cloudCallTime() Time {
	if !n.isFencedLeader() {
		return n.cfg.LeaderLease
	}
	return n.failover.fence.RemainingCallTime(n.now)
}

// mayDecide reports whether the leader may make scheduling decisions. A leader that may be replaced
// early needs a proof that has taken effect, which shows that it has not been replaced and that its
// replica is current. Before its first pass there must also be no commit of this controller as an
// owner whose outcome is unknown. A takeover reaches the stage CaughtUp when these conditions are
// first met.
func (n *Node) mayDecide() bool {
	if !n.isFencedLeader() {
		return true
	}
	s := &n.failover
	if !s.fence.CaughtUp() || !s.firstPassDone && n.batch.active && n.batch.outcomeUnknown {
		return false
	}
	s.takeover.Reach(failover.CaughtUp, n.now)
	return true
}
