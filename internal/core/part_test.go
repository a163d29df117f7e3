package core

import (
	"fmt"
	"testing"

	"micaport/internal/wire"
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
	var set wire.TaskSet
	order := []int{5, 3, 4, 0, 9, 1, 2, 4, 8, 7, 6}
	for i, task := range order {
		set = set.With(task)
		for k, other := range order {
			if want := k <= i; set.Has(other) != want && !(other == 4) {
				t.Fatalf("after %v: done(%d) is %v in %v", order[:i+1], other, !want, set)
			}
		}
	}
	if len(set) != 1 || set[0] != (wire.TaskRange{First: 0, End: 10}) || set.Count() != 10 {
		t.Errorf("got %v", set)
	}
}

// Who takes a part over counts in the validity of every owner before it that may
// live: not only of the last, whose claim may have gone with its lease or be that of
// an earlier life of its own; and what a process that has just started can't know
// counts as a takeover of a moment ago.
func TestBoundCountsEveryOwnerBefore(t *testing.T) {
	const validity = 20 * second
	claim := func(owner, life string) *wire.Part { return &wire.Part{Owner: owner, Life: life} }
	for _, c := range []struct {
		name  string
		steps []*wire.Part // a second apart, nil for a claim that goes with its lease
		bound Time         // after the first step
	}{
		{"nobody had it", nil, 0},
		{"its owner stopped", []*wire.Part{claim("n1", "a"), nil}, 2 * second},
		{"an earlier life of ours", []*wire.Part{claim("n0", "old")}, 1 * second},
		{"taken from an owner that lives", []*wire.Part{claim("n1", "a")}, 1*second + validity},
		{"an earlier life of ours took it", []*wire.Part{claim("n1", "a"), claim("n0", "old")}, 1*second + validity},
		{"a peer took it and its claim went", []*wire.Part{claim("n1", "a"), claim("n2", "b"), nil}, 1*second + validity},
	} {
		n := New(Config{Self: "n0", Life: "x", Zone: "a", Members: []Member{{"n0", "a"}}, Zones: []string{"a"}, Validity: validity})
		p := n.parts[0]
		n.loaded = true
		rev := uint64(1)
		for _, rec := range append(c.steps, claim("n0", "x")) {
			n.putPart(p, rec, rev)
			rev++
			n.now += second
		}
		if p.bound != c.bound {
			t.Errorf("%s: bound %v, not %v", c.name, p.bound, c.bound)
		}
	}
	n := New(Config{Self: "n0", Life: "x", Zone: "a", Members: []Member{{"n0", "a"}}, Zones: []string{"a"}, Validity: validity, WallMS: func() int64 { return 0 }})
	n.Step(second, Changes{Reset: true, Rev: 5})
	n.putPart(n.parts[0], claim("n0", "x"), 6)
	if b := n.parts[0].bound; b != second+validity {
		t.Errorf("just started: bound %v", b)
	}
}
