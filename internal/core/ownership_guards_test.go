package core

import (
	"slices"
	"testing"
	"time"

	"micaport/internal/kv"
	"micaport/internal/ownership"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// newOwnerHarness returns a single controller that owns its shard and has received two heartbeats
// of a machine, the second with the shard's term as token, and that term.
func newOwnerHarness(t *testing.T) (d *controllerHarness, term uint64) {
	t.Helper()
	return newOwnerHarnessWith(t, func(*Config) {})
}

// newOwnerHarnessWith is like newOwnerHarness, with a changed configuration.
func newOwnerHarnessWith(t *testing.T, change func(*Config)) (d *controllerHarness, term uint64) {
	t.Helper()
	cfg := Config{Self: "n0", Incarnation: "x", Zone: "a", Members: []ownership.Member{{Name: "n0", Zone: "a"}}, Zones: []string{"a"},
		Teams: []replica.Team{{Name: "t"}}, HeartbeatInterval: 8 * second, WorkerLease: 34 * second, OwnerValidity: 28 * second, LeaderLease: 5 * second,
		MaxTransactionOps: 12, MaxValueBytes: 8192, MaxBatchWrites: 8, WallClockMS: func() int64 { return 0 }}
	change(&cfg)
	d = &controllerHarness{revision: 1, node: New(cfg)}
	d.step(RecordsChanged{Reset: true, Revision: 1})
	d.wait(2 * second)
	term = d.node.shards[0].Term
	d.sendHeartbeat(1, 0)
	d.sendHeartbeat(2, term)
	d.wait(4 * second)
	return d, term
}

// lowJob returns a job of low priority in a state, with the given active tasks.
func lowJob(state wire.JobState, active ...wire.ActiveTask) *wire.Job {
	return &wire.Job{TaskCount: 1, NextAttempt: 2, State: state, ActiveTasks: active,
		Spec: &wire.JobSpec{ID: "wk-000001", Team: "t", Shape: wire.ShapeArray, Priority: "low", TaskCount: 1, Image: "i", Cores: 1}}
}

// A heartbeat with an older token may have been sent before an earlier owner's last command, so a
// task that it lacks may still be started.
func TestHeartbeatWithOldTokenRemovesNoTask(t *testing.T) {
	for _, c := range []struct {
		currentToken bool
		gone         bool
	}{{true, true}, {false, false}} {
		d, term := newOwnerHarness(t)
		d.putJob(lowJob(wire.JobCancelled, wire.ActiveTask{Attempt: 1, Machine: "vm-1", Epoch: 1}))
		token := term
		if !c.currentToken {
			token = term - 1
		}
		d.sendHeartbeat(9, token)
		d.wait(3 * second)
		if gone := len(d.node.jobs[0].Record.ActiveTasks) == 0; gone != c.gone {
			t.Errorf("current token in the heartbeat: %v; task removed from the record: %v", c.currentToken, gone)
		}
	}
}

// A heartbeat that is not newer than the last one is a copy; a task that it lacks may be running.
func TestCopyOfHeartbeatRemovesNoTask(t *testing.T) {
	d, term := newOwnerHarness(t)
	d.sendHeartbeat(9, term)
	d.wait(4 * second)
	d.putJob(lowJob(wire.JobCancelled, wire.ActiveTask{Attempt: 1, Machine: "vm-1", Epoch: 1}))
	d.sendHeartbeat(9, term)
	d.wait(second)
	if len(d.node.jobs[0].Record.ActiveTasks) == 0 {
		t.Error("a copy of a heartbeat removed a task from its record")
	}
	if !slices.ContainsFunc(d.effects, func(e Effect) bool { r, is := e.(Reply); return is && r.Status == 503 }) {
		t.Errorf("answered with %+v", d.effects)
	}
}

// Outcomes that were queued in one term are discarded in the next.
func TestOutcomesAreDiscardedInNewTerm(t *testing.T) {
	d, _ := newOwnerHarness(t)
	d.putJob(lowJob(wire.JobLive, wire.ActiveTask{Attempt: 1, Machine: "vm-1", Epoch: 1}))
	key := taskKey{0, 0, 1}
	d.node.outcomes[key] = taskOutcome{"vm-1", causeLost, d.now, d.node.shards[0].Term}
	d.node.applyShardClaim(d.node.shards[0], &wire.Shard{Owner: "n0", Incarnation: "x"}, d.revision+5)
	if len(d.node.outcomes) != 0 {
		t.Error("an outcome was kept in a later term")
	}
}

// The leader's writes are conditional on the leader's key and on the records that they change. A
// grant that is committed after another controller has become the leader could exceed a team's
// limit.
func TestGrantIsConditionalOnLeaderKey(t *testing.T) {
	d, _ := newOwnerHarness(t)
	d.wait(6 * second)
	n := d.node
	if !n.isLeader() {
		t.Fatal("the controller is not the leader")
	}
	offerTypes(n, []wire.MachineType{{Name: "g", Cores: 8, GPUs: 1, MemoryGB: 64, FetchGBs: 1, PricePerHour: 1, BootS: 10, Zones: []string{"a"}}})
	d.sendHeartbeat(20, n.shards[0].Term)
	d.revision++
	j := lowJob(wire.JobLive)
	j.Spec.Priority = "high"
	n.effects = nil
	n.applyRecordChanges(RecordsChanged{Revision: d.revision, Events: []kv.Event{{Key: wire.JobKey("wk-000001"), Revision: d.revision, Value: j}}})
	for range 100 {
		d.now += 50 * time.Millisecond
		for _, e := range n.Step(d.now, Tick{}) {
			c, is := e.(Commit)
			if !is || len(c.Writes) == 0 || c.Writes[0].Key != wire.JobKey("wk-000001") {
				continue
			}
			if !slices.Contains(c.Conditions, kv.Condition{Key: wire.LeaderKey, Revision: n.leadership.Term()}) || !slices.Contains(c.Conditions, kv.Condition{Key: wire.JobKey("wk-000001"), Revision: d.revision}) {
				t.Errorf("grant has conditions %+v, want the leader's key and the job's record", c.Conditions)
			}
			return
		}
	}
	t.Error("the job was not granted")
}
