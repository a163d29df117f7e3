package core

import (
	"fmt"
	"runtime"
	"testing"

	"micaport/internal/kv"
	"micaport/internal/ownership"
	"micaport/internal/wire"
)

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Finished jobs stay in the replica forever, as a user may query their status at any time. A
// hundred thousand of them must leave most of the 125 MB of a controller free. They would not if
// each had its whole record in memory.
func TestFinishedJobsTakeLittleMemory(t *testing.T) {
	const (
		jobs           = 100_000
		maxBytesPerJob = 450
	)
	n := New(Config{Self: "n0", Members: []ownership.Member{{Name: "n0", Zone: "a"}}, Zones: []string{"a"}, MaxTransactionOps: 12, MaxValueBytes: 8192,
		WallClockMS: func() int64 { return 0 }})
	n.Step(second, RecordsChanged{Reset: true, Revision: 1})
	showRecord := func(revision int, id string, record *wire.Job) {
		n.Step(second, RecordsChanged{Revision: uint64(revision), Events: []kv.Event{{Key: wire.JobKey(id), Revision: uint64(revision), Value: record}}})
	}
	before := heapBytes()
	for i := range jobs {
		id := fmt.Sprintf("wk-%06d", i)
		spec := &wire.JobSpec{ID: id, Class: "c", Team: "t", Shape: wire.ShapeArray, TaskCount: 3, Image: "img", MachineTypes: []string{"g2"}}
		showRecord(2*i+2, id, &wire.Job{Spec: spec, TaskCount: 3, NextAttempt: 4})
		showRecord(2*i+3, id, &wire.Job{State: wire.JobDone, TaskCount: 3, NextAttempt: 4})
	}
	bytesPerJob := (heapBytes() - before) / jobs
	t.Logf("a finished job takes %d bytes", bytesPerJob)
	if bytesPerJob > maxBytesPerJob {
		t.Errorf("a finished job takes %d bytes, at most %d are allowed", bytesPerJob, maxBytesPerJob)
	}
	if len(n.replica.Live()) != 0 {
		t.Errorf("%d finished jobs count as live, want none", len(n.replica.Live()))
	}
	effects := n.Step(second, UserRequest{RequestID: 1, Kind: wire.RequestStatus, JobID: "wk-000007"})
	if len(effects) == 0 || effects[0].(Reply).Body.(wire.JobStatus).Status != wire.StatusDone {
		t.Errorf("a status query for a finished job has the effects %+v, want a reply with status %s", effects, wire.StatusDone)
	}
}
