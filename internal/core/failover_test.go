package core

import (
	"hash/crc32"
	"slices"
	"testing"
	"time"

	"micaport/internal/failover"
	"micaport/internal/kv"
	"micaport/internal/ownership"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// failoverHarness is one of three controllers, with a state service whose answers the test sends.
type failoverHarness struct {
	t          *testing.T
	node       *Node
	now        Time
	revision   uint64
	commits    []Commit // not yet answered
	cloudCalls []CallCloud
}

// newFailoverHarness returns controller n1 of n0, n1 and n2. It replaces leaders early, and all
// controllers support the newest format.
func newFailoverHarness(t *testing.T) *failoverHarness {
	t.Helper()
	m := &failoverHarness{t: t, revision: 10, node: New(Config{Self: "n1", Incarnation: "y", Zone: "a", Members: []ownership.Member{{Name: "n0", Zone: "a"}, {Name: "n1", Zone: "a"}, {Name: "n2", Zone: "a"}}, Zones: []string{"a"},
		Teams: []replica.Team{{Name: "t"}}, HeartbeatInterval: 8 * second, WorkerLease: 34 * second, OwnerValidity: 28 * second, LeaderLease: 5 * second, EarlyFailover: true,
		MaxTransactionOps: 12, MaxValueBytes: 8192, MaxBatchWrites: 8, WallClockMS: func() int64 { return 7 }})}
	var events []kv.Event
	for _, label := range []string{"n0", "n1", "n2"} {
		events = append(events, kv.Event{Key: wire.FormatPrefix + label, Revision: 3, Value: &wire.SupportedFormat{Format: wire.Format}})
	}
	m.step(RecordsChanged{Reset: true, Revision: m.revision, Events: events})
	return m
}

func (m *failoverHarness) step(in Input) {
	for _, e := range m.node.Step(m.now, in) {
		switch x := e.(type) {
		case RenewLease:
			m.step(LeaseAnswered{ID: x.ID, Outcome: kv.OK, LeaseID: max(x.LeaseID, 7)})
		case Commit:
			m.commits = append(m.commits, x)
		case CallCloud:
			m.cloudCalls = append(m.cloudCalls, x)
		}
	}
}

// advance runs the controller for a time, in which n0 sends heartbeats if its term is not 0.
func (m *failoverHarness) advance(d Time, term uint64) {
	for end := m.now + d; m.now < end; {
		m.now += 50 * time.Millisecond
		if term > 0 && m.now%(500*time.Millisecond) == 0 {
			m.step(HeartbeatReceived{Message: &wire.LeaderHeartbeat{From: "n0", Life: "x", Term: term, Standby: "n1"}})
		}
		m.step(Tick{})
	}
}

// applyLeaderRecord applies a leader record that names a controller, and returns its term.
func (m *failoverHarness) applyLeaderRecord(controller, incarnation string, fenced bool, streak int) uint64 {
	m.revision++
	m.step(RecordsChanged{Revision: m.revision, Events: []kv.Event{{Key: wire.LeaderKey, Revision: m.revision, Value: &wire.Leader{Controller: controller, Incarnation: incarnation, Fenced: fenced, Streak: streak}}}})
	return m.revision
}

// deliverSuspicion delivers a message in which n2 suspects the leader of a term.
func (m *failoverHarness) deliverSuspicion(term uint64) {
	m.step(GossipReceived{Message: &wire.Gossip{From: "n2", Life: "z", UpS: m.now.Seconds(), StoreOK: true, Leader: &wire.LeaderView{Term: term, Suspected: true}}})
}

// takeLeaderCommits removes and returns the unanswered commits that are conditional on the leader
// key.
func (m *failoverHarness) takeLeaderCommits() (taken []Commit) {
	m.commits = slices.DeleteFunc(m.commits, func(c Commit) bool {
		onLeaderKey := slices.ContainsFunc(c.Conditions, func(c kv.Condition) bool { return c.Key == wire.LeaderKey })
		if onLeaderKey {
			taken = append(taken, c)
		}
		return onLeaderKey
	})
	return taken
}

// newHarnessWithSilentLeader returns a harness whose leader n0 has sent heartbeats for 10 s and
// then none for 2.5 s, and the leader's term.
func newHarnessWithSilentLeader(t *testing.T) (m *failoverHarness, term uint64) {
	t.Helper()
	m = newFailoverHarness(t)
	term = m.applyLeaderRecord("n0", "x", true, 0)
	m.advance(10*second, term)
	m.advance(2500*time.Millisecond, 0)
	return m, term
}

// An early claim is one transaction that replaces the leader key, conditional on its revision, and
// records the evidence. It is not made unless a peer suspects the leader, too.
func TestEarlyClaim(t *testing.T) {
	m, term := newHarnessWithSilentLeader(t)
	if claims := m.takeLeaderCommits(); len(claims) > 0 {
		t.Fatalf("claimed without a quorum: %+v", claims)
	}
	m.deliverSuspicion(term)
	m.advance(300*time.Millisecond, 0)
	claims := m.takeLeaderCommits()
	if len(claims) != 1 || !slices.Equal(claims[0].Conditions, []kv.Condition{{Key: wire.LeaderKey, Revision: term}}) || len(claims[0].Writes) != 2 {
		t.Fatalf("claims %+v", claims)
	}
	claim, record := claims[0].Writes[0].Value.(*wire.Leader), claims[0].Writes[1].Value.(*wire.Takeovers)
	if *claim != (wire.Leader{Controller: "n1", Incarnation: "y", Fenced: true, Streak: 1}) || claims[0].Writes[0].LeaseID != 7 {
		t.Errorf("claim %+v", claim)
	}
	if got := record.List[0]; got.From != "n0" || got.Replaced != term || got.Suspecting != 2 || got.Members != 3 || got.SilenceMS < 1750 || len(got.StagesMS) != 2 {
		t.Errorf("record %+v", got)
	}
}

// An early claim needs a recently renewed lease: otherwise the last call of the replaced leader
// could reach the cloud after the lease of the claim has expired.
func TestEarlyClaimNeedsFreshLease(t *testing.T) {
	m := newFailoverHarness(t)
	term := m.applyLeaderRecord("n0", "x", true, 0)
	m.advance(10*second, term)
	m.node.leadership.Lease.StartRenewal(m.node.now) // a renewal without an answer
	m.advance(2500*time.Millisecond, 0)
	m.deliverSuspicion(term)
	m.advance(300*time.Millisecond, 0)
	if claims := m.takeLeaderCommits(); len(claims) > 0 {
		t.Errorf("claimed under a lease renewed %v ago", m.node.leadership.Lease.Age(m.now))
	}
}

// newHarnessAfterTakeover returns a harness whose controller has just replaced n0, and the proof
// that it has sent.
func newHarnessAfterTakeover(t *testing.T) (*failoverHarness, Commit) {
	t.Helper()
	m, term := newHarnessWithSilentLeader(t)
	m.deliverSuspicion(term)
	m.advance(100*time.Millisecond, 0)
	if len(m.takeLeaderCommits()) == 0 {
		t.Fatal("not claimed")
	}
	offerTypes(m.node, []wire.MachineType{{Name: "g", Cores: 8, GPUs: 1, MemoryGB: 64, FetchGBs: 1, PricePerHour: 1, BootS: 10, Zones: []string{"a"}}})
	m.applyLeaderRecord("n1", "y", true, 1)
	proofs := m.takeLeaderCommits()
	if len(proofs) != 1 || len(proofs[0].Writes) != 0 || !m.node.isLeader() {
		t.Fatalf("leads %v, proofs %+v", m.node.isLeader(), proofs)
	}
	return m, proofs[0]
}

// addWaitingJob adds the record of an accepted job that needs a new machine.
func (m *failoverHarness) addWaitingJob() {
	m.revision++
	job := lowJob(wire.JobLive)
	job.Spec.Priority = "high"
	m.step(RecordsChanged{Revision: m.revision, Events: []kv.Event{{Key: wire.JobKey("wk-000001"), Revision: m.revision, Value: job}}})
}

// countMachineCalls returns the number of calls to the cloud that provision or deprovision.
func (m *failoverHarness) countMachineCalls() int {
	return len(slices.DeleteFunc(slices.Clone(m.cloudCalls), func(c CallCloud) bool { return c.Provision == nil && c.Deprovision == nil }))
}

// A new leader makes no scheduling pass before its claim is proven, and does not call the cloud
// until the last proof of the replaced leader has expired.
func TestNewLeaderWaitsForProofAndCloudFence(t *testing.T) {
	m, proof := newHarnessAfterTakeover(t)
	m.addWaitingJob()
	m.advance(second, 0)
	if m.node.failover.firstPassDone {
		t.Error("a scheduling pass was made without a proof")
	}
	m.step(Committed{ID: proof.ID, Outcome: kv.OK, Revision: m.revision})
	m.advance(second, 0)
	if !m.node.failover.firstPassDone {
		t.Error("no scheduling pass was made after the proof")
	}
	for m.now < m.node.failover.earlyClaimSeenAt+failover.CloudFenceTime(5*second) {
		if m.countMachineCalls() > 0 {
			t.Fatalf("the cloud was called %v after the claim", m.now-m.node.failover.earlyClaimSeenAt)
		}
		m.advance(50*time.Millisecond, 0)
		for _, c := range m.takeLeaderCommits() {
			m.step(Committed{ID: c.ID, Outcome: kv.OK, Revision: m.revision})
		}
	}
	m.advance(2*second, 0)
	if m.countMachineCalls() == 0 {
		t.Error("the cloud was not called")
	}
	for _, c := range m.cloudCalls {
		if c.Provision != nil && c.ValidFor > failover.ProofValidity(5*second) {
			t.Errorf("a call may be sent for %v", c.ValidFor)
		}
	}
}

// A leader whose watch hangs detects that it has been replaced, as its proof conflicts with the
// new claim.
func TestProofDetectsReplacement(t *testing.T) {
	m, proof := newHarnessAfterTakeover(t)
	m.step(Committed{ID: proof.ID, Outcome: kv.Conflict, Revision: m.revision + 5, FailedKeys: []string{wire.LeaderKey}})
	if m.node.isLeader() {
		t.Error("the replaced leader still leads")
	}
}

// A new leader makes no decision while a commit that it sent as an owner has an unknown outcome
// and may still be applied.
func TestNewLeaderWaitsForItsOwnCommits(t *testing.T) {
	m, proof := newHarnessAfterTakeover(t)
	m.node.batch.active, m.node.batch.outcomeUnknown = true, true
	m.step(Committed{ID: proof.ID, Outcome: kv.OK, Revision: m.revision})
	if m.node.mayDecide() {
		t.Error("the leader may decide while the outcome of a commit is unknown")
	}
	m.node.batch.active = false
	if !m.node.mayDecide() {
		t.Error("the leader may not decide after the commit has ended")
	}
}

// After a stall of its process a leader makes no decision until a proof that was sent after the
// stall has taken effect.
func TestStallInvalidatesLeaderProofs(t *testing.T) {
	m, proof := newHarnessAfterTakeover(t)
	m.step(Committed{ID: proof.ID, Outcome: kv.OK, Revision: m.revision})
	if !m.node.mayDecide() {
		t.Fatal("the leader may not decide after its proof")
	}
	m.advance(1200*time.Millisecond, 0)
	lateProofs := m.takeLeaderCommits()
	m.now += 3 * second
	m.step(Tick{})
	for _, c := range lateProofs { // sent before the stall, answered after it
		m.step(Committed{ID: c.ID, Outcome: kv.OK, Revision: m.revision})
	}
	if m.node.mayDecide() || m.node.cloudCallTime() > 0 {
		t.Error("a proof from before the stall is still valid")
	}
}

// After a stall of its own process a controller does not suspect the leader for heartbeats that it
// missed during the stall, even if a peer suspects it.
func TestNoSuspicionAfterStall(t *testing.T) {
	m := newFailoverHarness(t)
	term := m.applyLeaderRecord("n0", "x", true, 0)
	m.advance(10*second, term)
	m.now += 4 * second
	m.deliverSuspicion(term)
	m.advance(200*time.Millisecond, 0)
	if claims := m.takeLeaderCommits(); len(claims) > 0 || m.node.failover.follower.SuspectedSince() > 0 {
		t.Errorf("the leader is suspected, claims %+v", claims)
	}
}

// A claim that the watch does not show is abandoned: as long as its lease was renewed, the site
// would have no leader that makes decisions.
func TestUnseenClaimIsAbandoned(t *testing.T) {
	m, term := newHarnessWithSilentLeader(t)
	m.deliverSuspicion(term)
	m.advance(100*time.Millisecond, 0)
	claims := m.takeLeaderCommits()
	m.step(Committed{ID: claims[0].ID, Outcome: kv.OK, Revision: m.revision + 9})
	m.advance(3*second, 0)
	for _, c := range m.takeLeaderCommits() {
		if slices.Equal(c.Conditions, []kv.Condition{{Key: wire.LeaderKey, Revision: m.revision + 9}}) && len(c.Writes) == 1 && c.Writes[0].Value == nil {
			return
		}
	}
	t.Error("the claim is not abandoned")
}

// A leader that replaces its own claim by a fenced one keeps its state, so that machines that are
// booting are not provisioned again.
func TestFencingKeepsLeaderState(t *testing.T) {
	m := newFailoverHarness(t)
	m.advance(2*second, 0) // it creates a lease and claims the leadership
	term := m.applyLeaderRecord("n1", "y", false, 0)
	m.node.leader.autoscaler.booting["vm-1"] = &bootingMachine{}
	m.advance(500*time.Millisecond, 0)
	claims := m.takeLeaderCommits()
	last := claims[len(claims)-1]
	if !slices.Equal(last.Conditions, []kv.Condition{{Key: wire.LeaderKey, Revision: term}}) || !last.Writes[0].Value.(*wire.Leader).Fenced {
		t.Fatalf("claims %+v", claims)
	}
	changes := m.node.leader.leadershipChanges
	m.applyLeaderRecord("n1", "y", true, 0)
	if len(m.node.leader.autoscaler.booting) != 1 || m.node.leader.leadershipChanges != changes || !m.node.isFencedLeader() {
		t.Error("the leader has lost its state")
	}
}

// A takeover that is recorded when a controller starts may have been made immediately before, so
// the cloud fence starts at that time.
func TestRecordedTakeoverStartsCloudFence(t *testing.T) {
	m := newFailoverHarness(t)
	if m.node.failover.cloudFenceEndsAt(5*second) != 0 {
		t.Fatal("there is a cloud fence without a takeover")
	}
	restarted := New(m.node.cfg)
	restarted.Step(second, RecordsChanged{Reset: true, Revision: 5, Events: []kv.Event{{Key: wire.TakeoversKey, Revision: 4, Value: &wire.Takeovers{}}}})
	if want := second + failover.CloudFenceTime(5*second); restarted.failover.cloudFenceEndsAt(5*second) != want {
		t.Errorf("the cloud fence ends at %v, want %v", restarted.failover.cloudFenceEndsAt(5*second), want)
	}
}

// A replaced leader may still deprovision the machines that it asked an owner to drain. The owner
// places nothing on them until the replaced leader can no longer call the cloud.
func TestOwnerKeepsDrainingForReplacedLeader(t *testing.T) {
	m := newFailoverHarness(t)
	term := m.applyLeaderRecord("n0", "x", true, 0)
	m.advance(10*second, term)
	machine := m.node.getOrAddMachine("vm-1")
	machine.draining = true
	m.node.drainingMachines = []int{machine.index}
	m.applyLeaderRecord("n2", "z", true, 1)
	deliverGossip := func() {
		m.step(GossipReceived{Message: &wire.Gossip{From: "n2", Life: "z", UpS: m.now.Seconds(), StoreOK: true}})
	}
	m.advance(failover.CloudFenceTime(5*second)-100*time.Millisecond, 0)
	if deliverGossip(); !machine.draining {
		t.Error("the owner may place tasks on a machine that the replaced leader may deprovision")
	}
	m.advance(200*time.Millisecond, 0)
	if deliverGossip(); machine.draining {
		t.Error("the machine is still draining after the cloud fence has ended")
	}
}

// logMessage returns a message of n0's decision log that starts the log anew.
func logMessage(t *testing.T, term, sequence uint64, now Time, facts ...wire.Fact) *wire.DecisionLog {
	t.Helper()
	raw, err := wire.Encode(facts)
	if err != nil {
		t.Fatal(err)
	}
	return &wire.DecisionLog{From: "n0", Life: "x", Term: term, Sequence: sequence, Reset: true, NowMS: now.Milliseconds(), Facts: raw, Checksum: crc32.ChecksumIEEE(raw)}
}

// A new leader adopts the facts in the decision log of its predecessor, except those that the
// records or the owners contradict. A pending provisioning request keeps its name. The log of an
// earlier leader than the predecessor is not adopted.
func TestDecisionLogIsAdopted(t *testing.T) {
	for _, fromPredecessor := range []bool{true, false} {
		m := newFailoverHarness(t)
		offerTypes(m.node, []wire.MachineType{{Name: "g", Cores: 8, GPUs: 1, MemoryGB: 64, FetchGBs: 1, PricePerHour: 1, BootS: 10, Zones: []string{"a"}}})
		m.node.getOrAddMachine("vm-4").view.reportedByOwner = true
		m.node.getOrAddMachine("vm-5").deprovisioned = true
		term := m.applyLeaderRecord("n0", "x", true, 0)
		m.advance(2*second, term)
		m.step(DecisionLogReceived{RequestID: 1, Message: logMessage(t, term, 1, m.now,
			wire.Fact{Kind: wire.FactBooting, Name: "vm-3", MachineType: "g", Zone: "a", At: m.now.Milliseconds() - 1000},
			wire.Fact{Kind: wire.FactBooting, Name: "vm-4", MachineType: "g", Zone: "a", At: 1}, // its owner has reported it
			wire.Fact{Kind: wire.FactDraining, Name: "vm-5"},                                    // deprovisioned
			wire.Fact{Kind: wire.FactDraining, Name: "vm-6"},
			wire.Fact{Kind: wire.FactBooting, Name: "vm-7", MachineType: "g", Zone: "elsewhere", At: 1},
			wire.Fact{Kind: wire.FactProvisioning, Name: "r-5-2", MachineType: "g", Zone: "a", Count: 3, At: 1},
			wire.Fact{Kind: wire.FactWaitingSince, Name: "wk-999999", At: 1},
			wire.Fact{Kind: 99, Name: "of a later version"})})
		if !fromPredecessor {
			m.applyLeaderRecord("n2", "z", true, 1)
		}
		m.applyLeaderRecord("n1", "y", true, 2)
		scaler := &m.node.leader.autoscaler
		if !fromPredecessor {
			if len(scaler.booting)+len(scaler.pendingProvisions)+len(scaler.markedForDraining) > 0 {
				t.Errorf("adopted facts of an earlier leader: %+v", scaler)
			}
			continue
		}
		if len(scaler.booting) != 1 || scaler.booting["vm-3"] == nil || m.now-scaler.booting["vm-3"].provisionedAt != second || len(scaler.markedForDraining) != 1 || !scaler.markedForDraining["vm-6"] {
			t.Errorf("booting %v, draining %v", scaler.booting, scaler.markedForDraining)
		}
		if len(scaler.pendingProvisions) != 1 || scaler.pendingProvisions[0].callInProgress || scaler.pendingProvisions[0].request != (wire.ProvisionRequest{Name: "r-5-2", MachineType: "g", Zone: "a", Count: 3}) {
			t.Errorf("provisioning requests %+v", scaler.pendingProvisions)
		}
	}
}

// A gang whose attempt is dropped keeps its position in the queue, but only maxDroppedAttempts
// times. A gang that has been placed has no earlier position to restore.
func TestDroppedGangKeepsQueuePosition(t *testing.T) {
	j := &job{waitingSince: 5 * second}
	for i := range maxDroppedAttempts + 1 {
		j.saveQueuePosition()
		j.restoreQueuePosition()
		if want := i < maxDroppedAttempts; (j.waitingSince == 5*second) != want {
			t.Errorf("after %d dropped attempts it has waited since %v", i+1, j.waitingSince)
		}
	}
	j.queuePosition = queuePosition{}
	if j.restoreQueuePosition(); j.waitingSince != 0 {
		t.Errorf("a gang that was placed has waited since %v", j.waitingSince)
	}
}

// The status names the leader and the standby, and the revision that this controller's replica has
// reached.
func TestStandbyStatus(t *testing.T) {
	m := newFailoverHarness(t)
	term := m.applyLeaderRecord("n0", "x", true, 2)
	m.advance(2*second, term)
	m.advance(400*time.Millisecond, 0)
	out := m.node.Step(m.now, StatusRequest{RequestID: 5})
	got := out[0].(Reply).Body.(wire.LeadershipStatus)
	want := wire.LeadershipStatus{Controller: "n1", Leader: "n0", Term: term, Fenced: true, Streak: 2, Standby: "n1", Revision: m.revision, SilenceMS: 400,
		Early: true, Agreed: wire.Format, Served: true, PauseMS: 10000}
	if got != want {
		t.Errorf("status %+v, want %+v", got, want)
	}
}
