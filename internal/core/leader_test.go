package core

import (
	"testing"

	"micaport/internal/kv"
	"micaport/internal/ownership"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// A leader that resigns while the outcome of a commit is unknown must discard that commit once
// another controller leads. As long as its own commit as the leader may still change a record, a
// controller doesn't change the record as an owner. A commit that was never discarded kept it from
// placing the tasks that the next leader granted to its shards.
func TestResignedLeaderDiscardsBatch(t *testing.T) {
	d := &controllerHarness{revision: 1, node: New(Config{Self: "n0", Incarnation: "x", Zone: "a", Members: []ownership.Member{{Name: "n0", Zone: "a"}, {Name: "n1", Zone: "a"}}, Zones: []string{"a"},
		Teams: []replica.Team{{Name: "t"}}, HeartbeatInterval: 8 * second, WorkerLease: 34 * second, OwnerValidity: 28 * second, LeaderLease: 5 * second,
		MaxTransactionOps: 12, MaxValueBytes: 8192, MaxBatchWrites: 8, WallClockMS: func() int64 { return 0 }})}
	n := d.node
	d.step(RecordsChanged{Reset: true, Revision: 1})
	n.putLeader(&wire.Leader{Controller: "n0", Incarnation: "x"}, 5)
	d.putJob(&wire.Job{TaskCount: 1, NextAttempt: 1, Spec: &wire.JobSpec{ID: "wk-000001", Team: "t", Shape: wire.ShapeArray, TaskCount: 1, Image: "i"}})
	job := n.findJob("wk-000001")
	n.leader.batch = batch{role: "leader", active: true, outcomeUnknown: true, writes: []kv.Write{{Key: wire.JobKey(job.ID), Value: job.Record}}}
	if !n.leader.batch.changes(job) || !n.isLeader() {
		t.Fatal("the leader's commit is not pending")
	}
	n.leadership.MarkReplaced(n.leadership.Term())
	n.putLeader(&wire.Leader{Controller: "n1", Incarnation: "y"}, 9)
	if n.leader.batch.changes(job) {
		t.Error("the commit of a leader that has resigned still blocks the record")
	}
}
