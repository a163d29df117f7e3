package core

import (
	"fmt"
	"testing"
)

// Machines are named in order of their creation; a weak hash put runs of
// neighbours into one part and left the other without work.
func TestPartsShareNeighbours(t *testing.T) {
	n := New(Config{Self: "n0", Members: []Member{{"n0", "a"}, {"n1", "a"}, {"n2", "b"}}, Zones: []string{"a", "b"}})
	for start := 0; start < 200; start += 20 {
		count := map[int]int{}
		for i := range 20 {
			count[n.partOf(n.zones.Find("a"), fmt.Sprintf("vm-%06d", start+i))]++
		}
		if len(count) != 2 {
			t.Errorf("machines %d on: parts %v", start, count)
		}
		for p, c := range count {
			if c < 4 || n.parts[p].zone != n.zones.Find("a") {
				t.Errorf("machines %d on: part %d of zone %d has %d of 20", start, p, n.parts[p].zone, c)
			}
		}
	}
	if p := n.partOf(n.zones.Find("elsewhere"), "vm-000001"); p != -1 {
		t.Errorf("a machine in an unknown zone went to part %d", p)
	}
}

func TestDoneSet(t *testing.T) {
	var set [][2]int
	order := []int{5, 3, 4, 0, 9, 1, 2, 4, 8, 7, 6}
	for i, task := range order {
		set = addDone(set, task)
		for k, other := range order {
			if want := k <= i; isDone(set, other) != want && !(other == 4) {
				t.Fatalf("after %v: done(%d) is %v in %v", order[:i+1], other, !want, set)
			}
		}
	}
	if len(set) != 1 || set[0] != [2]int{0, 10} || countDone(set) != 10 {
		t.Errorf("got %v", set)
	}
}
