package core

import (
	"fmt"
	"testing"

	"micaport/internal/wire"
)

// chained is a controller alone, after its upgrade, that knows a machine type.
func chained(members ...Member) *Node {
	if members == nil {
		members = []Member{{"n0", "a"}}
	}
	n := New(Config{Self: "n0", Life: "x", Zone: "a", Members: members, Zones: []string{"a"}, Teams: []Team{{Name: "t"}},
		Report: 4 * second, Lease: 30 * second, Validity: 23 * second, LeaderTTL: 5 * second, TxnOps: 12, ValueBytes: 8192, BatchPuts: 8,
		WallMS: func() int64 { return 1_000_000 }})
	n.Step(second, Changes{Reset: true, Rev: 1, Events: []Event{{Key: wire.FormatPrefix + "n0", Rev: 1, Value: &wire.SupportedFormat{Format: wire.Format}}}})
	n.takeTypes([]wire.Flavor{{Name: "g", Cores: 8, Cards: 1, MemoryGB: 64, FetchGBs: 1, Price: 1, BootS: 10, Zones: []string{"a"}}})
	return n
}

func see(n *Node, rev int, ref string, state wire.JobState, mod func(*wire.Spec), needs ...string) {
	sp := &wire.Spec{Ref: ref, Class: "c", Team: "t", Shape: wire.ShapeArray, Urgency: "low", Frames: 1, Image: "i", ExpectedS: 10, WaitsOn: needs}
	if mod != nil {
		mod(sp)
	}
	rec := &wire.Job{Spec: sp, Frames: 1, State: state, At: 1_000_000, Next: 1}
	if state != wire.Live {
		rec.Spec = nil
	}
	n.Step(n.now+1, Changes{Rev: uint64(rev), Events: []Event{{Key: wire.JobKey(ref), Rev: uint64(rev), Value: rec}}})
}

func submission(ref string, needs ...string) []byte {
	m := map[string]any{"ref": ref, "job_class": "c", "studio": "t", "shape": "array", "urgency": "low", "frames": 1, "cores": 1.0, "cards": 0.0,
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
			case Read:
				if j := stored[x.Ref]; j != nil {
					inputs = append(inputs, GotJob{ID: x.ID, Outcome: OK, Rev: 7, Job: j})
				} else {
					inputs = append(inputs, GotJob{ID: x.ID, Outcome: Missing})
				}
			case Commit:
				if x.Class == User && len(x.Writes) > 0 {
					wrote = append(wrote, x.Writes...)
				}
				inputs = append(inputs, Committed{ID: x.ID, Outcome: OK, Rev: n.rev})
			case Reply:
				reply = &x
			}
		}
	}
	return reply, wrote
}

// What a submission names: jobs that another controller accepted a moment ago are
// read; what is done is left out, as it stays done; what is withdrawn takes the job
// with it; and what was never accepted, or runs until it is withdrawn, is refused.
func TestSubmissionNamesJobs(t *testing.T) {
	live := func(shape string) *wire.Job {
		return &wire.Job{Frames: 1, Spec: &wire.Spec{Ref: "x", Shape: shape}}
	}
	stored := map[string]*wire.Job{
		"wk-000020": live(wire.ShapeArray), "wk-000021": {State: wire.Done, Frames: 1}, "wk-000022": {State: wire.Withdrawn, Frames: 1},
		"wk-000023": live(wire.ShapeDaemon),
	}
	for _, c := range []struct {
		needs  []string
		status int
		state  wire.JobState
		stays  int
	}{
		{[]string{"wk-000001"}, 201, wire.Live, 1}, // in our copy
		{[]string{"wk-000002"}, 201, wire.Live, 0}, // done there
		{[]string{"wk-000003"}, 201, wire.Withdrawn, 0},
		{[]string{"wk-000004"}, 201, wire.Withdrawn, 0}, // below the withdrawn one, which its own record does not say
		{[]string{"wk-000020", "wk-000001", "wk-000020"}, 201, wire.Live, 2},
		{[]string{"wk-000021"}, 201, wire.Live, 0},
		{[]string{"wk-000020", "wk-000022"}, 201, wire.Withdrawn, 0},
		{[]string{"wk-000023"}, 422, 0, 0},
		{[]string{"wk-000005"}, 422, 0, 0}, // a service in our copy
		{[]string{"wk-000020", "wk-000099"}, 422, 0, 0},
		{[]string{"wk-000100"}, 422, 0, 0}, // itself
	} {
		n := chained()
		see(n, 2, "wk-000001", wire.Live, nil)
		see(n, 3, "wk-000002", wire.Done, nil)
		see(n, 4, "wk-000003", wire.Withdrawn, nil)
		see(n, 5, "wk-000004", wire.Live, nil, "wk-000003")
		see(n, 6, "wk-000005", wire.Live, func(s *wire.Spec) { s.Shape = wire.ShapeDaemon })
		r, wrote := settle(n, UserRequest{Req: 1, Kind: wire.Submit, Body: submission("wk-000100", c.needs...)}, stored)
		if r == nil || r.Status != c.status {
			t.Errorf("%v: answered with %+v", c.needs, r)
			continue
		}
		if (len(wrote) > 0) != (c.status == 201) {
			t.Errorf("%v: wrote %+v", c.needs, wrote)
		}
		for _, w := range wrote {
			j := w.Value.(*wire.Job)
			if j.State != c.state || (j.Spec != nil && len(j.Spec.WaitsOn) != c.stays) || (j.Spec == nil) != (c.state == wire.Withdrawn) {
				t.Errorf("%v: recorded %+v", c.needs, j)
			}
		}
	}
}

// Before every controller has said that it reads them, a chained job is put off, and
// nothing new is written.
func TestNothingNewBeforeAllAreUpgraded(t *testing.T) {
	n := chained(Member{"n0", "a"}, Member{"n1", "a"})
	see(n, 2, "wk-000001", wire.Live, nil)
	r, wrote := settle(n, UserRequest{Req: 1, Kind: wire.Submit, Body: submission("wk-000100", "wk-000001")}, nil)
	if r == nil || r.Status != 503 || r.RetryS == 0 || len(wrote) > 0 || n.continuationKeys() > 0 {
		t.Errorf("answered with %+v, wrote %+v", r, wrote)
	}
	// Nor is it handed to a peer, which may be of the version before.
	n.storeOK = false
	n.peers["n1"] = &peer{at: n.now, msg: &wire.Gossip{From: "n1", StoreOK: true}}
	for _, e := range n.Step(n.now+1, UserRequest{Req: 3, Kind: wire.Submit, Body: submission("wk-000100", "wk-000001")}) {
		if _, is := e.(Forward); is {
			t.Error("handed on before all are upgraded")
		}
	}
	n.storeOK = true
	n.Step(n.now+1, Changes{Rev: 9, Events: []Event{{Key: wire.FormatPrefix + "n1", Rev: 9, Value: &wire.SupportedFormat{Format: 2}}}})
	if r, wrote = settle(n, UserRequest{Req: 2, Kind: wire.Submit, Body: submission("wk-000100", "wk-000001")}, nil); r == nil || r.Status != 201 || len(wrote) != 1 {
		t.Errorf("answered with %+v, wrote %+v", r, wrote)
	}
	// It never goes back.
	n.Step(n.now+1, Changes{Rev: 10, Events: []Event{{Key: wire.FormatPrefix + "n1", Rev: 10, Value: &wire.SupportedFormat{Format: 1}}}})
	if !n.writesChains() {
		t.Error("went back to the format before")
	}
}

// A chain of ten thousand, and a job that as many wait on: a withdrawal at the top
// shows at the bottom at once, and an end at the top costs by what waits on it.
func TestLongAndWideChains(t *testing.T) {
	const many = 10_000
	n := chained()
	name := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
	see(n, 2, name(0), wire.Live, nil)
	for i := 1; i < many; i++ {
		see(n, 2+i, name(i), wire.Live, nil, name(i-1))
	}
	for i := 1; i < many; i++ {
		see(n, 2+many+i, name(many+i), wire.Live, nil, name(0))
	}
	n.leader.rec = nil
	see(n, 5*many, name(0), wire.Withdrawn, nil)
	if len(n.derivedWithdrawals) != 2*many-2 {
		t.Errorf("%d jobs were touched, not %d once each", len(n.derivedWithdrawals), 2*many-2)
	}
	for _, i := range []int{1, many - 1, many + 1, 2*many - 1} {
		r, _ := settle(n, UserRequest{Req: uint64(i), Kind: wire.Poll, Ref: name(i)}, nil)
		if r == nil || r.Status != 200 || r.Body.(wire.JobStatus).Status != wire.StatusWithdrawn {
			t.Errorf("%s: %+v", name(i), r)
		}
	}
}

// The urgency and the deadline of the last job hold for all that it needs, each with
// the time left that those after it take; a job that waits is in no queue.
func TestLastJobPressesAll(t *testing.T) {
	n := chained()
	see(n, 2, "wk-000001", wire.Live, nil)
	see(n, 3, "wk-000002", wire.Live, nil, "wk-000001")
	see(n, 4, "wk-000003", wire.Live, nil, "wk-000001")
	see(n, 5, "wk-000004", wire.Live, func(s *wire.Spec) { s.Urgency, s.DueS = "high", 100 }, "wk-000002", "wk-000003")
	due := int64(1_000_000 + 100_000)
	for i, want := range []int64{due - 2*14_000, due - 14_000, due - 14_000, due} {
		if j := n.jobs[i]; j.chain.dueMS != want || j.prio != 2 {
			t.Errorf("%s is due at %d with priority %d, not %d", j.ref, j.chain.dueMS, j.prio, want)
		}
	}
	queued := func() (out []string) {
		for _, q := range n.queues() {
			for _, w := range q.jobs {
				out = append(out, w.j.ref)
			}
		}
		return out
	}
	if got := queued(); len(got) != 1 || got[0] != "wk-000001" {
		t.Errorf("queued: %v", got)
	}
	see(n, 9, "wk-000001", wire.Done, nil)
	if got := queued(); len(got) != 2 {
		t.Errorf("queued: %v", got)
	}
}

// Where our copy lags, a repeated submission of a job that its own record calls live
// is answered from those above it.
func TestAnswerFromAbove(t *testing.T) {
	n := chained()
	spec := func(needs ...string) *wire.Spec { return &wire.Spec{Shape: wire.ShapeArray, WaitsOn: needs} }
	stored := map[string]*wire.Job{
		"wk-000001": {State: wire.Withdrawn, Frames: 1}, "wk-000002": {Frames: 1, Spec: spec("wk-000001")},
		"wk-000003": {Frames: 1, Spec: spec("wk-000002")}, "wk-000005": {Frames: 1, Spec: spec()}, "wk-000006": {Frames: 1, Spec: spec("wk-000005")},
	}
	for i, ref := range []string{"wk-000001", "wk-000002", "wk-000003", "wk-000005", "wk-000006"} {
		j := stored[ref]
		see(n, 2+i, ref, wire.Live, nil, func() []string {
			if j.Spec == nil {
				return nil
			}
			return j.Spec.WaitsOn
		}()...)
	}
	for ref, want := range map[string]string{"wk-000003": wire.StatusWithdrawn, "wk-000006": wire.StatusPending} {
		got, wrote := settle(n, UserRequest{Req: 5, Kind: wire.Submit, Body: submission(ref)}, stored)
		if got == nil || got.Status != 200 || got.Body.(wire.JobStatus).Status != want || len(wrote) > 0 {
			t.Errorf("%s: %+v", ref, got)
		}
	}
}

// What is over keeps nothing of its chain: finished jobs are kept for ever. Those that
// come later and name them, or were withdrawn before what they needed ended, do no harm.
func TestFinishedJobsKeepNoChain(t *testing.T) {
	n := chained()
	see(n, 2, "wk-000001", wire.Live, nil)
	see(n, 3, "wk-000002", wire.Live, nil, "wk-000001")
	see(n, 4, "wk-000003", wire.Live, nil, "wk-000001", "wk-000002")
	see(n, 5, "wk-000002", wire.Withdrawn, nil)
	see(n, 6, "wk-000001", wire.Done, nil)
	see(n, 7, "wk-000003", wire.Withdrawn, nil)
	see(n, 8, "wk-000004", wire.Live, nil, "wk-000001")
	see(n, 9, "wk-000005", wire.Live, nil, "wk-000002")
	for i := range 3 {
		if n.jobs[i].chain != nil {
			t.Errorf("%s keeps %+v", n.jobs[i].ref, n.jobs[i].chain)
		}
	}
	if n.jobs[3].waits() || !n.jobs[4].waits() || n.jobs[4].state() != wire.Withdrawn {
		t.Errorf("%+v, %+v", n.jobs[3].chain, n.jobs[4].chain)
	}
}
