package core

import (
	"fmt"
	"testing"

	"micaport/internal/wire"
)

// At a large site an owner may have more grants than any fixed memory waiting for room.
// Each of them runs out of patience in its time: with a memory of 4,096 that was cleared
// when full, none ever did.
func TestEachOfManyGrantsRunsOutOfPatience(t *testing.T) {
	const grants = 12_000
	n := New(Config{Self: "n0", Members: []Member{{"n0", "a"}}, Zones: []string{"a"}, TxnOps: 12, ValueBytes: 8192, WallMS: func() int64 { return 0 }})
	rec := &wire.Job{Spec: &wire.Spec{Ref: "wk-1", Shape: wire.ShapeArray, Frames: grants}, Frames: grants, Next: 2}
	for task := range grants {
		rec.Active = append(rec.Active, wire.Active{Task: task, Attempt: 1})
	}
	n.putJob("wk-1", rec, 1)
	ask := func() int {
		over := 0
		for task := range grants {
			if n.outOfPatience(taskKey{0, task, 1}) {
				over++
			}
		}
		return over
	}
	if over := ask(); over != 0 {
		t.Fatalf("%d grants ran out of patience at once", over)
	}
	n.now = grantPatience + second
	n.forgetSettledGrants()
	if over := ask(); over != grants {
		t.Errorf("%d of %d grants have run out of patience", over, grants)
	}
	placed := clone(rec)
	for i := range placed.Active {
		placed.Active[i].Host = "vm-000001"
	}
	n.putJob("wk-1", placed, 2)
	n.forgetSettledGrants()
	if len(n.grantSeen) != 0 {
		t.Errorf("%d grants are remembered that have been placed", len(n.grantSeen))
	}
}

// When an owner fails, all of its machines turn to its peers, and each peer names them
// all: one that is not named counts as lost, and would be returned with its tasks.
func TestEveryStrayMachineIsNamed(t *testing.T) {
	const machines = 2_000
	n := New(Config{Self: "n0", Members: []Member{{"n0", "a"}, {"n1", "a"}}, Zones: []string{"a"}, Report: 3 * second, Lease: 30 * second,
		TxnOps: 12, ValueBytes: 8192, WallMS: func() int64 { return 0 }})
	n.now = 100 * second
	for i := range machines {
		h := n.hostOf(fmt.Sprintf("vm-%06d", i))
		h.redirectAt, h.straying, h.info.quiet = n.now, true, 2
		n.strayHosts = append(n.strayHosts, h.ix)
	}
	strays := n.strays()
	if len(strays) != machines {
		t.Fatalf("%d of %d machines are named", len(strays), machines)
	}
	n.peers["n1"] = &peer{at: n.now, msg: &wire.Gossip{From: "n1", Strays: strays}}
	for _, h := range n.hosts {
		if n.lost(h, 4*n.cfg.Report, true) {
			t.Fatalf("%s counts as lost though it has turned to a peer", h.name)
		}
	}
}
