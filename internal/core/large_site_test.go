package core

import (
	"fmt"
	"testing"

	"micaport/internal/ownership"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// TestEachOfManyGrantsTimesOut checks that every grant times out however many wait: at a large site
// an owner may have more waiting grants than any fixed limit. With a limit of 4,096 stored times,
// which were all cleared when it was reached, none ever timed out.
func TestEachOfManyGrantsTimesOut(t *testing.T) {
	const grants = 12_000
	n := New(Config{Self: "n0", Members: []ownership.Member{{Name: "n0", Zone: "a"}}, Zones: []string{"a"}, MaxTransactionOps: 12, MaxValueBytes: 8192, WallClockMS: func() int64 { return 0 }})
	record := &wire.Job{Spec: &wire.JobSpec{ID: "wk-1", Shape: wire.ShapeArray, TaskCount: grants}, TaskCount: grants, NextAttempt: 2}
	for task := range grants {
		record.ActiveTasks = append(record.ActiveTasks, wire.ActiveTask{Task: task, Attempt: 1})
	}
	n.replica.PutJob("wk-1", record, 1)
	timedOut := func() int {
		count := 0
		for task := range grants {
			if n.startOrCheckGrantTimeout(taskKey{0, task, 1}) {
				count++
			}
		}
		return count
	}
	if got := timedOut(); got != 0 {
		t.Fatalf("%d grants time out immediately", got)
	}
	n.now = grantTimeout + second
	n.removeEndedGrantWaits()
	if got := timedOut(); got != grants {
		t.Errorf("%d of %d grants have timed out", got, grants)
	}
	placed := replica.CloneRecord(record)
	for i := range placed.ActiveTasks {
		placed.ActiveTasks[i].Machine = "vm-000001"
	}
	n.replica.PutJob("wk-1", placed, 2)
	n.removeEndedGrantWaits()
	if len(n.firstPlacementFailureAt) != 0 {
		t.Errorf("%d times of placed grants are still stored", len(n.firstPlacementFailureAt))
	}
}

// TestEveryMissedMachineIsListed checks that after the failure of an owner, whose machines then all
// send their heartbeats to its peers, a peer lists every one of them: a machine that is not listed
// counts as unreachable, and would be deprovisioned with its tasks.
func TestEveryMissedMachineIsListed(t *testing.T) {
	const machines = 2_000
	n := New(Config{Self: "n0", Members: []ownership.Member{{Name: "n0", Zone: "a"}, {Name: "n1", Zone: "a"}}, Zones: []string{"a"}, HeartbeatInterval: 3 * second, WorkerLease: 30 * second,
		MaxTransactionOps: 12, MaxValueBytes: 8192, WallClockMS: func() int64 { return 0 }})
	n.now = 100 * second
	for i := range machines {
		machine := n.getOrAddMachine(fmt.Sprintf("vm-%06d", i))
		machine.redirectedAt, machine.inMisdirectedMachines, machine.view.missedHeartbeats = n.now, true, 2
		n.misdirectedMachines = append(n.misdirectedMachines, machine.index)
	}
	missed := n.machinesMissedByOwners()
	if len(missed) != machines {
		t.Fatalf("%d of %d machines are listed", len(missed), machines)
	}
	n.peers["n1"] = &peer{receivedAt: n.now, message: &wire.Gossip{From: "n1", Strays: missed}}
	for _, machine := range n.machines {
		if n.isUnreachable(machine, 4*n.cfg.HeartbeatInterval, true) {
			t.Fatalf("%s counts as unreachable although it sends heartbeats to a peer", machine.name)
		}
	}
}
