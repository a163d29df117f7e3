package core

import (
	"slices"
	"testing"
	"time"

	"micaport/internal/wire"
)

// owner is a controller alone that owns its part and has heard a machine with its
// term, in a report with the given number.
func owner(t *testing.T) (d *drive, term uint64) {
	t.Helper()
	d = &drive{rev: 1, n: New(Config{Self: "n0", Life: "x", Zone: "a", Members: []Member{{"n0", "a"}}, Zones: []string{"a"},
		Teams: []Team{{Name: "t"}}, Report: 8 * second, Lease: 34 * second, Validity: 28 * second, LeaderTTL: 5 * second,
		TxnOps: 12, ValueBytes: 8192, BatchPuts: 8, WallMS: func() int64 { return 0 }})}
	d.step(Changes{Reset: true, Rev: 1})
	d.wait(2 * second)
	term = d.n.parts[0].rev
	d.report(1, 0)
	d.report(2, term)
	d.wait(4 * second)
	return d, term
}

func lowJob(state wire.JobState, active ...wire.Active) *wire.Job {
	return &wire.Job{Frames: 1, Next: 2, State: state, Active: active,
		Spec: &wire.Spec{Ref: "wk-000001", Team: "t", Shape: wire.ShapeArray, Urgency: "low", Frames: 1, Image: "i", Cores: 1}}
}

// A report that does not carry our term may have been made before an earlier owner's
// last order: that it lacks a task proves nothing.
func TestReportOfAnotherTermProvesNothing(t *testing.T) {
	for _, c := range []struct {
		own  bool
		gone bool
	}{{true, true}, {false, false}} {
		d, term := owner(t)
		d.put(lowJob(wire.Withdrawn, wire.Active{Attempt: 1, Host: "vm-1", Session: 1}))
		token := term
		if !c.own {
			token = term - 1
		}
		d.report(9, token)
		d.wait(3 * second)
		if gone := len(d.n.jobs[0].rec.Active) == 0; gone != c.gone {
			t.Errorf("our own term in the report: %v; taken as gone: %v", c.own, gone)
		}
	}
}

// A report no newer than what has been heard is a copy, whatever it lacks.
func TestCopyOfAReportProvesNothing(t *testing.T) {
	d, term := owner(t)
	d.report(9, term)
	d.wait(4 * second)
	d.put(lowJob(wire.Withdrawn, wire.Active{Attempt: 1, Host: "vm-1", Session: 1}))
	d.report(9, term)
	d.wait(second)
	if len(d.n.jobs[0].rec.Active) == 0 {
		t.Error("a copy proved a task gone")
	}
	if !slices.ContainsFunc(d.out, func(e Effect) bool { r, is := e.(Reply); return is && r.Status == 503 }) {
		t.Errorf("answered with %+v", d.out)
	}
}

// What was found out in one term is void in the next.
func TestFindingsEndWithTheirTerm(t *testing.T) {
	d, _ := owner(t)
	d.put(lowJob(wire.Live, wire.Active{Attempt: 1, Host: "vm-1", Session: 1}))
	k := taskKey{0, 0, 1}
	d.n.results[k] = result{"vm-1", causeLost, d.now, d.n.parts[0].rev}
	d.n.putPart(d.n.parts[0], &wire.Part{Owner: "n0", Life: "x"}, d.rev+5)
	if len(d.n.results) != 0 {
		t.Error("a finding outlived its term")
	}
}

// Whatever a leader writes rests on its key and on the records that it changes: a
// grant that is carried out when another leads would put a team over its limit.
func TestLeaderWritesUnderItsKey(t *testing.T) {
	d, _ := owner(t)
	d.wait(6 * second)
	n := d.n
	if !n.leads() {
		t.Fatal("does not lead")
	}
	n.takeTypes([]wire.Flavor{{Name: "g", Cores: 8, Cards: 1, MemoryGB: 64, FetchGBs: 1, Price: 1, BootS: 10, Zones: []string{"a"}}})
	d.report(20, n.parts[0].rev)
	d.rev++
	j := lowJob(wire.Live)
	j.Spec.Urgency = "high"
	n.out = nil
	n.changes(Changes{Rev: d.rev, Events: []Event{{Key: wire.JobKey("wk-000001"), Rev: d.rev, Value: j}}})
	for range 100 {
		d.now += 50 * time.Millisecond
		for _, e := range n.Step(d.now, Tick{}) {
			c, is := e.(Commit)
			if !is || len(c.Writes) == 0 || c.Writes[0].Key != wire.JobKey("wk-000001") {
				continue
			}
			if !slices.Contains(c.If, Cond{wire.LeaderKey, n.leader.rev}) || !slices.Contains(c.If, Cond{wire.JobKey("wk-000001"), d.rev}) {
				t.Errorf("granted under %+v", c.If)
			}
			return
		}
	}
	t.Error("nothing was granted")
}
