package core

import (
	"testing"

	"micaport/internal/kv"
	"micaport/internal/ownership"
	"micaport/internal/wire"
)

// TestTasksToReserve checks that the reserve follows the arrivals less the completions. It guards
// against reserving machines for a class without arrivals because many of its jobs have recently
// completed.
func TestTasksToReserve(t *testing.T) {
	jobs := func(count, tasks int) []jobEvent {
		list := make([]jobEvent, count)
		for i := range list {
			list[i] = jobEvent{at: 1000 * second, tasks: tasks}
		}
		return list
	}
	for name, test := range map[string]struct {
		arrivals, completions []jobEvent
		low, high             int
	}{
		"no arrivals or completions":             {},
		"only completions":                       {completions: jobs(50, 4)},
		"a third of the arrivals plus deviation": {arrivals: jobs(50, 4), low: 66, high: 88},
		"as many completions":                    {arrivals: jobs(50, 4), completions: jobs(50, 4), low: 15, high: 30},
		"more completions":                       {arrivals: jobs(50, 4), completions: jobs(100, 4), low: 15, high: 35},
		"no more than may arrive":                {arrivals: jobs(2, 1), completions: jobs(200, 8), low: 0, high: 2},
	} {
		t.Run(name, func(t *testing.T) {
			class := &classArrivals{arrivals: test.arrivals, completions: test.completions}
			if got := class.tasksToReserve(1100*second, 0, 50*second); got < test.low || got > test.high {
				t.Errorf("tasksToReserve = %d, want %d to %d", got, test.low, test.high)
			}
		})
	}
}

// TestFollowersCountArrivals checks that a controller that is not the leader counts arrivals and
// completions too. A new leader without any counts would reserve nothing for a minute.
func TestFollowersCountArrivals(t *testing.T) {
	n := New(Config{Self: "n0", Zone: "a", Members: []ownership.Member{{Name: "n0", Zone: "a"}, {Name: "n1", Zone: "a"}}, Zones: []string{"a"},
		StartObjectives: []StartObjective{{Class: "c", Within: 20 * second}}, MaxTransactionOps: 12, MaxValueBytes: 8192, WallClockMS: func() int64 { return 0 }})
	n.Step(second, RecordsChanged{Reset: true, Revision: 1, Events: []kv.Event{{Key: wire.LeaderKey, Revision: 1, Value: &wire.Leader{Controller: "n1"}}}})
	write := func(revision uint64, id string, record *wire.Job) {
		n.Step(second, RecordsChanged{Revision: revision, Events: []kv.Event{{Key: wire.JobKey(id), Revision: revision, Value: record}}})
	}
	gang := func(id string) *wire.Job {
		return &wire.Job{TaskCount: 2, NextAttempt: 2, Spec: &wire.JobSpec{ID: id, Class: "c", Shape: wire.ShapeGang, TaskCount: 2, Image: "i"},
			ActiveTasks: []wire.ActiveTask{{Attempt: 1, Machine: "vm-1", Epoch: 1}, {Task: 1, Attempt: 1, Machine: "vm-2", Epoch: 1}}}
	}
	write(2, "wk-000001", gang("wk-000001"))
	write(3, "wk-000002", gang("wk-000002"))
	write(4, "wk-000001", &wire.Job{State: wire.JobDone, TaskCount: 2, NextAttempt: 2})
	class := n.arrivals.classes[0]
	if len(class.arrivals) != 1 {
		t.Errorf("arrivals %v, want one: no machine was up when the first job arrived", class.arrivals)
	}
	if len(class.completions) != 1 || class.completions[0].tasks != 2 {
		t.Errorf("completions %v, want one of two tasks", class.completions)
	}
}
