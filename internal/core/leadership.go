package core

import (
	"time"

	"micaport/internal/failover"
	"micaport/internal/wire"
)

// How a controller comes to lead, and stops.

// leadership is what a controller knows of its own way to the lead and away from it.
type leadership struct {
	nextClaimAt           Time
	nextResignAt          Time
	claimLeaseID          uint64 // the lease of our claim
	abandonedTerm         uint64 // the claim of ours that we have given up, or that has been replaced
	acceptedTerm          uint64 // the last claim of ours of which we had the answer
	acceptedAt            Time
	lastClaimTerm         uint64 // the term of the last claim, whose leader may be gone
	cloudUnreachableSince Time   // since when the cloud has not answered; 0: it does
	cutOffSince           Time   // since when we lead cut off; 0: we don't
}

// putLeader takes in who leads. A new term of the same process goes on with what the
// leader knows.
func (n *Node) putLeader(rec *wire.Leader, rev uint64) {
	if rev <= n.leader.term {
		return
	}
	// Also one who has resigned: what it last decided and never heard of would
	// else count as about to be written for ever, and its own owner would leave
	// those records alone.
	led, continues, before := n.holdsLeaderClaim(), n.isLeader(), uint64(0)
	if rec != nil && rev > n.lastClaimTerm {
		before, n.lastClaimTerm = n.lastClaimTerm, rev
	}
	n.leader.record, n.leader.term = rec, rev
	n.observeLeader()
	if continues && n.isLeader() {
		n.log(LogInfo, "leadership reclaimed", "term", rev)
		return
	}
	n.leader.since = n.now
	if n.isLeader() {
		n.leader.reset()
		n.log(LogInfo, "leadership acquired", "term", rev)
		n.adoptDecisions(before)
	} else if led {
		n.leader.reset()
		n.log(LogInfo, "leadership lost")
	}
}

func (n *Node) isLeader() bool { return n.holdsLeaderClaim() && n.leader.term != n.abandonedTerm }

// holdsLeaderClaim tells whether the replica shows a claim of ours, abandoned or not.
func (n *Node) holdsLeaderClaim() bool {
	r := n.leader.record
	return r != nil && r.Controller == n.cfg.Self && r.Incarnation == n.cfg.Incarnation
}

// claimLeader takes the leadership when nobody has it, when an earlier incarnation of ours had
// it, or early when a quorum suspects the leader.
func (n *Node) claimLeader() {
	leader := &n.leader
	if n.isLeader() || n.leaderLease.ID == 0 || n.now-n.leaderLease.SentAt > n.leaderLease.TTL/2 || n.now < n.nextClaimAt {
		return
	}
	switch {
	case leader.record == nil:
		if n.now-leader.since >= n.claimDelay() {
			n.sendClaim(n.newClaim(0), 0)
		}
	case leader.record.Controller == n.cfg.Self:
		n.sendClaim(n.newClaim(leader.record.Streak), leader.term)
	case n.failover.follower.Advise(n.now) == failover.Replace && n.now-n.leaderLease.SentAt <= failover.MaxLeaseAge:
		n.claimEarly()
	}
}

// claimDelay spaces the candidates for a leadership that nobody has.
func (n *Node) claimDelay() Time {
	pause := Time(n.rank()) * 400 * time.Millisecond
	if n.isolated() {
		pause += 5 * second // let one that reaches more of the world have it
	}
	return pause
}

// newClaim is the record of a claim of ours.
func (n *Node) newClaim(streak int) *wire.Leader {
	claim := &wire.Leader{Controller: n.cfg.Self, Incarnation: n.cfg.Incarnation}
	if n.replica.WritesEarlyFailover() {
		claim.Fenced, claim.Streak = n.cfg.EarlyTakeover, streak
	}
	return claim
}

// sendClaim claims the leadership, conditional on the revision of its key; 0 means that
// nobody has it.
func (n *Node) sendClaim(claim *wire.Leader, rev uint64, more ...Write) {
	n.nextClaimAt = n.now + 500*time.Millisecond
	n.claimLeaseID = n.leaderLease.ID
	writes := []Write{{Key: wire.LeaderKey, Value: claim, LeaseID: n.leaderLease.ID}}
	n.commit(ClassLease, []Condition{{Key: wire.LeaderKey, Revision: rev}}, append(writes, more...), func(result Committed) {
		switch result.Outcome {
		case LeaseExpired:
			n.leaderLease.ID, n.leaderLease.RenewAt = 0, n.now
		case OK:
			n.acceptedTerm, n.acceptedAt = result.Revision, n.now
		}
	})
}

// unseenClaimTimeout is how long a claim may be ours before the replica shows it.
const unseenClaimTimeout = 2 * second

// dropUnseenClaim gives up a claim that the replica does not show: our watch hangs. Kept
// alive by our renewals, it would leave the site without a leader that decides.
func (n *Node) dropUnseenClaim() {
	if n.acceptedTerm <= n.replica.Revision() || n.now-n.acceptedAt < unseenClaimTimeout || !n.cfg.EarlyTakeover {
		return
	}
	term := n.acceptedTerm
	n.acceptedTerm, n.nextClaimAt = 0, n.now+10*second
	n.log(LogInfo, "resigning leadership", "reason", "watch does not show the claim", "term", term)
	n.commit(ClassLease, []Condition{{Key: wire.LeaderKey, Revision: term}}, []Write{{Key: wire.LeaderKey}}, func(Committed) {})
}

// isolated tells whether we can't reach the cloud, or no other controller.
// Refusals don't count: they are the same for everyone.
func (n *Node) isolated() bool {
	if n.cloudUnreachableSince > 0 && n.now-n.cloudUnreachableSince > 4*second {
		return true
	}
	if len(n.cfg.Members) < 2 {
		return false
	}
	for _, p := range n.peers {
		if !p.byMailbox && n.now-p.heardAt < 6*second {
			return false
		}
	}
	return n.now > 6*second
}

// resign gives the leadership up when we are cut off but the state service
// still serves us, and some other controller is there to take it that is not
// cut off itself: when all are, nobody would do better.
func (n *Node) resign() bool {
	if !n.isolated() {
		n.cutOffSince = 0
		return false
	}
	if n.cutOffSince == 0 {
		n.cutOffSince = n.now
	}
	// The peers need a moment to notice, and to tell, that they are cut too.
	if n.now < n.nextResignAt || n.now-n.leader.since < 5*second || n.now-n.cutOffSince < n.cfg.HeartbeatInterval+2*second {
		return false
	}
	for _, p := range n.peers {
		if n.now-p.heardAt < 8*second && p.message.StoreOK && !p.message.CutOff {
			n.nextResignAt = n.now + 10*second
			n.log(LogInfo, "resigning leadership", "reason", "isolated", "term", n.leader.term)
			// From here on we don't lead, even if our watch hangs and never
			// shows it; only a refusal says that we still do.
			n.abandonedTerm = n.leader.term
			n.commit(ClassLease, []Condition{{Key: wire.LeaderKey, Revision: n.leader.term}}, []Write{{Key: wire.LeaderKey}}, func(result Committed) {
				if result.Outcome == Refused {
					n.abandonedTerm = 0
				}
			})
			return true
		}
	}
	return false
}
