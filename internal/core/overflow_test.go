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
	n := New(Config{Self: "n0", Members: []Member{{"n0", "a"}}, Zones: []string{"a"}, MaxTransactionOps: 4, MaxValueBytes: 2048, CurrentValueBytes: 8192,
		WallClockMS: func() int64 { return 0 }})
	n.agreedFormat = wire.Format
	if n.overflowKeys() != 2 {
		t.Fatalf("%d further keys, not 2", n.overflowKeys())
	}
	const ref = "wk-000001"
	rec := &wire.Job{Spec: &wire.JobSpec{ID: ref, Class: "c", Team: "t", Shape: wire.ShapeArray, TaskCount: 200, Image: "img"}, TaskCount: 200, NextAttempt: 1}
	kept := map[int]wire.ActiveTasks{} // overflow keys as stored
	most := 0
	for step := range 400 {
		was, wasMore := slices.Clone(rec.ActiveTasks), rec.OverflowKeys
		next := cloneRecord(rec)
		for range 1 + rng.IntN(3) { // ends
			if len(next.ActiveTasks) > 0 && rng.IntN(2) == 0 {
				i := rng.IntN(len(next.ActiveTasks))
				next.ActiveTasks = slices.Delete(next.ActiveTasks, i, i+1)
			}
		}
		for range rng.IntN(8) { // grants
			if len(next.ActiveTasks) < 110 && step < 300 {
				next.ActiveTasks = append(next.ActiveTasks, wire.ActiveTask{Task: step*10 + rng.IntN(10), Attempt: uint64(step), Machine: fmt.Sprintf("vm-%06d", rng.IntN(200)), Epoch: 1, Shard: rng.IntN(3)})
			}
		}
		writes := n.splitRecord(ref, was, wasMore, 0, next)
		if len(writes) > n.cfg.MaxTransactionOps+1 {
			t.Fatalf("step %d: %d writes", step, len(writes))
		}
		for _, w := range writes {
			if w.Value != nil {
				if size, err := wire.JSONSize(w.Value); err != nil || size > n.cfg.MaxValueBytes {
					t.Fatalf("step %d: %s has %d bytes, %v", step, w.Key, size, err)
				}
			}
			switch v := w.Value.(type) {
			case *wire.Job:
				rec = v
			case *wire.Overflow:
				_, k := wire.SplitOverflowKey(w.Key)
				if slices.Equal(kept[k], v.ActiveTasks) && len(v.ActiveTasks) > 0 {
					t.Errorf("step %d: %s is written again unchanged", step, w.Key)
				}
				kept[k] = v.ActiveTasks
			case nil:
				_, k := wire.SplitOverflowKey(w.Key)
				delete(kept, k)
			}
		}
		for k, l := range kept {
			n.putOverflow(wire.OverflowKey(ref, k), &wire.Overflow{ActiveTasks: slices.Clone(l)})
		}
		if len(kept) != rec.OverflowKeys {
			t.Fatalf("step %d: %d further keys are stored, the record names %d", step, len(kept), rec.OverflowKeys)
		}
		most = max(most, rec.OverflowKeys)
		rec = cloneRecord(rec)
		n.assemble(ref, rec)
		byTask := func(a, b wire.ActiveTask) int { return (a.Task-b.Task)*1e6 + int(a.Attempt) - int(b.Attempt) }
		got, want := slices.Clone(rec.ActiveTasks), slices.Clone(next.ActiveTasks)
		slices.SortStableFunc(got, byTask)
		slices.SortStableFunc(want, byTask)
		if !slices.Equal(got, want) {
			t.Fatalf("step %d: %d tasks became %d", step, len(want), len(got))
		}
	}
	if most < 2 || rec.OverflowKeys != 0 {
		t.Errorf("%d further keys at most, %d in the end", most, rec.OverflowKeys)
	}
}

// A record that the earlier version left larger than a value may be is written in
// several keys in one transaction.
func TestSpreadOfALargeRecord(t *testing.T) {
	n := New(Config{Self: "n0", Members: []Member{{"n0", "a"}}, Zones: []string{"a"}, MaxTransactionOps: 4, MaxValueBytes: 2048, CurrentValueBytes: 8192,
		WallClockMS: func() int64 { return 0 }})
	n.agreedFormat = wire.Format
	rec := &wire.Job{Spec: &wire.JobSpec{ID: "wk-000001", TaskCount: 100}, TaskCount: 100, NextAttempt: 101}
	for i := range 100 {
		rec.ActiveTasks = append(rec.ActiveTasks, wire.ActiveTask{Task: i, Attempt: uint64(i + 1), Machine: fmt.Sprintf("vm-%06d", i), Epoch: 1, StoredIn: 1})
	}
	writes := n.splitRecord("wk-000001", slices.Clone(rec.ActiveTasks), 0, 0, rec)
	if len(writes) > n.cfg.MaxTransactionOps {
		t.Errorf("%d writes", len(writes))
	}
	for _, w := range writes {
		if size, err := wire.JSONSize(w.Value); err != nil || size > n.cfg.MaxValueBytes {
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
	n.cfg.MaxTransactionOps, n.cfg.MaxValueBytes, n.cfg.CurrentValueBytes, n.cfg.MaxBatchWrites = 4, 2048, 16<<10, 8
	n.setMachineTypes([]wire.MachineType{{Name: "g", Cores: 8, GPUs: 1, MemoryGB: 64, FetchGBs: 1, PricePerHour: 1, BootS: 10, Zones: []string{"a"}}})
	big := lowJob(wire.JobLive)
	big.TaskCount, big.Spec.TaskCount = 400, 400
	for i := range 400 {
		big.ActiveTasks = append(big.ActiveTasks, wire.ActiveTask{Task: i, Attempt: uint64(i + 1), Machine: fmt.Sprintf("vm-%06d", i), Epoch: 1})
	}
	d.put(big)
	n.recordsFit = false
	named := 0
	for range 400 {
		d.now += 50 * time.Millisecond
		for _, e := range n.Step(d.now, Tick{}) {
			if l, is := e.(RenewLease); is {
				n.Step(d.now, LeaseAnswered{ID: l.ID, Outcome: OK, LeaseID: max(l.LeaseID, 7)})
			}
			c, is := e.(Commit)
			if !is {
				continue
			}
			if len(c.Writes) > n.cfg.MaxTransactionOps {
				t.Fatalf("%d writes", len(c.Writes))
			}
			ch := RecordsChanged{}
			d.rev++
			for _, w := range c.Writes {
				if size, err := wire.JSONSize(w.Value); err != nil || size > n.cfg.MaxValueBytes {
					t.Fatalf("%s has %d bytes, %v", w.Key, size, err)
				}
				if j, is := w.Value.(*wire.Job); is {
					named = j.OverflowKeys
				}
				if !slices.ContainsFunc(c.Conditions, func(c Condition) bool { return c.Key == wire.JobKey("wk-000001") }) {
					t.Fatalf("%s is written under %+v", w.Key, c.Conditions)
				}
				ch.Events = append(ch.Events, Event{Key: w.Key, Revision: d.rev, Value: w.Value})
			}
			ch.Revision = d.rev
			n.Step(d.now, Committed{ID: c.ID, Outcome: OK, Revision: d.rev})
			n.Step(d.now, ch)
		}
	}
	if named < 5 || len(n.jobs[0].record.ActiveTasks) != 400 {
		t.Errorf("%d further keys are named, %d tasks are left", named, len(n.jobs[0].record.ActiveTasks))
	}
}

// A cancellation reads and writes the job's own record: what is in overflow keys stays
// there, and with it the specification, which says what the tasks charge.
func TestWithdrawalLeavesFurtherKeys(t *testing.T) {
	n := chained()
	n.cfg.MaxValueBytes, n.cfg.MaxTransactionOps = 2048, 4
	for _, own := range []int{0, 2} {
		rec := lowJob(wire.JobLive)
		rec.OverflowKeys, rec.TaskCount = 1, 9
		for i := range own {
			rec.ActiveTasks = append(rec.ActiveTasks, wire.ActiveTask{Task: i, Attempt: 1, Machine: "vm-1", Epoch: 1})
		}
		r, wrote := settle(n, UserRequest{RequestID: uint64(own + 1), Kind: wire.RequestCancel, JobID: "wk-000001"}, map[string]*wire.Job{"wk-000001": rec})
		if r == nil || r.Status != 200 || len(wrote) != 1 {
			t.Fatalf("answered with %+v, wrote %+v", r, wrote)
		}
		if j := wrote[0].Value.(*wire.Job); j.State != wire.JobCancelled || j.OverflowKeys != 1 || j.Spec == nil || len(j.ActiveTasks) != own {
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
		n.commit(ClassBackground, nil, []Write{{Key: "m/i/n0", Value: &wire.ImageCache{}}}, func(Committed) {})
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
