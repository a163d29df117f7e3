package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// One that is too large even for that is written ahead, key by key, under the
// condition that nobody changes it meanwhile, and then named.
func TestSpreadAhead(t *testing.T) {
	d, _ := ownerWith(t, func(cfg *Config) {
		cfg.MaxTransactionOps, cfg.MaxValueBytes, cfg.CurrentValueBytes, cfg.MaxBatchWrites = 4, 2048, 16<<10, 8
	})
	d.wait(6 * second)
	n := d.n
	n.setMachineTypes([]wire.MachineType{{Name: "g", Cores: 8, GPUs: 1, MemoryGB: 64, FetchGBs: 1, PricePerHour: 1, BootS: 10, Zones: []string{"a"}}})
	big := lowJob(wire.JobLive)
	big.TaskCount, big.Spec.TaskCount = 400, 400
	for i := range 400 {
		big.ActiveTasks = append(big.ActiveTasks, wire.ActiveTask{Task: i, Attempt: uint64(i + 1), Machine: fmt.Sprintf("vm-%06d", i), Epoch: 1})
	}
	d.put(big)
	n.leader.recordsFit = false
	named := 0
	for range 400 {
		d.now += 50 * time.Millisecond
		for _, e := range n.Step(d.now, Tick{}) {
			if l, is := e.(RenewLease); is {
				n.Step(d.now, LeaseAnswered{ID: l.ID, Outcome: kv.OK, LeaseID: max(l.LeaseID, 7)})
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
				if !slices.ContainsFunc(c.Conditions, func(c kv.Condition) bool { return c.Key == wire.JobKey("wk-000001") }) {
					t.Fatalf("%s is written under %+v", w.Key, c.Conditions)
				}
				ch.Events = append(ch.Events, kv.Event{Key: w.Key, Revision: d.rev, Value: w.Value})
			}
			ch.Revision = d.rev
			n.Step(d.now, Committed{ID: c.ID, Outcome: kv.OK, Revision: d.rev})
			n.Step(d.now, ch)
		}
	}
	if named < 5 || len(n.jobs[0].Record.ActiveTasks) != 400 {
		t.Errorf("%d further keys are named, %d tasks are left", named, len(n.jobs[0].Record.ActiveTasks))
	}
}

// A cancellation reads and writes the job's own record: what is in overflow keys stays
// there, and with it the specification, which says what the tasks charge.
func TestWithdrawalLeavesFurtherKeys(t *testing.T) {
	n := newTestNodeWith(func(cfg *Config) { cfg.MaxValueBytes, cfg.MaxTransactionOps = 2048, 4 })
	for _, own := range []int{0, 2} {
		record := lowJob(wire.JobLive)
		record.OverflowKeys, record.TaskCount = 1, 9
		for i := range own {
			record.ActiveTasks = append(record.ActiveTasks, wire.ActiveTask{Task: i, Attempt: 1, Machine: "vm-1", Epoch: 1})
		}
		r, wrote := runRequest(n, UserRequest{RequestID: uint64(own + 1), Kind: wire.RequestCancel, JobID: "wk-000001"}, map[string]*wire.Job{"wk-000001": record})
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
	n := newTestNode()
	n.cfg.WriteRPS, n.cfg.NextWriteRPS = 20, 15
	refuse := func() {
		n.transact(ClassBackground, nil, []kv.Write{{Key: "m/i/n0", Value: &wire.ImageCache{}}}, ignoreResult{})
		n.Step(n.now+1, Committed{ID: n.nextID, Outcome: kv.Refused, Limited: true})
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
