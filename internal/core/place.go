package core

import (
	"math/bits"
	"slices"

	"micaport/internal/wire"
)

func contains(list []string, s string) bool { return slices.Contains(list, s) }

func sortIDs(ids []uint64) { slices.Sort(ids) }

// set is a set of small indices.
type set []uint64

func (s set) has(i int) bool { return i >= 0 && i/64 < len(s) && s[i/64]&(1<<(i%64)) != 0 }

// add puts an index in and tells whether it is new.
func (s *set) add(i int) bool {
	if i < 0 || s.has(i) {
		return false
	}
	for len(*s) <= i/64 {
		*s = append(*s, 0)
	}
	(*s)[i/64] |= 1 << (i % 64)
	return true
}

// each calls f with the members in order.
func (s set) each(f func(int)) {
	for w, word := range s {
		for ; word != 0; word &= word - 1 {
			f(w*64 + bits.TrailingZeros64(word))
		}
	}
}

// host is what we know of a machine.
type host struct {
	ix   int
	name string
	rig  int // -1 while unknown
	zone int
	spot bool
	part int
	on   []placed // tasks that our copy of the records puts on it

	taken     room // what they take; good while roomKnown
	roomKnown bool
	leastPrio int // urgency of the least urgent task that may be stopped

	// As its owner.
	term         uint64 // the term in which the following was learnt
	session, seq uint64
	reports      int  // heard in this term
	token        bool // it has shown that it knows our term
	newborn      bool // it has only just come to life
	heard        Time // last report in this term
	answered     Time // last report answered with 200
	ignored      int  // answers in a row that had no effect
	deaf         bool // hears neither answers nor commands
	leavingAt    Time // when the cloud takes it away; 0: not announced
	tasks        map[taskKey]string
	started      map[taskKey]uint64 // report that was last answered with the start
	direct       map[taskKey]directStart
	silenced     bool // no longer answered, so that its session ends
	addr         string
	held         int          // answers to it that wait
	listed       bool         // among those with a task that they have not shown
	lingering    int          // ended tasks in its last report that must not be cleared
	errJobs      map[int]bool // jobs that failed on it since its last success
	sick         bool
	retiring     bool
	fullUntil    Time

	images set

	// As seen from anywhere.
	info     view
	infoTerm uint64 // the term in which it was told
	unsureAt Time   // since when it is said to be unsure
	ver      uint64 // of our own view, for the peers
	returned bool

	redirectAt, bounceAt, bounceFrom Time   // see redirect
	straying                         bool   // listed among those that came here
	strayShift, strayTick            uint64 // the newest of its reports that came here
}

// view is what the owner of a machine tells of it.
type view struct {
	known                                 bool
	leaving, retiring, sick, lost, unsure bool // unsure: not yet shown to obey us
	quiet                                 int  // 1: two reports are missing, 2: three
	errors                                int
	images                                int // how many, so that a new one shows as a change
}

// placed is a task that a record puts on a machine.
type placed struct {
	taskKey
	part    int
	stop    int
	session uint64
	at      int // its place among the active tasks of the record
}

type taskKey struct {
	job, task int
	attempt   uint64
}

// room is an amount of a machine.
type room struct {
	cores, cards, mem             float64
	soonCores, soonCards, soonMem float64 // the part that is about to be free
	daemon                        bool
}

func (n *Node) hostOf(name string) *host {
	ix := n.hostIx.Of(name)
	if ix == len(n.hosts) {
		n.hosts = append(n.hosts, &host{ix: ix, name: name, part: -1, rig: -1, zone: -1})
	}
	return n.hosts[ix]
}

// setPart notes whose machine it is.
func (n *Node) setPart(h *host, part int) {
	if h.part != part {
		if h.part >= 0 {
			p := n.parts[h.part]
			p.hosts = slices.DeleteFunc(p.hosts, func(x *host) bool { return x == h })
		}
		h.part = part
		if part >= 0 {
			n.parts[part].hosts = append(n.parts[part].hosts, h)
		}
	}
	if part >= 0 {
		h.zone = n.parts[part].zone
	}
}

// flavor is the machine type with an index, or nil.
func (n *Node) flavor(rig int) *wire.Flavor {
	if rig < 0 || rig >= len(n.flavors) {
		return nil
	}
	return n.flavors[rig]
}

// takenOn computes what the records place on a machine: it is there until it
// is proven gone.
func (n *Node) takenOn(h *host) *room {
	if h.roomKnown {
		return &h.taken
	}
	h.taken, h.roomKnown, h.leastPrio = room{}, true, noPrio
	for i := range h.on {
		p := &h.on[i]
		j := n.jobs[p.job]
		sp := j.rec.Spec
		if sp == nil {
			continue
		}
		t := &h.taken
		t.cores += sp.Cores
		t.cards += sp.Cards
		t.mem += sp.MemoryGB
		t.daemon = t.daemon || sp.Shape == wire.ShapeDaemon
		if p.stop != wire.Keep || j.rec.State != wire.Live {
			t.soonCores += sp.Cores
			t.soonCards += sp.Cards
			t.soonMem += sp.MemoryGB
		} else if sp.Shape != wire.ShapeDaemon {
			h.leastPrio = min(h.leastPrio, j.prio)
		}
	}
	return &h.taken
}

const noPrio = 99

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
	if s.h != nil && len(j.rec.Avoid) > 0 && len(j.rec.Avoid) < 3 && contains(j.rec.Avoid, s.h.name) {
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

// How many slots that fit are compared, and how many are looked at in one
// class: those of a class differ little.
const (
	compareFits = 12
	lookAtMost  = 96
)

// best chooses the machine for a task, or nil. What ok says of a slot must
// hold for its whole class, and so must what extra adds to its score.
func (x *slotSet) best(j *job, ok func(*slot) bool, extra func(*slot) float64) *slot {
	n, sp := x.n, j.rec.Spec
	var found *slot
	var foundScore float64
	try := func(s *slot) {
		v := n.score(j, s)
		if extra != nil {
			v += extra(s)
		}
		if found == nil || v < foundScore {
			found, foundScore = s, v
		}
	}
	fits := 0
	key := imageList{j.image, sp.Cards <= 0}
	list := x.withImage(key)
	kept := list[:0]
	for i, s := range list {
		n.work++
		if fits >= compareFits {
			kept = append(kept, list[i:]...)
			break
		}
		if s.full(key.cardless) {
			continue
		}
		kept = append(kept, s)
		if s.fits(sp) && s.suits(j) && (ok == nil || ok(s)) {
			fits++
			try(s)
		}
	}
	x.byImage[key] = kept
	for _, c := range x.order {
		if c.none && !key.cardless && n.flavors[c.rig].Cards > 0 || float64(c.cards)+1 < sp.Cards || !j.allows(c.rig, c.zone, c.spot) {
			continue
		}
		l := x.open[c]
		fits, looked := 0, 0
		for i := 0; i < len(*l); {
			s := (*l)[i]
			n.work++
			if s.class != c || s.full(true) { // moved on
				s.listed = slices.DeleteFunc(s.listed, func(y class) bool { return y == c })
				last := len(*l) - 1
				(*l)[i] = (*l)[last]
				*l = (*l)[:last]
				continue
			}
			i++
			if looked++; looked > lookAtMost || fits >= 3 {
				break
			}
			if !s.fits(sp) || !s.suits(j) {
				continue
			}
			if ok != nil && !ok(s) {
				break
			}
			fits++
			try(s)
		}
	}
	return found
}

// fetchS is how long the image of a job would take to reach the machine.
func (n *Node) fetchS(j *job, s *slot) float64 {
	if s.images.has(j.image) {
		return 0
	}
	rate := 0.1
	if s.rigRef != nil && s.rigRef.FetchGBs > 0 {
		rate = s.rigRef.FetchGBs
	}
	// Whether images share the rate differs from site to site.
	t := (j.rec.Spec.ImageGB + s.fetchGB/3) / rate
	if s.h != nil && n.hasOn(s.h, j.image) {
		return t / 2 // on its way already
	}
	return t
}

// score ranks a machine for a task; lower is better. It is in seconds of
// waiting that a choice costs, roughly.
func (n *Node) score(j *job, s *slot) float64 {
	sp := j.rec.Spec
	v := n.fetchS(j, s)
	v += 3 * (s.cards - sp.Cards) // pack
	if sp.Spot && !s.spot && s.untouched() {
		v += 40
	}
	if sp.Spot && !s.spot && !s.untouched() {
		v -= 4 // the machine stays anyway; a spot machine may go back
	}
	if sp.Shape == wire.ShapeDaemon && !s.daemon {
		v += 5 // it stays long: better two on one machine than half of two
	}
	v += 100 * float64(s.errors)
	if s.h != nil && len(j.rec.Avoid) > 0 && contains(j.rec.Avoid, s.h.name) {
		v += 500
	}
	return v
}

// zoneTasks counts a job's active tasks in each zone. Tasks of old attempts
// count until they are proven gone.
func (n *Node) zoneTasks(r *wire.Job) []int {
	m := make([]int, n.zones.Len())
	for i := range r.Active {
		m[n.parts[r.Active[i].Part].zone]++
	}
	return m
}

// zoneLimit is how many tasks of a job one zone may hold.
func zoneLimit(sp *wire.Spec) int {
	if sp.Spread {
		return (sp.Frames + 1) / 2
	}
	return sp.Frames
}
