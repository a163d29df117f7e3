package core

import (
	"fmt"
	"slices"
	"time"

	"micaport/internal/standby"
	"micaport/internal/wire"
)

// Early replacement of a leader that has failed: what package standby decides is carried
// out here. See docs/standby.md.

// standbyState is this controller's part in the early replacement of leaders.
type standbyState struct {
	follower    *standby.Follower
	fence       standby.Fence
	takeover    standby.Takeover
	earlySeenAt Time // when a claim was last seen that may have replaced a live leader; 0: never
	settled     bool // the present leadership of ours has made its first pass
	designated  string
	heartbeatAt Time
	takeovers   *wire.Takeovers // the record, as our copy has it

	publisher *standby.Publisher // our end of the decision log as the leader
	replica   *standby.Replica   // our end of it as the standby
	publishAt Time
}

// takeoversKept is how many takeovers the record lists, where a value has room for them.
const takeoversKept = 8

func (n *Node) makeStandby() {
	cfg := standby.Config{Self: n.cfg.Self, Early: n.cfg.EarlyTakeover, LeaseTTL: n.cfg.LeaderTTL}
	for _, m := range n.cfg.Members {
		cfg.Members = append(cfg.Members, m.Label)
	}
	slices.Sort(cfg.Members)
	n.standby.follower = standby.NewFollower(cfg)
	n.standby.publisher, n.standby.replica = standby.NewPublisher(), standby.NewReplica()
}

// writesStandby tells whether claims may say that they are fenced.
func (n *Node) writesStandby() bool { return n.agreed >= wire.FormatStandby }

// fenced tells whether we lead under a claim that may be replaced early.
func (n *Node) fenced() bool { return n.leads() && n.leader.rec.Fenced }

// observeLeader takes in a change of the leader's record.
func (n *Node) observeLeader() {
	s, rec := &n.standby, n.leader.rec
	claim := standby.Claim{Term: n.leader.rev}
	if rec != nil {
		claim.Node, claim.Life, claim.Fenced, claim.Streak = rec.Node, rec.Life, rec.Fenced, rec.Streak
	}
	s.follower.Observe(n.now, claim)
	if claim.Streak > 0 {
		s.earlySeenAt = n.now
	}
	s.settled, s.designated, s.heartbeatAt = false, "", n.now
	if !n.leads() {
		s.takeover.End()
		return
	}
	s.fence.Begin(n.now, n.cfg.LeaderTTL, n.cloudOpensAt())
	s.takeover.Reach(standby.Seen, n.now)
}

// cloudOpensAt is when no leader that was replaced early can call the cloud any more.
func (n *Node) cloudOpensAt() Time {
	if n.standby.earlySeenAt == 0 {
		return 0
	}
	return n.standby.earlySeenAt + standby.CloudWait(n.cfg.LeaderTTL)
}

// putTakeovers takes in the record of the last takeovers. One that is listed when we
// start may have been made a moment ago.
func (n *Node) putTakeovers(record *wire.Takeovers) {
	n.standby.takeovers = record
	if !n.loaded {
		n.standby.earlySeenAt = n.now
	}
}

// standbyTick does what is due for heartbeats, proofs and the lease of a candidate.
func (n *Node) standbyTick() {
	if n.leads() {
		n.fenceClaim()
		n.proveClaim()
		n.sendHeartbeats()
		n.publishDecisions()
		return
	}
	n.dropUnseenClaim()
	s := &n.standby
	suspected := s.follower.SuspectedAt() > 0
	advice := s.follower.Advise(n.now)
	if advice == standby.Follow {
		return
	}
	if !suspected {
		n.log(LogInfo, "the leader is suspected", "leader", n.leader.rec.Node, "silence", s.follower.Silence(n.now))
		n.gossip(true) // the peers are to know at once
	}
	if n.now-n.leadLease.sent > standby.MaxLeaseAge/2 {
		n.leadLease.next = min(n.leadLease.next, n.now)
	}
}

// wantsLeadLease tells whether we need a leader lease although another leads: as its
// standby, and while we suspect it.
func (n *Node) wantsLeadLease() bool {
	f := n.standby.follower
	return n.cfg.EarlyTakeover && (f.Stands() || f.SuspectedAt() > 0)
}

// claimEarly replaces a leader whose lease has not ended. The claim is conditional on the
// revision of its key, so that of several candidates one succeeds, and every commit of
// the replaced leader fails from then on.
func (n *Node) claimEarly() {
	s := &n.standby
	replaced, evidence := n.leader.rec.Node, s.follower.Evidence(n.now)
	s.takeover.Begin(n.now, replaced, s.follower.SuspectedAt(), evidence)
	n.log(LogInfo, "replacing the leader", "leader", replaced, "silence", evidence.Silence, "broken", evidence.Broken,
		"suspecting", evidence.Suspecting, "hearing", evidence.Hearing, "members", evidence.Members)
	record := n.withTakeover(wire.Takeover{
		From: replaced, To: n.cfg.Self, Replaced: n.leader.rev, At: n.cfg.WallMS(), SilenceMS: evidence.Silence.Milliseconds(), Broken: evidence.Broken,
		Suspecting: evidence.Suspecting, Hearing: evidence.Hearing, Members: evidence.Members, StagesMS: n.stagesMS(),
	})
	n.sendClaim(n.newClaim(s.follower.Streak(n.now)), n.leader.rev, Write{Key: wire.TakeoversKey, Value: record})
}

// withTakeover is the record of the last takeovers with one more, as many as a value holds.
func (n *Node) withTakeover(t wire.Takeover) *wire.Takeovers {
	record := &wire.Takeovers{}
	if n.standby.takeovers != nil {
		record.List = slices.Clone(n.standby.takeovers.List)
	}
	record.List = append(record.List, t)
	for len(record.List) > 1 && (len(record.List) > takeoversKept || !n.fits(record)) {
		record.List = record.List[1:]
	}
	return record
}

// stagesMS are the times of the stages of our takeover so far.
func (n *Node) stagesMS() []int64 {
	var stages []int64
	for stage := standby.Suspected; stage <= standby.Decided && n.standby.takeover.Reached(stage); stage++ {
		stages = append(stages, n.standby.takeover.After(stage).Milliseconds())
	}
	return stages
}

// fenceClaim makes a new claim of ours once all controllers read that it is fenced. It
// waits for what was decided under the old one.
func (n *Node) fenceClaim() {
	if !n.cfg.EarlyTakeover || !n.writesStandby() || n.leader.rec.Fenced || n.leader.batch.active || n.now < n.nextClaimAt ||
		n.leadLease.id != n.claimLease || n.now-n.leadLease.sent > n.leadLease.ttl/2 {
		return
	}
	n.sendClaim(n.newClaim(0), n.leader.rev)
}

// proveClaim proves that our claim still stood when the proof was sent. The cloud, which
// no record fences, is called only for a while after.
func (n *Node) proveClaim() {
	fence, term := &n.standby.fence, n.leader.rev
	if !n.fenced() || !fence.Due(n.now) {
		return
	}
	sent := n.now
	n.commit(Vital, []Cond{{wire.LeaderKey, term}}, nil, func(c Committed) {
		switch {
		case n.leader.rev != term:
		case c.Outcome == Conflict:
			n.abandonedTerm = term // replaced, though our watch does not show it yet
		case c.Outcome == OK && sent >= n.resumedAt:
			fence.Proven(sent, c.Rev)
			n.settleProofs()
		}
	})
}

// settleProofs lets those proofs count whose revision our copy has reached, and extends
// the right of the calls that wait for their turn.
func (n *Node) settleProofs() {
	s := &n.standby
	before := s.fence.Right(n.now)
	s.fence.Settle(n.rev)
	if right := s.fence.Right(n.now); n.fenced() && right > before { // before it opens, nothing is to be sent
		n.emit(CloudAllowed{Term: n.leader.rev, Until: n.now + right})
	}
}

// cloudRight is for how much longer the cloud may be asked to hire or return.
func (n *Node) cloudRight() Time {
	if !n.fenced() {
		return n.cfg.LeaderTTL
	}
	return n.standby.fence.Right(n.now)
}

// mayDecide tells whether a leader that may be replaced early has proof that it has not
// been, that its copy of the records is current, and that no commit of its own is unsettled.
func (n *Node) mayDecide() bool {
	if !n.fenced() {
		return true
	}
	s := &n.standby
	if !s.fence.CaughtUp() || !s.settled && n.owner.active && n.owner.outcomeUnknown {
		return false
	}
	s.takeover.Reach(standby.CaughtUp, n.now)
	return true
}

// decided notes that a pass over the queues was made.
func (n *Node) decided() {
	s := &n.standby
	if s.settled {
		return
	}
	s.settled = true
	if !s.takeover.Reach(standby.Decided, n.now) {
		return
	}
	n.log(LogInfo, "took over", "from", s.takeover.From, "stages_ms", fmt.Sprint(n.stagesMS()))
	n.recordStages()
	s.takeover.End()
}

// recordStages completes the entry of our takeover.
func (n *Node) recordStages() {
	if n.standby.takeovers == nil || len(n.standby.takeovers.List) == 0 {
		return
	}
	record := &wire.Takeovers{List: slices.Clone(n.standby.takeovers.List)}
	last := &record.List[len(record.List)-1]
	if last.To != n.cfg.Self {
		return
	}
	last.StagesMS = n.stagesMS()
	n.commit(Bulk, []Cond{{wire.LeaderKey, n.leader.rev}}, []Write{{Key: wire.TakeoversKey, Value: record}}, func(Committed) {})
}

// sendHeartbeats tells the peers that we lead, and who is to take over first.
func (n *Node) sendHeartbeats() {
	s := &n.standby
	if !n.fenced() || n.now < s.heartbeatAt {
		return
	}
	s.heartbeatAt = n.now + standby.HeartbeatInterval
	if elected := standby.Elect(s.designated, n.candidates()); elected != s.designated {
		s.designated = elected
		n.log(LogInfo, "standby", "controller", elected)
	}
	for _, m := range n.cfg.Members {
		if m.Label != n.cfg.Self {
			n.emit(Heartbeat{To: m.Label, Msg: &wire.Heartbeat{From: n.cfg.Self, Life: n.cfg.Life, Term: n.leader.rev, Standby: s.designated}})
		}
	}
}

// candidates are the peers that may stand by.
func (n *Node) candidates() []standby.Candidate {
	var list []standby.Candidate
	for _, m := range n.cfg.Members {
		if p := n.peers[m.Label]; p != nil && m.Label != n.cfg.Self && !p.byStore && !p.broken {
			list = append(list, standby.Candidate{Label: m.Label, Silent: n.now - p.at, Served: p.msg.StoreOK, CutOff: p.msg.CutOff})
		}
	}
	return list
}

// heartbeat takes in a leader's heartbeat.
func (n *Node) heartbeat(m *wire.Heartbeat) {
	if m != nil {
		n.standby.follower.Heartbeat(n.now, m.From, m.Life, m.Term, m.Standby)
	}
}

// disconnected takes in that the connection to a peer has broken.
func (n *Node) disconnected(label string) {
	n.standby.follower.Disconnected(n.now, label)
	if p := n.peers[label]; p != nil {
		p.broken = true
	}
}

// leaderView is what we tell the peers of a leader that may be replaced early.
func (n *Node) leaderView() *wire.LeaderView {
	if n.leader.rec == nil || !n.leader.rec.Fenced || n.leader.rec.Node == n.cfg.Self {
		return nil
	}
	o := n.standby.follower.Opinion(n.now)
	return &wire.LeaderView{Term: o.Term, SilenceMS: o.Silence.Milliseconds(), Broken: o.Broken, Suspected: o.Suspected}
}

// hearLeaderView takes in what a peer tells of the leader.
func (n *Node) hearLeaderView(from string, v *wire.LeaderView) {
	if v != nil {
		n.standby.follower.Told(n.now, from, standby.Opinion{
			Term: v.Term, Silence: Time(v.SilenceMS) * time.Millisecond, Broken: v.Broken, Suspected: v.Suspected,
		})
	}
}

// standbyStatus answers the operators' question who leads and who stands by.
func (n *Node) standbyStatus() wire.StandbyStatus {
	s := &n.standby
	status := wire.StandbyStatus{
		Controller: n.cfg.Self, Term: n.leader.rev, Revision: n.rev, Agreed: n.agreed, Served: n.storeOK, Early: n.cfg.EarlyTakeover,
		Standby: s.follower.Designated(), PauseMS: s.follower.Pause().Milliseconds(),
	}
	if n.leader.rec == nil {
		return status
	}
	status.Leader, status.Fenced, status.Streak = n.leader.rec.Node, n.leader.rec.Fenced, n.leader.rec.Streak
	if n.leads() {
		status.Standby = s.designated
		status.LogMessages, status.LogFacts = s.publisher.Lag()
		status.LogResyncs = s.publisher.Resyncs()
		return status
	}
	if term, _ := s.replica.Sequence(); term == n.leader.rev {
		status.LogHeld = s.replica.Facts()
	}
	status.LogDropped = s.replica.Dropped()
	evidence := s.follower.Evidence(n.now)
	status.SilenceMS, status.Suspected, status.Suspecting = evidence.Silence.Milliseconds(), s.follower.SuspectedAt() > 0, evidence.Suspecting
	return status
}
