package core

import (
	"micaport/internal/failover"
	"micaport/internal/kv"
	"micaport/internal/leadership"
	"micaport/internal/wire"
)

// How this controller comes to lead, and stops.

// initLeadership begins without a leader.
func (n *Node) initLeadership() {
	n.leadership = leadership.New(leadership.Config{
		Self: n.cfg.Self, Incarnation: n.cfg.Incarnation, Rank: n.ownership.Rank(), LeaseTTL: n.cfg.LeaderLease,
		HeartbeatInterval: n.cfg.HeartbeatInterval, EarlyFailover: n.cfg.EarlyFailover,
	})
}

// isLeader tells whether this process leads.
func (n *Node) isLeader() bool { return n.leadership.IsLeader() }

// leaderCondition makes a transaction fail unless this leader's claim still stands.
func (n *Node) leaderCondition() kv.Condition {
	return kv.Condition{Key: wire.LeaderKey, Revision: n.leadership.Term()}
}

// putLeader applies the claim of the leadership, or its end.
func (n *Node) putLeader(claim *wire.Leader, revision uint64) {
	change, previous := n.leadership.Put(n.now, claim, revision)
	if change == leadership.Stale {
		return
	}
	n.observeLeader()
	switch change {
	case leadership.Reclaimed:
		n.log(LogInfo, "leadership reclaimed", "term", revision)
	case leadership.Acquired:
		n.leader.reset()
		n.log(LogInfo, "leadership acquired", "term", revision)
		n.adoptDecisions(previous)
	case leadership.Lost:
		// Also after a resignation: a batch whose outcome was never known would else count
		// as about to be written for ever, and this owner would leave its records alone.
		n.leader.reset()
		n.log(LogInfo, "leadership lost")
	}
}

// claimLeader claims the leadership when nobody has it, when an earlier incarnation of this
// controller has it, or early when a quorum suspects the leader.
func (n *Node) claimLeader() {
	replace := func() bool {
		return n.failover.follower.Advise(n.now) == failover.Replace && n.leadership.Lease.Age(n.now) <= failover.MaxLeaseAge
	}
	switch n.leadership.NextClaim(n.now, n.isolated, replace) {
	case leadership.ClaimVacant:
		n.sendClaim(n.newClaim(0), 0)
	case leadership.ClaimOwn:
		n.sendClaim(n.newClaim(n.leadership.Record().Streak), n.leadership.Term())
	case leadership.ClaimEarly:
		n.claimEarly()
	}
}

// newClaim is the record of a claim of this process.
func (n *Node) newClaim(streak int) *wire.Leader {
	claim := &wire.Leader{Controller: n.cfg.Self, Incarnation: n.cfg.Incarnation}
	if n.replica.WritesEarlyFailover() {
		claim.Fenced, claim.Streak = n.cfg.EarlyFailover, streak
	}
	return claim
}

// sendClaim claims the leadership, conditional on the revision of the claim that stands; 0:
// there is none.
func (n *Node) sendClaim(claim *wire.Leader, standing uint64, more ...kv.Write) {
	n.leadership.ClaimSent(n.now)
	writes := []kv.Write{{Key: wire.LeaderKey, Value: claim, LeaseID: n.leadership.Lease.ID}}
	n.transact(ClassLease, []kv.Condition{{Key: wire.LeaderKey, Revision: standing}}, append(writes, more...), leaderClaim{})
}

// leaderClaim is a claim of the leadership under way.
type leaderClaim struct{}

func (leaderClaim) committed(n *Node, result Committed) {
	n.leadership.ClaimAnswered(n.now, result.Outcome, result.Revision)
}

// dropUnseenClaim gives up a claim that the replica does not show.
func (n *Node) dropUnseenClaim() {
	if term, unseen := n.leadership.UnseenClaim(n.now, n.replica.Revision()); unseen {
		n.log(LogInfo, "resigning leadership", "reason", "watch does not show the claim", "term", term)
		n.transact(ClassLease, []kv.Condition{{Key: wire.LeaderKey, Revision: term}}, []kv.Write{{Key: wire.LeaderKey}}, ignoreResult{})
	}
}

// How long the cloud may not answer, and peers may not be heard, before this controller
// counts as isolated.
const (
	cloudUnreachableTimeout = 4 * second
	peerSilence             = 6 * second
)

// isolated tells whether this controller reaches neither the cloud nor any other
// controller. Refusals don't count: they are the same for everyone.
func (n *Node) isolated() bool {
	if n.cloudUnreachableSince > 0 && n.now-n.cloudUnreachableSince > cloudUnreachableTimeout {
		return true
	}
	if len(n.cfg.Members) < 2 {
		return false
	}
	for _, peer := range n.peers {
		if !peer.byMailbox && n.now-peer.receivedAt < peerSilence {
			return false
		}
	}
	return n.now > peerSilence
}

// successorSilence is how long nothing may have been heard from a controller that could
// take the leadership over.
const successorSilence = 8 * second

// hasSuccessor tells whether a controller is there to take the leadership over that is not
// isolated itself.
func (n *Node) hasSuccessor() bool {
	for _, peer := range n.peers {
		if n.now-peer.receivedAt < successorSilence && peer.message.StoreOK && !peer.message.CutOff {
			return true
		}
	}
	return false
}

// resign gives the leadership up where this controller is isolated and another is not. It
// tells whether it did.
func (n *Node) resign() bool {
	if !n.leadership.Resign(n.now, n.isolated(), n.hasSuccessor) {
		return false
	}
	n.log(LogInfo, "resigning leadership", "reason", "isolated", "term", n.leadership.Term())
	n.transact(ClassLease, []kv.Condition{n.leaderCondition()}, []kv.Write{{Key: wire.LeaderKey}}, resignation{})
	return true
}

// resignation is the end of this leader's claim under way.
type resignation struct{}

func (resignation) committed(n *Node, result Committed) {
	if result.Outcome == kv.Refused {
		n.leadership.ResignRefused()
	}
}
