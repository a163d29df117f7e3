package core

import (
	"fmt"
	"runtime"
	"testing"

	"micaport/internal/wire"
)

// A finished job is kept for ever, as its user may ask again at any time. A
// hundred thousand of them must leave a controller of 125 MB most of its
// memory; each once kept its whole record.
func TestFinishedJobsStaySmall(t *testing.T) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	n := New(Config{Self: "n0", Members: []Member{{Name: "n0", Zone: "a"}}, Zones: []string{"a"}, MaxTransactionOps: 12, MaxValueBytes: 8192,
		WallClockMS: func() int64 { return 0 }})
	n.Step(second, RecordsChanged{Reset: true, Revision: 1})
	const jobs = 100_000
	before := heap()
	for i := range jobs {
		id := fmt.Sprintf("wk-%06d", i)
		spec := &wire.JobSpec{ID: id, Class: "c", Team: "t", Shape: wire.ShapeArray, TaskCount: 3, Image: "img", MachineTypes: []string{"g2"}}
		n.Step(second, RecordsChanged{Revision: uint64(2*i + 2), Events: []Event{{Key: wire.JobKey(id), Revision: uint64(2*i + 2),
			Value: &wire.Job{Spec: spec, TaskCount: 3, NextAttempt: 4}}}})
		n.Step(second, RecordsChanged{Revision: uint64(2*i + 3), Events: []Event{{Key: wire.JobKey(id), Revision: uint64(2*i + 3),
			Value: &wire.Job{State: wire.JobDone, TaskCount: 3, NextAttempt: 4}}}})
	}
	each := (heap() - before) / jobs
	t.Logf("a finished job keeps %d bytes", each)
	if each > 450 {
		t.Errorf("a finished job keeps %d bytes", each)
	}
	if len(n.replica.Live()) != 0 {
		t.Errorf("%d finished jobs count as live", len(n.replica.Live()))
	}
	out := n.Step(second, UserRequest{RequestID: 1, Kind: wire.RequestStatus, JobID: "wk-000007"})
	if len(out) == 0 || out[0].(Reply).Body.(wire.JobStatus).Status != wire.StatusDone {
		t.Errorf("a finished job is answered with %+v", out)
	}
}
