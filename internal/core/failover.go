package core

import (
	"slices"

	"micaport/internal/failover"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// failoverState is this controller's state for the early replacement of a failed leader: package
// failover decides, this package carries it out. See docs/standby.md.
type failoverState struct {
	follower         *failover.Follower
	fence            failover.Fence
	takeover         failover.Takeover
	earlyClaimSeenAt Time            // when a claim was last seen that may have replaced a live leader; 0: never
	firstPassDone    bool            // this leader has made a scheduling pass in its current term
	electedStandby   string          // the standby that this leader has elected; "": none
	nextHeartbeatAt  Time            // when the leader's next heartbeats are due
	takeovers        *wire.Takeovers // the takeover record, as the replica shows it

	logPublisher  *failover.Publisher // the leader's side of the decision log
	logReplica    *failover.Replica   // the standby's side of the decision log
	nextPublishAt Time                // earliest time of the next publication
}

// initFailover creates the failover state, which initially has no leader to watch.
func (n *Node) initFailover() {
	cfg := failover.Config{Self: n.cfg.Self, Early: n.cfg.EarlyFailover, LeaseTTL: n.cfg.LeaderLease}
	for _, m := range n.cfg.Members {
		cfg.Members = append(cfg.Members, m.Name)
	}
	slices.Sort(cfg.Members)
	n.failover.follower = failover.NewFollower(cfg)
	n.failover.logPublisher, n.failover.logReplica = failover.NewPublisher(), failover.NewReplica()
}

// isFencedLeader reports whether this process leads under a claim that may be replaced early.
func (n *Node) isFencedLeader() bool { return n.isLeader() && n.leadership.Record().Fenced }

// setFailoverClaim applies a change of the leader record to the failover state.
func (n *Node) setFailoverClaim() {
	claim := failover.Claim{Term: n.leadership.Term()}
	if record := n.leadership.Record(); record != nil {
		claim.Controller = record.Controller
		claim.Incarnation = record.Incarnation
		claim.Fenced = record.Fenced
		claim.Streak = record.Streak
	}
	n.failover.setClaim(n.now, claim, n.isLeader(), n.cfg.LeaderLease)
}

// setClaim applies a new claim of the leadership or the end of one; leads is set if this process
// leads under the claim.
func (f *failoverState) setClaim(now Time, claim failover.Claim, leads bool, leaseTTL Time) {
	f.follower.SetClaim(now, claim)
	if claim.Streak > 0 {
		f.earlyClaimSeenAt = now
	}
	f.firstPassDone = false
	f.electedStandby = ""
	f.nextHeartbeatAt = now
	if !leads {
		f.takeover.End()
		return
	}
	f.fence.Begin(now, leaseTTL, f.cloudFenceEndsAt(leaseTTL))
	f.takeover.Reach(failover.Seen, now)
}

// cloudFenceEndsAt returns the time after which no leader that was replaced early can still call
// the cloud; 0 if no leader has been replaced early.
func (f *failoverState) cloudFenceEndsAt(leaseTTL Time) Time {
	if f.earlyClaimSeenAt == 0 {
		return 0
	}
	return f.earlyClaimSeenAt + failover.CloudFenceTime(leaseTTL)
}

// runFailover does the periodic work of the failover. A leader proves its claim, sends heartbeats
// and publishes the decision log; other controllers check the leader, and renew their own lease
// early while they suspect it.
func (n *Node) runFailover() {
	if n.isLeader() {
		n.fenceClaim()
		n.proveClaim()
		n.sendHeartbeats()
		n.publishDecisionLog()
		return
	}
	n.abandonUnseenClaim()
	s := &n.failover
	suspectedBefore := s.follower.SuspectedSince() > 0
	advice := s.follower.Advise(n.now)
	if advice == failover.Follow {
		return
	}
	if !suspectedBefore {
		n.log(LogInfo, "leader suspected", "leader", n.leadership.Record().Controller, "silence", s.follower.Silence(n.now))
		n.sendOrExpediteGossip(true) // the next message contains the suspicion
	}
	if n.leadership.Lease.Age(n.now) > failover.MaxLeaseAge/2 {
		n.leadership.Lease.RenewNow(n.now)
	}
}

// needsLeaderLease reports whether this controller needs a leader's lease while another one leads.
// If early failover is enabled, the standby needs one, and so does each controller that suspects
// the leader.
func (n *Node) needsLeaderLease() bool {
	f := n.failover.follower
	return n.cfg.EarlyFailover && (f.IsStandby() || f.SuspectedSince() > 0)
}

// claimEarly replaces a leader whose lease has not expired. The claim is conditional on the
// revision of the leader key, so that only one of several candidates succeeds. A successful claim
// changes that revision, so that every later commit of the replaced leader fails.
func (n *Node) claimEarly() {
	s := &n.failover
	replaced, evidence := n.leadership.Record().Controller, s.follower.Evidence(n.now)
	s.takeover.Begin(n.now, replaced, s.follower.SuspectedSince(), evidence)
	n.log(LogInfo, "claiming leadership early", "leader", replaced, "silence", evidence.Silence, "broken", evidence.Broken,
		"suspecting", evidence.Suspecting, "hearing", evidence.Hearing, "members", evidence.Members)
	record := s.withTakeover(wire.Takeover{
		From: replaced, To: n.cfg.Self, Replaced: n.leadership.Term(), At: n.cfg.WallClockMS(), SilenceMS: evidence.Silence.Milliseconds(), Broken: evidence.Broken,
		Suspecting: evidence.Suspecting, Hearing: evidence.Hearing, Members: evidence.Members, StagesMS: s.stagesMS(),
	}, n.valueFits)
	n.sendClaim(n.newClaim(s.follower.NextStreak(n.now)), n.leadership.Term(), kv.Write{Key: wire.TakeoversKey, Value: record})
}
