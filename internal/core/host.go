package core

import (
	"slices"

	"micaport/internal/wire"
)

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
	stop    wire.StopMark
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
