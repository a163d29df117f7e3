package core

// Penalties, in seconds of waiting, for a gang in several shards, whose owners have to coordinate
// its placement, and in several zones, where its tasks are also far from each other.
const (
	severalShardsPenalty = 10
	severalZonesPenalty  = 20
)

// serveGang grants all tasks of a gang or none.
func (p *schedulingPass) serveGang(queued *queuedJob) {
	job, spec := queued.job, queued.job.Record.Spec
	if p.admissionPass != nil {
		p.admitGang(queued)
		return
	}
	if !p.checkLimit(job, len(queued.tasks)) {
		// Smaller jobs of the team could always use what becomes free within the limit before it
		// suffices for the gang. After the delay the gang's demand is therefore charged to the team
		// before later jobs are served.
		p.recordWaitingSince(job)
		if job.Team >= 0 && p.node.now-job.waitingSince > gangReservationDelay {
			p.charge(job, len(queued.tasks))
		}
		return
	}
	if chosen := p.chooseGangSlots(queued); chosen != nil {
		if !p.grant(job, queued.tasks, chosen) {
			p.charge(job, len(queued.tasks))
		}
		for _, slot := range chosen {
			slot.addFetch(job)
			slot.allocate(spec)
		}
		job.saveQueuePosition()
		return
	}
	p.recordWaitingSince(job)
	p.unplacedTasks += len(queued.tasks)
	if len(queued.tasks) == 1 && p.planSingleTaskGang(queued) {
		return
	}
	p.reserveForGang(queued)
}

// planSingleTaskGang plans a gang of one task on capacity that is about to be released, or
// preempts other tasks for it. It reports whether it found capacity.
func (p *schedulingPass) planSingleTaskGang(queued *queuedJob) bool {
	job, spec := queued.job, queued.job.Record.Spec
	for _, slot := range p.available.releasing {
		if slot.accepts(job) && slot.fitsAfterRelease(spec) {
			slot.allocate(spec)
			return true
		}
	}
	if slot := p.preempt(queued, acceptAny); slot != nil {
		slot.allocate(spec)
		return true
	}
	return false
}

// chooseGangSlots chooses slots for all tasks of a gang: in one shard, in several shards of one
// zone, or, unless all tasks have to be in one zone, in several zones. It returns the choice with
// the lowest score including the penalties, or nil if the tasks don't fit.
func (p *schedulingPass) chooseGangSlots(queued *queuedJob) []*slot {
	var best []*slot
	bestScore := 0.0
	consider := func(matches func(shardIndex, zone int) bool, penalty float64) {
		if p.available.capacityFor(queued.job, matches) < len(queued.tasks) {
			return
		}
		chosen, score := p.pickSlots(queued, func(slot *slot) bool { return matches(slot.shard, slot.zone) })
		if chosen != nil && (best == nil || score+penalty < bestScore) {
			best, bestScore = chosen, score+penalty
		}
	}
	for _, shard := range p.node.shards {
		consider(func(shardIndex, _ int) bool { return shardIndex == shard.Index }, 0)
	}
	if best != nil && len(queued.tasks) == 1 {
		return best
	}
	for gangZone := range p.node.names.Zones.Len() {
		consider(func(shardIndex, zone int) bool { return zone == gangZone && shardIndex >= 0 }, severalShardsPenalty)
	}
	if !queued.job.Record.Spec.SameZone {
		consider(func(shardIndex, _ int) bool { return shardIndex >= 0 }, severalZonesPenalty)
	}
	return best
}

// pickSlots chooses the best slot for each task of a gang in turn, among those that allowed
// accepts. It returns the slots and the highest of their scores, or nil if not all tasks fit. It
// leaves the slots unallocated.
func (p *schedulingPass) pickSlots(queued *queuedJob, allowed func(*slot) bool) ([]*slot, float64) {
	spec := queued.job.Record.Spec
	var chosen []*slot
	worst := 0.0
	zoneTasks := make([]int, p.node.names.Zones.Len())
	accept := func(slot *slot) bool {
		return allowed(slot) && !(spec.Spread && zoneTasks[slot.zone] >= zoneLimit(spec))
	}
	for range queued.tasks {
		next := p.available.best(queued.job, accept, nil)
		if next == nil {
			break
		}
		worst = max(worst, p.node.score(queued.job, next))
		next.allocate(spec)
		zoneTasks[next.zone]++
		chosen = append(chosen, next)
	}
	for _, slot := range chosen {
		slot.release(spec, 1)
	}
	if len(chosen) < len(queued.tasks) {
		return nil, 0
	}
	return chosen, worst
}

// admitGang admits all tasks of a gang in one shard of this controller, if any has the capacity
// and a sufficient share of the limit.
func (p *schedulingPass) admitGang(queued *queuedJob) {
	tasks := len(queued.tasks)
	for _, shard := range p.node.shards {
		inShard := func(shardIndex, _ int) bool { return shardIndex == shard.Index }
		if !p.node.mayActAsOwner(shard) ||
			!p.mayAdmit(queued.job, tasks, shard.Index) ||
			p.available.capacityFor(queued.job, inShard) < tasks {
			continue
		}
		chosen, _ := p.pickSlots(queued, func(slot *slot) bool { return slot.shard == shard.Index })
		if chosen == nil || !p.grant(queued.job, queued.tasks, chosen) {
			continue
		}
		for _, slot := range chosen {
			slot.allocate(queued.job.Record.Spec)
		}
		return
	}
}
