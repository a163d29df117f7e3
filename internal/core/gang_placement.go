package core

import (
	"slices"

	"micaport/internal/wire"
)

// serveGang grants a whole gang or nothing.
func (p *plan) serveGang(w *queuedJob) {
	j, sp := w.j, w.j.rec.Spec
	if p.admission != nil {
		p.admitGang(w)
		return
	}
	if !p.quota(j, len(w.tasks)) {
		// Its team's smaller jobs would take what becomes free of the limit
		// for ever: after its patience the limit is kept for it.
		p.noteBlocked(j)
		if j.team >= 0 && p.n.now-j.blockedSince > gangPatience {
			p.charge(j, len(w.tasks))
		}
		return
	}
	if chosen := p.gangSlots(w); chosen != nil {
		if !p.grant(j, w.tasks, chosen) {
			p.charge(j, len(w.tasks))
		}
		for _, s := range chosen {
			s.fetching(j)
			s.take(sp)
		}
		j.takePlace()
		return
	}
	p.noteBlocked(j)
	p.waiting += len(w.tasks)
	if len(w.tasks) == 1 {
		for _, s := range p.up.soon {
			if s.suits(j) && s.fitsSoon(sp) {
				s.take(sp)
				return
			}
		}
		if s := p.preempt(w, func(*slot) bool { return true }); s != nil {
			s.take(sp)
			return
		}
	}
	p.awaitGang(w)
}

// gangSlots chooses machines for a gang: from one part if any has the room,
// else from one zone, else from anywhere unless the zone has to be one.
func (p *plan) gangSlots(w *queuedJob) []*slot {
	var best []*slot
	bestScore := 0.0
	try := func(in func(part, zone int) bool, penalty float64) {
		if p.up.roomFor(w.j, in) < len(w.tasks) {
			return
		}
		chosen, score := p.pick(w, func(s *slot) bool { return in(s.part, s.zone) })
		if chosen != nil && (best == nil || score+penalty < bestScore) {
			best, bestScore = chosen, score+penalty
		}
	}
	for _, x := range p.n.parts {
		try(func(part, _ int) bool { return part == x.ix }, 0)
	}
	if best != nil && len(w.tasks) == 1 {
		return best
	}
	for z := range p.n.zones.Len() {
		try(func(part, zone int) bool { return zone == z && part >= 0 }, 10)
	}
	if !w.j.rec.Spec.SameZone {
		try(func(part, _ int) bool { return part >= 0 }, 20)
	}
	return best
}

// roomFor bounds how many tasks of a job find room, from above.
func (x *slotSet) roomFor(j *job, in func(part, zone int) bool) int {
	sp, sum := j.rec.Spec, 0
	for _, c := range x.order {
		if !in(c.part, c.zone) || !j.allows(c.rig, c.zone, c.spot) {
			continue
		}
		each := 1 << 10
		if sp.Cards >= 1 {
			each = (c.cards + 1) / int(sp.Cards)
			if float64(c.cards)+1 < sp.Cards+eps {
				each = c.cards / int(sp.Cards)
			}
		}
		sum += each * len(*x.open[c])
	}
	return sum
}

// pick chooses greedily and undoes its taking.
func (p *plan) pick(w *queuedJob, ok func(*slot) bool) ([]*slot, float64) {
	sp := w.j.rec.Spec
	var chosen []*slot
	worst := 0.0
	zones := make([]int, p.n.zones.Len())
	for range w.tasks {
		s := p.up.best(w.j, func(s *slot) bool {
			return ok(s) && !(sp.Spread && zones[s.zone] >= zoneLimit(sp))
		}, nil)
		if s == nil {
			break
		}
		worst = max(worst, p.n.score(w.j, s))
		s.take(sp)
		zones[s.zone]++
		chosen = append(chosen, s)
	}
	for _, s := range chosen {
		s.give(sp, 1)
	}
	if len(chosen) < len(w.tasks) {
		return nil, 0
	}
	return chosen, worst
}

// source is a place that a gang which does not fit yet may get.
type source struct {
	s       *slot
	victims []victim
	drain   bool
	cost    float64
}

// choice is how a gang could get its room in one zone.
type choice struct {
	zone int // -1: any
	from []source
	hire int
	cost float64
}

// awaitGang makes room for a gang that does not fit yet, in the zone where
// that costs least: it keeps what is free, about to be free or booting, hires,
// stops work that it may stop, and as the last resort keeps machines from
// being filled again until what runs there has ended.
func (p *plan) awaitGang(w *queuedJob) {
	sp := w.j.rec.Spec
	mayEvict := p.mayPreempt(w)
	var best *choice
	if sp.SameZone && w.j.zone < 0 {
		for z := range p.n.zones.Len() {
			if c := p.gather(w, z, mayEvict); best == nil || c.cost < best.cost {
				best = c
			}
		}
	} else {
		best = p.gather(w, w.j.zone, mayEvict)
	}
	w.j.gangZone = best.zone
	stopped := false
	for _, x := range best.from {
		if w == p.starved && x.s.h != nil {
			p.kept = append(p.kept, wire.Kept{Host: x.s.h.name, Ref: w.j.ref})
		}
		switch {
		case len(x.victims) > 0:
			if p.stop(w, x.victims) {
				stopped = true
			}
			x.s.reserved = true
		case x.drain:
			x.s.reserved = true
		default:
			x.s.take(sp)
		}
	}
	if stopped {
		w.j.preemptAt = p.n.now + 3*p.n.cfg.Report
	}
	for range best.hire {
		s := p.hireFor(w, func(s *slot) bool { return best.zone < 0 || s.zone == best.zone })
		if s == nil {
			return
		}
		s.take(sp)
	}
}

// What the ways of making room for a task of a gang cost, in seconds of waiting.
const (
	expectedCost = 15   // a machine that is on its way
	evictionCost = 10   // stopping less urgent tasks, besides what they lose
	drainCost    = 60   // waiting for the tasks on a machine to end
	hireCost     = 30   // a machine to be hired
	noHireCost   = 1000 // where none can be had
	stayGain     = 10   // going on where room is being made already
)

// gathering works out where a gang's room in a zone could come from.
type gathering struct {
	p    *plan
	w    *queuedJob
	zone int // -1: any
	all  []source
	seen map[*slot]bool
}

// enough tells whether there are more sources than the choice needs.
func (g *gathering) enough() bool { return len(g.all) >= 4*len(g.w.tasks) }

// elsewhere tells whether a machine is not in the zone.
func (g *gathering) elsewhere(s *slot) bool { return g.zone >= 0 && s.zone != g.zone }

// gather works out what a gang's room in a zone would cost.
func (p *plan) gather(w *queuedJob, zone int, mayEvict bool) *choice {
	g := &gathering{p: p, w: w, zone: zone, seen: map[*slot]bool{}}
	canHire := p.canHire(w.j, zone)
	g.addFree()
	if mayEvict || !canHire {
		g.addOccupied(mayEvict, !canHire)
	}
	slices.SortStableFunc(g.all, func(a, b source) int { return int(a.cost) - int(b.cost) })
	if canHire {
		if at := slices.IndexFunc(g.all, func(x source) bool { return x.cost > hireCost }); at >= 0 {
			g.all = g.all[:at]
		}
	}
	return g.choose(canHire)
}

// add takes in a machine with free room, once for each task that it has room for.
func (g *gathering) add(s *slot, cost float64) {
	spec := g.w.j.rec.Spec
	if s.reserved || g.seen[s] || g.elsewhere(s) || !s.suits(g.w.j) || !s.fitsSoon(spec) {
		return
	}
	g.seen[s] = true
	// What it can take is worked out on a copy.
	for room := *s; room.fitsSoon(spec) && !g.enough(); {
		room.in = nil
		room.take(spec)
		g.all = append(g.all, source{s: s, cost: cost})
	}
}

// addFree takes in room that is free, about to be free, or on its way.
func (g *gathering) addFree() {
	p := g.p
	for _, k := range p.up.order {
		if (g.zone < 0 || k.zone == g.zone) && g.w.j.allows(k.rig, k.zone, k.spot) {
			for _, s := range *p.up.open[k] {
				p.n.work++
				g.add(s, 0)
			}
		}
	}
	for _, s := range p.up.soon {
		g.add(s, 0)
	}
	for _, s := range p.expected.all {
		if g.enough() {
			break
		}
		g.add(s, expectedCost)
	}
}

// addOccupied takes in machines whose tasks could be stopped or waited for.
func (g *gathering) addOccupied(mayEvict, mayDrain bool) {
	p, w := g.p, g.w
	for _, s := range p.up.all {
		if g.elsewhere(s) || s.reserved || g.seen[s] || s.h.leastPrio == noPrio || !s.suits(w.j) {
			continue
		}
		p.n.work++
		if mayEvict && s.h.leastPrio <= w.j.prio {
			if victims, ok := p.clearing(w, s, false); ok {
				cost := float64(evictionCost)
				for _, x := range victims {
					cost += x.cost / 4
				}
				g.all = append(g.all, source{s: s, victims: victims, cost: cost})
				continue
			}
		}
		if mayDrain {
			if _, ok := p.clearing(w, s, true); ok {
				g.all = append(g.all, source{s: s, drain: true, cost: drainCost})
			}
		}
	}
}

// choose takes the cheapest sources, and machines to be hired for the rest.
func (g *gathering) choose(canHire bool) *choice {
	tasks := len(g.w.tasks)
	c := &choice{zone: g.zone, from: g.all[:min(len(g.all), tasks)]}
	for _, x := range c.from {
		c.cost += x.cost
	}
	c.hire = tasks - len(c.from)
	c.cost += float64(c.hire) * hireCost
	if c.hire > 0 && !canHire {
		c.cost += noHireCost * float64(c.hire)
	}
	if g.zone >= 0 && g.zone == g.w.j.gangZone {
		c.cost -= stayGain
	}
	return c
}
