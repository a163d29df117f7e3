package core

import (
	"micaport/internal/failover"
	"micaport/internal/kv"
	"micaport/internal/leadership"
	"micaport/internal/wire"
)

// initLeadership creates the leadership state, which initially has no leader.
func (n *Node) initLeadership() {
	n.leadership = leadership.New(leadership.Config{
		Self: n.cfg.Self, Incarnation: n.cfg.Incarnation, Rank: n.ownership.Rank(), LeaseTTL: n.cfg.LeaderLease,
		HeartbeatInterval: n.cfg.HeartbeatInterval, EarlyFailover: n.cfg.EarlyFailover,
	})
}

// isLeader reports whether this process is the leader.
func (n *Node) isLeader() bool { return n.leadership.IsLeader() }

// leaderCondition returns the condition that this leader's claim has not been replaced or deleted.
func (n *Node) leaderCondition() kv.Condition {
	return kv.Condition{Key: wire.LeaderKey, Revision: n.leadership.Term()}
}

// putLeader applies a change of the leader record; a nil claim means that it was deleted.
func (n *Node) putLeader(claim *wire.Leader, revision uint64) {
	change, previousTerm := n.leadership.Put(n.now, claim, revision)
	if change == leadership.Stale {
		return
	}
	n.setFailoverClaim()
	switch change {
	case leadership.ClaimedAgain:
		n.log(LogInfo, "leadership reclaimed", "term", revision)
	case leadership.Acquired:
		n.leader.reset()
		n.log(LogInfo, "leadership acquired", "term", revision)
		n.adoptDecisions(previousTerm)
	case leadership.Lost:
		// Also after a resignation: otherwise a batch with an unknown outcome would stay pending
		// for ever, and this controller would not change its records as an owner.
		n.leader.reset()
		n.log(LogInfo, "leadership lost")
	}
}

// claimLeader claims the leadership if it is vacant, or if the current claim is that of an earlier
// incarnation of this controller or one that it has abandoned. It replaces another controller's
// claim early if the failover procedure advises it and this controller's lease was renewed recently.
func (n *Node) claimLeader() {
	mayReplace := func() bool {
		return n.failover.follower.Advise(n.now) == failover.Replace && n.leadership.Lease.Age(n.now) <= failover.MaxLeaseAge
	}
	switch n.leadership.NextClaim(n.now, n.isIsolated, mayReplace) {
	case leadership.ClaimVacant:
		n.sendClaim(n.newClaim(0), 0)
	case leadership.ClaimOwn:
		n.sendClaim(n.newClaim(n.leadership.Record().Streak), n.leadership.Term())
	case leadership.ClaimEarly:
		n.claimEarly()
	}
}

// newClaim returns the leader record for a claim of this process.
func (n *Node) newClaim(streak int) *wire.Leader {
	claim := &wire.Leader{Controller: n.cfg.Self, Incarnation: n.cfg.Incarnation}
	if n.replica.SupportsEarlyFailover() {
		claim.Fenced, claim.Streak = n.cfg.EarlyFailover, streak
	}
	return claim
}

// sendClaim commits a claim of the leadership, together with further writes. The commit is
// conditional on the revision of the current claim, which is 0 if there is none.
func (n *Node) sendClaim(claim *wire.Leader, currentRevision uint64, otherWrites ...kv.Write) {
	n.leadership.RecordClaimSent(n.now)
	writes := []kv.Write{{Key: wire.LeaderKey, Value: claim, LeaseID: n.leadership.Lease.ID}}
	n.transact(ClassLease, []kv.Condition{{Key: wire.LeaderKey, Revision: currentRevision}}, append(writes, otherWrites...), leaderClaim{})
}

// leaderClaim is the continuation of a claim of the leadership that has been sent.
type leaderClaim struct{}

func (leaderClaim) committed(n *Node, result Committed) {
	n.leadership.RecordClaimAnswer(n.now, result.Outcome, result.Revision)
}

// abandonUnseenClaim abandons a claim that was accepted but that the replica still does not show
// after a timeout, and deletes its record; see leadership.AbandonUnseenClaim.
func (n *Node) abandonUnseenClaim() {
	if term, unseen := n.leadership.AbandonUnseenClaim(n.now, n.replica.Revision()); unseen {
		n.log(LogInfo, "resigning leadership", "reason", "watch does not show the claim", "term", term)
		n.transact(ClassLease, []kv.Condition{{Key: wire.LeaderKey, Revision: term}}, []kv.Write{{Key: wire.LeaderKey}}, ignoreResult{})
	}
}

const (
	// cloudUnreachableTimeout is the time without an answer of the cloud after which this
	// controller counts as isolated.
	cloudUnreachableTimeout = 4 * second
	// peerMessageTimeout is the time without a direct message of any peer after which this
	// controller counts as isolated.
	peerMessageTimeout = 6 * second
)

// isIsolated reports whether this controller has lost its connection to the cloud, or to all other
// controllers. A call that the cloud refuses counts as answered: every controller would be
// refused.
func (n *Node) isIsolated() bool {
	if n.cloudUnreachableSince > 0 && n.now-n.cloudUnreachableSince > cloudUnreachableTimeout {
		return true
	}
	if len(n.cfg.Members) < 2 {
		return false
	}
	for _, peer := range n.peers {
		if !peer.viaMailbox && n.now-peer.receivedAt < peerMessageTimeout {
			return false
		}
	}
	return n.now > peerMessageTimeout // after a start the peers first need time to send a message
}

// successorMessageTimeout is the age of a controller's last message up to which it could take over
// the leadership.
const successorMessageTimeout = 8 * second

// hasSuccessor reports whether another controller could take over the leadership: one that has
// recently sent a message, is served by the state service and is not isolated.
func (n *Node) hasSuccessor() bool {
	for _, peer := range n.peers {
		if n.now-peer.receivedAt < successorMessageTimeout && peer.message.StoreOK && !peer.message.CutOff {
			return true
		}
	}
	return false
}

// resignIfIsolated resigns the leadership if this controller is isolated and another one could take
// over. It reports whether it did.
func (n *Node) resignIfIsolated() bool {
	if !n.leadership.ResignIfIsolated(n.now, n.isIsolated(), n.hasSuccessor) {
		return false
	}
	n.log(LogInfo, "resigning leadership", "reason", "isolated", "term", n.leadership.Term())
	n.transact(ClassLease, []kv.Condition{n.leaderCondition()}, []kv.Write{{Key: wire.LeaderKey}}, resignation{})
	return true
}

// resignation is the continuation of a resignation that has been sent.
type resignation struct{}

func (resignation) committed(n *Node, result Committed) {
	if result.Outcome == kv.Refused {
		n.leadership.RevertResignation()
	}
}
