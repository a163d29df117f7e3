package core

import (
	"slices"

	"micaport/internal/wire"
)

// serveGang grants a whole gang or nothing.
func (p *schedulingPass) serveGang(w *queuedJob) {
	j, sp := w.job, w.job.Record.Spec
	if p.admission != nil {
		p.admitGang(w)
		return
	}
	if !p.hasQuota(j, len(w.tasks)) {
		// Its team's smaller jobs would take what becomes free of the limit
		// for ever: after its timeout the limit is kept for it.
		p.noteWaiting(j)
		if j.Team >= 0 && p.node.now-j.waitingSince > gangStarvationTime {
			p.charge(j, len(w.tasks))
		}
		return
	}
	if chosen := p.chooseGangSlots(w); chosen != nil {
		if !p.grant(j, w.tasks, chosen) {
			p.charge(j, len(w.tasks))
		}
		for _, s := range chosen {
			s.noteFetch(j)
			s.take(sp)
		}
		j.rememberPosition()
		return
	}
	p.noteWaiting(j)
	p.unplacedTasks += len(w.tasks)
	if len(w.tasks) == 1 {
		for _, s := range p.available.releasing {
			if s.accepts(j) && s.fitsAfterRelease(sp) {
				s.take(sp)
				return
			}
		}
		if s := p.preempt(w, func(*slot) bool { return true }); s != nil {
			s.take(sp)
			return
		}
	}
	p.reserveGangRoom(w)
}

// chooseGangSlots chooses machines for a gang: from one shard if any has the room,
// else from one zone, else from anywhere unless the zone has to be one.
func (p *schedulingPass) chooseGangSlots(w *queuedJob) []*slot {
	var best []*slot
	bestScore := 0.0
	try := func(in func(part, zone int) bool, penalty float64) {
		if p.available.capacityFor(w.job, in) < len(w.tasks) {
			return
		}
		chosen, score := p.pickSlots(w, func(s *slot) bool { return in(s.shard, s.zone) })
		if chosen != nil && (best == nil || score+penalty < bestScore) {
			best, bestScore = chosen, score+penalty
		}
	}
	for _, x := range p.node.shards {
		try(func(part, _ int) bool { return part == x.Index }, 0)
	}
	if best != nil && len(w.tasks) == 1 {
		return best
	}
	for z := range p.node.names.Zones.Len() {
		try(func(part, zone int) bool { return zone == z && part >= 0 }, 10)
	}
	if !w.job.Record.Spec.SameZone {
		try(func(part, _ int) bool { return part >= 0 }, 20)
	}
	return best
}

// capacityFor bounds how many tasks of a job find room, from above.
func (x *slotSet) capacityFor(j *job, in func(part, zone int) bool) int {
	sp, sum := j.Record.Spec, 0
	for _, c := range x.classOrder {
		if !in(c.shard, c.zone) || !j.Allows(c.machineType, c.zone, c.spot) {
			continue
		}
		each := 1 << 10
		if sp.GPUs >= 1 {
			each = (c.gpus + 1) / int(sp.GPUs)
			if float64(c.gpus)+1 < sp.GPUs+epsilon {
				each = c.gpus / int(sp.GPUs)
			}
		}
		sum += each * len(*x.open[c])
	}
	return sum
}

// pickSlots chooses greedily and undoes its taking.
func (p *schedulingPass) pickSlots(w *queuedJob, ok func(*slot) bool) ([]*slot, float64) {
	sp := w.job.Record.Spec
	var chosen []*slot
	worst := 0.0
	zones := make([]int, p.node.names.Zones.Len())
	for range w.tasks {
		s := p.available.best(w.job, func(s *slot) bool {
			return ok(s) && !(sp.Spread && zones[s.zone] >= zoneLimit(sp))
		}, nil)
		if s == nil {
			break
		}
		worst = max(worst, p.node.score(w.job, s))
		s.take(sp)
		zones[s.zone]++
		chosen = append(chosen, s)
	}
	for _, s := range chosen {
		s.release(sp, 1)
	}
	if len(chosen) < len(w.tasks) {
		return nil, 0
	}
	return chosen, worst
}

// roomSource is a place that a gang which does not fit yet may get.
type roomSource struct {
	slot    *slot
	victims []victim
	drain   bool
	cost    float64
}

// gangRoom is how a gang could get its room in one zone.
type gangRoom struct {
	zone      int // -1: any
	sources   []roomSource
	provision int
	cost      float64
}

// reserveGangRoom makes room for a gang that does not fit yet, in the zone where
// that costs least: it keeps what is free, about to be free or booting, provisions,
// stops work that it may stop, and as the last resort keeps machines from
// being filled again until what runs there has ended.
func (p *schedulingPass) reserveGangRoom(w *queuedJob) {
	sp := w.job.Record.Spec
	mayEvict := p.mayPreempt(w)
	var best *gangRoom
	if sp.SameZone && w.job.Zone < 0 {
		for z := range p.node.names.Zones.Len() {
			if c := p.searchRoom(w, z, mayEvict); best == nil || c.cost < best.cost {
				best = c
			}
		}
	} else {
		best = p.searchRoom(w, w.job.Zone, mayEvict)
	}
	w.job.gangZone = best.zone
	stopped := false
	for _, x := range best.sources {
		if w == p.starved && x.slot.machine != nil {
			p.reservations = append(p.reservations, wire.Reservation{Host: x.slot.machine.name, Ref: w.job.ID})
		}
		switch {
		case len(x.victims) > 0:
			if p.stopVictims(w, x.victims) {
				stopped = true
			}
			x.slot.reserved = true
		case x.drain:
			x.slot.reserved = true
		default:
			x.slot.take(sp)
		}
	}
	if stopped {
		w.job.preemptAt = p.node.now + 3*p.node.cfg.HeartbeatInterval
	}
	for range best.provision {
		s := p.provisionFor(w, func(s *slot) bool { return best.zone < 0 || s.zone == best.zone })
		if s == nil {
			return
		}
		s.take(sp)
	}
}

// What the ways of making room for a task of a gang cost, in seconds of waiting.
const (
	bootingCost    = 15   // a machine that is on its way
	preemptionCost = 10   // stopping less urgent tasks, besides what they lose
	drainCost      = 60   // waiting for the tasks on a machine to end
	provisionCost  = 30   // a machine to be provisioned
	noCapacityCost = 1000 // where none can be had
	sameZoneBonus  = 10   // going on where room is being made already
)

// roomSearch works out where a gang's room in a zone could come from.
type roomSearch struct {
	pass    *schedulingPass
	queued  *queuedJob
	zone    int // -1: any
	sources []roomSource
	seen    map[*slot]bool
}

// enough tells whether there are more sources than the choice needs.
func (g *roomSearch) enough() bool { return len(g.sources) >= 4*len(g.queued.tasks) }

// elsewhere tells whether a machine is not in the zone.
func (g *roomSearch) elsewhere(s *slot) bool { return g.zone >= 0 && s.zone != g.zone }

// searchRoom works out what a gang's room in a zone would cost.
func (p *schedulingPass) searchRoom(w *queuedJob, zone int, mayEvict bool) *gangRoom {
	g := &roomSearch{pass: p, queued: w, zone: zone, seen: map[*slot]bool{}}
	canHire := p.canProvision(w.job, zone)
	g.addFree()
	if mayEvict || !canHire {
		g.addOccupied(mayEvict, !canHire)
	}
	slices.SortStableFunc(g.sources, func(a, b roomSource) int { return int(a.cost) - int(b.cost) })
	if canHire {
		if at := slices.IndexFunc(g.sources, func(x roomSource) bool { return x.cost > provisionCost }); at >= 0 {
			g.sources = g.sources[:at]
		}
	}
	return g.choose(canHire)
}

// add takes in a machine with free room, once for each task that it has room for.
func (g *roomSearch) add(s *slot, cost float64) {
	spec := g.queued.job.Record.Spec
	if s.reserved || g.seen[s] || g.elsewhere(s) || !s.accepts(g.queued.job) || !s.fitsAfterRelease(spec) {
		return
	}
	g.seen[s] = true
	// What it can take is worked out on a copy.
	for room := *s; room.fitsAfterRelease(spec) && !g.enough(); {
		room.set = nil
		room.take(spec)
		g.sources = append(g.sources, roomSource{slot: s, cost: cost})
	}
}

// addFree takes in room that is free, about to be free, or on its way.
func (g *roomSearch) addFree() {
	p := g.pass
	for _, k := range p.available.classOrder {
		if (g.zone < 0 || k.zone == g.zone) && g.queued.job.Allows(k.machineType, k.zone, k.spot) {
			for _, s := range *p.available.open[k] {
				p.node.workCount++
				g.add(s, 0)
			}
		}
	}
	for _, s := range p.available.releasing {
		g.add(s, 0)
	}
	for _, s := range p.expected.all {
		if g.enough() {
			break
		}
		g.add(s, bootingCost)
	}
}

// addOccupied takes in machines whose tasks could be stopped or waited for.
func (g *roomSearch) addOccupied(mayEvict, mayDrain bool) {
	p, w := g.pass, g.queued
	for _, s := range p.available.all {
		if g.elsewhere(s) || s.reserved || g.seen[s] || s.machine.lowestPriority == noPriority || !s.accepts(w.job) {
			continue
		}
		p.node.workCount++
		if mayEvict && s.machine.lowestPriority <= w.job.Priority {
			if victims, ok := p.victimsOn(w, s, false); ok {
				cost := float64(preemptionCost)
				for _, x := range victims {
					cost += x.cost / 4
				}
				g.sources = append(g.sources, roomSource{slot: s, victims: victims, cost: cost})
				continue
			}
		}
		if mayDrain {
			if _, ok := p.victimsOn(w, s, true); ok {
				g.sources = append(g.sources, roomSource{slot: s, drain: true, cost: drainCost})
			}
		}
	}
}

// choose takes the cheapest sources, and machines to be provisioned for the rest.
func (g *roomSearch) choose(canHire bool) *gangRoom {
	tasks := len(g.queued.tasks)
	c := &gangRoom{zone: g.zone, sources: g.sources[:min(len(g.sources), tasks)]}
	for _, x := range c.sources {
		c.cost += x.cost
	}
	c.provision = tasks - len(c.sources)
	c.cost += float64(c.provision) * provisionCost
	if c.provision > 0 && !canHire {
		c.cost += noCapacityCost * float64(c.provision)
	}
	if g.zone >= 0 && g.zone == g.queued.job.gangZone {
		c.cost -= sameZoneBonus
	}
	return c
}
