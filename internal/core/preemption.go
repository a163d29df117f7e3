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
func (p *schedulingPass) mayPreempt(w *queuedJob) bool {
	n := p.node
	return n.cfg.Preempt && p.preemptions < 8 && n.now-w.job.waitingSince >= second && n.now >= w.job.preemptAt &&
		(w.job.Priority >= 2 || w.withinGuarantee)
}

// victimsOn lists the tasks to be stopped on a machine so that a task of w
// fits, cheapest first. With all set it asks instead whether the machine could
// take the task once everything but daemons has ended.
func (p *schedulingPass) victimsOn(w *queuedJob, s *slot, all bool) ([]victim, bool) {
	n, sp := p.node, w.job.Record.Spec
	if s.machine == nil {
		return nil, false
	}
	var list []victim
	for i := range s.machine.placements {
		x := &s.machine.placements[i]
		v := n.jobs[x.job]
		if v == w.job || x.stop != wire.StopNone || v.Record.State != wire.JobLive || v.Record.Spec.Shape == wire.ShapeDaemon {
			continue
		}
		if !all && (p.writer.records[x.job] != nil || !p.mayPreemptJob(w, v)) {
			continue
		}
		cost := v.Record.Spec.CheckpointTimeS + float64(20*v.Priority)
		if v.Record.Spec.CheckpointIntervalS == 0 {
			cost += 100
		}
		if v.Record.Spec.Shape == wire.ShapeGang {
			cost += 30 * float64(len(v.Record.ActiveTasks)-1)
		}
		list = append(list, victim{v, x.taskKey, cost})
	}
	slices.SortStableFunc(list, func(a, b victim) int { return int(a.cost*10) - int(b.cost*10) })
	room := *s
	room.set = nil
	var chosen []victim
	for _, v := range list {
		if room.fitsAfterRelease(sp) {
			break
		}
		chosen = append(chosen, v)
		room.release(v.job.Record.Spec, 1)
	}
	return chosen, len(chosen) > 0 && room.fitsAfterRelease(sp)
}

// preempt stops work to make room for one task: work of lower urgency, or
// work that another team runs beyond its guarantee when this one is within.
func (p *schedulingPass) preempt(w *queuedJob, ok func(*slot) bool) *slot {
	if !p.mayPreempt(w) {
		return nil
	}
	var best []victim
	var room *slot
	bestCost := 0.0
	for _, s := range p.available.all {
		if s.machine.lowestPriority > w.job.Priority || s.reserved || !s.accepts(w.job) || !ok(s) {
			continue
		}
		p.node.workCount++
		chosen, fits := p.victimsOn(w, s, false)
		if !fits {
			continue
		}
		cost := p.node.score(w.job, s)
		for _, v := range chosen {
			cost += v.cost
		}
		if best == nil || cost < bestCost {
			best, bestCost, room = chosen, cost, s
		}
	}
	if best == nil || !p.stopVictims(w, best) {
		w.job.preemptAt = p.node.now + second // no need to look again at every pass
		return nil
	}
	w.job.preemptAt = p.node.now + 3*p.node.cfg.HeartbeatInterval + Time(best[0].job.Record.Spec.CheckpointTimeS*float64(second))
	return room
}

// stopVictims marks tasks to be stopped; a gang is stopped as a whole.
func (p *schedulingPass) stopVictims(w *queuedJob, victims []victim) bool {
	for _, v := range victims {
		rec := p.writer.job(v.job)
		if rec == nil {
			return false
		}
		if v.job.Record.Spec.Shape == wire.ShapeGang {
			preemptAll(rec)
		} else {
			for i := range rec.ActiveTasks {
				if rec.ActiveTasks[i].Task == v.key.task && rec.ActiveTasks[i].Attempt == v.key.attempt {
					rec.ActiveTasks[i].Stop = wire.StopPreempt
				}
			}
		}
		p.node.log(LogInfo, "preempting", "job", v.job.ID, "task", v.key.task, "for", w.job.ID)
	}
	p.preemptions++
	return true
}

// mayPreemptJob tells whether the rules of preemption let w stop work of v, and w
// comes first in the queue as well: otherwise what was stopped would get its
// place back and be stopped again.
func (p *schedulingPass) mayPreemptJob(w *queuedJob, v *job) bool {
	if v.Priority < w.job.Priority {
		return true
	}
	return v.Priority == w.job.Priority && w.withinGuarantee && !v.withinGuarantee && v.Team != w.job.Team
}
