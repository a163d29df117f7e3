package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"micaport/internal/wire"
)

// noopObserver is an observer that does nothing.
type noopObserver struct{}

func (noopObserver) JobAdded(*Job)               {}
func (noopObserver) JobChanging(*Job, *wire.Job) {}
func (noopObserver) JobChanged(*Job)             {}
func (noopObserver) JobReady(*Job)               {}
func (noopObserver) JobArrived(*Job)             {}
func (noopObserver) PriorityRaised(*Job)         {}
func (noopObserver) DependencyListMissing(*Job)  {}
func (noopObserver) FormatAgreed(int)            {}
func (noopObserver) QuotaChanged(int)            {}
func (noopObserver) AccountInvalid(int, error)   {}

// newReplicaWithSmallValues returns a replica with a small limit on values, in the newest format.
func newReplicaWithSmallValues() *Replica {
	r := New(Config{Self: "n0", Controllers: []string{"n0"}, Format: wire.Format, MaxTransactionOps: 4, MaxValueBytes: 2048, CurrentValueBytes: 8192,
		WallClockMS: func() int64 { return 0 }}, &Names{}, noopObserver{})
	r.PutFormat("n0", &wire.SupportedFormat{Format: wire.Format})
	return r
}

// The active tasks of a record are distributed over several keys. Each value stays within the
// size limit, no task is lost, and unchanged keys are not written again.
func TestSplitKeepsAllTasks(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	r := newReplicaWithSmallValues()
	if r.MaxOverflowKeys() != 2 {
		t.Fatalf("%d overflow keys, not 2", r.MaxOverflowKeys())
	}
	const jobID = "wk-000001"
	record := &wire.Job{Spec: &wire.JobSpec{ID: jobID, Class: "c", Team: "t", Shape: wire.ShapeArray, TaskCount: 200, Image: "img"}, TaskCount: 200, NextAttempt: 1}
	storedOverflow := map[int]wire.ActiveTasks{} // overflow keys as stored
	maxOverflowKeys := 0
	for step := range 400 {
		storedTasks, storedKeys := slices.Clone(record.ActiveTasks), record.OverflowKeys
		next := CloneRecord(record)
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
		writes := r.SplitRecord(jobID, StoredRecord{Tasks: storedTasks, OverflowKeys: storedKeys}, next)
		if len(writes) > r.cfg.MaxTransactionOps+1 {
			t.Fatalf("step %d: %d writes", step, len(writes))
		}
		for _, w := range writes {
			if w.Value != nil {
				if size, err := wire.JSONSize(w.Value); err != nil || size > r.cfg.MaxValueBytes {
					t.Fatalf("step %d: %s has %d bytes, %v", step, w.Key, size, err)
				}
			}
			switch v := w.Value.(type) {
			case *wire.Job:
				record = v
			case *wire.Overflow:
				_, k := wire.SplitOverflowKey(w.Key)
				if slices.Equal(storedOverflow[k], v.ActiveTasks) && len(v.ActiveTasks) > 0 {
					t.Errorf("step %d: %s is written again unchanged", step, w.Key)
				}
				storedOverflow[k] = v.ActiveTasks
			case nil:
				_, k := wire.SplitOverflowKey(w.Key)
				delete(storedOverflow, k)
			}
		}
		for k, l := range storedOverflow {
			r.PutOverflow(wire.OverflowKey(jobID, k), &wire.Overflow{ActiveTasks: slices.Clone(l)})
		}
		if len(storedOverflow) != record.OverflowKeys {
			t.Fatalf("step %d: %d overflow keys are stored, the record refers to %d", step, len(storedOverflow), record.OverflowKeys)
		}
		maxOverflowKeys = max(maxOverflowKeys, record.OverflowKeys)
		record = CloneRecord(record)
		r.addOverflowTasks(jobID, record)
		byTask := func(a, b wire.ActiveTask) int { return (a.Task-b.Task)*1e6 + int(a.Attempt) - int(b.Attempt) }
		got, want := slices.Clone(record.ActiveTasks), slices.Clone(next.ActiveTasks)
		slices.SortStableFunc(got, byTask)
		slices.SortStableFunc(want, byTask)
		if !slices.Equal(got, want) {
			t.Fatalf("step %d: %d tasks were stored and %d read back", step, len(want), len(got))
		}
	}
	if maxOverflowKeys < 2 || record.OverflowKeys != 0 {
		t.Errorf("%d overflow keys at most, %d in the end", maxOverflowKeys, record.OverflowKeys)
	}
}

// A record of an earlier version that exceeds the present size limit is split over several
// keys in one transaction.
func TestSplitOfALargeRecord(t *testing.T) {
	r := newReplicaWithSmallValues()
	record := &wire.Job{Spec: &wire.JobSpec{ID: "wk-000001", TaskCount: 100}, TaskCount: 100, NextAttempt: 101}
	for i := range 100 {
		record.ActiveTasks = append(record.ActiveTasks, wire.ActiveTask{Task: i, Attempt: uint64(i + 1), Machine: fmt.Sprintf("vm-%06d", i), Epoch: 1, StoredIn: 1})
	}
	writes := r.SplitRecord("wk-000001", StoredRecord{Tasks: slices.Clone(record.ActiveTasks)}, record)
	if len(writes) > r.cfg.MaxTransactionOps {
		t.Errorf("%d writes", len(writes))
	}
	for _, w := range writes {
		if size, err := wire.JSONSize(w.Value); err != nil || size > r.cfg.MaxValueBytes {
			t.Errorf("%s has %d bytes, %v", w.Key, size, err)
		}
	}
}
