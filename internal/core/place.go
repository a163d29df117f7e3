package core

import (
	"slices"

	"micaport/internal/wire"
)

func contains(list []string, s string) bool { return slices.Contains(list, s) }

func sortIDs(ids []uint64) { slices.Sort(ids) }

// host is what we know of a machine.
type host struct {
	ix   int
	name string
	rig  string
	zone string
	spot bool
	part int
	jobs []int // jobs with tasks placed on it, by our copy of the records

	// As its owner.
	term         uint64 // the term in which the following was learnt
	session, seq uint64
	reports      int  // heard in this term
	heard        Time // last report in this term
	answered     Time // last report answered with 200
	leavingAt    Time // when the cloud takes it away; 0: not announced
	tasks        map[taskKey]string
	started      map[taskKey]uint64 // report that was last answered with the start
	errJobs      map[int]bool       // jobs that failed on it since its last success
	sick         bool
	retiring     bool
	fullUntil    Time

	images map[int]bool

	// As seen from anywhere.
	info     wire.HostInfo
	infoAt   Time
	returned bool

	redirectAt, bounceAt, bounceFrom Time // see redirect
}

type taskKey struct {
	job, task int
	attempt   uint64
}

func (n *Node) hostOf(name string) *host {
	ix := n.hostIx.Of(name)
	if ix == len(n.hosts) {
		n.hosts = append(n.hosts, &host{ix: ix, name: name, part: -1, images: map[int]bool{}})
	}
	return n.hosts[ix]
}

func (n *Node) rigOf(name string) *wire.Flavor {
	for i := range n.rigs {
		if n.rigs[i].Name == name {
			return &n.rigs[i]
		}
	}
	return nil
}

// slot is a machine, present or hoped for, with the room left on it.
type slot struct {
	h                  *host // nil for a machine that is booting or not yet hired
	part               int   // -1 while unknown
	zone, rig          string
	spot               bool
	cores, cards, mem  float64
	rigRef             *wire.Flavor
	soonCores          float64 // freed by tasks that are on their way out
	soonCards, soonMem float64
	daemon             bool // a daemon keeps the machine up anyway
	reserved           bool // kept for a gang that still waits for more machines
	images             map[int]bool
	fetchGB            float64 // being fetched: images share the rate
	errors             int
}

// fetching notes that a task's image will be fetched here.
func (s *slot) fetching(n *Node, j *job) {
	if !s.images[j.image] {
		s.fetchGB += j.rec.Spec.ImageGB
	}
}

func (s *slot) fits(sp *wire.Spec) bool {
	return !s.reserved && sp.Cores <= s.cores+eps && sp.Cards <= s.cards+eps && sp.MemoryGB <= s.mem+eps
}

func (s *slot) fitsSoon(sp *wire.Spec) bool {
	return !s.reserved && sp.Cores <= s.cores+s.soonCores+eps && sp.Cards <= s.cards+s.soonCards+eps && sp.MemoryGB <= s.mem+s.soonMem+eps
}

func (s *slot) take(sp *wire.Spec) {
	s.cores -= sp.Cores
	s.cards -= sp.Cards
	s.mem -= sp.MemoryGB
}

// give returns what k tasks have taken.
func (s *slot) give(sp *wire.Spec, k int) {
	s.cores += sp.Cores * float64(k)
	s.cards += sp.Cards * float64(k)
	s.mem += sp.MemoryGB * float64(k)
}

// untouched tells whether nothing runs on the machine.
func (s *slot) untouched() bool { return s.cores == s.rigRef.Cores && s.cards == s.rigRef.Cards }

func (s *slot) allowed(sp *wire.Spec) bool {
	return rigAllowed(sp, s.rig) && (sp.Zone == "" || sp.Zone == s.zone) && (sp.Spot || !s.spot)
}

// suits tells whether a job's tasks may go to the machine at all. One that
// failed the job is not tried again before others have failed it too, and it
// is the job that is at fault.
func (s *slot) suits(j *job) bool {
	if s.h != nil && len(j.rec.Avoid) < 3 && contains(j.rec.Avoid, s.h.name) {
		return false
	}
	return s.allowed(j.rec.Spec)
}

// slotOf computes the room on a machine from the records: whatever a record
// places there is there until it is proven gone.
func (n *Node) slotOf(h *host) *slot {
	r := n.rigOf(h.rig)
	if r == nil {
		return nil
	}
	s := &slot{h: h, part: h.part, zone: h.zone, rig: h.rig, spot: h.spot, rigRef: r,
		cores: r.Cores, cards: r.Cards, mem: r.MemoryGB, images: h.images, errors: h.info.Errors, fetchGB: h.info.FetchGB}
	for _, jx := range h.jobs {
		j := n.jobs[jx]
		if j.rec == nil || j.rec.Spec == nil {
			continue
		}
		sp := j.rec.Spec
		for _, a := range j.rec.Active {
			if a.Host != h.name {
				continue
			}
			s.take(sp)
			s.daemon = s.daemon || sp.Shape == wire.ShapeDaemon
			if a.Stop != wire.Keep || j.rec.State != wire.Live {
				s.soonCores += sp.Cores
				s.soonCards += sp.Cards
				s.soonMem += sp.MemoryGB
			}
		}
	}
	return s
}

// fetchS is how long the image of a job would take to reach the machine.
func (n *Node) fetchS(j *job, s *slot) float64 {
	sp := j.rec.Spec
	if s.images[j.image] {
		return 0
	}
	rate := 0.1
	if s.rigRef != nil && s.rigRef.FetchGBs > 0 {
		rate = s.rigRef.FetchGBs
	}
	// Whether images share the rate differs from site to site.
	t := (sp.ImageGB + s.fetchGB/3) / rate
	if s.h != nil {
		for _, jx := range s.h.jobs {
			if n.jobs[jx].image == j.image {
				return t / 2 // on its way already
			}
		}
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
	if s.h != nil && contains(j.rec.Avoid, s.h.name) {
		v += 500
	}
	return v
}

// best chooses the machine for a task among slots, or nil.
func (n *Node) best(j *job, slots []*slot, ok func(*slot) bool) *slot {
	var found *slot
	var foundScore float64
	for _, s := range slots {
		if !s.suits(j) || !s.fits(j.rec.Spec) || (ok != nil && !ok(s)) {
			continue
		}
		if v := n.score(j, s); found == nil || v < foundScore {
			found, foundScore = s, v
		}
	}
	return found
}

// zoneTasks counts a job's active tasks in each zone. Tasks of old attempts
// count until they are proven gone.
func (n *Node) zoneTasks(r *wire.Job) map[string]int {
	m := map[string]int{}
	for _, a := range r.Active {
		m[n.parts[a.Part].zone]++
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
