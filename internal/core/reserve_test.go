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
			out = append(out, arrival{at: 1000 * second, frames: frames})
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
		a := &arrivals{list: c.come, ends: c.end}
		if got := a.reserve(1100*second, 0, 50*second); got < c.low || got > c.high {
			t.Errorf("%d come, %d end: %d kept, want %d to %d", len(c.come), len(c.end), got, c.low, c.high)
		}
	}
}

// A controller that does not lead counts too: a new leader that began without
// any count kept no reserve for a minute.
func TestFollowersCount(t *testing.T) {
	n := New(Config{Self: "n0", Zone: "a", Members: []Member{{"n0", "a"}, {"n1", "a"}}, Zones: []string{"a"},
		Waits: []Objective{{Class: "c", Within: 20 * second}}, TxnOps: 12, ValueBytes: 8192, WallMS: func() int64 { return 0 }})
	n.Step(second, Changes{Reset: true, Rev: 1, Events: []Event{{Key: wire.LeaderKey, Rev: 1, Value: &wire.Leader{Node: "n1"}}}})
	put := func(rev uint64, ref string, j *wire.Job) {
		n.Step(second, Changes{Rev: rev, Events: []Event{{Key: wire.JobKey(ref), Rev: rev, Value: j}}})
	}
	job := func(ref string) *wire.Job {
		return &wire.Job{Frames: 2, Next: 2, Spec: &wire.Spec{Ref: ref, Class: "c", Shape: wire.ShapeGang, Frames: 2, Image: "i"},
			Active: []wire.Active{{Attempt: 1, Host: "vm-1", Session: 1}, {Task: 1, Attempt: 1, Host: "vm-2", Session: 1}}}
	}
	put(2, "wk-000001", job("wk-000001"))
	put(3, "wk-000002", job("wk-000002"))
	put(4, "wk-000001", &wire.Job{State: wire.Done, Frames: 2, Next: 2})
	if a := n.arrivals[0]; len(a.list) != 1 || len(a.ends) != 1 || a.ends[0].frames != 2 {
		t.Errorf("counted %v, ended %v", a.list, a.ends)
	}
}
