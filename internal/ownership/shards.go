// Package ownership decides which shards of the machines this controller claims, and for how
// long it may act as their owner. A shard is claimed by a record attached to a lease; the
// revision of the claim is its term, which is the fencing token for its workers. An owner acts
// only for a limited time, the validity, after it sent a proof that its claims were current.
// The package has no input or output.
package ownership

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"

	"micaport/internal/wire"
)

// Time is a time of the monotonic clock of the process, counted from its start.
type Time = time.Duration

// Member is a controller of the deployment.
type Member struct {
	Name string
	Zone string
}

// ShardID identifies a shard by the zone of its machines and by its home, the controller that
// is meant to own it. Home is "" in a zone without controllers.
type ShardID struct{ Zone, Home string }

// Name returns the name of the shard in records.
func (id ShardID) Name() string {
	if id.Home == "" {
		return id.Zone + "/-"
	}
	return id.Zone + "/" + id.Home
}

// ShardIDs returns the shards of a deployment in the order in which records number them. A zone
// has one shard for each of its controllers, or a single one if it has no controllers.
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

// Shard is a part of a zone's machines, with the state of its ownership as this controller sees it.
type Shard struct {
	Index          int
	Name           string
	Zone           int         // index
	HomeController string      // controller that is meant to own it; "" in a zone without controllers
	Record         *wire.Shard // the current claim; nil: there is none
	Term           uint64      // revision of the current claim or of its end: the fencing token for workers
	ChangedAt      Time        // when the replica last showed a new claim or its end

	claimWaitStart Time // start of the waits before a claim: when the replica last showed a new claim or its end, or this controller last sent a claim
	claimCheckedAt Time // when it was last checked whether to claim the shard
	newTermWanted  bool // see Table.RequestNewTerm

	proven        bool // a proof of the current term has taken effect
	validityStart Time // start of the validity; it moves when a proof takes effect, see extendValidity
	MayActSince   Time // since when this controller may act as the owner without interruption
	// SoleOwnerSince is a time after which no earlier owner can have replied to a worker. It may be
	// in the future.
	SoleOwnerSince Time
	// earlierOwnersMayActUntil is the time until which earlier owners may act.
	earlierOwnersMayActUntil Time
}

// zoneRange is the range of the consecutive shards of a zone.
type zoneRange struct{ first, count int }

// makeShards returns the shards and their ranges by zone; zoneIndex returns the index of a zone.
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

// ShardOf returns the index of the shard of a machine, which is chosen by a hash among those of
// its zone; -1 if the zone is unknown.
func (t *Table) ShardOf(zone int, machine string) int {
	if zone < 0 || zone >= len(t.zoneRanges) {
		return -1
	}
	hash := fnv.New64a()
	hash.Write([]byte(machine))
	shards := t.zoneRanges[zone]
	return shards.first + int(mixBits(hash.Sum64())%uint64(shards.count))
}

// mixBits makes every bit of a hash depend on every other. Names of machines differ only in
// their last digits, and FNV gives consecutive names similar low bits.
func mixBits(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	v ^= v >> 33
	return v
}
