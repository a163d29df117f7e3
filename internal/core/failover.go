package core

import (
	"slices"

	"micaport/internal/failover"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Early replacement of a leader that has failed: what package failover decides is carried
// out here. See docs/standby.md.

// failoverState is this controller's part in the early replacement of leaders.
type failoverState struct {
	follower         *failover.Follower
	fence            failover.Fence
	takeover         failover.Takeover
	earlyClaimSeenAt Time // when a claim was last seen that may have replaced a live leader; 0: never
	firstPassDone    bool // the present leadership of ours has made its first pass
	standby          string
	heartbeatAt      Time
	takeovers        *wire.Takeovers // the record, as the replica has it

	publisher *failover.Publisher // our end of the decision log as the leader
	replica   *failover.Replica   // our end of it as the standby
	publishAt Time
}

// initFailover begins with no leader to watch.
func (n *Node) initFailover() {
	cfg := failover.Config{Self: n.cfg.Self, Early: n.cfg.EarlyFailover, LeaseTTL: n.cfg.LeaderLease}
	for _, m := range n.cfg.Members {
		cfg.Members = append(cfg.Members, m.Name)
	}
	slices.Sort(cfg.Members)
	n.failover.follower = failover.NewFollower(cfg)
	n.failover.publisher, n.failover.replica = failover.NewPublisher(), failover.NewReplica()
}

// fenced tells whether we lead under a claim that may be replaced early.
func (n *Node) fenced() bool { return n.isLeader() && n.leadership.Record().Fenced }

// observeLeader takes in a change of the leader's record.
func (n *Node) observeLeader() {
	claim := failover.Claim{Term: n.leadership.Term()}
	if record := n.leadership.Record(); record != nil {
		claim.Controller = record.Controller
		claim.Incarnation = record.Incarnation
		claim.Fenced = record.Fenced
		claim.Streak = record.Streak
	}
	n.failover.observe(n.now, claim, n.isLeader(), n.cfg.LeaderLease)
}

// observe takes in a change of the claim that stands; leads says that it is this process's.
func (f *failoverState) observe(now Time, claim failover.Claim, leads bool, leaseTTL Time) {
	f.follower.Observe(now, claim)
	if claim.Streak > 0 {
		f.earlyClaimSeenAt = now
	}
	f.firstPassDone = false
	f.standby = ""
	f.heartbeatAt = now
	if !leads {
		f.takeover.End()
		return
	}
	f.fence.Begin(now, leaseTTL, f.cloudOpensAt(leaseTTL))
	f.takeover.Reach(failover.Seen, now)
}

// cloudOpensAt is when no leader that was replaced early can call the cloud any more; 0:
// none was.
func (f *failoverState) cloudOpensAt(leaseTTL Time) Time {
	if f.earlyClaimSeenAt == 0 {
		return 0
	}
	return f.earlyClaimSeenAt + failover.CloudFenceTime(leaseTTL)
}

// runFailover does what is due for heartbeats, proofs and the lease of a candidate.
func (n *Node) runFailover() {
	if n.isLeader() {
		n.fenceClaim()
		n.proveClaim()
		n.sendHeartbeats()
		n.publishDecisionLog()
		return
	}
	n.dropUnseenClaim()
	s := &n.failover
	suspected := s.follower.SuspectedAt() > 0
	advice := s.follower.Advise(n.now)
	if advice == failover.Follow {
		return
	}
	if !suspected {
		n.log(LogInfo, "leader suspected", "leader", n.leadership.Record().Controller, "silence", s.follower.Silence(n.now))
		n.sendGossip(true) // the peers are to know at once
	}
	if n.leadership.Lease.Age(n.now) > failover.MaxLeaseAge/2 {
		n.leadership.Lease.RenewNow(n.now)
	}
}

// needsLeaderLease tells whether we need a leader lease although another leads: as its
// standby, and while we suspect it.
func (n *Node) needsLeaderLease() bool {
	f := n.failover.follower
	return n.cfg.EarlyFailover && (f.IsStandby() || f.SuspectedAt() > 0)
}

// claimEarly replaces a leader whose lease has not ended. The claim is conditional on the
// revision of its key, so that of several candidates one succeeds, and every commit of
// the replaced leader fails from then on.
func (n *Node) claimEarly() {
	s := &n.failover
	replaced, evidence := n.leadership.Record().Controller, s.follower.Evidence(n.now)
	s.takeover.Begin(n.now, replaced, s.follower.SuspectedAt(), evidence)
	n.log(LogInfo, "claiming leadership early", "leader", replaced, "silence", evidence.Silence, "broken", evidence.Broken,
		"suspecting", evidence.Suspecting, "hearing", evidence.Hearing, "members", evidence.Members)
	record := s.withTakeover(wire.Takeover{
		From: replaced, To: n.cfg.Self, Replaced: n.leadership.Term(), At: n.cfg.WallClockMS(), SilenceMS: evidence.Silence.Milliseconds(), Broken: evidence.Broken,
		Suspecting: evidence.Suspecting, Hearing: evidence.Hearing, Members: evidence.Members, StagesMS: s.stagesMS(),
	}, n.valueFits)
	n.sendClaim(n.newClaim(s.follower.Streak(n.now)), n.leadership.Term(), kv.Write{Key: wire.TakeoversKey, Value: record})
}
