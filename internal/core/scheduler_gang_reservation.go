package core

import (
	"slices"

	"micaport/internal/wire"
)

// Costs of the ways of getting capacity for a task of a gang, in seconds of waiting.
const (
	bootingCost    = 15   // a machine that is expected
	preemptionCost = 10   // preempting tasks, besides what they lose
	drainCost      = 60   // waiting for the tasks on a machine to end
	provisionCost  = 30   // a machine to be provisioned
	noCapacityCost = 1000 // where none can be provisioned
	sameZoneBonus  = 10   // for the zone where capacity is being reserved already

	// victimCostDivisor is what the cost of preempting a task is divided by: it is a loss of
	// work and not of time.
	victimCostDivisor = 4
	// sourcesPerTask bounds the sources that a reservation chooses from.
	sourcesPerTask = 4
)

// capacitySource is a machine that may become available to one task of a gang.
type capacitySource struct {
	slot    *slot
	victims []victim // to be preempted first
	drain   bool     // its tasks have to end first
	cost    float64
}

// gangReservation is how a gang gets its capacity in one zone.
type gangReservation struct {
	zone      int // -1: any
	sources   []capacitySource
	provision int // machines
	cost      float64
}

// reserveForGang reserves capacity for a gang that does not fit yet, in the zone where that costs
// least: what is free, about to be released or expected. It provisions, preempts what it may
// preempt, and as the last resort drains machines.
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
		case source.drain:
			source.slot.reserved = true
		default:
			source.slot.allocate(spec)
		}
	}
	if preempted {
		queued.job.preemptAt = p.node.now + exitHeartbeats*p.node.cfg.HeartbeatInterval
	}
	for range best.provision {
		added := p.provisionFor(queued.job, func(slot *slot) bool { return best.zone < 0 || slot.zone == best.zone })
		if added == nil {
			return
		}
		added.allocate(spec)
	}
}

// cheapestReservation works out how a gang gets its capacity at the least cost, in one zone if it
// has to be in one.
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

// reservationSearch works out where a gang's capacity in a zone could come from.
type reservationSearch struct {
	pass    *schedulingPass
	queued  *queuedJob
	zone    int // -1: any
	sources []capacitySource
	seen    map[*slot]bool
}

// searchReservation works out how a gang gets its capacity in a zone, or in any if it is -1.
func (p *schedulingPass) searchReservation(queued *queuedJob, zone int, mayPreempt bool) *gangReservation {
	search := &reservationSearch{pass: p, queued: queued, zone: zone, seen: map[*slot]bool{}}
	canProvision := p.canProvision(queued.job, zone)
	search.addFree()
	if mayPreempt || !canProvision {
		search.addOccupied(mayPreempt, !canProvision)
	}
	slices.SortStableFunc(search.sources, func(a, b capacitySource) int { return int(a.cost) - int(b.cost) })
	if canProvision {
		if at := slices.IndexFunc(search.sources, func(source capacitySource) bool { return source.cost > provisionCost }); at >= 0 {
			search.sources = search.sources[:at]
		}
	}
	return search.choose(canProvision)
}

// enough reports whether there are more sources than the choice needs.
func (r *reservationSearch) enough() bool {
	return len(r.sources) >= sourcesPerTask*len(r.queued.tasks)
}

// excludes reports whether a machine is in another zone.
func (r *reservationSearch) excludes(slot *slot) bool {
	return r.zone >= 0 && slot.zone != r.zone
}

// add adds a machine with free capacity, once for each task that fits.
func (r *reservationSearch) add(slot *slot, cost float64) {
	spec := r.queued.job.Record.Spec
	if slot.reserved || r.seen[slot] || r.excludes(slot) || !slot.accepts(r.queued.job) || !slot.fitsAfterRelease(spec) {
		return
	}
	r.seen[slot] = true
	for trial := *slot; trial.fitsAfterRelease(spec) && !r.enough(); {
		trial.set = nil
		trial.allocate(spec)
		r.sources = append(r.sources, capacitySource{slot: slot, cost: cost})
	}
}

// addFree adds machines whose capacity is free, about to be released, or expected.
func (r *reservationSearch) addFree() {
	pass := r.pass
	for _, class := range pass.available.classOrder {
		if (r.zone < 0 || class.zone == r.zone) && r.queued.job.Allows(class.machineType, class.zone, class.spot) {
			for _, slot := range *pass.available.open[class] {
				pass.node.workCount++
				r.add(slot, 0)
			}
		}
	}
	for _, slot := range pass.available.releasing {
		r.add(slot, 0)
	}
	for _, slot := range pass.expected.all {
		if r.enough() {
			break
		}
		r.add(slot, bootingCost)
	}
}

// addOccupied adds machines whose tasks could be preempted, or may be waited for.
func (r *reservationSearch) addOccupied(mayPreempt, mayDrain bool) {
	pass, queued := r.pass, r.queued
	for _, slot := range pass.available.all {
		if r.excludes(slot) || slot.reserved || r.seen[slot] ||
			slot.machine.lowestPriority == noPriority ||
			!slot.accepts(queued.job) {
			continue
		}
		pass.node.workCount++
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
		if mayDrain {
			if _, fits := pass.victimsOn(queued, slot, true); fits {
				r.sources = append(r.sources, capacitySource{slot: slot, drain: true, cost: drainCost})
			}
		}
	}
}

// choose takes the cheapest sources, and machines to be provisioned for the rest.
func (r *reservationSearch) choose(canProvision bool) *gangReservation {
	tasks := len(r.queued.tasks)
	reservation := &gangReservation{zone: r.zone, sources: r.sources[:min(len(r.sources), tasks)]}
	for _, source := range reservation.sources {
		reservation.cost += source.cost
	}
	reservation.provision = tasks - len(reservation.sources)
	reservation.cost += float64(reservation.provision) * provisionCost
	if reservation.provision > 0 && !canProvision {
		reservation.cost += noCapacityCost * float64(reservation.provision)
	}
	if r.zone >= 0 && r.zone == r.queued.job.gangZone {
		reservation.cost -= sameZoneBonus
	}
	return reservation
}
