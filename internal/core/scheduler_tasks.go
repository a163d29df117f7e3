package core

import (
	"slices"

	"micaport/internal/wire"
)

// Serving arrays and daemons, whose tasks are granted one by one.

const (
	// newShardPenalty is the cost, in seconds of waiting, of spreading a job over one more
	// shard when writes are scarce: each shard's owner has to write the job's record.
	newShardPenalty = 8
	// foreignShardPenalty is the cost, in seconds of waiting, of starting work of low urgency
	// in a shard that is not the leader's own, where the grant chooses the machine and saves
	// a write.
	foreignShardPenalty = 3
	// largeArrayScarcity takes the place of the scarcity of writes for a large array: its
	// owners and the leader would keep each other from writing its record.
	largeArrayScarcity = 2
	// spotWaitTime is how long tasks that may run on spot machines wait for one: about the
	// time that a machine takes to boot and more.
	spotWaitTime = 40 * second
	// urgentPriority is the priority from which tasks don't wait for spot machines.
	urgentPriority = 2
	// maxUnmetDemands bounds the demands that a pass remembers as unmet.
	maxUnmetDemands = 16
)

// record returns the job's record with what this pass has added.
func (p *schedulingPass) record(job *job) *wire.Job {
	if record := p.writer.records[job.Index]; record != nil {
		return record
	}
	return job.Record
}

// unmetDemand is the demand of a task that found no free slot in this pass.
type unmetDemand struct {
	cores, gpus, memoryGB float64
	zone                  int // -1: any
	anyType, allowSpot    bool
	avoidsIdle            bool // it avoided idle on-demand machines
}

// isUnmet reports whether a task that needs no more, and may run at least wherever a job's task
// may, has found no free slot in this pass already.
func (p *schedulingPass) isUnmet(job *job, avoidsIdle bool) bool {
	spec := job.Record.Spec
	for i := range p.unmetDemands {
		unmet := &p.unmetDemands[i]
		if unmet.anyType && (unmet.zone < 0 || unmet.zone == job.Zone) &&
			(unmet.allowSpot || !job.AllowSpot) &&
			(!unmet.avoidsIdle || avoidsIdle) &&
			unmet.cores <= spec.Cores+epsilon && unmet.gpus <= spec.GPUs+epsilon && unmet.memoryGB <= spec.MemoryGB+epsilon {
			return true
		}
	}
	return false
}

// noteUnmet remembers that a job's task found no free slot, unless that is due to the machines
// that have failed the job.
func (p *schedulingPass) noteUnmet(job *job, avoidsIdle bool) {
	if spec := job.Record.Spec; len(job.Record.FailedMachines) == 0 && len(p.unmetDemands) < maxUnmetDemands {
		p.unmetDemands = append(p.unmetDemands, unmetDemand{spec.Cores, spec.GPUs, spec.MemoryGB, job.Zone, job.AnyType, job.AllowSpot, avoidsIdle})
	}
}

// serveTask grants or plans the next tasks of an array or daemon, one or, of a large array, as
// many as fit a machine, and reports whether to go on with the job.
func (p *schedulingPass) serveTask(queued *queuedJob) bool {
	if queued.runBudget <= 0 || p.admission == nil && !p.hasQuota(queued.job, 1) {
		return false
	}
	if queued.zoneTasks == nil {
		p.countTasks(queued)
	}
	allowed := p.placementRule(queued)
	if p.admission != nil {
		return p.grantNow(queued, func(slot *slot) bool { return allowed(slot) && p.mayAdmit(queued.job, 1, slot.shard) })
	}
	if p.grantNow(queued, allowed) {
		return true
	}
	queued.noFreeSlot = true
	p.unplacedTasks++
	p.noteWaiting(queued.job)
	return p.planOnReleasing(queued, allowed) || p.planOnExpected(queued, allowed)
}

// countTasks counts a job's tasks by zone and by shard.
func (p *schedulingPass) countTasks(queued *queuedJob) {
	queued.zoneTasks = p.node.zoneTasks(p.record(queued.job))
	queued.shardTasks = make([]int, len(p.node.shards))
	for i := range queued.job.Record.ActiveTasks {
		queued.shardTasks[queued.job.Record.ActiveTasks[i].Shard]++
	}
}

// placementRule returns a function that reports whether the next task of a job may be planned
// on a machine, up or expected, by its zone and kind.
func (p *schedulingPass) placementRule(queued *queuedJob) func(*slot) bool {
	spec, zoneTasks := queued.job.Record.Spec, queued.zoneTasks
	queued.avoidsIdle = p.avoidsIdleOnDemand(queued)
	return func(slot *slot) bool {
		// This holds for expected machines too: planned on an on-demand one that it will not
		// use, the task would wait while no spot machine is provisioned.
		if queued.avoidsIdle && !slot.spot && slot.isIdle() {
			return false
		}
		return allowsZone(spec, zoneTasks, slot.zone)
	}
}

// shardPenalty returns the cost, in seconds of waiting, of the next task of a job on a machine,
// by the machine's shard.
func (p *schedulingPass) shardPenalty(queued *queuedJob) func(*slot) float64 {
	job, scarcity := queued.job, p.node.writeScarcity()
	started := len(job.Record.ActiveTasks) > 0 || p.writer.records[job.Index] != nil
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

// hasNoZoneRule reports whether it makes no difference to a job's tasks where the others are,
// so that what was found out for one holds for the rest.
func (q *queuedJob) hasNoZoneRule() bool {
	return !q.job.Record.Spec.Spread && !q.job.Record.Spec.SameZone
}

// runLengthOn is how many of a job's next tasks a machine takes at once.
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

// assigned notes that the next tasks of a job are planned on a machine. Tasks that only an
// expected machine will take count in their zone too; otherwise all would be planned for the
// same zone.
func (q *queuedJob) assigned(slot *slot, tasks int) {
	slot.release(q.job.Record.Spec, -tasks)
	q.zoneTasks[slot.zone] += tasks
	q.tasks = q.tasks[tasks:]
	q.runBudget--
}

// grantNow grants the next tasks of a job to the best machine with free capacity.
func (p *schedulingPass) grantNow(queued *queuedJob, allowed func(*slot) bool) bool {
	job := queued.job
	if queued.noFreeSlot || p.isUnmet(job, queued.avoidsIdle) {
		return false
	}
	target := p.available.best(job, allowed, p.shardPenalty(queued))
	if target == nil {
		if queued.hasNoZoneRule() && p.admission == nil { // a share of the limit says nothing about capacity
			p.noteUnmet(job, queued.avoidsIdle)
		}
		return false
	}
	// Without a write left the capacity is reserved all the same: neither what comes later may
	// use it nor may the machine be drained as idle.
	tasks := p.runLengthOn(queued, target)
	if p.grant(job, queued.tasks[:tasks], slices.Repeat([]*slot{target}, tasks)) {
		queued.shardTasks[target.shard] += tasks
	} else {
		p.charge(job, tasks)
	}
	target.noteFetch(job)
	queued.assigned(target, tasks)
	job.waitingSince = 0
	return true
}

// planOnReleasing plans the next task of a job on capacity that is about to be released, or on
// which it preempts other tasks. A large array takes such capacity when it is free.
func (p *schedulingPass) planOnReleasing(queued *queuedJob, allowed func(*slot) bool) bool {
	if queued.noReleasingSlot || queued.job.LargeArray {
		return false
	}
	for _, slot := range p.available.releasing {
		if slot.accepts(queued.job) && slot.fitsAfterRelease(queued.job.Record.Spec) && allowed(slot) {
			queued.assigned(slot, 1)
			return true
		}
	}
	if slot := p.preempt(queued, allowed); slot != nil {
		queued.assigned(slot, 1)
		return true
	}
	queued.noReleasingSlot = queued.hasNoZoneRule()
	return false
}

// planOnExpected plans the next tasks of a job on an expected machine, or on one to be
// provisioned. A later pass grants them once the machine is up.
func (p *schedulingPass) planOnExpected(queued *queuedJob, allowed func(*slot) bool) bool {
	job := queued.job
	var target *slot
	if !queued.noExpectedSlot {
		target = p.expected.best(job, allowed, nil)
		queued.noExpectedSlot = target == nil && queued.hasNoZoneRule()
	}
	if target == nil {
		target = p.provisionFor(job, func(slot *slot) bool { return allowed(slot) && (slot.spot || !p.isBackfill(queued)) })
	}
	if target == nil {
		return false
	}
	// Their use counts, so that no more is provisioned than the team may use.
	tasks := p.runLengthOn(queued, target)
	p.charge(job, tasks)
	queued.assigned(target, tasks)
	return true
}

// avoidsIdleOnDemand reports whether a task that may run on spot machines should rather wait for
// one than use an idle on-demand machine: those are for whole-machine gangs and daemons, and
// cost several times more.
func (p *schedulingPass) avoidsIdleOnDemand(queued *queuedJob) bool {
	job, spec := queued.job, queued.job.Record.Spec
	if p.isBackfill(queued) {
		return true
	}
	if !spec.AllowSpot || job.Priority >= urgentPriority || job.waitingSince != 0 && p.node.now-job.waitingSince > spotWaitTime {
		return false
	}
	for _, class := range p.expected.classOrder {
		if class.spot && float64(class.gpus) >= spec.GPUs &&
			len(*p.expected.open[class]) > 0 &&
			job.Allows(class.machineType, class.zone, true) {
			return true
		}
	}
	scaler := &p.node.leader.autoscaler
	return slices.ContainsFunc(p.pools(job), func(pool pricedPool) bool {
		return pool.spot && scaler.mayRequest(p.node.now, pool.machinePool)
	})
}
