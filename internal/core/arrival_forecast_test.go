package core

import (
	"testing"

	"micaport/internal/wire"
)

// The reserve follows what comes less what ends. It once kept machines for
// classes of which nothing came any more, as much had lately ended.
func TestReserve(t *testing.T) {
	list := func(n, frames int) []arrival {
		var out []arrival
		for range n {
			out = append(out, arrival{at: 1000 * second, tasks: frames})
		}
		return out
	}
	for _, c := range []struct {
		come, end []arrival
		low, high int
	}{
		{nil, nil, 0, 0},
		{nil, list(50, 4), 0, 0},            // nothing comes
		{list(50, 4), nil, 66, 88},          // as many as come in a third of the window, and a deviation
		{list(50, 4), list(50, 4), 15, 30},  // as many end: the deviation of both
		{list(50, 4), list(100, 4), 15, 35}, // more end
		{list(2, 1), list(200, 8), 0, 2},    // never more than may come
	} {
		class := &classArrivals{jobs: c.come, completions: c.end}
		if got := class.reserve(1100*second, 0, 50*second); got < c.low || got > c.high {
			t.Errorf("%d come, %d end: %d kept, want %d to %d", len(c.come), len(c.end), got, c.low, c.high)
		}
	}
}

// A controller that does not lead counts too: a new leader that began without
// any count kept no reserve for a minute.
func TestFollowersCount(t *testing.T) {
	n := New(Config{Self: "n0", Zone: "a", Members: []Member{{"n0", "a"}, {"n1", "a"}}, Zones: []string{"a"},
		StartObjectives: []StartObjective{{Class: "c", Within: 20 * second}}, MaxTransactionOps: 12, MaxValueBytes: 8192, WallClockMS: func() int64 { return 0 }})
	n.Step(second, RecordsChanged{Reset: true, Revision: 1, Events: []Event{{Key: wire.LeaderKey, Revision: 1, Value: &wire.Leader{Controller: "n1"}}}})
	put := func(rev uint64, id string, j *wire.Job) {
		n.Step(second, RecordsChanged{Revision: rev, Events: []Event{{Key: wire.JobKey(id), Revision: rev, Value: j}}})
	}
	job := func(id string) *wire.Job {
		return &wire.Job{TaskCount: 2, NextAttempt: 2, Spec: &wire.JobSpec{ID: id, Class: "c", Shape: wire.ShapeGang, TaskCount: 2, Image: "i"},
			ActiveTasks: []wire.ActiveTask{{Attempt: 1, Machine: "vm-1", Epoch: 1}, {Task: 1, Attempt: 1, Machine: "vm-2", Epoch: 1}}}
	}
	put(2, "wk-000001", job("wk-000001"))
	put(3, "wk-000002", job("wk-000002"))
	put(4, "wk-000001", &wire.Job{State: wire.JobDone, TaskCount: 2, NextAttempt: 2})
	if class := n.arrivals[0]; len(class.jobs) != 1 || len(class.completions) != 1 || class.completions[0].tasks != 2 {
		t.Errorf("counted %v, ended %v", class.jobs, class.completions)
	}
}
