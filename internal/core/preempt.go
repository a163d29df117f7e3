package core

import (
	"slices"

	"micaport/internal/wire"
)

// victim is a task that may be stopped to make room.
type victim struct {
	j    *job
	key  taskKey
	cost float64
}

// mayPreempt tells whether anything may be stopped for w now. What was
// stopped takes a report or two to go; nothing more is stopped till then.
func (p *plan) mayPreempt(w *queuedJob) bool {
	n := p.n
	return n.cfg.Preempt && p.stops < 8 && n.now-w.j.blockedSince >= second && n.now >= w.j.preemptAt &&
		(w.j.prio >= 2 || w.within)
}

// clearing lists the tasks to be stopped on a machine so that a task of w
// fits, cheapest first. With all set it asks instead whether the machine could
// take the task once everything but daemons has ended.
func (p *plan) clearing(w *queuedJob, s *slot, all bool) ([]victim, bool) {
	n, sp := p.n, w.j.rec.Spec
	if s.h == nil {
		return nil, false
	}
	var list []victim
	for i := range s.h.on {
		x := &s.h.on[i]
		v := n.jobs[x.job]
		if v == w.j || x.stop != wire.Keep || v.rec.State != wire.Live || v.rec.Spec.Shape == wire.ShapeDaemon {
			continue
		}
		if !all && (p.w.recs[x.job] != nil || !p.mayStop(w, v)) {
			continue
		}
		cost := v.rec.Spec.SaveS + float64(20*v.prio)
		if v.rec.Spec.CheckpointS == 0 {
			cost += 100
		}
		if v.rec.Spec.Shape == wire.ShapeGang {
			cost += 30 * float64(len(v.rec.Active)-1)
		}
		list = append(list, victim{v, x.taskKey, cost})
	}
	slices.SortStableFunc(list, func(a, b victim) int { return int(a.cost*10) - int(b.cost*10) })
	room := *s
	room.in = nil
	var chosen []victim
	for _, v := range list {
		if room.fitsSoon(sp) {
			break
		}
		chosen = append(chosen, v)
		room.give(v.j.rec.Spec, 1)
	}
	return chosen, len(chosen) > 0 && room.fitsSoon(sp)
}

// preempt stops work to make room for one task: work of lower urgency, or
// work that another team runs beyond its guarantee when this one is within.
func (p *plan) preempt(w *queuedJob, ok func(*slot) bool) *slot {
	if !p.mayPreempt(w) {
		return nil
	}
	var best []victim
	var room *slot
	bestCost := 0.0
	for _, s := range p.up.all {
		if s.h.leastPrio > w.j.prio || s.reserved || !s.suits(w.j) || !ok(s) {
			continue
		}
		p.n.work++
		chosen, fits := p.clearing(w, s, false)
		if !fits {
			continue
		}
		cost := p.n.score(w.j, s)
		for _, v := range chosen {
			cost += v.cost
		}
		if best == nil || cost < bestCost {
			best, bestCost, room = chosen, cost, s
		}
	}
	if best == nil || !p.stop(w, best) {
		w.j.preemptAt = p.n.now + second // no need to look again at every pass
		return nil
	}
	w.j.preemptAt = p.n.now + 3*p.n.cfg.Report + Time(best[0].j.rec.Spec.SaveS*float64(second))
	return room
}

// stop marks tasks to be stopped; a gang is stopped as a whole.
func (p *plan) stop(w *queuedJob, victims []victim) bool {
	for _, v := range victims {
		rec := p.w.job(v.j)
		if rec == nil {
			return false
		}
		if v.j.rec.Spec.Shape == wire.ShapeGang {
			markStop(rec)
		} else {
			for i := range rec.Active {
				if rec.Active[i].Task == v.key.task && rec.Active[i].Attempt == v.key.attempt {
					rec.Active[i].Stop = wire.Preempt
				}
			}
		}
		p.n.log(LogInfo, "preempting", "job", v.j.ref, "task", v.key.task, "for", w.j.ref)
	}
	p.stops++
	return true
}

// mayStop tells whether the rules of preemption let w stop work of v, and w
// comes first in the queue as well: otherwise what was stopped would get its
// place back and be stopped again.
func (p *plan) mayStop(w *queuedJob, v *job) bool {
	if v.prio < w.j.prio {
		return true
	}
	return v.prio == w.j.prio && w.within && !v.within && v.team != w.j.team
}
