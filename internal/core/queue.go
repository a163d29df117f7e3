package core

import (
	"slices"
	"sort"

	"micaport/internal/wire"
)

// want is a job in its team's queue.
type want struct {
	j      *job
	tasks  []int
	zones  map[string]int // its tasks by zone, as planned so far
	within bool           // inside the team's guarantee, with the jobs before it
}

// teamQueue is the queue of one team.
type teamQueue struct {
	team  *Team
	wants []*want
}

// queues builds a queue for each team, most pressing first.
func (n *Node) queues() []*teamQueue {
	byTeam := map[string]*teamQueue{}
	var out []*teamQueue
	for i := range n.cfg.Teams {
		q := &teamQueue{team: &n.cfg.Teams[i]}
		byTeam[q.team.Name] = q
		out = append(out, q)
	}
	order := slices.Clone(n.live)
	sort.SliceStable(order, func(a, b int) bool {
		x, y := n.jobs[order[a]], n.jobs[order[b]]
		if x.rec.At != y.rec.At {
			return x.rec.At < y.rec.At
		}
		return x.ref < y.ref
	})
	sum := map[string]*use{}
	for _, jx := range order {
		j := n.jobs[jx]
		if j.rec.State != wire.Live || j.rec.Spec == nil {
			continue
		}
		sp := j.rec.Spec
		q := byTeam[sp.Team]
		if q == nil {
			continue
		}
		u := sum[sp.Team]
		if u == nil {
			u = &use{}
			sum[sp.Team] = u
		}
		u.add(sp, float64(j.rec.Frames-countDone(j.rec.DoneSet)))
		t := q.team
		j.within = (t.Cards > 0 || t.Cores > 0) && !over(u.cards, t.Cards) && !over(u.cores, t.Cores)
		if n.now < j.notBefore {
			continue
		}
		w := &want{j: j, within: j.within}
		if sp.Shape == wire.ShapeGang {
			if len(j.rec.Active) > 0 {
				continue // the old attempt is not gone yet
			}
			w.tasks = pendingTasks(j.rec, j.rec.Frames)
		} else {
			w.tasks = pendingTasks(j.rec, n.activeLimit()-len(j.rec.Active))
		}
		if len(w.tasks) > 0 {
			q.wants = append(q.wants, w)
		} else {
			j.blockedSince = 0
		}
	}
	for _, q := range out {
		sort.SliceStable(q.wants, func(a, b int) bool { return q.wants[a].rank() > q.wants[b].rank() })
	}
	return out
}

// rank puts urgent work first, and among equals work within a guarantee
// before borrowed. It must agree with mayStop: if what was stopped came before
// what it was stopped for, the two would take turns.
func (w *want) rank() int { return 2*w.j.prio + b2i(w.within) }

// share is how much of its guarantee a team uses; less is served first.
func (p *plan) share(t *Team) float64 {
	u := p.used[t.Name]
	switch {
	case t.Cards > 0:
		return u.cards / t.Cards
	case t.Cores > 0:
		return u.cores / t.Cores
	}
	return 1 + u.cards + u.cores/8
}

// serveQueues takes the teams in turn: the most pressing head first, and
// among equals the team that uses the least of its share.
func (p *plan) serveQueues(qs []*teamQueue) {
	for !p.full {
		var pick *teamQueue
		for _, q := range qs {
			if len(q.wants) == 0 {
				continue
			}
			if pick == nil || q.wants[0].rank() > pick.wants[0].rank() ||
				q.wants[0].rank() == pick.wants[0].rank() && p.share(q.team) < p.share(pick.team) {
				pick = q
			}
		}
		if pick == nil {
			return
		}
		w := pick.wants[0]
		more := false
		if w.j.rec.Spec.Shape == wire.ShapeGang {
			p.serveGang(w)
		} else {
			more = p.serveTask(w)
		}
		if !more || len(w.tasks) == 0 {
			pick.wants = pick.wants[1:]
		}
	}
}

// record is the job's record with what this pass has added.
func (p *plan) record(j *job) *wire.Job {
	if r := p.w.recs[j.ix]; r != nil {
		return r
	}
	return j.rec
}

// serveTask grants the next task of an array or daemon, and tells whether to
// go on with the job.
func (p *plan) serveTask(w *want) bool {
	j, sp := w.j, w.j.rec.Spec
	if !p.quota(j, 1) {
		return false
	}
	if w.zones == nil {
		w.zones = p.n.zoneTasks(p.record(j))
	}
	zones := w.zones
	// Tasks that only a machine still to come will take count in their zone
	// too, else all would be planned for the same one.
	took := func(s *slot) {
		s.take(sp)
		zones[s.zone]++
		w.tasks = w.tasks[1:]
	}
	reluctant := p.keepsOrdinary(w)
	ok := func(s *slot) bool {
		if reluctant && s.h != nil && !s.spot && s.untouched() {
			return false
		}
		if sp.Spread && zones[s.zone] >= zoneLimit(sp) {
			return false
		}
		if sp.SameZone {
			for z, c := range zones {
				if c > 0 && z != s.zone {
					return false
				}
			}
		}
		return true
	}
	if s := p.n.best(j, p.slots, ok); s != nil {
		if !p.grant(j, w.tasks[:1], []*slot{s}) {
			return false
		}
		s.fetching(p.n, j)
		took(s)
		j.blockedSince = 0
		return true
	}
	p.blocked(j)
	// Room on its way counts before machines still to come.
	for _, s := range p.slots {
		if s.suits(j) && s.fitsSoon(sp) && ok(s) {
			took(s)
			return true
		}
	}
	if s := p.preempt(w, ok); s != nil {
		took(s)
		return true
	}
	s := p.n.best(j, p.hope, ok)
	if s == nil {
		s = p.hireFor(w, ok)
	}
	if s == nil {
		return false
	}
	// Simulated only: later passes grant it for real. Count its use so that
	// no more is hired than the team may use.
	p.used[sp.Team].add(sp, 1)
	took(s)
	return true
}

// keepsOrdinary tells whether a task that may run on spot machines should
// rather wait for one than break into an ordinary machine that nothing uses:
// those are for whole-machine gangs and daemons, and cost several times more.
func (p *plan) keepsOrdinary(w *want) bool {
	j, sp := w.j, w.j.rec.Spec
	if !sp.Spot || j.prio >= 2 || j.blockedSince > 0 && p.n.now-j.blockedSince > patienceForSpot {
		return false
	}
	for _, s := range p.hope {
		if s.spot && s.suits(j) && s.fits(sp) {
			return true
		}
	}
	for _, x := range p.pools(sp) {
		if x.spot && p.open(x) {
			return true
		}
	}
	return false
}

// patienceForSpot is about the time that a machine takes to boot and more.
const patienceForSpot = 40 * second

func (p *plan) blocked(j *job) {
	if j.blockedSince == 0 {
		j.blockedSince = p.n.now
	}
}

// serveGang grants a whole gang or nothing.
func (p *plan) serveGang(w *want) {
	j, sp := w.j, w.j.rec.Spec
	if !p.quota(j, len(w.tasks)) {
		return
	}
	if chosen := p.gangSlots(w, p.slots); chosen != nil {
		if p.grant(j, w.tasks, chosen) {
			for _, s := range chosen {
				s.fetching(p.n, j)
				s.take(sp)
			}
		}
		j.blockedSince = 0
		return
	}
	p.blocked(j)
	if len(w.tasks) == 1 {
		for _, s := range p.slots {
			if s.suits(j) && s.fitsSoon(sp) {
				s.take(sp)
				return
			}
		}
		if p.preempt(w, func(*slot) bool { return true }) != nil {
			return
		}
	}
	p.awaitGang(w)
}

// gangSlots chooses machines for a gang: from one part if any has the room,
// else from one zone, else from anywhere unless the zone has to be one.
func (p *plan) gangSlots(w *want, from []*slot) []*slot {
	var best []*slot
	bestScore := 0.0
	try := func(ok func(*slot) bool, penalty float64) {
		chosen, score := p.pick(w, from, ok)
		if chosen != nil && (best == nil || score+penalty < bestScore) {
			best, bestScore = chosen, score+penalty
		}
	}
	for _, part := range p.n.parts {
		try(func(s *slot) bool { return s.part == part.ix }, 0)
	}
	if best != nil && len(w.tasks) == 1 {
		return best
	}
	for _, z := range p.n.cfg.Zones {
		try(func(s *slot) bool { return s.zone == z && s.part >= 0 }, 10)
	}
	if !w.j.rec.Spec.SameZone {
		try(func(s *slot) bool { return s.part >= 0 }, 20)
	}
	return best
}

// pick chooses greedily and undoes its taking.
func (p *plan) pick(w *want, from []*slot, ok func(*slot) bool) ([]*slot, float64) {
	sp := w.j.rec.Spec
	var chosen []*slot
	worst := 0.0
	zones := map[string]int{}
	for range w.tasks {
		s := p.n.best(w.j, from, func(s *slot) bool {
			return ok(s) && !(sp.Spread && zones[s.zone] >= zoneLimit(sp))
		})
		if s == nil {
			break
		}
		worst = max(worst, p.n.score(w.j, s))
		s.take(sp)
		zones[s.zone]++
		chosen = append(chosen, s)
	}
	for _, s := range chosen {
		s.give(sp, 1)
	}
	if len(chosen) < len(w.tasks) {
		return nil, 0
	}
	return chosen, worst
}

// awaitGang makes room for a gang that does not fit yet, in the zone where
// that costs least: it keeps what is free, about to be free or booting, hires,
// stops work that it may stop, and as the last resort keeps machines from
// being filled again until what runs there has ended.
func (p *plan) awaitGang(w *want) {
	sp := w.j.rec.Spec
	type source struct {
		s       *slot
		victims []victim
		drain   bool
		cost    float64
	}
	type choice struct {
		zone string
		from []source
		hire int
		cost float64
	}
	var best *choice
	mayEvict := p.mayPreempt(w)
	canTake := func(zone string) *choice {
		c := &choice{zone: zone}
		var all []source
		add := func(s *slot, cost float64) {
			taken := 0
			for s.fitsSoon(sp) {
				s.take(sp)
				taken++
				all = append(all, source{s: s, cost: cost})
			}
			s.give(sp, taken)
		}
		for _, s := range p.slots {
			if zone != "" && s.zone != zone || !s.suits(w.j) || s.reserved {
				continue
			}
			if s.fitsSoon(sp) {
				add(s, 0)
				continue
			}
			if v, ok := p.clearing(w, s, false); ok && mayEvict {
				cost := 10.0
				for _, x := range v {
					cost += x.cost / 4
				}
				all = append(all, source{s: s, victims: v, cost: cost})
			} else if _, ok := p.clearing(w, s, true); ok {
				all = append(all, source{s: s, drain: true, cost: 60})
			}
		}
		for _, s := range p.hope {
			if (zone == "" || s.zone == zone) && s.suits(w.j) {
				add(s, 15)
			}
		}
		slices.SortStableFunc(all, func(a, b source) int { return int(a.cost) - int(b.cost) })
		if canHire := p.canHire(sp, zone); canHire {
			at := slices.IndexFunc(all, func(x source) bool { return x.cost > 30 })
			if at >= 0 {
				all = all[:at]
			}
		}
		c.from = all[:min(len(all), len(w.tasks))]
		for _, x := range c.from {
			c.cost += x.cost
		}
		c.hire = len(w.tasks) - len(c.from)
		c.cost += float64(c.hire) * 30
		if c.hire > 0 && !p.canHire(sp, zone) {
			c.cost += 1000 * float64(c.hire)
		}
		if zone != "" && zone == w.j.gangZone {
			c.cost -= 10 // rather go on where room is being made already
		}
		return c
	}
	zones := []string{sp.Zone}
	if sp.SameZone && sp.Zone == "" {
		zones = p.n.cfg.Zones
	}
	for _, z := range zones {
		if c := canTake(z); best == nil || c.cost < best.cost {
			best = c
		}
	}
	w.j.gangZone = best.zone
	stopped := false
	for _, x := range best.from {
		switch {
		case len(x.victims) > 0:
			if p.stop(w, x.victims) {
				stopped = true
			}
			x.s.reserved = true
		case x.drain:
			x.s.reserved = true
		default:
			x.s.take(sp)
		}
	}
	if stopped {
		w.j.preemptAt = p.n.now + 3*p.n.cfg.Report
	}
	for range best.hire {
		s := p.hireFor(w, func(s *slot) bool { return best.zone == "" || s.zone == best.zone })
		if s == nil {
			return
		}
		s.take(sp)
	}
}

// victim is a task that may be stopped to make room.
type victim struct {
	j    *job
	a    wire.Active
	cost float64
}

// mayPreempt tells whether anything may be stopped for w now. What was
// stopped takes a report or two to go; nothing more is stopped till then.
func (p *plan) mayPreempt(w *want) bool {
	n := p.n
	return n.cfg.Preempt && p.stops < 8 && n.now-w.j.blockedSince >= second && n.now >= w.j.preemptAt &&
		(w.j.prio >= 2 || w.within)
}

// clearing lists the tasks to be stopped on a machine so that a task of w
// fits, cheapest first. With all set it asks instead whether the machine could
// take the task once everything but daemons has ended.
func (p *plan) clearing(w *want, s *slot, all bool) ([]victim, bool) {
	n, sp := p.n, w.j.rec.Spec
	if s.h == nil {
		return nil, false
	}
	var list []victim
	for _, jx := range s.h.jobs {
		v := n.jobs[jx]
		if v == w.j || v.rec.State != wire.Live || v.rec.Spec.Shape == wire.ShapeDaemon {
			continue
		}
		if !all && (p.w.recs[jx] != nil || !p.mayStop(w, v)) {
			continue
		}
		for _, a := range v.rec.Active {
			if a.Host == s.h.name && a.Stop == wire.Keep {
				cost := v.rec.Spec.SaveS + float64(20*v.prio)
				if v.rec.Spec.CheckpointS == 0 {
					cost += 100
				}
				if v.rec.Spec.Shape == wire.ShapeGang {
					cost += 30 * float64(len(v.rec.Active)-1)
				}
				list = append(list, victim{v, a, cost})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b victim) int { return int(a.cost*10) - int(b.cost*10) })
	room := *s
	fits := func() bool { return room.fitsSoon(sp) }
	var chosen []victim
	for _, v := range list {
		if fits() {
			break
		}
		chosen = append(chosen, v)
		room.give(v.j.rec.Spec, 1)
	}
	return chosen, len(chosen) > 0 && fits()
}

// preempt stops work to make room for one task: work of lower urgency, or
// work that another team runs beyond its guarantee when this one is within.
func (p *plan) preempt(w *want, ok func(*slot) bool) *slot {
	if !p.mayPreempt(w) {
		return nil
	}
	var best []victim
	var room *slot
	bestCost := 0.0
	for _, s := range p.slots {
		if !s.suits(w.j) || !ok(s) || s.reserved {
			continue
		}
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
		return nil
	}
	w.j.preemptAt = p.n.now + 3*p.n.cfg.Report + Time(best[0].j.rec.Spec.SaveS*float64(second))
	return room
}

// stop marks tasks to be stopped; a gang is stopped as a whole.
func (p *plan) stop(w *want, victims []victim) bool {
	for _, v := range victims {
		rec := p.w.job(v.j)
		if rec == nil {
			p.full = true
			return false
		}
		if v.j.rec.Spec.Shape == wire.ShapeGang {
			markStop(rec)
		} else {
			for i := range rec.Active {
				if rec.Active[i].Task == v.a.Task && rec.Active[i].Attempt == v.a.Attempt {
					rec.Active[i].Stop = wire.Preempt
				}
			}
		}
		p.n.log(1, "preempting", "job", v.j.ref, "task", v.a.Task, "for", w.j.ref)
	}
	p.stops++
	return true
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// mayStop tells whether the rules of preemption let w stop work of v, and w
// comes first in the queue as well: otherwise what was stopped would get its
// place back and be stopped again.
func (p *plan) mayStop(w *want, v *job) bool {
	if v.prio < w.j.prio {
		return true
	}
	return v.prio == w.j.prio && w.within && !v.within && v.rec.Spec.Team != w.j.rec.Spec.Team
}
