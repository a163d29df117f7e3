package core

// Penalties, in seconds of waiting, of placing a gang in several shards: their owners have to
// agree on it. In several zones its tasks are also far from each other.
const (
	severalShardsPenalty = 10
	severalZonesPenalty  = 20
)

// serveGang grants a whole gang or nothing.
func (p *schedulingPass) serveGang(queued *queuedJob) {
	job, spec := queued.job, queued.job.Record.Spec
	if p.admission != nil {
		p.admitGang(queued)
		return
	}
	if !p.hasQuota(job, len(queued.tasks)) {
		// Its team's smaller jobs would use what becomes free of the limit
		// for ever: after the delay the limit is reserved for it.
		p.noteWaiting(job)
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
			slot.noteFetch(job)
			slot.allocate(spec)
		}
		job.rememberPosition()
		return
	}
	p.noteWaiting(job)
	p.unplacedTasks += len(queued.tasks)
	if len(queued.tasks) == 1 && p.planSingleTaskGang(queued) {
		return
	}
	p.reserveForGang(queued)
}

// planSingleTaskGang plans a gang of one task on capacity that is about to be released, or on
// which it preempts other tasks.
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

// chooseGangSlots chooses machines for the tasks of a gang: in one shard if any has the capacity,
// else in one zone, else anywhere unless all have to be in one zone. It returns nil if they
// don't fit.
func (p *schedulingPass) chooseGangSlots(queued *queuedJob) []*slot {
	var best []*slot
	bestScore := 0.0
	try := func(in func(shardIndex, zone int) bool, penalty float64) {
		if p.available.capacityFor(queued.job, in) < len(queued.tasks) {
			return
		}
		chosen, score := p.pickSlots(queued, func(slot *slot) bool { return in(slot.shard, slot.zone) })
		if chosen != nil && (best == nil || score+penalty < bestScore) {
			best, bestScore = chosen, score+penalty
		}
	}
	for _, shard := range p.node.shards {
		try(func(shardIndex, _ int) bool { return shardIndex == shard.Index }, 0)
	}
	if best != nil && len(queued.tasks) == 1 {
		return best
	}
	for gangZone := range p.node.names.Zones.Len() {
		try(func(shardIndex, zone int) bool { return zone == gangZone && shardIndex >= 0 }, severalShardsPenalty)
	}
	if !queued.job.Record.Spec.SameZone {
		try(func(shardIndex, _ int) bool { return shardIndex >= 0 }, severalZonesPenalty)
	}
	return best
}

// pickSlots chooses the best machine for each task of a gang in turn, among those that allowed
// accepts, and returns them with the worst of their scores; nil if the tasks don't all fit. What
// it allocates for the choice it releases again.
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

// admitGang admits a gang as a whole in one of our shards.
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
