package core

import (
	"fmt"
	"testing"

	"micaport/internal/ownership"
	"micaport/internal/wire"
)

// Machines are named with consecutive numbers; a weak hash put runs of such names into one shard
// and left the other without work.
func TestConsecutiveNamesSpreadOverShards(t *testing.T) {
	n := New(Config{Self: "n0", Members: []ownership.Member{{Name: "n0", Zone: "a"}, {Name: "n1", Zone: "a"}, {Name: "n2", Zone: "b"}}, Zones: []string{"a", "b"}})
	for start := 0; start < 200; start += 20 {
		count := map[int]int{}
		for i := range 20 {
			count[n.ownership.ShardOf(n.names.Zones.Find("a"), fmt.Sprintf("vm-%06d", start+i))]++
		}
		if len(count) != 2 {
			t.Errorf("20 machines from number %d: machines by shard %v, want 2 shards", start, count)
		}
		for p, c := range count {
			if c < 4 || n.shards[p].Zone != n.names.Zones.Find("a") {
				t.Errorf("20 machines from number %d: shard %d of zone %d has %d, want at least 4", start, p, n.shards[p].Zone, c)
			}
		}
	}
	if p := n.ownership.ShardOf(n.names.Zones.Find("elsewhere"), "vm-000001"); p != -1 {
		t.Errorf("a machine in an unknown zone is in shard %d, want -1", p)
	}
}

// SoleOwnerSince of a new owner allows for the validity of every earlier owner that may still be
// running, not only of the last, whose claim may have been deleted with its lease or be that of an
// earlier incarnation of the new owner. A process that has just started does not see earlier
// claims and assumes that the shard was taken over just before.
func TestSoleOwnerSinceAllowsForEveryEarlierOwner(t *testing.T) {
	const validity = 20 * second
	claim := func(owner, incarnation string) *wire.Shard {
		return &wire.Shard{Owner: owner, Incarnation: incarnation}
	}
	for _, c := range []struct {
		name           string
		steps          []*wire.Shard // a second apart; nil for a claim that is deleted with its lease
		soleOwnerSince Time          // after the first step
	}{
		{"no earlier owner", nil, 0},
		{"the owner stopped", []*wire.Shard{claim("n1", "a"), nil}, 2 * second},
		{"an earlier incarnation of this controller", []*wire.Shard{claim("n0", "old")}, 1 * second},
		{"taken over from a running owner", []*wire.Shard{claim("n1", "a")}, 1*second + validity},
		{"taken over by an earlier incarnation", []*wire.Shard{claim("n1", "a"), claim("n0", "old")}, 1*second + validity},
		{"taken over by a peer whose claim was deleted", []*wire.Shard{claim("n1", "a"), claim("n2", "b"), nil}, 1*second + validity},
	} {
		n := New(Config{Self: "n0", Incarnation: "x", Zone: "a", Members: []ownership.Member{{Name: "n0", Zone: "a"}}, Zones: []string{"a"}, OwnerValidity: validity})
		shard := n.shards[0]
		n.replica.MarkApplied(0, true)
		rev := uint64(1)
		for _, rec := range append(c.steps, claim("n0", "x")) {
			n.applyShardClaim(shard, rec, rev)
			rev++
			n.now += second
		}
		if shard.SoleOwnerSince != c.soleOwnerSince {
			t.Errorf("%s: sole owner since %v, want %v", c.name, shard.SoleOwnerSince, c.soleOwnerSince)
		}
	}
	n := New(Config{Self: "n0", Incarnation: "x", Zone: "a", Members: []ownership.Member{{Name: "n0", Zone: "a"}}, Zones: []string{"a"}, OwnerValidity: validity, WallClockMS: func() int64 { return 0 }})
	n.Step(second, RecordsChanged{Reset: true, Revision: 5})
	n.applyShardClaim(n.shards[0], claim("n0", "x"), 6)
	if since := n.shards[0].SoleOwnerSince; since != second+validity {
		t.Errorf("just started: sole owner since %v, want %v", since, second+validity)
	}
}
