package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// A record too large for one transaction is moved to overflow keys in several transactions, each
// on the condition that the record has not changed. Only the last one writes the record that
// names the keys.
func TestOverflowKeysAreWrittenAhead(t *testing.T) {
	d, _ := newOwnerHarnessWith(t, func(cfg *Config) {
		cfg.MaxTransactionOps, cfg.MaxValueBytes, cfg.CurrentValueBytes, cfg.MaxBatchWrites = 4, 2048, 16<<10, 8
	})
	d.wait(6 * second)
	n := d.node
	offerTypes(n, []wire.MachineType{{Name: "g", Cores: 8, GPUs: 1, MemoryGB: 64, FetchGBs: 1, PricePerHour: 1, BootS: 10, Zones: []string{"a"}}})
	big := lowJob(wire.JobLive)
	big.TaskCount, big.Spec.TaskCount = 400, 400
	for i := range 400 {
		big.ActiveTasks = append(big.ActiveTasks, wire.ActiveTask{Task: i, Attempt: uint64(i + 1), Machine: fmt.Sprintf("vm-%06d", i), Epoch: 1})
	}
	d.putJob(big)
	n.leader.recordsWithinLimits = false
	namedKeys := 0
	for range 400 {
		d.now += 50 * time.Millisecond
		for _, e := range n.Step(d.now, Tick{}) {
			if l, ok := e.(RenewLease); ok {
				n.Step(d.now, LeaseAnswered{ID: l.ID, Outcome: kv.OK, LeaseID: max(l.LeaseID, 7)})
			}
			c, ok := e.(Commit)
			if !ok {
				continue
			}
			if len(c.Writes) > n.cfg.MaxTransactionOps {
				t.Fatalf("%d writes in a transaction, at most %d are allowed", len(c.Writes), n.cfg.MaxTransactionOps)
			}
			changes := RecordsChanged{}
			d.revision++
			for _, w := range c.Writes {
				if size, err := wire.JSONSize(w.Value); err != nil || size > n.cfg.MaxValueBytes {
					t.Fatalf("%s takes %d bytes, at most %d are allowed; error %v", w.Key, size, n.cfg.MaxValueBytes, err)
				}
				if j, ok := w.Value.(*wire.Job); ok {
					namedKeys = j.OverflowKeys
				}
				if !slices.ContainsFunc(c.Conditions, func(c kv.Condition) bool { return c.Key == wire.JobKey("wk-000001") }) {
					t.Fatalf("%s is written under the conditions %+v, want one on the job's record", w.Key, c.Conditions)
				}
				changes.Events = append(changes.Events, kv.Event{Key: w.Key, Revision: d.revision, Value: w.Value})
			}
			changes.Revision = d.revision
			n.Step(d.now, Committed{ID: c.ID, Outcome: kv.OK, Revision: d.revision})
			n.Step(d.now, changes)
		}
	}
	if namedKeys < 5 || len(n.jobs[0].Record.ActiveTasks) != 400 {
		t.Errorf("the record names %d overflow keys and has %d active tasks, want at least 5 keys and 400 tasks", namedKeys, len(n.jobs[0].Record.ActiveTasks))
	}
}

// A cancellation reads and writes only the job's record. The tasks in its overflow keys must stay
// there, and the specification must stay in the record, as it determines the charges of these
// tasks.
func TestCancellationKeepsOverflowKeys(t *testing.T) {
	n := newTestNodeWith(func(cfg *Config) { cfg.MaxValueBytes, cfg.MaxTransactionOps = 2048, 4 })
	for _, ownTasks := range []int{0, 2} {
		record := lowJob(wire.JobLive)
		record.OverflowKeys, record.TaskCount = 1, 9
		for i := range ownTasks {
			record.ActiveTasks = append(record.ActiveTasks, wire.ActiveTask{Task: i, Attempt: 1, Machine: "vm-1", Epoch: 1})
		}
		reply, wrote := runRequest(n, UserRequest{RequestID: uint64(ownTasks + 1), Kind: wire.RequestCancel, JobID: "wk-000001"}, map[string]*wire.Job{"wk-000001": record})
		if reply == nil || reply.Status != 200 || len(wrote) != 1 {
			t.Fatalf("answered with %+v, wrote %+v, want status 200 and one write", reply, wrote)
		}
		if j := wrote[0].Value.(*wire.Job); j.State != wire.JobCancelled || j.OverflowKeys != 1 || j.Spec == nil || len(j.ActiveTasks) != ownTasks {
			t.Errorf("recorded %+v, want a cancelled job with its specification, 1 overflow key and %d active tasks", j, ownTasks)
		}
	}
}

// After the state service has refused writes because of its rate limit, NextWriteRPS is assumed for
// a while, which doubles with each refusal.
func TestRefusalsReduceWriteRate(t *testing.T) {
	n := newTestNode()
	n.cfg.WriteRPS, n.cfg.NextWriteRPS = 20, 15
	refuse := func() {
		n.transact(ClassBackground, nil, []kv.Write{{Key: "m/i/n0", Value: &wire.ImageCache{}}}, ignoreResult{})
		n.Step(n.now+1, Committed{ID: n.nextID, Outcome: kv.Refused, RateLimited: true})
	}
	if n.writeRPS() != 20 {
		t.Fatalf("write rate = %v before any refusal, want 20", n.writeRPS())
	}
	for _, reducedTime := range []Time{20 * second, 40 * second, 80 * second} {
		refuse()
		if n.writeRPS() != 15 {
			t.Errorf("write rate = %v after a refusal, want 15", n.writeRPS())
		}
		n.now += reducedTime - second
		if n.writeRPS() != 15 {
			t.Errorf("write rate = %v before %v have passed, want 15", n.writeRPS(), reducedTime)
		}
		n.now += 2 * second
		if n.writeRPS() != 20 {
			t.Errorf("write rate = %v after %v, want 20", n.writeRPS(), reducedTime)
		}
	}
}
