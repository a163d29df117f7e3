package core

import (
	"slices"

	"micaport/internal/wire"
)

const (
	// maxPreemptions bounds how often one pass stops tasks for a job.
	maxPreemptions = 8
	// preemptionDelay is how long a job waits before tasks are preempted for it.
	preemptionDelay = second
	// preemptionRetryDelay is the time until the next attempt when no tasks could be preempted.
	preemptionRetryDelay = second
	// preemptingPriority is the lowest priority at which a job outside its team's guarantee may
	// preempt tasks.
	preemptingPriority = 2
	// exitHeartbeats is the number of heartbeat intervals until a preempted task has exited, in
	// addition to the time for its checkpoint.
	exitHeartbeats = 3
)

// Costs of preempting a task besides the time for its checkpoint, in seconds.
const (
	priorityCost       = 20  // for each level of priority
	noCheckpointCost   = 100 // for a task without checkpoints, which loses all its work
	gangMemberCost     = 30  // for each other task of its gang, which is stopped as a whole
	costStepsPerSecond = 10  // costs are compared in steps of a tenth of a second
)

// victim is a task that may be preempted, with the cost of doing so.
type victim struct {
	job  *job
	key  taskKey
	cost float64
}

// mayPreempt reports whether tasks may be preempted for a job now. After a preemption for the job,
// no further tasks are preempted for it until the stopped tasks should have exited.
func (p *schedulingPass) mayPreempt(queued *queuedJob) bool {
	n := p.node
	return n.cfg.Preempt && p.preemptions < maxPreemptions &&
		n.now-queued.job.waitingSince >= preemptionDelay &&
		n.now >= queued.job.nextPreemptionAt &&
		(queued.job.Priority >= preemptingPriority || queued.withinGuarantee)
}

// mayPreemptJob reports whether a queued job may preempt tasks of another job: one of lower
// priority, or one of the same priority that is outside the guarantee of another team while the
// queued job is within that of its own. The rule must agree with queuedJob.rank: if the preempted
// job came first in the queue, it would be granted its capacity again and be preempted again.
func (p *schedulingPass) mayPreemptJob(queued *queuedJob, job *job) bool {
	if job.Priority < queued.job.Priority {
		return true
	}
	return job.Priority == queued.job.Priority && queued.withinGuarantee && !job.withinGuarantee && job.Team != queued.job.Team
}

// preemptionCostOf returns the cost of preempting a task of a job, in seconds.
func preemptionCostOf(job *job) float64 {
	cost := job.Record.Spec.CheckpointTimeS + float64(priorityCost*job.Priority)
	if job.Record.Spec.CheckpointIntervalS == 0 {
		cost += noCheckpointCost
	}
	if job.Record.Spec.Shape == wire.ShapeGang {
		cost += gangMemberCost * float64(len(job.Record.ActiveTasks)-1)
	}
	return cost
}

// preemptionCandidatesOn returns the tasks on a machine that may be preempted for a queued job,
// cheapest first. It excludes jobs whose records this pass has already changed. With
// includeUnpreemptable set it returns the tasks of all other live jobs. Tasks of daemons and tasks
// with a stop request are excluded in both cases.
func (p *schedulingPass) preemptionCandidatesOn(queued *queuedJob, machine *machine, includeUnpreemptable bool) []victim {
	var candidates []victim
	for i := range machine.placements {
		placement := &machine.placements[i]
		job := p.node.jobs[placement.job]
		if job == queued.job || placement.stop != wire.StopNone ||
			job.Record.State != wire.JobLive ||
			job.Record.Spec.Shape == wire.ShapeDaemon {
			continue
		}
		if !includeUnpreemptable && (p.writer.changedRecords[placement.job] != nil || !p.mayPreemptJob(queued, job)) {
			continue
		}
		candidates = append(candidates, victim{job, placement.taskKey, preemptionCostOf(job)})
	}
	slices.SortStableFunc(candidates, func(a, b victim) int { return int(a.cost*costStepsPerSecond) - int(b.cost*costStepsPerSecond) })
	return candidates
}

// victimsOn returns the cheapest tasks on a machine that have to be preempted for a task of a
// queued job to fit, and whether it then fits. With includeUnpreemptable set it reports whether
// the task fits once all tasks other than those of daemons have ended.
func (p *schedulingPass) victimsOn(queued *queuedJob, slot *slot, includeUnpreemptable bool) ([]victim, bool) {
	if slot.machine == nil {
		return nil, false
	}
	spec := queued.job.Record.Spec
	afterStops := *slot  // its capacity once the tasks chosen so far have ended
	afterStops.set = nil // the copy is in no set
	var chosen []victim
	for _, candidate := range p.preemptionCandidatesOn(queued, slot.machine, includeUnpreemptable) {
		if afterStops.fitsAfterRelease(spec) {
			break
		}
		chosen = append(chosen, candidate)
		afterStops.release(candidate.job.Record.Spec, 1)
	}
	return chosen, len(chosen) > 0 && afterStops.fitsAfterRelease(spec)
}

// preempt stops tasks so that one task of a queued job fits; see mayPreemptJob. It returns the
// slot on which the task will fit, or nil.
func (p *schedulingPass) preempt(queued *queuedJob, allowed func(*slot) bool) *slot {
	if !p.mayPreempt(queued) {
		return nil
	}
	var best []victim
	var target *slot
	bestCost := 0.0
	for _, slot := range p.available.all {
		if slot.machine.lowestPriority > queued.job.Priority || slot.reserved || !slot.accepts(queued.job) || !allowed(slot) {
			continue
		}
		p.node.examinedMachines++
		victims, fits := p.victimsOn(queued, slot, false)
		if !fits {
			continue
		}
		cost := p.node.score(queued.job, slot)
		for _, victim := range victims {
			cost += victim.cost
		}
		if best == nil || cost < bestCost {
			best = victims
			bestCost = cost
			target = slot
		}
	}
	if best == nil || !p.stopVictims(queued, best) {
		queued.job.nextPreemptionAt = p.node.now + preemptionRetryDelay
		return nil
	}
	queued.job.nextPreemptionAt = p.node.now + exitHeartbeats*p.node.cfg.HeartbeatInterval + Time(best[0].job.Record.Spec.CheckpointTimeS*float64(second))
	return target
}

// stopVictims adds stop requests for tasks to the records of their jobs; a gang is stopped as a
// whole. It returns false if the transaction is full.
func (p *schedulingPass) stopVictims(queued *queuedJob, victims []victim) bool {
	for _, victim := range victims {
		record := p.writer.recordToChange(victim.job)
		if record == nil {
			return false
		}
		if victim.job.Record.Spec.Shape == wire.ShapeGang {
			requestJobPreemption(record)
		} else {
			for i := range record.ActiveTasks {
				if task := &record.ActiveTasks[i]; task.Task == victim.key.task && task.Attempt == victim.key.attempt {
					task.Stop = wire.StopPreempt
				}
			}
		}
		p.node.log(LogInfo, "preempting", "job", victim.job.ID, "task", victim.key.task, "for", queued.job.ID)
	}
	p.preemptions++
	return true
}
