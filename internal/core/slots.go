package core

import (
	"slices"

	"micaport/internal/wire"
)

// slot is a machine, present or hoped for, with the room left on it.
type slot struct {
	h                  *host // nil for a machine that is booting or not yet hired
	part               int   // -1 while unknown
	zone, rig          int
	spot               bool
	cores, cards, mem  float64
	rigRef             *wire.Flavor
	soonCores          float64 // freed by tasks that are on their way out
	soonCards, soonMem float64
	daemon             bool // a daemon keeps the machine up anyway
	reserved           bool // kept for a gang that still waits for more machines
	keptFor            int  // one more than the only job that it is for; 0: any
	images             set
	fetchGB            float64 // being fetched: images share the rate
	errors             int

	in     *slotSet
	class  class
	listed []class // the lists of the set that it stands in, perhaps out of date
}

// fetching notes that a task's image will be fetched here.
func (s *slot) fetching(j *job) {
	if !s.images.has(j.image) {
		s.fetchGB += j.rec.Spec.ImageGB
	}
}

func (s *slot) fits(sp *wire.Spec) bool {
	return !s.reserved && sp.Cores <= s.cores+eps && sp.Cards <= s.cards+eps && sp.MemoryGB <= s.mem+eps
}

func (s *slot) fitsSoon(sp *wire.Spec) bool {
	return !s.reserved && sp.Cores <= s.cores+s.soonCores+eps && sp.Cards <= s.cards+s.soonCards+eps && sp.MemoryGB <= s.mem+s.soonMem+eps
}

func (s *slot) take(sp *wire.Spec) { s.give(sp, -1) }

// give returns what k tasks have taken.
func (s *slot) give(sp *wire.Spec, k int) {
	s.cores += sp.Cores * float64(k)
	s.cards += sp.Cards * float64(k)
	s.mem += sp.MemoryGB * float64(k)
	if s.in != nil {
		s.in.moved(s)
	}
}

// untouched tells whether nothing runs on the machine.
func (s *slot) untouched() bool {
	return s.cores > s.rigRef.Cores-eps && s.cards > s.rigRef.Cards-eps
}

// suits tells whether a job's tasks may go to the machine at all. One that
// failed the job is not tried again before others have failed it too, and it
// is the job that is at fault.
func (s *slot) suits(j *job) bool {
	if s.keptFor > 0 && s.keptFor != j.ix+1 {
		return false
	}
	if s.h != nil && len(j.rec.Avoid) > 0 && len(j.rec.Avoid) < 3 && slices.Contains(j.rec.Avoid, s.h.name) {
		return false
	}
	return j.allows(s.rig, s.zone, s.spot)
}

// slotOf is the room on a machine.
func (n *Node) slotOf(h *host) *slot {
	r := n.flavor(h.rig)
	if r == nil {
		return nil
	}
	t := n.takenOn(h)
	return &slot{h: h, part: h.part, zone: h.zone, rig: h.rig, spot: h.spot, rigRef: r,
		cores: r.Cores - t.cores, cards: r.Cards - t.cards, mem: r.MemoryGB - t.mem,
		soonCores: t.soonCores, soonCards: t.soonCards, soonMem: t.soonMem, daemon: t.daemon,
		images: h.images, errors: h.info.errors, fetchGB: n.fetchGB(h)}
}

// class is what slots have in common for a choice among them.
type class struct {
	part, zone, rig, cards          int
	spot, untouched, daemon, faulty bool
	none                            bool // no card is free, not even part of one
}

func (s *slot) classify() class {
	return class{part: s.part, zone: s.zone, rig: s.rig, cards: int(s.cards + eps), none: s.cards <= eps, spot: s.spot,
		untouched: s.untouched(), daemon: s.daemon, faulty: s.errors > 0}
}

// slotSet holds slots with an index by place, kind, free room and image, so
// that a choice costs as much as what is free and alike, not as much as there
// are machines.
type slotSet struct {
	n       *Node
	all     []*slot
	soon    []*slot // those with room about to be free
	open    map[class]*[]*slot
	order   []class
	byImage map[imageList][]*slot
}

// imageList names a list of slots that have an image: those with a free card, or
// for tasks that need none, all that have room.
type imageList struct {
	image    int
	cardless bool
}

func newSlotSet(n *Node) *slotSet {
	return &slotSet{n: n, open: map[class]*[]*slot{}, byImage: map[imageList][]*slot{}}
}

func (x *slotSet) add(s *slot) {
	s.in = x
	x.all = append(x.all, s)
	if s.soonCores > 0 || s.soonCards > 0 {
		x.soon = append(x.soon, s)
	}
	s.class = s.classify()
	x.list(s)
}

// full tells whether there is nothing on the machine to be had, by a task that
// needs cards or by one that does not: what is left of a machine whose cards are all
// in use is of use to the latter. Before this such tasks kept to machines with free
// cards, which then neither went back nor had room for whole-machine work.
func (s *slot) full(cardless bool) bool {
	return s.cores <= eps || !cardless && s.rigRef.Cards > 0 && s.cards <= eps
}

func (x *slotSet) list(s *slot) {
	if s.full(true) || slices.Contains(s.listed, s.class) {
		return
	}
	s.listed = append(s.listed, s.class)
	l := x.open[s.class]
	if l == nil {
		l = new([]*slot)
		x.open[s.class] = l
		x.order = append(x.order, s.class)
	}
	*l = append(*l, s)
}

func (x *slotSet) moved(s *slot) {
	c := s.classify()
	if c != s.class {
		s.class = c
		x.list(s)
	}
}

// withImage lists the slots with room that have an image or are fetching it.
func (x *slotSet) withImage(k imageList) []*slot {
	l, built := x.byImage[k]
	if !built {
		for _, s := range x.all {
			if !s.full(k.cardless) && (s.images.has(k.image) || s.h != nil && x.n.hasOn(s.h, k.image)) {
				l = append(l, s)
			}
		}
		x.byImage[k] = l
	}
	return l
}

// hasOn tells whether a task on the machine uses an image.
func (n *Node) hasOn(h *host, image int) bool {
	for i := range h.on {
		if n.jobs[h.on[i].job].image == image {
			return true
		}
	}
	return false
}
