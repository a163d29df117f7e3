package core

import (
	"testing"

	"micaport/internal/wire"
)

// A leader that resigned while the outcome of a commit was unknown kept that commit
// in mind for ever when another led. Its owner's side leaves records alone that
// the leader's is about to change, so what the next leader granted to its parts
// was never placed.
func TestResignedLeaderForgetsItsBatch(t *testing.T) {
	d := &drive{rev: 1, n: New(Config{Self: "n0", Life: "x", Zone: "a", Members: []Member{{"n0", "a"}, {"n1", "a"}}, Zones: []string{"a"},
		Teams: []Team{{Name: "t"}}, Report: 8 * second, Lease: 34 * second, Validity: 28 * second, LeaderTTL: 5 * second,
		TxnOps: 12, ValueBytes: 8192, BatchPuts: 8, WallMS: func() int64 { return 0 }})}
	n := d.n
	d.step(Changes{Reset: true, Rev: 1})
	n.putLeader(&wire.Leader{Node: "n0", Life: "x"}, 5)
	d.put(&wire.Job{Frames: 1, Next: 1, Spec: &wire.Spec{Ref: "wk-000001", Team: "t", Shape: wire.ShapeArray, Frames: 1, Image: "i"}})
	j := n.jobNamed("wk-000001")
	n.leader.batch = batch{name: "leader", active: true, outcomeUnknown: true, writes: []Write{{Key: wire.JobKey(j.ref), Value: j.rec}}}
	if !n.leader.batch.holds(j) || !n.leads() {
		t.Fatal("the leader's commit is not under way")
	}
	n.abandonedTerm = n.leader.rev
	n.putLeader(&wire.Leader{Node: "n1", Life: "y"}, 9)
	if n.leader.batch.holds(j) {
		t.Error("the commit of a leader that has resigned still holds the record")
	}
}
