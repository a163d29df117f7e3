package core

import (
	"slices"

	"micaport/internal/wire"
)

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
