package core

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"

	"micaport/internal/wire"
)

// part is a share of a zone's machines.
type part struct {
	ix   int
	name string
	zone int
	home string // the controller meant to own it; "" in a zone without one
	rec  *wire.Part
	rev  uint64 // of the claim: the term and the workers' token

	hosts      []*host // machines that may still be there
	changed    Time    // when our copy last saw it change hands
	askedAt    Time    // when we last asked ourselves whether to claim it
	since      Time    // when our copy last saw it change hands or go
	proven     bool    // a check has covered this term
	base       Time    // our validity counts from here
	validSince Time    // since when we could answer without a break
	bound      Time    // no earlier owner can have answered a report sent after this
	until      Time    // no owner before the present one answers after this
}

// PartID names a part: the zone whose machines it holds, and the controller that is
// meant to own it, which is "" in a zone without one.
type PartID struct{ Zone, Home string }

// Name is the part's name in records.
func (p PartID) Name() string {
	if p.Home == "" {
		return p.Zone + "/-"
	}
	return p.Zone + "/" + p.Home
}

// Parts lists the parts of a deployment in the order in which records number them.
func Parts(zones []string, members []Member) []PartID {
	members = slices.Clone(members)
	sort.Slice(members, func(i, k int) bool { return members[i].Label < members[k].Label })
	var parts []PartID
	for _, zone := range slices.Sorted(slices.Values(zones)) {
		before := len(parts)
		for _, m := range members {
			if m.Zone == zone {
				parts = append(parts, PartID{zone, m.Label})
			}
		}
		if len(parts) == before {
			parts = append(parts, PartID{Zone: zone})
		}
	}
	return parts
}

// makeParts splits the machines of each zone among its controllers.
func (n *Node) makeParts() {
	n.zoneParts = make([]partRange, n.zones.Len())
	for ix, id := range Parts(n.cfg.Zones, n.cfg.Members) {
		zone := n.zones.Find(id.Zone)
		n.parts = append(n.parts, &part{ix: ix, name: id.Name(), zone: zone, home: id.Home})
		if n.zoneParts[zone].count == 0 {
			n.zoneParts[zone].first = ix
		}
		n.zoneParts[zone].count++
	}
}

// partOf hashes a machine to a part of its zone, or gives -1.
func (n *Node) partOf(zone int, name string) int {
	if zone < 0 || zone >= len(n.zoneParts) {
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
	return n.zoneParts[zone].first + int(v%uint64(n.zoneParts[zone].count))
}

func (n *Node) partNamed(key string) *part {
	for _, p := range n.parts {
		if wire.PartKey(p.name) == key {
			return p
		}
	}
	return nil
}

func (n *Node) putPart(p *part, rec *wire.Part, rev uint64) {
	if rev <= p.rev {
		return
	}
	was := p.rec
	p.rec, p.rev, p.since, p.changed = rec, rev, n.now, n.now
	if was != nil && rec != nil && was.Owner != rec.Owner {
		// Taken over while it lived: it may answer until its validity has run out,
		// whoever takes the part next, and when. It once was forgotten by an owner
		// that took a part, ended, and came back.
		p.until = n.now + n.cfg.Validity
	}
	p.proven, p.base = false, 0
	// What machines did under the last owner says nothing about this one.
	// Kept, it made two peers take the part from each other in turns.
	p.forgetBounces()
	n.voidResults(p)
	if rec != nil && rec.Owner == n.cfg.Self && rec.Life == n.cfg.Life {
		// An owner whose key went with its lease had stopped before, and an
		// earlier life of ours is dead; but who was taken over lately may still
		// answer.
		p.bound = max(n.now, p.until)
		n.checkAt = 0
		n.log(LogInfo, "part claimed", "part", p.name, "term", rev)
	} else if was != nil && was.Owner == n.cfg.Self && was.Life == n.cfg.Life {
		n.log(LogInfo, "part lost", "part", p.name)
	}
}

// voidResults drops what was found out about the tasks of a part in a term
// that has ended and could not be written in it. Another owner may have served
// the machines since; applied in a later term, it would put tasks on a second
// machine that have run on all the while.
func (n *Node) voidResults(p *part) {
	for k, res := range n.results {
		if a := n.active(k, res.host); a == nil || a.Part == p.ix {
			delete(n.results, k)
		}
	}
}

func (p *part) forgetBounces() {
	for _, h := range p.hosts {
		h.redirectAt, h.bounceAt = 0, 0
	}
}

// holds tells whether our copy says that the part is ours.
func (n *Node) holds(p *part) bool {
	return p.rec != nil && p.rec.Owner == n.cfg.Self && p.rec.Life == n.cfg.Life
}

// valid tells whether we may act as the owner now.
func (n *Node) valid(p *part) bool {
	return n.holds(p) && p.proven && n.now < p.base+n.cfg.Validity
}

// claimParts takes parts that nobody holds, and those whose owner can't serve
// their workers.
func (n *Node) claimParts() {
	if n.partLease.id == 0 || n.now-n.partLease.sent > n.partLease.ttl/2 {
		return
	}
	for _, p := range n.parts {
		if n.holds(p) || n.now < p.claimAt() || n.now < p.askedAt+200*time.Millisecond {
			continue
		}
		p.askedAt = n.now
		if !n.mayClaim(p) {
			continue
		}
		p.since = max(p.since, n.now) // wait before the next try
		rev := p.rev
		if p.rec == nil {
			rev = 0
		}
		key := wire.PartKey(p.name)
		claim := []Write{{Key: key, Value: &wire.Part{Owner: n.cfg.Self, Life: n.cfg.Life}, Lease: n.partLease.id}}
		n.commit(Vital, []Cond{{key, rev}}, append(claim, n.formatWrites()...),
			func(c Committed) {
				if c.Outcome == BadLease {
					n.partLease.id, n.partLease.next = 0, n.now
				}
			})
	}
}

// claimAt spaces claims of one part.
func (p *part) claimAt() Time { return p.since + 300*time.Millisecond }

func (n *Node) mayClaim(p *part) bool {
	waited := n.now - p.since
	if p.rec == nil {
		switch {
		case p.home == n.cfg.Self:
			return true
		case n.zones.Name(p.zone) == n.cfg.Zone:
			return waited > 2*second
		}
		return waited > 4*second+Time(n.rank())*second
	}
	if p.rec.Owner == n.cfg.Self {
		return true // an earlier life of ours
	}
	// Its workers come here although we send them to their owner. A single
	// machine among many may be deaf or cut off by itself, which says nothing
	// about the owner.
	var first Time
	bounced, known := 0, 0
	for _, h := range p.hosts {
		if h.returned || h.info.lost {
			continue
		}
		if h.info.known && h.info.quiet < 2 {
			known++
		}
		if h.bounceAt > 0 && n.now-h.bounceAt < 12*second {
			bounced++
			if first == 0 || h.bounceFrom < first {
				first = h.bounceFrom
			}
		}
	}
	need := max(1, min(known, max(2, min(known/8, 12))))
	owner := n.peers[p.rec.Owner]
	deaf := owner == nil || n.now-owner.at > 5*second
	refused := owner != nil && !deaf && !owner.msg.StoreOK
	wait := 0 * second
	if n.zones.Name(p.zone) != n.cfg.Zone {
		wait = 4 * second
	}
	switch {
	case bounced >= need && n.now-first > 2*second+wait && waited > 10*second:
		n.log(LogInfo, "taking part over: its workers can't reach its owner", "part", p.name, "owner", p.rec.Owner)
		return true
	case deaf && bounced >= 1 && waited > 5*second+wait:
		n.log(LogInfo, "taking part over: owner is silent", "part", p.name, "owner", p.rec.Owner)
		return true
	case refused && n.storeOK && n.now-n.storeAt < 2*second && n.peerRefusedFor(p.rec.Owner) > 4*second+wait:
		n.log(LogInfo, "taking part over: owner is refused by the state service", "part", p.name, "owner", p.rec.Owner)
		return true
	}
	// The home controller is back and well: it stands beside the workers.
	home := p.home == n.cfg.Self && waited > 60*second && n.storeOK
	return home && owner != nil && !deaf
}

func (n *Node) peerRefusedFor(label string) Time {
	p := n.peers[label]
	if p == nil || p.msg.StoreOK {
		return 0
	}
	// An outage ends for one controller a moment before another.
	return n.now - max(n.refusedSince[label], n.storeSince)
}

// rank orders the controllers, so that two don't claim at once.
func (n *Node) rank() int {
	r := 0
	for _, m := range n.cfg.Members {
		if m.Label < n.cfg.Self {
			r++
		}
	}
	return r
}
