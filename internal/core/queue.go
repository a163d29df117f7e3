package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"micaport/internal/wire"
)

// queuedJob is a job in its team's queue.
type queuedJob struct {
	j      *job
	tasks  []int
	zones  []int // its tasks by zone, as planned so far
	within bool  // inside the team's guarantee, with the jobs before it
	// What was found out for an earlier task of the job holds for the rest.
	noFreeRoom, noRoomSoon, noExpectedRoom bool
	parts                                  []int // its tasks by part, as planned so far
	runs                                   int   // how many runs of tasks its record has room for
	startBy                                int64 // by when it has to begin, see Node.startBy
	reluctant                              bool  // its next task keeps off idle ordinary machines
}

// teamQueue is the queue of one team.
type teamQueue struct {
	team int
	jobs []*queuedJob
}

// queues builds a queue for each team, most pressing first.
func (n *Node) queues() []*teamQueue {
	queues := make([]*teamQueue, len(n.cfg.Teams))
	for i := range queues {
		queues[i] = &teamQueue{team: i}
	}
	used := make([]usage, n.teams.Len())
	for _, index := range n.byAge() {
		j := n.jobs[index]
		if j.rec.State != wire.Live || j.rec.Spec == nil || j.team < 0 || j.waits() {
			continue
		}
		used[j.team].add(j.rec.Spec, float64(j.rec.Frames-j.rec.DoneSet.Count()))
		j.within = n.teamTerms(j.team).guarantees(used[j.team])
		if n.isHeldBack(j) {
			continue
		}
		if j.rec.Spec.Shape == wire.ShapeGang && len(j.rec.Active) > 0 {
			continue // the old attempt is not gone yet
		}
		if w := n.queuedTasks(j); len(w.tasks) > 0 {
			queues[j.team].jobs = append(queues[j.team].jobs, w)
		} else {
			j.blockedSince = 0
		}
	}
	for _, q := range queues {
		slices.SortStableFunc(q.jobs, comparePressing)
	}
	return queues
}

// byAge lists the live jobs, those first that have been able to run for longest.
func (n *Node) byAge() []int {
	order := slices.Clone(n.live)
	slices.SortFunc(order, func(a, b int) int {
		x, y := n.jobs[a], n.jobs[b]
		return cmp.Or(cmp.Compare(x.sinceMS(), y.sinceMS()), cmp.Compare(x.ref, y.ref))
	})
	return order
}

// guarantees tells whether a team has a guarantee that covers a use.
func (t *Team) guarantees(used usage) bool {
	return (t.Cards > 0 || t.Cores > 0) && !over(used.cards, t.Cards) && !over(used.cores, t.Cores)
}

// isHeldBack tells whether a job is not to be granted anything now: it failed lately,
// its record is being written, or its owners are about to place what was granted.
func (n *Node) isHeldBack(j *job) bool {
	if n.now < j.notBefore || n.owner.holds(j) || n.leavesToOwner(j) {
		return true
	}
	placing := j.unplaced > 0 && n.now-j.changed < Time(float64(placingTime)*n.scarcity())
	return placing && (!j.bulk || n.now-j.grantedAt < placingTime)
}

// queuedTasks lists the tasks of a job that may be granted now; none where the job has
// to wait for its own earlier tasks.
func (n *Node) queuedTasks(j *job) *queuedJob {
	w := &queuedJob{j: j, within: j.within, startBy: n.startBy(j), runs: len(j.rec.Active) + j.rec.Frames}
	if j.rec.Spec.Shape == wire.ShapeGang {
		w.tasks = n.waitingTasks(j, j.rec.Frames)
		return w
	}
	w.tasks = n.waitingTasks(j, n.tasksLimit(j)-len(j.rec.Active))
	if j.bulk {
		w.runs = n.runsLeft(j)
	}
	if w.runs <= 0 || n.now-j.grantedAt < n.grantDelay(j) {
		w.tasks = nil
	}
	if j.suspect { // one task shows as much as many
		w.tasks = w.tasks[:min(len(w.tasks), boolToInt(len(j.rec.Active) == 0))]
	}
	return w
}

// comparePressing orders the jobs of a team's queue. Among equals the stages of a chain
// go by when they have to begin to be in time, before what has no such time. A bulk
// job's turn comes seldom and takes one put; behind a swarm of small jobs, which need
// one each, it would never come.
func comparePressing(a, b *queuedJob) int {
	return cmp.Or(b.rank()-a.rank(), cmp.Compare(a.startBy, b.startBy), boolToInt(b.j.bulk)-boolToInt(a.j.bulk))
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
const placingTime = 700 * time.Millisecond

// rank puts urgent work first, and among equals work within a guarantee
// before borrowed. It must agree with mayStop: if what was stopped came before
// what it was stopped for, the two would take turns.
func (w *queuedJob) rank() int { return 2*w.j.prio + boolToInt(w.within) }

// share is how much of its guarantee a team uses; less is served first.
func (p *plan) share(team int) float64 {
	u, t := p.used[team], p.n.teamTerms(team)
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
	var first *queuedJob
	for _, q := range qs {
		for _, w := range q.jobs {
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
			q.jobs = slices.DeleteFunc(q.jobs, func(w *queuedJob) bool { return w == first })
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
			if len(q.jobs) == 0 {
				continue
			}
			if pick == nil || q.jobs[0].rank() > pick.jobs[0].rank() ||
				q.jobs[0].rank() == pick.jobs[0].rank() && p.share(q.team) < p.share(pick.team) {
				pick = q
			}
		}
		if pick == nil {
			return p.ungranted
		}
		w := pick.jobs[0]
		more := false
		if w.j.rec.Spec.Shape == wire.ShapeGang {
			p.serveGang(w)
		} else {
			more = p.serveTask(w)
		}
		if !more || len(w.tasks) == 0 {
			pick.jobs = pick.jobs[1:]
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

// unmetDemand is a demand for which there was no free room in this pass.
type unmetDemand struct {
	cores, cards, mem     float64
	zone                  int
	any, spot, avoidsIdle bool // partly: it kept off untouched ordinary machines
}

// isUnmet tells whether a demand that asked for no more, at no fewer places,
// has found no room already: then there is no need to look again.
func (p *plan) isUnmet(j *job, partly bool) bool {
	sp := j.rec.Spec
	for i := range p.unmet {
		m := &p.unmet[i]
		if m.any && (m.zone < 0 || m.zone == j.zone) && (m.spot || !j.spot) && (!m.avoidsIdle || partly) &&
			m.cores <= sp.Cores+eps && m.cards <= sp.Cards+eps && m.mem <= sp.MemoryGB+eps {
			return true
		}
	}
	return false
}

func (p *plan) noteUnmet(j *job, partly bool) {
	if sp := j.rec.Spec; len(j.rec.Avoid) == 0 && len(p.unmet) < 16 {
		p.unmet = append(p.unmet, unmetDemand{sp.Cores, sp.Cards, sp.MemoryGB, j.zone, j.any, j.spot, partly})
	}
}

// serveTask grants the next tasks of an array or daemon, one or, of a bulk job, as many
// as fit a machine, and tells whether to go on with the job.
func (p *plan) serveTask(w *queuedJob) bool {
	if w.runs <= 0 || p.admission == nil && !p.quota(w.j, 1) {
		return false
	}
	if w.zones == nil {
		p.countPlaces(w)
	}
	fits := p.placeRule(w)
	if p.admission != nil {
		return p.grantNow(w, func(s *slot) bool { return fits(s) && p.mayAdmit(w.j, 1, s.part) })
	}
	if p.grantNow(w, fits) {
		return true
	}
	w.noFreeRoom = true
	p.waiting++
	p.noteBlocked(w.j)
	return p.planSoon(w, fits) || p.planLater(w, fits)
}

// countPlaces counts a job's tasks by zone and by part.
func (p *plan) countPlaces(w *queuedJob) {
	w.zones = p.n.zoneTasks(p.record(w.j))
	w.parts = make([]int, len(p.n.parts))
	for i := range w.j.rec.Active {
		w.parts[w.j.rec.Active[i].Part]++
	}
}

// placeRule gives the test whether the next task of a job may be planned on a machine,
// up or to come, by its place and kind.
func (p *plan) placeRule(w *queuedJob) func(*slot) bool {
	spec, zones := w.j.rec.Spec, w.zones
	w.reluctant = p.avoidsIdleOrdinary(w)
	return func(s *slot) bool {
		// Machines to come are no different: planned on ordinary ones that it
		// would not take, it would wait for them while no spot machine is hired.
		if w.reluctant && !s.spot && s.untouched() {
			return false
		}
		if spec.Spread && zones[s.zone] >= zoneLimit(spec) {
			return false
		}
		if spec.SameZone {
			for z, c := range zones {
				if c > 0 && z != s.zone {
					return false
				}
			}
		}
		return true
	}
}

// partPenalty gives what it counts, in seconds, to put the next task of a job on a
// machine, by the machine's part.
func (p *plan) partPenalty(w *queuedJob) func(*slot) float64 {
	j, scarcity := w.j, p.n.scarcity()
	started := len(j.rec.Active) > 0 || p.w.recs[j.ix] != nil
	if j.bulk {
		scarcity = 2 // its owners and the leader would keep each other from writing its record
	}
	return func(s *slot) float64 {
		switch {
		case s.part < 0:
			return 0
		case started && w.parts[s.part] == 0:
			return newPartPenalty * scarcity
		case j.bulk: // begun in different parts, several don't meet
			return foreignPartPenalty * float64(boolToInt(!started && s.part != j.ix%len(p.n.parts)))
		case !started && j.prio == 0 && !p.n.holds(p.n.parts[s.part]):
			return foreignPartPenalty * scarcity
		}
		return 0
	}
}

// anywhere tells whether it makes no difference to a job's tasks where the others are,
// so that what was found out for one holds for the rest.
func (w *queuedJob) anywhere() bool {
	return !w.j.rec.Spec.Spread && !w.j.rec.Spec.SameZone
}

// runOn is how many of a job's next tasks a machine takes at once.
func (p *plan) runOn(w *queuedJob, s *slot) int {
	if !w.j.bulk {
		return 1
	}
	tasks := min(s.count(w.j.rec.Spec), len(w.tasks), maxRun)
	for tasks > 1 && !p.mayCharge(w.j, tasks, s) {
		tasks--
	}
	return max(1, tasks)
}

// took notes that the next tasks of a job are planned on a machine. Tasks that only a
// machine still to come will take count in their zone too, else all would be planned
// for the same one.
func (w *queuedJob) took(s *slot, tasks int) {
	s.give(w.j.rec.Spec, -tasks)
	w.zones[s.zone] += tasks
	w.tasks = w.tasks[tasks:]
	w.runs--
}

// grantNow grants the next tasks of a job to the best machine with free room.
func (p *plan) grantNow(w *queuedJob, fits func(*slot) bool) bool {
	j := w.j
	if w.noFreeRoom || p.isUnmet(j, w.reluctant) {
		return false
	}
	s := p.up.best(j, fits, p.partPenalty(w))
	if s == nil {
		if w.anywhere() && p.admission == nil { // a share is not a place
			p.noteUnmet(j, w.reluctant)
		}
		return false
	}
	// Without a put left the room is kept for it all the same: it is neither to be
	// taken by what comes later, nor to go back as idle.
	tasks := p.runOn(w, s)
	if p.grant(j, w.tasks[:tasks], slices.Repeat([]*slot{s}, tasks)) {
		w.parts[s.part] += tasks
	} else {
		p.charge(j, tasks)
	}
	s.fetching(j)
	w.took(s, tasks)
	j.blockedSince = 0
	return true
}

// planSoon plans the next task of a job on room that is about to be free, or that is
// made for it. A bulk job takes such room when it is there.
func (p *plan) planSoon(w *queuedJob, fits func(*slot) bool) bool {
	if w.noRoomSoon || w.j.bulk {
		return false
	}
	for _, s := range p.up.soon {
		if s.suits(w.j) && s.fitsSoon(w.j.rec.Spec) && fits(s) {
			w.took(s, 1)
			return true
		}
	}
	if s := p.preempt(w, fits); s != nil {
		w.took(s, 1)
		return true
	}
	w.noRoomSoon = w.anywhere()
	return false
}

// planLater plans the next tasks of a job on a machine that is to come, or is now to be
// hired. Later passes grant them for real.
func (p *plan) planLater(w *queuedJob, fits func(*slot) bool) bool {
	j := w.j
	var s *slot
	if !w.noExpectedRoom {
		s = p.expected.best(j, fits, nil)
		w.noExpectedRoom = s == nil && w.anywhere()
	}
	if s == nil {
		s = p.hireFor(w, func(s *slot) bool { return fits(s) && (s.spot || !p.isBackfill(w)) })
	}
	if s == nil {
		return false
	}
	// Their use counts, so that no more is hired than the team may use.
	tasks := p.runOn(w, s)
	p.charge(j, tasks)
	w.took(s, tasks)
	return true
}

// newPartPenalty is what it counts, in seconds, to spread a job over one more part
// when puts are scarce: each part's owner has to write the job's record. foreignPartPenalty
// is what it counts to begin work of low urgency in a part that is not the
// leader's own, where the grant chooses the machine and saves a put.
const (
	newPartPenalty     = 8
	foreignPartPenalty = 3
)

// avoidsIdleOrdinary tells whether a task that may run on spot machines should
// rather wait for one than break into an ordinary machine that nothing uses:
// those are for whole-machine gangs and daemons, and cost several times more.
func (p *plan) avoidsIdleOrdinary(w *queuedJob) bool {
	j, sp := w.j, w.j.rec.Spec
	if p.isBackfill(w) {
		return true
	}
	if !sp.Spot || j.prio >= 2 || j.blockedSince != 0 && p.n.now-j.blockedSince > patienceForSpot {
		return false
	}
	for _, c := range p.expected.order {
		if c.spot && float64(c.cards) >= sp.Cards && len(*p.expected.open[c]) > 0 && j.allows(c.rig, c.zone, true) {
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

// noteBlocked notes since when a job has waited. What was never granted has waited
// since it was accepted: a new leader must not make it begin anew, or with a
// leader that ends every minute a gang's turn to gather room never comes.
func (p *plan) noteBlocked(j *job) {
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

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
