package core

import (
	"slices"

	"micaport/internal/wire"
)

const (
	// newShardPenalty is the cost, in seconds of waiting, of spreading a job over one more shard
	// when writes are scarce: the owner of each shard has to write the job's record.
	newShardPenalty = 8
	// foreignShardPenalty is the cost, in seconds of waiting, of starting a job of the lowest
	// priority in a shard that the leader does not own. In its own shards a grant names the machine
	// too, which saves a write. The same penalty applies to starting a large array in another shard
	// than the one chosen by the array's index.
	foreignShardPenalty = 3
	// largeArrayScarcity replaces the scarcity of writes, which is at most 1, in the penalty for
	// one more shard of a large array: the owners of all its shards and the leader write its
	// record, and their writes conflict.
	largeArrayScarcity = 2
	// maxSpotWaitTime is how long tasks that may run on spot machines wait for one, somewhat longer
	// than a machine takes to boot.
	maxSpotWaitTime = 40 * second
	// urgentPriority is the lowest priority at which tasks don't wait for spot machines.
	urgentPriority = 2
	// maxUnmetDemands bounds the unmet demands that a pass records.
	maxUnmetDemands = 16
)

// currentRecord returns the job's record including the changes made in this pass.
func (p *schedulingPass) currentRecord(job *job) *wire.Job {
	if record := p.writer.changedRecords[job.Index]; record != nil {
		return record
	}
	return job.Record
}

// unmetDemand is the demand of a task for which no slot was free in this pass.
type unmetDemand struct {
	cores, gpus, memoryGB float64
	zone                  int // -1: any
	anyType, allowSpot    bool
	avoidsIdleOnDemand    bool // the task avoided idle on-demand machines
}

// matchesUnmetDemand reports whether no slot was free in this pass for an earlier task that needed
// no more capacity than a task of this job and was allowed on all machines that this job allows.
func (p *schedulingPass) matchesUnmetDemand(job *job, avoidsIdleOnDemand bool) bool {
	spec := job.Record.Spec
	for i := range p.unmetDemands {
		unmet := &p.unmetDemands[i]
		if unmet.anyType && (unmet.zone < 0 || unmet.zone == job.Zone) &&
			(unmet.allowSpot || !job.AllowSpot) &&
			(!unmet.avoidsIdleOnDemand || avoidsIdleOnDemand) &&
			unmet.cores <= spec.Cores+epsilon && unmet.gpus <= spec.GPUs+epsilon && unmet.memoryGB <= spec.MemoryGB+epsilon {
			return true
		}
	}
	return false
}

// recordUnmetDemand records that no slot was free for a task of a job, unless the cause may be
// that the job avoids machines that have failed it.
func (p *schedulingPass) recordUnmetDemand(job *job, avoidsIdleOnDemand bool) {
	if spec := job.Record.Spec; len(job.Record.FailedMachines) == 0 && len(p.unmetDemands) < maxUnmetDemands {
		p.unmetDemands = append(p.unmetDemands, unmetDemand{spec.Cores, spec.GPUs, spec.MemoryGB, job.Zone, job.AnyType, job.AllowSpot, avoidsIdleOnDemand})
	}
}

// serveTask grants or plans the next task of an array or daemon, whose tasks are granted one by
// one, or as many tasks of a large array as fit a machine. It reports whether more tasks of the
// job may be served.
func (p *schedulingPass) serveTask(queued *queuedJob) bool {
	if queued.remainingRuns <= 0 || p.admissionPass == nil && !p.checkLimit(queued.job, 1) {
		return false
	}
	if queued.zoneTasks == nil {
		p.countTasks(queued)
	}
	allowed := p.placementRule(queued)
	if p.admissionPass != nil {
		return p.grantOnAvailable(queued, func(slot *slot) bool { return allowed(slot) && p.mayAdmit(queued.job, 1, slot.shard) })
	}
	if p.grantOnAvailable(queued, allowed) {
		return true
	}
	queued.noFreeSlot = true
	p.unplacedTasks++
	p.recordWaitingSince(queued.job)
	return p.planOnReleasing(queued, allowed) || p.planOnExpected(queued, allowed)
}

// countTasks sets the number of a job's active tasks by zone and by shard. The zones include the
// changes made in this pass.
func (p *schedulingPass) countTasks(queued *queuedJob) {
	queued.zoneTasks = p.node.zoneTasks(p.currentRecord(queued.job))
	queued.shardTasks = make([]int, len(p.node.shards))
	for i := range queued.job.Record.ActiveTasks {
		queued.shardTasks[queued.job.Record.ActiveTasks[i].Shard]++
	}
}

// placementRule returns a function that reports whether the next task of a job may be planned on
// a slot, available or expected. It depends on the slot's zone and on whether it is an idle
// on-demand machine.
func (p *schedulingPass) placementRule(queued *queuedJob) func(*slot) bool {
	spec, zoneTasks := queued.job.Record.Spec, queued.zoneTasks
	queued.avoidsIdleOnDemand = p.avoidsIdleOnDemand(queued)
	return func(slot *slot) bool {
		// Expected machines are excluded too: a task planned on an on-demand machine that it will
		// not use would wait while no spot machine is provisioned.
		if queued.avoidsIdleOnDemand && !slot.spot && slot.isIdle() {
			return false
		}
		return allowsZone(spec, zoneTasks, slot.zone)
	}
}

// shardPenalty returns a function that returns the cost, in seconds of waiting, of placing the
// next task of a job in the shard of a slot.
func (p *schedulingPass) shardPenalty(queued *queuedJob) func(*slot) float64 {
	job, scarcity := queued.job, p.node.writeScarcity()
	started := len(job.Record.ActiveTasks) > 0 || p.writer.changedRecords[job.Index] != nil
	if job.LargeArray {
		scarcity = largeArrayScarcity
	}
	return func(slot *slot) float64 {
		switch {
		case slot.shard < 0:
			return 0
		case started && queued.shardTasks[slot.shard] == 0:
			return newShardPenalty * scarcity
		case job.LargeArray: // large arrays start in different shards
			return foreignShardPenalty * float64(boolToInt(!started && slot.shard != job.Index%len(p.node.shards)))
		case !started && job.Priority == 0 && !p.node.owns(p.node.shards[slot.shard]):
			return foreignShardPenalty * scarcity
		}
		return 0
	}
}

// hasNoZoneConstraint reports whether the zones of a job's tasks are independent of each other,
// so that a search without result for one task is valid for the others too.
func (q *queuedJob) hasNoZoneConstraint() bool {
	return !q.job.Record.Spec.Spread && !q.job.Record.Spec.SameZone
}

// runLengthOn returns how many of a job's next tasks are planned on a slot together: one, or as
// many as the slot and mayCharge allow for a large array.
func (p *schedulingPass) runLengthOn(queued *queuedJob, slot *slot) int {
	if !queued.job.LargeArray {
		return 1
	}
	tasks := min(slot.capacityFor(queued.job.Record.Spec), len(queued.tasks), maxRunLength)
	for tasks > 1 && !p.mayCharge(queued.job, tasks, slot) {
		tasks--
	}
	return max(1, tasks)
}

// planTasks allocates a slot's capacity to the next tasks of a job and removes these tasks from the
// queued ones. Tasks that are planned on an expected machine count in their zone too; otherwise all
// tasks would be planned in the same zone.
func (q *queuedJob) planTasks(slot *slot, tasks int) {
	slot.release(q.job.Record.Spec, -tasks)
	q.zoneTasks[slot.zone] += tasks
	q.tasks = q.tasks[tasks:]
	q.remainingRuns--
}

// grantOnAvailable grants the next tasks of a job to the best slot with free capacity. It returns
// false if no such slot exists.
func (p *schedulingPass) grantOnAvailable(queued *queuedJob, allowed func(*slot) bool) bool {
	job := queued.job
	if queued.noFreeSlot || p.matchesUnmetDemand(job, queued.avoidsIdleOnDemand) {
		return false
	}
	target := p.available.best(job, allowed, p.shardPenalty(queued))
	if target == nil {
		if queued.hasNoZoneConstraint() && p.admissionPass == nil { // an owner's share of the limit may be the cause
			p.recordUnmetDemand(job, queued.avoidsIdleOnDemand)
		}
		return false
	}
	// If the transaction is full, the capacity is allocated nevertheless, so that jobs served later
	// don't use it and the machine is not drained as idle.
	tasks := p.runLengthOn(queued, target)
	if p.grant(job, queued.tasks[:tasks], slices.Repeat([]*slot{target}, tasks)) {
		queued.shardTasks[target.shard] += tasks
	} else {
		p.charge(job, tasks)
	}
	target.addFetch(job)
	queued.planTasks(target, tasks)
	job.waitingSince = 0
	return true
}

// planOnReleasing plans the next task of a job on capacity that is about to be released, or
// preempts other tasks for it. Large arrays only use capacity that is free.
func (p *schedulingPass) planOnReleasing(queued *queuedJob, allowed func(*slot) bool) bool {
	if queued.noReleasingSlot || queued.job.LargeArray {
		return false
	}
	for _, slot := range p.available.releasing {
		if slot.accepts(queued.job) && slot.fitsAfterRelease(queued.job.Record.Spec) && allowed(slot) {
			queued.planTasks(slot, 1)
			return true
		}
	}
	if slot := p.preempt(queued, allowed); slot != nil {
		queued.planTasks(slot, 1)
		return true
	}
	queued.noReleasingSlot = queued.hasNoZoneConstraint()
	return false
}

// planOnExpected plans the next tasks of a job on an expected machine, or on one that it plans to
// provision. A later pass grants them once the machine is up.
func (p *schedulingPass) planOnExpected(queued *queuedJob, allowed func(*slot) bool) bool {
	job := queued.job
	var target *slot
	if !queued.noExpectedSlot {
		target = p.expected.best(job, allowed, nil)
		queued.noExpectedSlot = target == nil && queued.hasNoZoneConstraint()
	}
	if target == nil {
		// Only spot machines are provisioned for backfill; see isBackfill.
		target = p.provisionFor(job, func(slot *slot) bool { return allowed(slot) && (slot.spot || !p.isBackfill(queued)) })
	}
	if target == nil {
		return false
	}
	// The tasks are charged, so that no more is provisioned than the team's limit allows.
	tasks := p.runLengthOn(queued, target)
	p.charge(job, tasks)
	queued.planTasks(target, tasks)
	return true
}

// avoidsIdleOnDemand reports whether the next task of a job should wait for a spot machine rather
// than use an idle on-demand machine. On-demand machines are meant for whole-machine gangs and
// daemons, and cost several times more. Backfill always avoids them.
func (p *schedulingPass) avoidsIdleOnDemand(queued *queuedJob) bool {
	job, spec := queued.job, queued.job.Record.Spec
	if p.isBackfill(queued) {
		return true
	}
	if !spec.AllowSpot || job.Priority >= urgentPriority || job.waitingSince != 0 && p.node.now-job.waitingSince > maxSpotWaitTime {
		return false
	}
	for _, class := range p.expected.classOrder {
		if class.spot && float64(class.gpus) >= spec.GPUs &&
			len(*p.expected.byClass[class]) > 0 &&
			job.Allows(class.machineType, class.zone, true) {
			return true
		}
	}
	scaler := &p.node.leader.autoscaler
	return slices.ContainsFunc(p.poolsFor(job), func(pool pricedPool) bool {
		return pool.spot && scaler.mayRequest(p.node.now, pool.machinePool)
	})
}
