package core

import (
	"cmp"
	"slices"
	"time"

	"micaport/internal/wire"
)

// want is a job in its team's queue.
type want struct {
	j      *job
	tasks  []int
	zones  []int // its tasks by zone, as planned so far
	within bool  // inside the team's guarantee, with the jobs before it
	// What was found out for an earlier task of the job holds for the rest.
	noRoom, noSoon, noHope bool
	parts                  []int // its tasks by part, as planned so far
	runs                   int   // how many runs of tasks its record has room for
}

// teamQueue is the queue of one team.
type teamQueue struct {
	team  int
	wants []*want
}

// queues builds a queue for each team, most pressing first.
func (n *Node) queues() []*teamQueue {
	out := make([]*teamQueue, len(n.cfg.Teams))
	for i := range out {
		out[i] = &teamQueue{team: i}
	}
	order := slices.Clone(n.live)
	slices.SortFunc(order, func(a, b int) int {
		x, y := n.jobs[a], n.jobs[b]
		if x.rec.At != y.rec.At {
			return cmp.Compare(x.rec.At, y.rec.At)
		}
		return cmp.Compare(x.ref, y.ref)
	})
	sum := make([]use, n.teams.Len())
	for _, jx := range order {
		j := n.jobs[jx]
		if j.rec.State != wire.Live || j.rec.Spec == nil || j.team < 0 {
			continue
		}
		sp := j.rec.Spec
		q, u, t := out[j.team], &sum[j.team], &n.cfg.Teams[j.team]
		u.add(sp, float64(j.rec.Frames-countDone(j.rec.DoneSet)))
		j.within = (t.Cards > 0 || t.Cores > 0) && !over(u.cards, t.Cards) && !over(u.cores, t.Cores)
		if n.now < j.notBefore || n.owner.holds(j) {
			continue
		}
		if j.unplaced > 0 && n.now-j.changed < Time(float64(placingTime)*n.scarcity()) && (!j.bulk || n.now-j.grantedAt < placingTime) {
			continue
		}
		w := &want{j: j, within: j.within, runs: len(j.rec.Active) + j.rec.Frames}
		if sp.Shape == wire.ShapeGang {
			if len(j.rec.Active) > 0 {
				continue // the old attempt is not gone yet
			}
			w.tasks = n.waitingTasks(j, j.rec.Frames)
		} else {
			w.tasks = n.waitingTasks(j, n.tasksLimit(j)-len(j.rec.Active))
			if j.bulk {
				w.runs = n.runsLeft(j)
			}
			if w.runs <= 0 || n.now-j.grantedAt < n.grantPause(j) {
				w.tasks = nil
			}
			if j.suspect { // one task shows as much as many
				w.tasks = w.tasks[:min(len(w.tasks), b2i(len(j.rec.Active) == 0))]
			}
		}
		if len(w.tasks) > 0 {
			q.wants = append(q.wants, w)
		} else {
			j.blockedSince = 0
		}
	}
	for _, q := range out {
		slices.SortStableFunc(q.wants, func(a, b *want) int {
			// A bulk job's turn comes seldom and takes one put; behind a swarm of
			// small jobs, which need one each, it would never come.
			return cmp.Or(b.rank()-a.rank(), b2i(b.j.bulk)-b2i(a.j.bulk))
		})
	}
	return out
}

// placingTime is how long a job's owners have for placing what was granted
// before more is granted to it, when puts are scarce: the record can't be
// written by both at once.
const placingTime = 700 * 1e6

// rank puts urgent work first, and among equals work within a guarantee
// before borrowed. It must agree with mayStop: if what was stopped came before
// what it was stopped for, the two would take turns.
func (w *want) rank() int { return 2*w.j.prio + b2i(w.within) }

// share is how much of its guarantee a team uses; less is served first.
func (p *plan) share(team int) float64 {
	u, t := p.used[team], &p.n.cfg.Teams[team]
	switch {
	case t.Cards > 0:
		return u.cards / t.Cards
	case t.Cores > 0:
		return u.cores / t.Cores
	}
	return 1 + u.cards + u.cores/8
}

// gangPatience is how long a gang waits in its turn. After that it gathers
// room before anything else, one such gang at a time and the longest waiting
// first: smaller and more urgent work that arrives all the time would else
// take every machine that becomes free, and two gangs would each keep room
// that the other needs.
const gangPatience = 75 * second

// serveStarved lets the gang that has waited longest beyond its patience
// gather room.
func (p *plan) serveStarved(qs []*teamQueue) {
	var first *want
	for _, q := range qs {
		for _, w := range q.wants {
			j := w.j
			if j.rec.Spec.Shape != wire.ShapeGang || j.blockedSince == 0 || p.n.now-j.blockedSince < gangPatience {
				continue
			}
			if first == nil || j.blockedSince < first.j.blockedSince || j.blockedSince == first.j.blockedSince && j.ref < first.j.ref {
				first = w
			}
		}
	}
	if first != nil {
		p.starved = first
		p.serveGang(first)
		for _, q := range qs {
			q.wants = slices.DeleteFunc(q.wants, func(w *want) bool { return w == first })
		}
	}
}

// serveQueues takes the teams in turn: the most pressing head first, and
// among equals the team that uses the least of its share. It tells how many
// jobs it did not come to.
func (p *plan) serveQueues(qs []*teamQueue) int {
	p.serveStarved(qs)
	for {
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
			return p.left
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

// miss is a demand for which there was no free room in this pass.
type miss struct {
	cores, cards, mem float64
	zone              int
	any, spot, partly bool // partly: it kept off untouched ordinary machines
}

// missed tells whether a demand that asked for no more, at no fewer places,
// has found no room already: then there is no need to look again.
func (p *plan) missed(j *job, partly bool) bool {
	sp := j.rec.Spec
	for i := range p.misses {
		m := &p.misses[i]
		if m.any && (m.zone < 0 || m.zone == j.zone) && (m.spot || !j.spot) && (!m.partly || partly) &&
			m.cores <= sp.Cores+eps && m.cards <= sp.Cards+eps && m.mem <= sp.MemoryGB+eps {
			return true
		}
	}
	return false
}

func (p *plan) miss(j *job, partly bool) {
	if sp := j.rec.Spec; len(j.rec.Avoid) == 0 && len(p.misses) < 16 {
		p.misses = append(p.misses, miss{sp.Cores, sp.Cards, sp.MemoryGB, j.zone, j.any, j.spot, partly})
	}
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
		w.parts = make([]int, len(p.n.parts))
		for i := range j.rec.Active {
			w.parts[j.rec.Active[i].Part]++
		}
	}
	zones := w.zones
	scarce := p.n.scarcity()
	started := len(j.rec.Active) > 0 || p.w.recs[j.ix] != nil
	if j.bulk {
		scarce = 2 // its owners and the leader would keep each other from writing its record
	}
	near := func(s *slot) float64 {
		switch {
		case s.part < 0:
			return 0
		case started && w.parts[s.part] == 0:
			return newPart * scarce
		case j.bulk: // begun in different parts, several don't meet
			return ownPart * float64(b2i(!started && s.part != j.ix%len(p.n.parts)))
		case !started && !p.n.holds(p.n.parts[s.part]):
			return ownPart * scarce
		}
		return 0
	}
	// Tasks that only a machine still to come will take count in their zone
	// too, else all would be planned for the same one.
	took := func(s *slot, k int) {
		s.give(sp, -k)
		zones[s.zone] += k
		w.tasks = w.tasks[k:]
		w.runs--
	}
	run := func(s *slot) int {
		if !j.bulk {
			return 1
		}
		k := min(s.count(sp), len(w.tasks), maxRun)
		for k > 1 && !p.quota(j, k) {
			k--
		}
		return max(1, k)
	}
	if w.runs <= 0 {
		return false
	}
	reluctant := p.keepsOrdinary(w)
	ok := func(s *slot) bool {
		// Machines to come are no different: planned on ordinary ones that it
		// would not take, it would wait for them while no spot machine is hired.
		if reluctant && !s.spot && s.untouched() {
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
	plain := !sp.Spread && !sp.SameZone
	if !w.noRoom && !p.missed(j, reluctant) {
		if s := p.up.best(j, ok, near); s != nil {
			// Without a put left the room is kept for it all the same: it is
			// neither to be taken by what comes later, nor to go back as idle.
			k := run(s)
			if p.grant(j, w.tasks[:k], slices.Repeat([]*slot{s}, k)) {
				w.parts[s.part] += k
			} else {
				p.used[j.team].add(sp, float64(k))
			}
			s.fetching(j)
			took(s, k)
			j.blockedSince = 0
			return true
		}
		if plain {
			p.miss(j, reluctant)
		}
	}
	w.noRoom = true
	p.waiting++
	p.blocked(j)
	// Room on its way counts before machines still to come. A bulk job takes it
	// when it is there.
	if !w.noSoon && !j.bulk {
		for _, s := range p.up.soon {
			if s.suits(j) && s.fitsSoon(sp) && ok(s) {
				took(s, 1)
				return true
			}
		}
		if s := p.preempt(w, ok); s != nil {
			took(s, 1)
			return true
		}
		w.noSoon = plain
	}
	var s *slot
	if !w.noHope {
		s = p.hope.best(j, ok, nil)
		w.noHope = s == nil && plain
	}
	if s == nil {
		s = p.hireFor(w, func(s *slot) bool { return ok(s) && (s.spot || !p.sparesOnly(w)) })
	}
	if s == nil {
		return false
	}
	// Simulated only: later passes grant it for real. Count its use so that
	// no more is hired than the team may use.
	k := run(s)
	p.used[j.team].add(sp, float64(k))
	took(s, k)
	return true
}

// newPart is what it counts, in seconds, to spread a job over one more part
// when puts are scarce: each part's owner has to write the job's record. ownPart
// is what it counts to begin it in a part that is not the leader's own, where
// the grant chooses the machine and saves a put.
const (
	newPart = 8
	ownPart = 3
)

// keepsOrdinary tells whether a task that may run on spot machines should
// rather wait for one than break into an ordinary machine that nothing uses:
// those are for whole-machine gangs and daemons, and cost several times more.
func (p *plan) keepsOrdinary(w *want) bool {
	j, sp := w.j, w.j.rec.Spec
	if p.sparesOnly(w) {
		return true
	}
	if !sp.Spot || j.prio >= 2 || j.blockedSince != 0 && p.n.now-j.blockedSince > patienceForSpot {
		return false
	}
	for _, c := range p.hope.order {
		if c.spot && float64(c.cards) >= sp.Cards && len(*p.hope.open[c]) > 0 && j.allows(c.rig, c.zone, true) {
			return true
		}
	}
	for _, x := range p.pools(j) {
		if x.spot && p.open(x.pool) {
			return true
		}
	}
	return false
}

// sparesOnly tells whether a job is to fill what is spare: work of low urgency of
// a team without a guarantee. Ordinary machines are neither hired for it nor
// taken out of idleness, until it has waited for longer with nothing started.
func (p *plan) sparesOnly(w *want) bool {
	j := w.j
	t := &p.n.cfg.Teams[j.team]
	if j.prio > 0 || t.Cards > 0 || t.Cores > 0 {
		return false
	}
	return len(j.rec.Active) > 0 || j.rec.Next > 1 || j.blockedSince == 0 || p.n.now-j.blockedSince < sparePatience
}

// apart takes the work that is to fill what is spare out of the queues. It is
// served when the room that others will need at once has been set aside.
func (p *plan) apart(qs []*teamQueue) (rest, spares []*teamQueue) {
	for _, q := range qs {
		if slices.ContainsFunc(q.wants, p.sparesOnly) {
			x := &teamQueue{team: q.team}
			q.wants = slices.DeleteFunc(q.wants, func(w *want) bool {
				if p.sparesOnly(w) {
					x.wants = append(x.wants, w)
					return true
				}
				return false
			})
			spares = append(spares, x)
			p.spares = true
		}
	}
	return qs, spares
}

// sparePatience is how long work that fills what is spare waits for that.
const sparePatience = 60 * second

// patienceForSpot is about the time that a machine takes to boot and more.
const patienceForSpot = 40 * second

// blocked notes since when a job has waited. What was never granted has waited
// since it was accepted: a new leader must not make it begin anew, or with a
// leader that ends every minute a gang's turn to gather room never comes.
func (p *plan) blocked(j *job) {
	if j.blockedSince != 0 {
		return
	}
	j.blockedSince = p.n.now
	if j.rec.Next == 1 {
		j.blockedSince -= max(0, Time(p.n.cfg.WallMS()-j.rec.At)*time.Millisecond)
	}
	if j.blockedSince == 0 {
		j.blockedSince = -1
	}
}

// serveGang grants a whole gang or nothing.
func (p *plan) serveGang(w *want) {
	j, sp := w.j, w.j.rec.Spec
	if !p.quota(j, len(w.tasks)) {
		// Its team's smaller jobs would take what becomes free of the limit
		// for ever: after its patience the limit is kept for it.
		p.blocked(j)
		if j.team >= 0 && p.n.now-j.blockedSince > gangPatience {
			p.used[j.team].add(sp, float64(len(w.tasks)))
		}
		return
	}
	if chosen := p.gangSlots(w); chosen != nil {
		if !p.grant(j, w.tasks, chosen) {
			p.used[j.team].add(sp, float64(len(w.tasks)))
		}
		for _, s := range chosen {
			s.fetching(j)
			s.take(sp)
		}
		j.blockedSince = 0
		return
	}
	p.blocked(j)
	p.waiting += len(w.tasks)
	if len(w.tasks) == 1 {
		for _, s := range p.up.soon {
			if s.suits(j) && s.fitsSoon(sp) {
				s.take(sp)
				return
			}
		}
		if s := p.preempt(w, func(*slot) bool { return true }); s != nil {
			s.take(sp)
			return
		}
	}
	p.awaitGang(w)
}

// gangSlots chooses machines for a gang: from one part if any has the room,
// else from one zone, else from anywhere unless the zone has to be one.
func (p *plan) gangSlots(w *want) []*slot {
	var best []*slot
	bestScore := 0.0
	try := func(in func(part, zone int) bool, penalty float64) {
		if p.up.roomFor(w.j, in) < len(w.tasks) {
			return
		}
		chosen, score := p.pick(w, func(s *slot) bool { return in(s.part, s.zone) })
		if chosen != nil && (best == nil || score+penalty < bestScore) {
			best, bestScore = chosen, score+penalty
		}
	}
	for _, x := range p.n.parts {
		try(func(part, _ int) bool { return part == x.ix }, 0)
	}
	if best != nil && len(w.tasks) == 1 {
		return best
	}
	for z := range p.n.zones.Len() {
		try(func(part, zone int) bool { return zone == z && part >= 0 }, 10)
	}
	if !w.j.rec.Spec.SameZone {
		try(func(part, _ int) bool { return part >= 0 }, 20)
	}
	return best
}

// roomFor bounds how many tasks of a job find room, from above.
func (x *slotSet) roomFor(j *job, in func(part, zone int) bool) int {
	sp, sum := j.rec.Spec, 0
	for _, c := range x.order {
		if !in(c.part, c.zone) || !j.allows(c.rig, c.zone, c.spot) {
			continue
		}
		each := 1 << 10
		if sp.Cards >= 1 {
			each = (c.cards + 1) / int(sp.Cards)
			if float64(c.cards)+1 < sp.Cards+eps {
				each = c.cards / int(sp.Cards)
			}
		}
		sum += each * len(*x.open[c])
	}
	return sum
}

// pick chooses greedily and undoes its taking.
func (p *plan) pick(w *want, ok func(*slot) bool) ([]*slot, float64) {
	sp := w.j.rec.Spec
	var chosen []*slot
	worst := 0.0
	zones := make([]int, p.n.zones.Len())
	for range w.tasks {
		s := p.up.best(w.j, func(s *slot) bool {
			return ok(s) && !(sp.Spread && zones[s.zone] >= zoneLimit(sp))
		}, nil)
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

// source is a place that a gang which does not fit yet may get.
type source struct {
	s       *slot
	victims []victim
	drain   bool
	cost    float64
}

// choice is how a gang could get its room in one zone.
type choice struct {
	zone int // -1: any
	from []source
	hire int
	cost float64
}

// awaitGang makes room for a gang that does not fit yet, in the zone where
// that costs least: it keeps what is free, about to be free or booting, hires,
// stops work that it may stop, and as the last resort keeps machines from
// being filled again until what runs there has ended.
func (p *plan) awaitGang(w *want) {
	sp := w.j.rec.Spec
	mayEvict := p.mayPreempt(w)
	var best *choice
	if sp.SameZone && w.j.zone < 0 {
		for z := range p.n.zones.Len() {
			if c := p.gather(w, z, mayEvict); best == nil || c.cost < best.cost {
				best = c
			}
		}
	} else {
		best = p.gather(w, w.j.zone, mayEvict)
	}
	w.j.gangZone = best.zone
	stopped := false
	for _, x := range best.from {
		if w == p.starved && x.s.h != nil {
			p.kept = append(p.kept, wire.Kept{Host: x.s.h.name, Ref: w.j.ref})
		}
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
		s := p.hireFor(w, func(s *slot) bool { return best.zone < 0 || s.zone == best.zone })
		if s == nil {
			return
		}
		s.take(sp)
	}
}

// gather works out what a gang's room in a zone would cost.
func (p *plan) gather(w *want, zone int, mayEvict bool) *choice {
	sp := w.j.rec.Spec
	c := &choice{zone: zone}
	canHire := p.canHire(w.j, zone)
	var all []source
	seen := map[*slot]bool{}
	add := func(s *slot, cost float64) {
		if s.reserved || seen[s] || zone >= 0 && s.zone != zone || !s.suits(w.j) || !s.fitsSoon(sp) {
			return
		}
		seen[s] = true
		// What it can take is worked out on a copy.
		for room := *s; room.fitsSoon(sp) && len(all) < 4*len(w.tasks); {
			room.in = nil
			room.take(sp)
			all = append(all, source{s: s, cost: cost})
		}
	}
	for _, k := range p.up.order {
		if (zone < 0 || k.zone == zone) && w.j.allows(k.rig, k.zone, k.spot) {
			for _, s := range *p.up.open[k] {
				p.n.work++
				add(s, 0)
			}
		}
	}
	for _, s := range p.up.soon {
		add(s, 0)
	}
	for _, s := range p.hope.all {
		if len(all) >= 4*len(w.tasks) {
			break
		}
		add(s, 15)
	}
	if mayEvict || !canHire {
		for _, s := range p.up.all {
			if zone >= 0 && s.zone != zone || s.reserved || seen[s] || s.h.leastPrio == noPrio || !s.suits(w.j) {
				continue
			}
			p.n.work++
			if mayEvict && s.h.leastPrio <= w.j.prio {
				if v, ok := p.clearing(w, s, false); ok {
					cost := 10.0
					for _, x := range v {
						cost += x.cost / 4
					}
					all = append(all, source{s: s, victims: v, cost: cost})
					continue
				}
			}
			if !canHire {
				if _, ok := p.clearing(w, s, true); ok {
					all = append(all, source{s: s, drain: true, cost: 60})
				}
			}
		}
	}
	slices.SortStableFunc(all, func(a, b source) int { return int(a.cost) - int(b.cost) })
	if canHire {
		if at := slices.IndexFunc(all, func(x source) bool { return x.cost > 30 }); at >= 0 {
			all = all[:at]
		}
	}
	c.from = all[:min(len(all), len(w.tasks))]
	for _, x := range c.from {
		c.cost += x.cost
	}
	c.hire = len(w.tasks) - len(c.from)
	c.cost += float64(c.hire) * 30
	if c.hire > 0 && !canHire {
		c.cost += 1000 * float64(c.hire)
	}
	if zone >= 0 && zone == w.j.gangZone {
		c.cost -= 10 // rather go on where room is being made already
	}
	return c
}

// victim is a task that may be stopped to make room.
type victim struct {
	j    *job
	key  taskKey
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
func (p *plan) preempt(w *want, ok func(*slot) bool) *slot {
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
func (p *plan) stop(w *want, victims []victim) bool {
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
		p.n.log(1, "preempting", "job", v.j.ref, "task", v.key.task, "for", w.j.ref)
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
	return v.prio == w.j.prio && w.within && !v.within && v.team != w.j.team
}
