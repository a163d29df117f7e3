package core

import (
	"slices"

	"micaport/internal/wire"
)

// victim is a task that may be stopped to make room.
type victim struct {
	job  *job
	key  taskKey
	cost float64
}

// mayPreempt tells whether anything may be stopped for w now. What was
// stopped takes a report or two to go; nothing more is stopped till then.
func (pass *schedulingPass) mayPreempt(queued *queuedJob) bool {
	n := pass.node
	return n.cfg.Preempt && pass.preemptions < 8 && n.now-queued.job.waitingSince >= second && n.now >= queued.job.preemptAt &&
		(queued.job.Priority >= 2 || queued.withinGuarantee)
}

// victimsOn lists the tasks to be stopped on a machine so that a task of w
// fits, cheapest first. With all set it asks instead whether the machine could
// take the task once everything but daemons has ended.
func (pass *schedulingPass) victimsOn(queued *queuedJob, slot *slot, all bool) ([]victim, bool) {
	n, spec := pass.node, queued.job.Record.Spec
	if slot.machine == nil {
		return nil, false
	}
	var list []victim
	for i := range slot.machine.placements {
		x := &slot.machine.placements[i]
		job := n.jobs[x.job]
		if job == queued.job || x.stop != wire.StopNone || job.Record.State != wire.JobLive || job.Record.Spec.Shape == wire.ShapeDaemon {
			continue
		}
		if !all && (pass.writer.records[x.job] != nil || !pass.mayPreemptJob(queued, job)) {
			continue
		}
		cost := job.Record.Spec.CheckpointTimeS + float64(20*job.Priority)
		if job.Record.Spec.CheckpointIntervalS == 0 {
			cost += 100
		}
		if job.Record.Spec.Shape == wire.ShapeGang {
			cost += 30 * float64(len(job.Record.ActiveTasks)-1)
		}
		list = append(list, victim{job, x.taskKey, cost})
	}
	slices.SortStableFunc(list, func(a, b victim) int { return int(a.cost*10) - int(b.cost*10) })
	room := *slot
	room.set = nil
	var chosen []victim
	for _, v := range list {
		if room.fitsAfterRelease(spec) {
			break
		}
		chosen = append(chosen, v)
		room.release(v.job.Record.Spec, 1)
	}
	return chosen, len(chosen) > 0 && room.fitsAfterRelease(spec)
}

// preempt stops work to make room for one task: work of lower urgency, or
// work that another team runs beyond its guarantee when this one is within.
func (pass *schedulingPass) preempt(queued *queuedJob, ok func(*slot) bool) *slot {
	if !pass.mayPreempt(queued) {
		return nil
	}
	var best []victim
	var room *slot
	bestCost := 0.0
	for _, s := range pass.available.all {
		if s.machine.lowestPriority > queued.job.Priority || s.reserved || !s.accepts(queued.job) || !ok(s) {
			continue
		}
		pass.node.workCount++
		chosen, fits := pass.victimsOn(queued, s, false)
		if !fits {
			continue
		}
		cost := pass.node.score(queued.job, s)
		for _, v := range chosen {
			cost += v.cost
		}
		if best == nil || cost < bestCost {
			best, bestCost, room = chosen, cost, s
		}
	}
	if best == nil || !pass.stopVictims(queued, best) {
		queued.job.preemptAt = pass.node.now + second // no need to look again at every pass
		return nil
	}
	queued.job.preemptAt = pass.node.now + 3*pass.node.cfg.HeartbeatInterval + Time(best[0].job.Record.Spec.CheckpointTimeS*float64(second))
	return room
}

// stopVictims marks tasks to be stopped; a gang is stopped as a whole.
func (pass *schedulingPass) stopVictims(queued *queuedJob, victims []victim) bool {
	for _, v := range victims {
		record := pass.writer.job(v.job)
		if record == nil {
			return false
		}
		if v.job.Record.Spec.Shape == wire.ShapeGang {
			preemptAll(record)
		} else {
			for i := range record.ActiveTasks {
				if record.ActiveTasks[i].Task == v.key.task && record.ActiveTasks[i].Attempt == v.key.attempt {
					record.ActiveTasks[i].Stop = wire.StopPreempt
				}
			}
		}
		pass.node.log(LogInfo, "preempting", "job", v.job.ID, "task", v.key.task, "for", queued.job.ID)
	}
	pass.preemptions++
	return true
}

// mayPreemptJob tells whether the rules of preemption let w stop work of v, and w
// comes first in the queue as well: otherwise what was stopped would get its
// place back and be stopped again.
func (pass *schedulingPass) mayPreemptJob(queued *queuedJob, job *job) bool {
	if job.Priority < queued.job.Priority {
		return true
	}
	return job.Priority == queued.job.Priority && queued.withinGuarantee && !job.withinGuarantee && job.Team != queued.job.Team
}
