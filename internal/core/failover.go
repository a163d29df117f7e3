package core

import (
	"fmt"
	"slices"
	"time"

	"micaport/internal/failover"
	"micaport/internal/wire"
)

// Early replacement of a leader that has failed: what package standby decides is carried
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

// maxRecordedTakeovers is how many takeovers the record lists, where a value has room for them.
const maxRecordedTakeovers = 8

func (n *Node) initFailover() {
	cfg := failover.Config{Self: n.cfg.Self, Early: n.cfg.EarlyTakeover, LeaseTTL: n.cfg.LeaderLease}
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
	s, rec := &n.failover, n.leadership.Record()
	claim := failover.Claim{Term: n.leadership.Term()}
	if rec != nil {
		claim.Controller, claim.Incarnation, claim.Fenced, claim.Streak = rec.Controller, rec.Incarnation, rec.Fenced, rec.Streak
	}
	s.follower.Observe(n.now, claim)
	if claim.Streak > 0 {
		s.earlyClaimSeenAt = n.now
	}
	s.firstPassDone, s.standby, s.heartbeatAt = false, "", n.now
	if !n.isLeader() {
		s.takeover.End()
		return
	}
	s.fence.Begin(n.now, n.cfg.LeaderLease, n.cloudOpensAt())
	s.takeover.Reach(failover.Seen, n.now)
}

// cloudOpensAt is when no leader that was replaced early can call the cloud any more.
func (n *Node) cloudOpensAt() Time {
	if n.failover.earlyClaimSeenAt == 0 {
		return 0
	}
	return n.failover.earlyClaimSeenAt + failover.CloudFenceTime(n.cfg.LeaderLease)
}

// putTakeovers takes in the record of the last takeovers. One that is listed when we
// start may have been made a moment ago.
func (n *Node) putTakeovers(record *wire.Takeovers) {
	n.failover.takeovers = record
	if !n.replica.Loaded() {
		n.failover.earlyClaimSeenAt = n.now
	}
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
	return n.cfg.EarlyTakeover && (f.IsStandby() || f.SuspectedAt() > 0)
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
	record := n.withTakeover(wire.Takeover{
		From: replaced, To: n.cfg.Self, Replaced: n.leadership.Term(), At: n.cfg.WallClockMS(), SilenceMS: evidence.Silence.Milliseconds(), Broken: evidence.Broken,
		Suspecting: evidence.Suspecting, Hearing: evidence.Hearing, Members: evidence.Members, StagesMS: n.stagesMS(),
	})
	n.sendClaim(n.newClaim(s.follower.Streak(n.now)), n.leadership.Term(), Write{Key: wire.TakeoversKey, Value: record})
}

// withTakeover is the record of the last takeovers with one more, as many as a value holds.
func (n *Node) withTakeover(t wire.Takeover) *wire.Takeovers {
	record := &wire.Takeovers{}
	if n.failover.takeovers != nil {
		record.List = slices.Clone(n.failover.takeovers.List)
	}
	record.List = append(record.List, t)
	for len(record.List) > 1 && (len(record.List) > maxRecordedTakeovers || !n.valueFits(record)) {
		record.List = record.List[1:]
	}
	return record
}

// stagesMS are the times of the stages of our takeover so far.
func (n *Node) stagesMS() []int64 {
	var stages []int64
	for stage := failover.Suspected; stage <= failover.Decided && n.failover.takeover.Reached(stage); stage++ {
		stages = append(stages, n.failover.takeover.After(stage).Milliseconds())
	}
	return stages
}

// fenceClaim makes a new claim of ours once all controllers read that it is fenced. It
// waits for what was decided under the old one.
func (n *Node) fenceClaim() {
	if !n.cfg.EarlyTakeover || !n.replica.WritesEarlyFailover() || n.leadership.Record().Fenced || n.leader.batch.active || !n.leadership.MayClaimAgain(n.now) {
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
	n.transact(ClassLease, []Condition{n.leaderCondition()}, nil, leaderProof{term: term, sentAt: n.now})
}

// leaderProof is a proof under way that a claim of the leadership stands.
type leaderProof struct {
	term   uint64
	sentAt Time
}

func (p leaderProof) committed(n *Node, result Committed) {
	switch {
	case n.leadership.Term() != p.term:
	case result.Outcome == Conflict:
		n.leadership.Replaced(p.term) // the replica does not show it yet
	case result.Outcome == OK && p.sentAt >= n.resumedAt:
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

// notePlanned notes that a pass over the queues was made.
func (n *Node) notePlanned() {
	s := &n.failover
	if s.firstPassDone {
		return
	}
	s.firstPassDone = true
	if !s.takeover.Reach(failover.Decided, n.now) {
		return
	}
	n.log(LogInfo, "failover completed", "previous_leader", s.takeover.From, "stages_ms", fmt.Sprint(n.stagesMS()))
	n.recordStages()
	s.takeover.End()
}

// recordStages completes the entry of our takeover.
func (n *Node) recordStages() {
	if n.failover.takeovers == nil || len(n.failover.takeovers.List) == 0 {
		return
	}
	record := &wire.Takeovers{List: slices.Clone(n.failover.takeovers.List)}
	last := &record.List[len(record.List)-1]
	if last.To != n.cfg.Self {
		return
	}
	last.StagesMS = n.stagesMS()
	n.transact(ClassBackground, []Condition{n.leaderCondition()}, []Write{{Key: wire.TakeoversKey, Value: record}}, ignoreResult{})
}

// sendHeartbeats tells the peers that we lead, and who is to take over first.
func (n *Node) sendHeartbeats() {
	s := &n.failover
	if !n.fenced() || n.now < s.heartbeatAt {
		return
	}
	s.heartbeatAt = n.now + failover.HeartbeatInterval
	if elected := failover.Elect(s.standby, n.candidates()); elected != s.standby {
		s.standby = elected
		n.log(LogInfo, "standby elected", "controller", elected)
	}
	for _, m := range n.cfg.Members {
		if m.Name != n.cfg.Self {
			n.emit(SendHeartbeat{To: m.Name, Message: &wire.LeaderHeartbeat{From: n.cfg.Self, Life: n.cfg.Incarnation, Term: n.leadership.Term(), Standby: s.standby}})
		}
	}
}

// candidates are the peers that may stand by.
func (n *Node) candidates() []failover.Candidate {
	var list []failover.Candidate
	for _, m := range n.cfg.Members {
		if p := n.peers[m.Name]; p != nil && m.Name != n.cfg.Self && !p.byMailbox && !p.broken {
			list = append(list, failover.Candidate{Name: m.Name, Silence: n.now - p.heardAt, StoreOK: p.message.StoreOK, CutOff: p.message.CutOff})
		}
	}
	return list
}

// leaderHeartbeat takes in a leader's heartbeat.
func (n *Node) leaderHeartbeat(m *wire.LeaderHeartbeat) {
	if m != nil {
		n.failover.follower.Heartbeat(n.now, m.From, m.Life, m.Term, m.Standby)
	}
}

// disconnected takes in that the connection to a peer has broken.
func (n *Node) disconnected(label string) {
	n.failover.follower.Disconnected(n.now, label)
	if p := n.peers[label]; p != nil {
		p.broken = true
	}
}

// leaderView is what we tell the peers of a leader that may be replaced early.
func (n *Node) leaderView() *wire.LeaderView {
	if n.leadership.Record() == nil || !n.leadership.Record().Fenced || n.leadership.Record().Controller == n.cfg.Self {
		return nil
	}
	o := n.failover.follower.Opinion(n.now)
	return &wire.LeaderView{Term: o.Term, SilenceMS: o.Silence.Milliseconds(), Broken: o.Broken, Suspected: o.Suspected}
}

// receiveLeaderView takes in what a peer tells of the leader.
func (n *Node) receiveLeaderView(from string, v *wire.LeaderView) {
	if v != nil {
		n.failover.follower.ReceiveOpinion(n.now, from, failover.Opinion{
			Term: v.Term, Silence: Time(v.SilenceMS) * time.Millisecond, Broken: v.Broken, Suspected: v.Suspected,
		})
	}
}

// leadershipStatus answers the operators' question who leads and who stands by.
func (n *Node) leadershipStatus() wire.LeadershipStatus {
	s := &n.failover
	status := wire.LeadershipStatus{
		Controller: n.cfg.Self, Term: n.leadership.Term(), Revision: n.replica.Revision(), Agreed: n.replica.AgreedFormat(), Served: n.storeOK, Early: n.cfg.EarlyTakeover,
		Standby: s.follower.Standby(), PauseMS: s.follower.MinTenure().Milliseconds(),
	}
	if n.leadership.Record() == nil {
		return status
	}
	status.Leader, status.Fenced, status.Streak = n.leadership.Record().Controller, n.leadership.Record().Fenced, n.leadership.Record().Streak
	if n.isLeader() {
		status.Standby = s.standby
		status.LogMessages, status.LogFacts = s.publisher.Lag()
		status.LogResyncs = s.publisher.Resyncs()
		return status
	}
	if term, _ := s.replica.Sequence(); term == n.leadership.Term() {
		status.LogHeld = s.replica.Facts()
	}
	status.LogDropped = s.replica.Dropped()
	evidence := s.follower.Evidence(n.now)
	status.SilenceMS, status.Suspected, status.Suspecting = evidence.Silence.Milliseconds(), s.follower.SuspectedAt() > 0, evidence.Suspecting
	return status
}
