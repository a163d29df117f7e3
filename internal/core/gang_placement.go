package core

import (
	"slices"

	"micaport/internal/wire"
)

// serveGang grants a whole gang or nothing.
func (pass *schedulingPass) serveGang(queued *queuedJob) {
	job, spec := queued.job, queued.job.Record.Spec
	if pass.admission != nil {
		pass.admitGang(queued)
		return
	}
	if !pass.hasQuota(job, len(queued.tasks)) {
		// Its team's smaller jobs would take what becomes free of the limit
		// for ever: after its timeout the limit is kept for it.
		pass.noteWaiting(job)
		if job.Team >= 0 && pass.node.now-job.waitingSince > gangStarvationTime {
			pass.charge(job, len(queued.tasks))
		}
		return
	}
	if chosen := pass.chooseGangSlots(queued); chosen != nil {
		if !pass.grant(job, queued.tasks, chosen) {
			pass.charge(job, len(queued.tasks))
		}
		for _, s := range chosen {
			s.noteFetch(job)
			s.take(spec)
		}
		job.rememberPosition()
		return
	}
	pass.noteWaiting(job)
	pass.unplacedTasks += len(queued.tasks)
	if len(queued.tasks) == 1 {
		for _, s := range pass.available.releasing {
			if s.accepts(job) && s.fitsAfterRelease(spec) {
				s.take(spec)
				return
			}
		}
		if s := pass.preempt(queued, func(*slot) bool { return true }); s != nil {
			s.take(spec)
			return
		}
	}
	pass.reserveGangRoom(queued)
}

// chooseGangSlots chooses machines for a gang: from one shard if any has the room,
// else from one zone, else from anywhere unless the zone has to be one.
func (pass *schedulingPass) chooseGangSlots(queued *queuedJob) []*slot {
	var best []*slot
	bestScore := 0.0
	try := func(in func(part, zone int) bool, penalty float64) {
		if pass.available.capacityFor(queued.job, in) < len(queued.tasks) {
			return
		}
		chosen, score := pass.pickSlots(queued, func(s *slot) bool { return in(s.shard, s.zone) })
		if chosen != nil && (best == nil || score+penalty < bestScore) {
			best, bestScore = chosen, score+penalty
		}
	}
	for _, shard := range pass.node.shards {
		try(func(part, _ int) bool { return part == shard.Index }, 0)
	}
	if best != nil && len(queued.tasks) == 1 {
		return best
	}
	for z := range pass.node.names.Zones.Len() {
		try(func(part, zone int) bool { return zone == z && part >= 0 }, 10)
	}
	if !queued.job.Record.Spec.SameZone {
		try(func(part, _ int) bool { return part >= 0 }, 20)
	}
	return best
}

// pickSlots chooses greedily and undoes its taking.
func (pass *schedulingPass) pickSlots(queued *queuedJob, ok func(*slot) bool) ([]*slot, float64) {
	spec := queued.job.Record.Spec
	var chosen []*slot
	worst := 0.0
	zones := make([]int, pass.node.names.Zones.Len())
	for range queued.tasks {
		s := pass.available.best(queued.job, func(s *slot) bool {
			return ok(s) && !(spec.Spread && zones[s.zone] >= zoneLimit(spec))
		}, nil)
		if s == nil {
			break
		}
		worst = max(worst, pass.node.score(queued.job, s))
		s.take(spec)
		zones[s.zone]++
		chosen = append(chosen, s)
	}
	for _, s := range chosen {
		s.release(spec, 1)
	}
	if len(chosen) < len(queued.tasks) {
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
func (pass *schedulingPass) reserveGangRoom(queued *queuedJob) {
	spec := queued.job.Record.Spec
	mayEvict := pass.mayPreempt(queued)
	var best *gangRoom
	if spec.SameZone && queued.job.Zone < 0 {
		for z := range pass.node.names.Zones.Len() {
			if c := pass.searchRoom(queued, z, mayEvict); best == nil || c.cost < best.cost {
				best = c
			}
		}
	} else {
		best = pass.searchRoom(queued, queued.job.Zone, mayEvict)
	}
	queued.job.gangZone = best.zone
	stopped := false
	for _, x := range best.sources {
		if queued == pass.starved && x.slot.machine != nil {
			pass.reservations = append(pass.reservations, wire.Reservation{Host: x.slot.machine.name, Ref: queued.job.ID})
		}
		switch {
		case len(x.victims) > 0:
			if pass.stopVictims(queued, x.victims) {
				stopped = true
			}
			x.slot.reserved = true
		case x.drain:
			x.slot.reserved = true
		default:
			x.slot.take(spec)
		}
	}
	if stopped {
		queued.job.preemptAt = pass.node.now + 3*pass.node.cfg.HeartbeatInterval
	}
	for range best.provision {
		s := pass.provisionFor(queued.job, func(s *slot) bool { return best.zone < 0 || s.zone == best.zone })
		if s == nil {
			return
		}
		s.take(spec)
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
func (g *roomSearch) elsewhere(slot *slot) bool { return g.zone >= 0 && slot.zone != g.zone }

// searchRoom works out what a gang's room in a zone would cost.
func (pass *schedulingPass) searchRoom(queued *queuedJob, zone int, mayEvict bool) *gangRoom {
	g := &roomSearch{pass: pass, queued: queued, zone: zone, seen: map[*slot]bool{}}
	canHire := pass.canProvision(queued.job, zone)
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
func (g *roomSearch) add(slot *slot, cost float64) {
	spec := g.queued.job.Record.Spec
	if slot.reserved || g.seen[slot] || g.elsewhere(slot) || !slot.accepts(g.queued.job) || !slot.fitsAfterRelease(spec) {
		return
	}
	g.seen[slot] = true
	// What it can take is worked out on a copy.
	for room := *slot; room.fitsAfterRelease(spec) && !g.enough(); {
		room.set = nil
		room.take(spec)
		g.sources = append(g.sources, roomSource{slot: slot, cost: cost})
	}
}

// addFree takes in room that is free, about to be free, or on its way.
func (g *roomSearch) addFree() {
	pass := g.pass
	for _, k := range pass.available.classOrder {
		if (g.zone < 0 || k.zone == g.zone) && g.queued.job.Allows(k.machineType, k.zone, k.spot) {
			for _, slot := range *pass.available.open[k] {
				pass.node.workCount++
				g.add(slot, 0)
			}
		}
	}
	for _, slot := range pass.available.releasing {
		g.add(slot, 0)
	}
	for _, slot := range pass.expected.all {
		if g.enough() {
			break
		}
		g.add(slot, bootingCost)
	}
}

// addOccupied takes in machines whose tasks could be stopped or waited for.
func (g *roomSearch) addOccupied(mayEvict, mayDrain bool) {
	pass, queued := g.pass, g.queued
	for _, slot := range pass.available.all {
		if g.elsewhere(slot) || slot.reserved || g.seen[slot] || slot.machine.lowestPriority == noPriority || !slot.accepts(queued.job) {
			continue
		}
		pass.node.workCount++
		if mayEvict && slot.machine.lowestPriority <= queued.job.Priority {
			if victims, ok := pass.victimsOn(queued, slot, false); ok {
				cost := float64(preemptionCost)
				for _, x := range victims {
					cost += x.cost / 4
				}
				g.sources = append(g.sources, roomSource{slot: slot, victims: victims, cost: cost})
				continue
			}
		}
		if mayDrain {
			if _, ok := pass.victimsOn(queued, slot, true); ok {
				g.sources = append(g.sources, roomSource{slot: slot, drain: true, cost: drainCost})
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
