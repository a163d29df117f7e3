package core

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"

	"micaport/internal/wire"
)

// shard is a share of a zone's machines.
type shard struct {
	Index          int
	Name           string
	Zone           int
	HomeController string // the controller meant to own it; "" in a zone without one
	Record         *wire.Shard
	Term           uint64 // of the claim: the term and the workers' token

	machines           []*machine // machines that may still be there
	ChangedAt          Time       // when the replica last saw it change hands
	claimCheckedAt     Time       // when we last asked ourselves whether to claim it
	ClaimableSince     Time       // when the replica last saw it change hands or go
	proven             bool       // a check has covered this term
	validFrom          Time       // our validity counts from here
	ValidSince         Time       // since when we could answer without a break
	OwnedSince         Time       // no earlier owner can have answered a report sent after this
	PreviousOwnerUntil Time       // no owner before the present one answers after this
}

// ShardID names a shard: the zone whose machines it holds, and the controller that is
// meant to own it, which is "" in a zone without one.
type ShardID struct{ Zone, Home string }

// Name is the shard's name in records.
func (p ShardID) Name() string {
	if p.Home == "" {
		return p.Zone + "/-"
	}
	return p.Zone + "/" + p.Home
}

// Shards lists the shards of a deployment in the order in which records number them.
func Shards(zones []string, members []Member) []ShardID {
	members = slices.Clone(members)
	sort.Slice(members, func(i, k int) bool { return members[i].Name < members[k].Name })
	var parts []ShardID
	for _, zone := range slices.Sorted(slices.Values(zones)) {
		before := len(parts)
		for _, m := range members {
			if m.Zone == zone {
				parts = append(parts, ShardID{zone, m.Name})
			}
		}
		if len(parts) == before {
			parts = append(parts, ShardID{Zone: zone})
		}
	}
	return parts
}

// makeShards splits the machines of each zone among its controllers.
func (n *Node) makeShards() {
	n.zoneShards = make([]shardRange, n.names.Zones.Len())
	for index, id := range Shards(n.cfg.Zones, n.cfg.Members) {
		zone := n.names.Zones.Find(id.Zone)
		n.shards = append(n.shards, &shard{Index: index, Name: id.Name(), Zone: zone, HomeController: id.Home})
		if n.zoneShards[zone].count == 0 {
			n.zoneShards[zone].first = index
		}
		n.zoneShards[zone].count++
	}
}

// shardOf hashes a machine to a shard of its zone, or gives -1.
func (n *Node) shardOf(zone int, name string) int {
	if zone < 0 || zone >= len(n.zoneShards) {
		return -1
	}
	f := fnv.New64a()
	f.Write([]byte(name))
	// Names differ in their last digits only, and FNV leaves those in the low
	// bits of neighbours alike: mix all bits before taking the remainder.
	v := f.Sum64()
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	v ^= v >> 33
	return n.zoneShards[zone].first + int(v%uint64(n.zoneShards[zone].count))
}

func (n *Node) shardWithKey(key string) *shard {
	for _, shard := range n.shards {
		if wire.ShardKey(shard.Name) == key {
			return shard
		}
	}
	return nil
}

func (n *Node) putShard(shard *shard, rec *wire.Shard, rev uint64) {
	if rev <= shard.Term {
		return
	}
	was := shard.Record
	shard.Record, shard.Term, shard.ClaimableSince, shard.ChangedAt = rec, rev, n.now, n.now
	if was != nil && rec != nil && was.Owner != rec.Owner {
		// Taken over while it lived: it may answer until its validity has run out,
		// whoever takes the shard next, and when. It once was forgotten by an owner
		// that took a shard, ended, and came back.
		shard.PreviousOwnerUntil = n.now + n.cfg.OwnerValidity
	}
	shard.proven, shard.validFrom = false, 0
	// What machines did under the last owner says nothing about this one.
	// Kept, it made two peers take the shard from each other in turns.
	shard.forgetBounces()
	n.discardOutcomes(shard)
	if rec != nil && rec.Owner == n.cfg.Self && rec.Incarnation == n.cfg.Incarnation {
		// An owner whose key went with its lease had stopped before, and an
		// earlier incarnation of ours is dead; but who was taken over lately may still
		// answer.
		shard.OwnedSince = max(n.now, shard.PreviousOwnerUntil)
		n.ownershipCheckAt = 0
		n.log(LogInfo, "shard claimed", "shard", shard.Name, "term", rev)
	} else if was != nil && was.Owner == n.cfg.Self && was.Incarnation == n.cfg.Incarnation {
		n.log(LogInfo, "shard lost", "shard", shard.Name)
	}
}

// discardOutcomes drops what was found out about the tasks of a shard in a term
// that has ended and could not be written in it. Another owner may have served
// the machines since; applied in a later term, it would put tasks on a second
// machine that have run on all the while.
func (n *Node) discardOutcomes(shard *shard) {
	for key, outcome := range n.outcomes {
		if task := n.activeTask(key, outcome.machine); task == nil || task.Shard == shard.Index {
			delete(n.outcomes, key)
		}
	}
}

func (shard *shard) forgetBounces() {
	for _, machine := range shard.machines {
		machine.redirectedAt, machine.bouncedAt = 0, 0
	}
}

// owns tells whether the replica says that the shard is ours.
func (n *Node) owns(shard *shard) bool {
	return shard.Record != nil && shard.Record.Owner == n.cfg.Self && shard.Record.Incarnation == n.cfg.Incarnation
}

// mayActAsOwner tells whether we may act as the owner now.
func (n *Node) mayActAsOwner(shard *shard) bool {
	return n.owns(shard) && shard.proven && n.now < shard.validFrom+n.cfg.OwnerValidity
}

// claimShards takes shards that nobody holds, and those whose owner can't serve
// their workers.
func (n *Node) claimShards() {
	if n.shardLease.ID == 0 || n.now-n.shardLease.SentAt > n.shardLease.TTL/2 {
		return
	}
	for _, shard := range n.shards {
		if n.owns(shard) || n.now < shard.claimAt() || n.now < shard.claimCheckedAt+200*time.Millisecond {
			continue
		}
		shard.claimCheckedAt = n.now
		if !n.mayClaim(shard) {
			continue
		}
		shard.ClaimableSince = max(shard.ClaimableSince, n.now) // wait before the next try
		rev := shard.Term
		if shard.Record == nil {
			rev = 0
		}
		key := wire.ShardKey(shard.Name)
		claim := []Write{{Key: key, Value: &wire.Shard{Owner: n.cfg.Self, Incarnation: n.cfg.Incarnation}, LeaseID: n.shardLease.ID}}
		n.commit(ClassLease, []Condition{{Key: key, Revision: rev}}, append(claim, n.replica.SupportedFormatWrites()...),
			func(result Committed) {
				if result.Outcome == LeaseExpired {
					n.shardLease.ID, n.shardLease.RenewAt = 0, n.now
				}
			})
	}
}

// claimAt spaces claims of one shard.
func (shard *shard) claimAt() Time { return shard.ClaimableSince + 300*time.Millisecond }

func (n *Node) mayClaim(shard *shard) bool {
	waited := n.now - shard.ClaimableSince
	if shard.Record == nil {
		switch {
		case shard.HomeController == n.cfg.Self:
			return true
		case n.names.Zones.Name(shard.Zone) == n.cfg.Zone:
			return waited > 2*second
		}
		return waited > 4*second+Time(n.rank())*second
	}
	if shard.Record.Owner == n.cfg.Self {
		return true // an earlier incarnation of ours
	}
	// Its workers come here although we send them to their owner. A single
	// machine among many may be unresponsive or cut off by itself, which says nothing
	// about the owner.
	var first Time
	bounced, known := 0, 0
	for _, machine := range shard.machines {
		if machine.returned || machine.view.unreachable {
			continue
		}
		if machine.view.known && machine.view.missedHeartbeats < 2 {
			known++
		}
		if machine.bouncedAt > 0 && n.now-machine.bouncedAt < 12*second {
			bounced++
			if first == 0 || machine.bouncingSince < first {
				first = machine.bouncingSince
			}
		}
	}
	need := max(1, min(known, max(2, min(known/8, 12))))
	owner := n.peers[shard.Record.Owner]
	deaf := owner == nil || n.now-owner.heardAt > 5*second
	refused := owner != nil && !deaf && !owner.message.StoreOK
	wait := 0 * second
	if n.names.Zones.Name(shard.Zone) != n.cfg.Zone {
		wait = 4 * second
	}
	switch {
	case bounced >= need && n.now-first > 2*second+wait && waited > 10*second:
		n.log(LogInfo, "taking over shard", "reason", "workers cannot reach the owner", "shard", shard.Name, "owner", shard.Record.Owner)
		return true
	case deaf && bounced >= 1 && waited > 5*second+wait:
		n.log(LogInfo, "taking over shard", "reason", "owner is silent", "shard", shard.Name, "owner", shard.Record.Owner)
		return true
	case refused && n.storeOK && n.now-n.storeAnsweredAt < 2*second && n.peerRefusedFor(shard.Record.Owner) > 4*second+wait:
		n.log(LogInfo, "taking over shard", "reason", "state service refuses the owner", "shard", shard.Name, "owner", shard.Record.Owner)
		return true
	}
	// The home controller is back and well: it stands beside the workers.
	home := shard.HomeController == n.cfg.Self && waited > 60*second && n.storeOK
	return home && owner != nil && !deaf
}

func (n *Node) peerRefusedFor(label string) Time {
	p := n.peers[label]
	if p == nil || p.message.StoreOK {
		return 0
	}
	// An outage ends for one controller a moment before another.
	return n.now - max(n.refusedSince[label], n.storeOKSince)
}

// rank orders the controllers, so that two don't claim at once.
func (n *Node) rank() int {
	r := 0
	for _, m := range n.cfg.Members {
		if m.Name < n.cfg.Self {
			r++
		}
	}
	return r
}
