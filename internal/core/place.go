package core

import (
	"slices"

	"micaport/internal/wire"
)

// How many slots with the image that fit are compared, and how many are compared and
// looked at in one class: those of a class differ little.
const (
	compareFits = 12
	fitsInClass = 3
	lookAtMost  = 96
)

// search is a search for the best machine for a task.
type search struct {
	x     *slotSet
	job   *job
	ok    func(*slot) bool    // of a class of machines; nil: any
	extra func(*slot) float64 // added to the score; nil: nothing
	found *slot
	score float64
}

// best chooses the machine for a task, or nil. What ok says of a slot must
// hold for its whole class, and so must what extra adds to its score.
func (x *slotSet) best(j *job, ok func(*slot) bool, extra func(*slot) float64) *slot {
	s := &search{x: x, job: j, ok: ok, extra: extra}
	s.withImage()
	for _, c := range x.order {
		if s.mayFit(c) {
			s.inClass(c)
		}
	}
	return s.found
}

// compare keeps a machine if it is better than what was found so far.
func (s *search) compare(candidate *slot) {
	score := s.x.n.score(s.job, candidate)
	if s.extra != nil {
		score += s.extra(candidate)
	}
	if s.found == nil || score < s.score {
		s.found, s.score = candidate, score
	}
}

// withImage compares machines that have the job's image.
func (s *search) withImage() {
	spec := s.job.rec.Spec
	key := imageList{s.job.image, spec.Cards <= 0}
	list := s.x.withImage(key)
	kept := list[:0]
	fits := 0
	for i, candidate := range list {
		s.x.n.work++
		if fits >= compareFits {
			kept = append(kept, list[i:]...)
			break
		}
		if candidate.full(key.cardless) {
			continue
		}
		kept = append(kept, candidate)
		if candidate.fits(spec) && candidate.suits(s.job) && (s.ok == nil || s.ok(candidate)) {
			fits++
			s.compare(candidate)
		}
	}
	s.x.byImage[key] = kept
}

// mayFit tells whether machines of a class can have room for the task.
func (s *search) mayFit(c class) bool {
	cards := s.job.rec.Spec.Cards
	if c.none && cards > 0 && s.x.n.flavors[c.rig].Cards > 0 {
		return false
	}
	return float64(c.cards)+1 >= cards && s.job.allows(c.rig, c.zone, c.spot)
}

// inClass compares a few machines of a class.
func (s *search) inClass(c class) {
	spec, list := s.job.rec.Spec, s.x.open[c]
	fits, looked := 0, 0
	for i := 0; i < len(*list); {
		candidate := (*list)[i]
		s.x.n.work++
		if candidate.class != c || candidate.full(true) { // moved on
			candidate.listed = slices.DeleteFunc(candidate.listed, func(y class) bool { return y == c })
			last := len(*list) - 1
			(*list)[i] = (*list)[last]
			*list = (*list)[:last]
			continue
		}
		i++
		if looked++; looked > lookAtMost || fits >= fitsInClass {
			return
		}
		if !candidate.fits(spec) || !candidate.suits(s.job) {
			continue
		}
		if s.ok != nil && !s.ok(candidate) {
			return
		}
		fits++
		s.compare(candidate)
	}
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
	if s.h != nil && len(j.rec.Avoid) > 0 && slices.Contains(j.rec.Avoid, s.h.name) {
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
