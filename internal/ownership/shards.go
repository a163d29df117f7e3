// Package ownership decides which controller owns which shard of the machines, and for how
// long this controller may act as an owner. A shard is claimed by a record under a lease;
// the revision of the claim is its term, and the fencing token of its workers. An owner acts
// only for a while, the validity, after it sent a proof that its claims stood. The package
// has no input or output.
package ownership

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"

	"micaport/internal/wire"
)

// Time is the steady clock of the process, counted from its start.
type Time = time.Duration

// Member is a controller of the deployment.
type Member struct {
	Name string
	Zone string
}

// ShardID names a shard: the zone whose machines it holds, and the controller that is
// meant to own it, which is "" in a zone without controllers.
type ShardID struct{ Zone, Home string }

// Name is the shard's name in records.
func (id ShardID) Name() string {
	if id.Home == "" {
		return id.Zone + "/-"
	}
	return id.Zone + "/" + id.Home
}

// ShardIDs lists the shards of a deployment in the order in which records number them: for
// each zone one for each of its controllers, and one for a zone without controllers.
func ShardIDs(zones []string, members []Member) []ShardID {
	members = slices.Clone(members)
	sort.Slice(members, func(i, k int) bool { return members[i].Name < members[k].Name })
	var ids []ShardID
	for _, zone := range slices.Sorted(slices.Values(zones)) {
		before := len(ids)
		for _, member := range members {
			if member.Zone == zone {
				ids = append(ids, ShardID{Zone: zone, Home: member.Name})
			}
		}
		if len(ids) == before {
			ids = append(ids, ShardID{Zone: zone})
		}
	}
	return ids
}

// Shard is a share of a zone's machines, with what this controller knows of its owner.
type Shard struct {
	Index          int
	Name           string
	Zone           int         // index
	HomeController string      // meant to own it; "" in a zone without controllers
	Record         *wire.Shard // the claim; nil: there is none
	Term           uint64      // revision of the claim or of its end: the workers' fencing token
	ChangedAt      Time        // when the replica last showed another claim

	ClaimableSince Time // when the replica last showed another claim, or a claim was last tried
	claimCheckedAt Time // when a claim was last considered

	proven     bool // a proof covers this term
	validFrom  Time // the validity counts from here
	ValidSince Time // since when the validity has not been interrupted
	// OwnedSince is a time after which no earlier owner can have answered a report.
	OwnedSince Time
	// previousOwnerUntil is how long owners before the present one may act.
	previousOwnerUntil Time
}

// zoneRange is a run of neighbours among the shards.
type zoneRange struct{ first, count int }

// makeShards lists the shards and their runs by zone; zoneIndex maps the name of a zone.
func makeShards(ids []ShardID, zones int, zoneIndex func(string) int) (shards []*Shard, ranges []zoneRange) {
	ranges = make([]zoneRange, zones)
	for index, id := range ids {
		zone := zoneIndex(id.Zone)
		shards = append(shards, &Shard{Index: index, Name: id.Name(), Zone: zone, HomeController: id.Home})
		if ranges[zone].count == 0 {
			ranges[zone].first = index
		}
		ranges[zone].count++
	}
	return shards, ranges
}

// ShardOf hashes a machine to a shard of its zone; -1 where the zone is unknown.
func (t *Table) ShardOf(zone int, machine string) int {
	if zone < 0 || zone >= len(t.zoneRanges) {
		return -1
	}
	hash := fnv.New64a()
	hash.Write([]byte(machine))
	shards := t.zoneRanges[zone]
	return shards.first + int(mixBits(hash.Sum64())%uint64(shards.count))
}

// mixBits lets every bit of a hash depend on every other. Names of machines differ in their
// last digits only, and FNV leaves those in the low bits of neighbours alike.
func mixBits(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	v ^= v >> 33
	return v
}
