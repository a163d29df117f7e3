package core

import (
	"slices"

	"micaport/internal/wire"
)

// Costs, in seconds of waiting, of the ways to obtain capacity for one task of a gang.
const (
	bootingCost    = 15   // on a machine that is expected
	preemptionCost = 10   // by preempting tasks, in addition to the costs of these tasks
	taskWaitCost   = 60   // by waiting until the tasks on a machine have ended
	provisionCost  = 30   // on a machine to be provisioned
	noCapacityCost = 1000 // added where no machine can be provisioned
	sameZoneBonus  = 10   // subtracted for the zone where capacity is already being reserved

	// victimCostDivisor divides the cost of preempting a task, which is lost work rather than
	// waiting time.
	victimCostDivisor = 4
	// maxSourcesPerTask bounds the number of free, releasing and expected sources that a search
	// collects for each task of the gang.
	maxSourcesPerTask = 4
)

// capacitySource is a slot that can provide capacity for one task of a gang.
type capacitySource struct {
	slot          *slot
	victims       []victim // tasks to be preempted first
	waitsForTasks bool     // the tasks on the machine have to end first
	cost          float64
}

// gangReservation is a plan for obtaining the capacity for a gang.
type gangReservation struct {
	zone                int // -1: any
	sources             []capacitySource
	machinesToProvision int // number of machines to be provisioned
	cost                float64
}

// reserveForGang reserves capacity for a gang that does not fit yet, in the zone where the cost
// is lowest. It uses capacity that is free, about to be released or expected, provisions
// machines, preempts tasks where permitted, and as a last resort reserves machines until their
// tasks end.
func (p *schedulingPass) reserveForGang(queued *queuedJob) {
	spec := queued.job.Record.Spec
	best := p.cheapestReservation(queued)
	queued.job.gangZone = best.zone
	preempted := false
	for _, source := range best.sources {
		if queued == p.longestWaitingGang && source.slot.machine != nil {
			p.reservations = append(p.reservations, wire.Reservation{Host: source.slot.machine.name, Ref: queued.job.ID})
		}
		switch {
		case len(source.victims) > 0:
			if p.stopVictims(queued, source.victims) {
				preempted = true
			}
			source.slot.reserved = true
		case source.waitsForTasks:
			source.slot.reserved = true
		default:
			source.slot.allocate(spec)
		}
	}
	if preempted {
		queued.job.nextPreemptionAt = p.node.now + exitHeartbeats*p.node.cfg.HeartbeatInterval
	}
	for range best.machinesToProvision {
		added := p.provisionFor(queued.job, func(slot *slot) bool { return best.zone < 0 || slot.zone == best.zone })
		if added == nil {
			return
		}
		added.allocate(spec)
	}
}

// cheapestReservation returns the plan with the lowest cost. If all tasks of the gang have to be
// in one zone, it compares the zones.
func (p *schedulingPass) cheapestReservation(queued *queuedJob) *gangReservation {
	mayPreempt := p.mayPreempt(queued)
	if !queued.job.Record.Spec.SameZone || queued.job.Zone >= 0 {
		return p.searchReservation(queued, queued.job.Zone, mayPreempt)
	}
	var best *gangReservation
	for zone := range p.node.names.Zones.Len() {
		if reservation := p.searchReservation(queued, zone, mayPreempt); best == nil || reservation.cost < best.cost {
			best = reservation
		}
	}
	return best
}

// reservationSearch collects the sources of capacity for a gang in a zone.
type reservationSearch struct {
	pass    *schedulingPass
	queued  *queuedJob
	zone    int // -1: any
	sources []capacitySource
	added   map[*slot]bool
}

// searchReservation returns the plan for a gang in a zone, or in any zone if it is -1.
func (p *schedulingPass) searchReservation(queued *queuedJob, zone int, mayPreempt bool) *gangReservation {
	search := &reservationSearch{pass: p, queued: queued, zone: zone, added: map[*slot]bool{}}
	canProvision := p.canProvision(queued.job, zone)
	search.addFreeSlots()
	if mayPreempt || !canProvision {
		search.addOccupiedSlots(mayPreempt, !canProvision)
	}
	slices.SortStableFunc(search.sources, func(a, b capacitySource) int { return int(a.cost) - int(b.cost) })
	if canProvision { // sources that cost more than a new machine are not used
		if at := slices.IndexFunc(search.sources, func(source capacitySource) bool { return source.cost > provisionCost }); at >= 0 {
			search.sources = search.sources[:at]
		}
	}
	return search.choosePlan(canProvision)
}

// hasEnoughSources reports whether the search has collected maxSourcesPerTask sources for each
// task.
func (r *reservationSearch) hasEnoughSources() bool {
	return len(r.sources) >= maxSourcesPerTask*len(r.queued.tasks)
}

// isOutsideZone reports whether a slot is outside the zone of the search.
func (r *reservationSearch) isOutsideZone(slot *slot) bool {
	return r.zone >= 0 && slot.zone != r.zone
}

// addSlot adds a slot to the sources once for each task that fits into its capacity, including the
// capacity about to be released.
func (r *reservationSearch) addSlot(slot *slot, cost float64) {
	spec := r.queued.job.Record.Spec
	if slot.reserved || r.added[slot] || r.isOutsideZone(slot) || !slot.accepts(r.queued.job) || !slot.fitsAfterRelease(spec) {
		return
	}
	r.added[slot] = true
	for remaining := *slot; remaining.fitsAfterRelease(spec) && !r.hasEnoughSources(); {
		remaining.set = nil // the copy is in no set
		remaining.allocate(spec)
		r.sources = append(r.sources, capacitySource{slot: slot, cost: cost})
	}
}

// addFreeSlots adds slots whose capacity is free, about to be released, or expected.
func (r *reservationSearch) addFreeSlots() {
	pass := r.pass
	for _, class := range pass.available.classOrder {
		if (r.zone < 0 || class.zone == r.zone) && r.queued.job.Allows(class.machineType, class.zone, class.spot) {
			for _, slot := range *pass.available.byClass[class] {
				pass.node.examinedMachines++
				r.addSlot(slot, 0)
			}
		}
	}
	for _, slot := range pass.available.releasing {
		r.addSlot(slot, 0)
	}
	for _, slot := range pass.expected.all {
		if r.hasEnoughSources() {
			break
		}
		r.addSlot(slot, bootingCost)
	}
}

// addOccupiedSlots adds slots on which a task fits once other tasks have been preempted (with
// mayPreempt set) or have ended by themselves (with mayWaitForTasks set).
func (r *reservationSearch) addOccupiedSlots(mayPreempt, mayWaitForTasks bool) {
	pass, queued := r.pass, r.queued
	for _, slot := range pass.available.all {
		if r.isOutsideZone(slot) || slot.reserved || r.added[slot] ||
			slot.machine.lowestPriority == noPriority ||
			!slot.accepts(queued.job) {
			continue
		}
		pass.node.examinedMachines++
		if mayPreempt && slot.machine.lowestPriority <= queued.job.Priority {
			if victims, fits := pass.victimsOn(queued, slot, false); fits {
				cost := float64(preemptionCost)
				for _, victim := range victims {
					cost += victim.cost / victimCostDivisor
				}
				r.sources = append(r.sources, capacitySource{slot: slot, victims: victims, cost: cost})
				continue
			}
		}
		if mayWaitForTasks {
			if _, fits := pass.victimsOn(queued, slot, true); fits {
				r.sources = append(r.sources, capacitySource{slot: slot, waitsForTasks: true, cost: taskWaitCost})
			}
		}
	}
}

// choosePlan returns a plan that uses the cheapest sources and provisions machines for the
// remaining tasks.
func (r *reservationSearch) choosePlan(canProvision bool) *gangReservation {
	tasks := len(r.queued.tasks)
	reservation := &gangReservation{zone: r.zone, sources: r.sources[:min(len(r.sources), tasks)]}
	for _, source := range reservation.sources {
		reservation.cost += source.cost
	}
	reservation.machinesToProvision = tasks - len(reservation.sources)
	reservation.cost += float64(reservation.machinesToProvision) * provisionCost
	if reservation.machinesToProvision > 0 && !canProvision {
		reservation.cost += noCapacityCost * float64(reservation.machinesToProvision)
	}
	if r.zone >= 0 && r.zone == r.queued.job.gangZone {
		reservation.cost -= sameZoneBonus
	}
	return reservation
}
