package core

import "testing"

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
