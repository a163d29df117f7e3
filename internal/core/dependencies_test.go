package core

import (
	"fmt"
	"testing"

	"micaport/internal/wire"
)

// chained is a controller alone, after its upgrade, that knows a machine type.
func chained(members ...Member) *Node { return chainedWith(func(*Config) {}, members...) }

// chainedWith is chained with a changed configuration.
func chainedWith(change func(*Config), members ...Member) *Node {
	if members == nil {
		members = []Member{{Name: "n0", Zone: "a"}}
	}
	cfg := Config{Self: "n0", Incarnation: "x", Zone: "a", Members: members, Zones: []string{"a"}, Teams: []Team{{Name: "t"}},
		HeartbeatInterval: 4 * second, WorkerLease: 30 * second, OwnerValidity: 23 * second, LeaderLease: 5 * second, MaxTransactionOps: 12, MaxValueBytes: 8192, MaxBatchWrites: 8,
		WallClockMS: func() int64 { return 1_000_000 }}
	change(&cfg)
	n := New(cfg)
	n.Step(second, RecordsChanged{Reset: true, Revision: 1, Events: []Event{{Key: wire.FormatPrefix + "n0", Revision: 1, Value: &wire.SupportedFormat{Format: wire.Format}}}})
	n.setMachineTypes([]wire.MachineType{{Name: "g", Cores: 8, GPUs: 1, MemoryGB: 64, FetchGBs: 1, PricePerHour: 1, BootS: 10, Zones: []string{"a"}}})
	return n
}

func see(n *Node, rev int, id string, state wire.JobState, mod func(*wire.JobSpec), needs ...string) {
	spec := &wire.JobSpec{ID: id, Class: "c", Team: "t", Shape: wire.ShapeArray, Priority: "low", TaskCount: 1, Image: "i", ExpectedS: 10, Dependencies: needs}
	if mod != nil {
		mod(spec)
	}
	record := &wire.Job{Spec: spec, TaskCount: 1, State: state, AcceptedAtMS: 1_000_000, NextAttempt: 1}
	if state != wire.JobLive {
		record.Spec = nil
	}
	n.Step(n.now+1, RecordsChanged{Revision: uint64(rev), Events: []Event{{Key: wire.JobKey(id), Revision: uint64(rev), Value: record}}})
}

func submission(id string, needs ...string) []byte {
	m := map[string]any{"ref": id, "job_class": "c", "studio": "t", "shape": "array", "urgency": "low", "frames": 1, "cores": 1.0, "cards": 0.0,
		"memory_gb": 1.0, "toolkit": "i", "size_gb": 1.0, "same_place": false, "spread": false, "loaner": true, "expected_s": 10.0,
		"snapshot_every_s": 0.0, "snapshot_s": 0.0}
	if needs != nil {
		m["waits_on"] = needs
	}
	b, err := wire.Encode(m)
	if err != nil {
		panic(err)
	}
	return b
}

// settle plays a state service with the given records, and gives the reply to a
// request, with what was written.
func settle(n *Node, in Input, stored map[string]*wire.Job) (reply *Reply, wrote []Write) {
	inputs := []Input{in}
	for len(inputs) > 0 {
		in, inputs = inputs[0], inputs[1:]
		for _, e := range n.Step(n.now+1, in) {
			switch x := e.(type) {
			case ReadJob:
				if j := stored[x.JobID]; j != nil {
					inputs = append(inputs, JobRead{ID: x.ID, Outcome: OK, Revision: 7, Job: j})
				} else {
					inputs = append(inputs, JobRead{ID: x.ID, Outcome: NotFound})
				}
			case Commit:
				if x.Class == ClassUser && len(x.Writes) > 0 {
					wrote = append(wrote, x.Writes...)
				}
				inputs = append(inputs, Committed{ID: x.ID, Outcome: OK, Revision: n.replica.Revision()})
			case Reply:
				reply = &x
			}
		}
	}
	return reply, wrote
}

// What a submission names: jobs that another controller accepted a moment ago are
// read; what is done is left out, as it stays done; what is cancelled takes the job
// with it; and what was never accepted, or runs until it is cancelled, is refused.
func TestSubmissionNamesJobs(t *testing.T) {
	live := func(shape string) *wire.Job {
		return &wire.Job{TaskCount: 1, Spec: &wire.JobSpec{ID: "x", Shape: shape}}
	}
	stored := map[string]*wire.Job{
		"wk-000020": live(wire.ShapeArray), "wk-000021": {State: wire.JobDone, TaskCount: 1}, "wk-000022": {State: wire.JobCancelled, TaskCount: 1},
		"wk-000023": live(wire.ShapeDaemon),
	}
	for _, c := range []struct {
		needs  []string
		status int
		state  wire.JobState
		stays  int
	}{
		{[]string{"wk-000001"}, 201, wire.JobLive, 1}, // in the replica
		{[]string{"wk-000002"}, 201, wire.JobLive, 0}, // done there
		{[]string{"wk-000003"}, 201, wire.JobCancelled, 0},
		{[]string{"wk-000004"}, 201, wire.JobCancelled, 0}, // below the cancelled one, which its own record does not say
		{[]string{"wk-000020", "wk-000001", "wk-000020"}, 201, wire.JobLive, 2},
		{[]string{"wk-000021"}, 201, wire.JobLive, 0},
		{[]string{"wk-000020", "wk-000022"}, 201, wire.JobCancelled, 0},
		{[]string{"wk-000023"}, 422, 0, 0},
		{[]string{"wk-000005"}, 422, 0, 0}, // a service in the replica
		{[]string{"wk-000020", "wk-000099"}, 422, 0, 0},
		{[]string{"wk-000100"}, 422, 0, 0}, // itself
	} {
		n := chained()
		see(n, 2, "wk-000001", wire.JobLive, nil)
		see(n, 3, "wk-000002", wire.JobDone, nil)
		see(n, 4, "wk-000003", wire.JobCancelled, nil)
		see(n, 5, "wk-000004", wire.JobLive, nil, "wk-000003")
		see(n, 6, "wk-000005", wire.JobLive, func(spec *wire.JobSpec) { spec.Shape = wire.ShapeDaemon })
		r, wrote := settle(n, UserRequest{RequestID: 1, Kind: wire.RequestSubmit, Body: submission("wk-000100", c.needs...)}, stored)
		if r == nil || r.Status != c.status {
			t.Errorf("%v: answered with %+v", c.needs, r)
			continue
		}
		if (len(wrote) > 0) != (c.status == 201) {
			t.Errorf("%v: wrote %+v", c.needs, wrote)
		}
		for _, w := range wrote {
			j := w.Value.(*wire.Job)
			if j.State != c.state || (j.Spec != nil && len(j.Spec.Dependencies) != c.stays) || (j.Spec == nil) != (c.state == wire.JobCancelled) {
				t.Errorf("%v: recorded %+v", c.needs, j)
			}
		}
	}
}

// Before every controller has said that it reads them, a chained job is put off, and
// nothing new is written.
func TestNothingNewBeforeAllAreUpgraded(t *testing.T) {
	n := chained(Member{Name: "n0", Zone: "a"}, Member{Name: "n1", Zone: "a"})
	see(n, 2, "wk-000001", wire.JobLive, nil)
	r, wrote := settle(n, UserRequest{RequestID: 1, Kind: wire.RequestSubmit, Body: submission("wk-000100", "wk-000001")}, nil)
	if r == nil || r.Status != 503 || r.RetryAfterS == 0 || len(wrote) > 0 || n.replica.OverflowKeys() > 0 {
		t.Errorf("answered with %+v, wrote %+v", r, wrote)
	}
	// Nor is it handed to a peer, which may be of the version before.
	n.storeOK = false
	n.peers["n1"] = &peer{heardAt: n.now, message: &wire.Gossip{From: "n1", StoreOK: true}}
	for _, e := range n.Step(n.now+1, UserRequest{RequestID: 3, Kind: wire.RequestSubmit, Body: submission("wk-000100", "wk-000001")}) {
		if _, is := e.(Forward); is {
			t.Error("handed on before all are upgraded")
		}
	}
	n.storeOK = true
	n.Step(n.now+1, RecordsChanged{Revision: 9, Events: []Event{{Key: wire.FormatPrefix + "n1", Revision: 9, Value: &wire.SupportedFormat{Format: 2}}}})
	if r, wrote = settle(n, UserRequest{RequestID: 2, Kind: wire.RequestSubmit, Body: submission("wk-000100", "wk-000001")}, nil); r == nil || r.Status != 201 || len(wrote) != 1 {
		t.Errorf("answered with %+v, wrote %+v", r, wrote)
	}
	// It never goes back.
	n.Step(n.now+1, RecordsChanged{Revision: 10, Events: []Event{{Key: wire.FormatPrefix + "n1", Revision: 10, Value: &wire.SupportedFormat{Format: 1}}}})
	if !n.replica.WritesDependencies() {
		t.Error("went back to the format before")
	}
}

// A chain of ten thousand, and a job that as many wait on: a cancellation at the top
// shows at the bottom at once, and an end at the top costs by what waits on it.
func TestLongAndWideChains(t *testing.T) {
	const many = 10_000
	n := chained()
	name := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
	see(n, 2, name(0), wire.JobLive, nil)
	for i := 1; i < many; i++ {
		see(n, 2+i, name(i), wire.JobLive, nil, name(i-1))
	}
	for i := 1; i < many; i++ {
		see(n, 2+many+i, name(many+i), wire.JobLive, nil, name(0))
	}
	n.putLeader(nil, 4*many)
	see(n, 5*many, name(0), wire.JobCancelled, nil)
	if n.replica.UnrecordedCancellations() != 2*many-2 {
		t.Errorf("%d jobs were touched, not %d once each", n.replica.UnrecordedCancellations(), 2*many-2)
	}
	for _, i := range []int{1, many - 1, many + 1, 2*many - 1} {
		r, _ := settle(n, UserRequest{RequestID: uint64(i), Kind: wire.RequestStatus, JobID: name(i)}, nil)
		if r == nil || r.Status != 200 || r.Body.(wire.JobStatus).Status != wire.StatusCancelled {
			t.Errorf("%s: %+v", name(i), r)
		}
	}
}

// The urgency and the deadline of the last job hold for all that it needs, each with
// the time left that those after it take; a job that waits is in no queue.
func TestLastJobPressesAll(t *testing.T) {
	n := chained()
	see(n, 2, "wk-000001", wire.JobLive, nil)
	see(n, 3, "wk-000002", wire.JobLive, nil, "wk-000001")
	see(n, 4, "wk-000003", wire.JobLive, nil, "wk-000001")
	see(n, 5, "wk-000004", wire.JobLive, func(spec *wire.JobSpec) { spec.Priority, spec.DeadlineS = "high", 100 }, "wk-000002", "wk-000003")
	due := int64(1_000_000 + 100_000)
	for i, want := range []int64{due - 2*14_000, due - 14_000, due - 14_000, due} {
		if job := n.jobs[i]; job.Links.DeadlineMS != want || job.Priority != 2 {
			t.Errorf("%s is due at %d with priority %d, not %d", job.ID, job.Links.DeadlineMS, job.Priority, want)
		}
	}
	queued := func() (out []string) {
		for _, queue := range n.queues() {
			for _, w := range queue.jobs {
				out = append(out, w.job.ID)
			}
		}
		return out
	}
	if got := queued(); len(got) != 1 || got[0] != "wk-000001" {
		t.Errorf("queued: %v", got)
	}
	see(n, 9, "wk-000001", wire.JobDone, nil)
	if got := queued(); len(got) != 2 {
		t.Errorf("queued: %v", got)
	}
}

// Where the replica lags, a repeated submission of a job that its own record calls live
// is answered from those above it.
func TestAnswerFromAbove(t *testing.T) {
	n := chained()
	spec := func(needs ...string) *wire.JobSpec { return &wire.JobSpec{Shape: wire.ShapeArray, Dependencies: needs} }
	stored := map[string]*wire.Job{
		"wk-000001": {State: wire.JobCancelled, TaskCount: 1}, "wk-000002": {TaskCount: 1, Spec: spec("wk-000001")},
		"wk-000003": {TaskCount: 1, Spec: spec("wk-000002")}, "wk-000005": {TaskCount: 1, Spec: spec()}, "wk-000006": {TaskCount: 1, Spec: spec("wk-000005")},
	}
	for i, id := range []string{"wk-000001", "wk-000002", "wk-000003", "wk-000005", "wk-000006"} {
		j := stored[id]
		see(n, 2+i, id, wire.JobLive, nil, func() []string {
			if j.Spec == nil {
				return nil
			}
			return j.Spec.Dependencies
		}()...)
	}
	for id, want := range map[string]string{"wk-000003": wire.StatusCancelled, "wk-000006": wire.StatusPending} {
		got, wrote := settle(n, UserRequest{RequestID: 5, Kind: wire.RequestSubmit, Body: submission(id)}, stored)
		if got == nil || got.Status != 200 || got.Body.(wire.JobStatus).Status != want || len(wrote) > 0 {
			t.Errorf("%s: %+v", id, got)
		}
	}
}

// What is over keeps nothing of its chain: finished jobs are kept for ever. Those that
// come later and name them, or were cancelled before what they needed ended, do no harm.
func TestFinishedJobsKeepNoChain(t *testing.T) {
	n := chained()
	see(n, 2, "wk-000001", wire.JobLive, nil)
	see(n, 3, "wk-000002", wire.JobLive, nil, "wk-000001")
	see(n, 4, "wk-000003", wire.JobLive, nil, "wk-000001", "wk-000002")
	see(n, 5, "wk-000002", wire.JobCancelled, nil)
	see(n, 6, "wk-000001", wire.JobDone, nil)
	see(n, 7, "wk-000003", wire.JobCancelled, nil)
	see(n, 8, "wk-000004", wire.JobLive, nil, "wk-000001")
	see(n, 9, "wk-000005", wire.JobLive, nil, "wk-000002")
	for i := range 3 {
		if n.jobs[i].Links != nil {
			t.Errorf("%s keeps %+v", n.jobs[i].ID, n.jobs[i].Links)
		}
	}
	if n.jobs[3].IsWaiting() || !n.jobs[4].IsWaiting() || n.jobs[4].State() != wire.JobCancelled {
		t.Errorf("%+v, %+v", n.jobs[3].Links, n.jobs[4].Links)
	}
}
