package core

import (
	"cmp"
	"math"
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
	startBy                int64 // by when it has to begin, see Node.startBy
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
		if x.sinceMS() != y.sinceMS() {
			return cmp.Compare(x.sinceMS(), y.sinceMS())
		}
		return cmp.Compare(x.ref, y.ref)
	})
	sum := make([]use, n.teams.Len())
	for _, jx := range order {
		j := n.jobs[jx]
		if j.rec.State != wire.Live || j.rec.Spec == nil || j.team < 0 || j.waits() {
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
		w := &want{j: j, within: j.within, startBy: n.startBy(j), runs: len(j.rec.Active) + j.rec.Frames}
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
			// Among equals the stages of a chain go by when they have to begin to
			// be in time, before what has no such time.
			return cmp.Or(b.rank()-a.rank(), cmp.Compare(a.startBy, b.startBy), b2i(b.j.bulk)-b2i(a.j.bulk))
		})
	}
	return out
}

// startBy is by when a job of a chain has to begin to be in time, as time of day in
// milliseconds; what has no such time comes last.
func (n *Node) startBy(j *job) int64 {
	if ms := n.startMS(j); ms != 0 {
		return ms
	}
	return math.MaxInt64
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
		case !started && j.prio == 0 && !p.n.holds(p.n.parts[s.part]):
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
// is what it counts to begin work of low urgency in a part that is not the
// leader's own, where the grant chooses the machine and saves a put.
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
	switch {
	case j.rec.Next == 1 && j.chain != nil && len(j.chain.needs) > 0:
		j.blockedSince = j.chain.readyAt
	case j.rec.Next == 1:
		j.blockedSince -= max(0, Time(p.n.cfg.WallMS()-j.rec.At)*time.Millisecond)
	}
	if j.blockedSince == 0 {
		j.blockedSince = -1
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
