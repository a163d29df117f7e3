package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"micaport/internal/wire"
)

// A record's active tasks are shared out to its keys so that each value is within
// the limit, all together are what they were, and what did not change is not
// written again.
func TestSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	n := New(Config{Self: "n0", Members: []Member{{"n0", "a"}}, Zones: []string{"a"}, TxnOps: 4, ValueBytes: 2048, ValueNow: 8192,
		WallMS: func() int64 { return 0 }})
	n.agreed = wire.Format
	if n.continuationKeys() != 2 {
		t.Fatalf("%d further keys, not 2", n.continuationKeys())
	}
	const ref = "wk-000001"
	rec := &wire.Job{Spec: &wire.Spec{Ref: ref, Class: "c", Team: "t", Shape: wire.ShapeArray, Frames: 200, Image: "img"}, Frames: 200, Next: 1}
	kept := map[int]wire.Actives{} // further keys as stored
	most := 0
	for step := range 400 {
		was, wasMore := slices.Clone(rec.Active), rec.Continuations
		next := clone(rec)
		for range 1 + rng.IntN(3) { // ends
			if len(next.Active) > 0 && rng.IntN(2) == 0 {
				i := rng.IntN(len(next.Active))
				next.Active = slices.Delete(next.Active, i, i+1)
			}
		}
		for range rng.IntN(8) { // grants
			if len(next.Active) < 110 && step < 300 {
				next.Active = append(next.Active, wire.Active{Task: step*10 + rng.IntN(10), Attempt: uint64(step), Host: fmt.Sprintf("vm-%06d", rng.IntN(200)), Session: 1, Part: rng.IntN(3)})
			}
		}
		writes := n.splitRecord(ref, was, wasMore, 0, next)
		if len(writes) > n.cfg.TxnOps+1 {
			t.Fatalf("step %d: %d writes", step, len(writes))
		}
		for _, w := range writes {
			if w.Value != nil {
				if size, err := wire.JSONSize(w.Value); err != nil || size > n.cfg.ValueBytes {
					t.Fatalf("step %d: %s has %d bytes, %v", step, w.Key, size, err)
				}
			}
			switch v := w.Value.(type) {
			case *wire.Job:
				rec = v
			case *wire.Continuation:
				_, k := wire.SplitContinuation(w.Key)
				if slices.Equal(kept[k], v.Active) && len(v.Active) > 0 {
					t.Errorf("step %d: %s is written again unchanged", step, w.Key)
				}
				kept[k] = v.Active
			case nil:
				_, k := wire.SplitContinuation(w.Key)
				delete(kept, k)
			}
		}
		for k, l := range kept {
			n.putContinuation(wire.ContinuationKey(ref, k), &wire.Continuation{Active: slices.Clone(l)})
		}
		if len(kept) != rec.Continuations {
			t.Fatalf("step %d: %d further keys are stored, the record names %d", step, len(kept), rec.Continuations)
		}
		most = max(most, rec.Continuations)
		rec = clone(rec)
		n.assemble(ref, rec)
		byTask := func(a, b wire.Active) int { return (a.Task-b.Task)*1e6 + int(a.Attempt) - int(b.Attempt) }
		got, want := slices.Clone(rec.Active), slices.Clone(next.Active)
		slices.SortStableFunc(got, byTask)
		slices.SortStableFunc(want, byTask)
		if !slices.Equal(got, want) {
			t.Fatalf("step %d: %d tasks became %d", step, len(want), len(got))
		}
	}
	if most < 2 || rec.Continuations != 0 {
		t.Errorf("%d further keys at most, %d in the end", most, rec.Continuations)
	}
}

// A record that the earlier version left larger than a value may be is written in
// several keys in one transaction.
func TestSpreadOfALargeRecord(t *testing.T) {
	n := New(Config{Self: "n0", Members: []Member{{"n0", "a"}}, Zones: []string{"a"}, TxnOps: 4, ValueBytes: 2048, ValueNow: 8192,
		WallMS: func() int64 { return 0 }})
	n.agreed = wire.Format
	rec := &wire.Job{Spec: &wire.Spec{Ref: "wk-000001", Frames: 100}, Frames: 100, Next: 101}
	for i := range 100 {
		rec.Active = append(rec.Active, wire.Active{Task: i, Attempt: uint64(i + 1), Host: fmt.Sprintf("vm-%06d", i), Session: 1, StoredIn: 1})
	}
	writes := n.splitRecord("wk-000001", slices.Clone(rec.Active), 0, 0, rec)
	if len(writes) > n.cfg.TxnOps {
		t.Errorf("%d writes", len(writes))
	}
	for _, w := range writes {
		if size, err := wire.JSONSize(w.Value); err != nil || size > n.cfg.ValueBytes {
			t.Errorf("%s has %d bytes, %v", w.Key, size, err)
		}
	}
}

// One that is too large even for that is written ahead, key by key, under the
// condition that nobody changes it meanwhile, and then named.
func TestSpreadAhead(t *testing.T) {
	d, _ := owner(t)
	d.wait(6 * second)
	n := d.n
	n.cfg.TxnOps, n.cfg.ValueBytes, n.cfg.ValueNow, n.cfg.BatchPuts = 4, 2048, 16<<10, 8
	n.takeTypes([]wire.Flavor{{Name: "g", Cores: 8, Cards: 1, MemoryGB: 64, FetchGBs: 1, Price: 1, BootS: 10, Zones: []string{"a"}}})
	big := lowJob(wire.Live)
	big.Frames, big.Spec.Frames = 400, 400
	for i := range 400 {
		big.Active = append(big.Active, wire.Active{Task: i, Attempt: uint64(i + 1), Host: fmt.Sprintf("vm-%06d", i), Session: 1})
	}
	d.put(big)
	n.shrunk = false
	named := 0
	for range 400 {
		d.now += 50 * time.Millisecond
		for _, e := range n.Step(d.now, Tick{}) {
			if l, is := e.(Lease); is {
				n.Step(d.now, Leased{ID: l.ID, Outcome: OK, Lease: max(l.Lease, 7)})
			}
			c, is := e.(Commit)
			if !is {
				continue
			}
			if len(c.Writes) > n.cfg.TxnOps {
				t.Fatalf("%d writes", len(c.Writes))
			}
			ch := Changes{}
			d.rev++
			for _, w := range c.Writes {
				if size, err := wire.JSONSize(w.Value); err != nil || size > n.cfg.ValueBytes {
					t.Fatalf("%s has %d bytes, %v", w.Key, size, err)
				}
				if j, is := w.Value.(*wire.Job); is {
					named = j.Continuations
				}
				if !slices.ContainsFunc(c.If, func(c Cond) bool { return c.Key == wire.JobKey("wk-000001") }) {
					t.Fatalf("%s is written under %+v", w.Key, c.If)
				}
				ch.Events = append(ch.Events, Event{Key: w.Key, Rev: d.rev, Value: w.Value})
			}
			ch.Rev = d.rev
			n.Step(d.now, Committed{ID: c.ID, Outcome: OK, Rev: d.rev})
			n.Step(d.now, ch)
		}
	}
	if named < 5 || len(n.jobs[0].rec.Active) != 400 {
		t.Errorf("%d further keys are named, %d tasks are left", named, len(n.jobs[0].rec.Active))
	}
}

// A withdrawal reads and writes the job's own record: what is in further keys stays
// there, and with it the specification, which says what the tasks charge.
func TestWithdrawalLeavesFurtherKeys(t *testing.T) {
	n := chained()
	n.cfg.ValueBytes, n.cfg.TxnOps = 2048, 4
	for _, own := range []int{0, 2} {
		rec := lowJob(wire.Live)
		rec.Continuations, rec.Frames = 1, 9
		for i := range own {
			rec.Active = append(rec.Active, wire.Active{Task: i, Attempt: 1, Host: "vm-1", Session: 1})
		}
		r, wrote := settle(n, UserRequest{Req: uint64(own + 1), Kind: wire.Withdraw, Ref: "wk-000001"}, map[string]*wire.Job{"wk-000001": rec})
		if r == nil || r.Status != 200 || len(wrote) != 1 {
			t.Fatalf("answered with %+v, wrote %+v", r, wrote)
		}
		if j := wrote[0].Value.(*wire.Job); j.State != wire.Withdrawn || j.Continuations != 1 || j.Spec == nil || len(j.Active) != own {
			t.Errorf("recorded %+v", j)
		}
	}
}

// Once the service has refused puts as too many, the rate that is to come is kept to,
// for longer each time.
func TestRateFollowsRefusals(t *testing.T) {
	n := chained()
	n.cfg.WriteRPS, n.cfg.NextWriteRPS = 20, 15
	refuse := func() {
		n.commit(Bulk, nil, []Write{{Key: "m/i/n0", Value: &wire.Images{}}}, func(Committed) {})
		n.Step(n.now+1, Committed{ID: n.nextID, Outcome: Refused, Limited: true})
	}
	if n.writeRPS() != 20 {
		t.Fatalf("begins with %v", n.writeRPS())
	}
	for _, low := range []Time{20 * second, 40 * second, 80 * second} {
		refuse()
		if n.writeRPS() != 15 {
			t.Errorf("%v after a refusal", n.writeRPS())
		}
		n.now += low - second
		if n.writeRPS() != 15 {
			t.Errorf("%v before %v are over", n.writeRPS(), low)
		}
		n.now += 2 * second
		if n.writeRPS() != 20 {
			t.Errorf("%v after %v", n.writeRPS(), low)
		}
	}
}
