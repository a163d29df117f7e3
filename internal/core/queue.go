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
	job             *job
	tasks           []int
	zoneTasks       []int // its tasks by zone, as planned so far
	withinGuarantee bool  // inside the team's guarantee, with the jobs before it
	// What was found out for an earlier task of the job holds for the rest.
	noFreeRoom, noReleasingRoom, noExpectedRoom bool
	shardTasks                                  []int // its tasks by shard, as planned so far
	runBudget                                   int   // how many runs of tasks its record has room for
	latestStartMS                               int64 // by when it has to begin, see Node.latestStartMS
	avoidsIdle                                  bool  // its next task keeps off idle ordinary machines
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
	used := make([]usage, n.names.Teams.Len())
	for _, index := range n.jobsByAge() {
		j := n.jobs[index]
		if j.Record.State != wire.JobLive || j.Record.Spec == nil || j.Team < 0 || j.IsWaiting() {
			continue
		}
		used[j.Team].add(j.Record.Spec, float64(j.Record.TaskCount-j.Record.DoneTasks.Count()))
		j.withinGuarantee = guarantees(n.replica.Quota(j.Team), used[j.Team])
		if n.isDeferred(j) {
			continue
		}
		if j.Record.Spec.Shape == wire.ShapeGang && len(j.Record.ActiveTasks) > 0 {
			continue // the old attempt is not gone yet
		}
		if w := n.queuedTasks(j); len(w.tasks) > 0 {
			queues[j.Team].jobs = append(queues[j.Team].jobs, w)
		} else {
			j.waitingSince = 0
		}
	}
	for _, q := range queues {
		slices.SortStableFunc(q.jobs, compareUrgency)
	}
	return queues
}

// jobsByAge lists the live jobs, those first that have been able to run for longest.
func (n *Node) jobsByAge() []int {
	order := slices.Clone(n.replica.Live())
	slices.SortFunc(order, func(a, b int) int {
		x, y := n.jobs[a], n.jobs[b]
		return cmp.Or(cmp.Compare(x.RunnableSinceMS(), y.RunnableSinceMS()), cmp.Compare(x.ID, y.ID))
	})
	return order
}

// guarantees tells whether a team has a guarantee that covers a use.
func guarantees(t *Team, used usage) bool {
	return (t.GuaranteedGPUs > 0 || t.GuaranteedCores > 0) && !exceeds(used.cards, t.GuaranteedGPUs) && !exceeds(used.cores, t.GuaranteedCores)
}

// isDeferred tells whether a job is not to be granted anything now: it failed lately,
// its record is being written, or its owners are about to place what was granted.
func (n *Node) isDeferred(j *job) bool {
	if n.now < j.retryAt || n.batch.changes(j) || n.defersToOwner(j) {
		return true
	}
	placing := j.Unplaced > 0 && n.now-j.ChangedAt < Time(float64(ownerPlacementTime)*n.writeScarcity())
	return placing && (!j.LargeArray || n.now-j.grantedAt < ownerPlacementTime)
}

// queuedTasks lists the tasks of a job that may be granted now; none where the job has
// to wait for its own earlier tasks.
func (n *Node) queuedTasks(j *job) *queuedJob {
	w := &queuedJob{job: j, withinGuarantee: j.withinGuarantee, latestStartMS: n.latestStart(j), runBudget: len(j.Record.ActiveTasks) + j.Record.TaskCount}
	if j.Record.Spec.Shape == wire.ShapeGang {
		w.tasks = n.waitingTasks(j, j.Record.TaskCount)
		return w
	}
	w.tasks = n.waitingTasks(j, n.maxActiveTasks(j)-len(j.Record.ActiveTasks))
	if j.LargeArray {
		w.runBudget = n.remainingRuns(j)
	}
	if w.runBudget <= 0 || n.now-j.grantedAt < n.grantDelay(j) {
		w.tasks = nil
	}
	if j.suspect { // one task shows as much as many
		w.tasks = w.tasks[:min(len(w.tasks), boolToInt(len(j.Record.ActiveTasks) == 0))]
	}
	return w
}

// compareUrgency orders the jobs of a team's queue. Among equals the stages of a chain
// go by when they have to begin to be in time, before what has no such time. A bulk
// job's turn comes seldom and takes one put; behind a swarm of small jobs, which need
// one each, it would never come.
func compareUrgency(a, b *queuedJob) int {
	return cmp.Or(b.rank()-a.rank(), cmp.Compare(a.latestStartMS, b.latestStartMS), boolToInt(b.job.LargeArray)-boolToInt(a.job.LargeArray))
}

// latestStart is by when a job of a chain has to begin to be in time, as time of day in
// milliseconds; what has no such time comes last.
func (n *Node) latestStart(j *job) int64 {
	if ms := n.latestStartMS(j); ms != 0 {
		return ms
	}
	return math.MaxInt64
}

// ownerPlacementTime is how long a job's owners have for placing what was granted
// before more is granted to it, when puts are scarce: the record can't be
// written by both at once.
const ownerPlacementTime = 700 * time.Millisecond

// rank puts urgent work first, and among equals work within a guarantee
// before borrowed. It must agree with mayPreemptJob: if what was stopped came before
// what it was stopped for, the two would take turns.
func (w *queuedJob) rank() int { return 2*w.job.Priority + boolToInt(w.withinGuarantee) }

// shareUsed is how much of its guarantee a team uses; less is served first.
func (p *schedulingPass) shareUsed(team int) float64 {
	u, t := p.used[team], p.node.replica.Quota(team)
	switch {
	case t.GuaranteedGPUs > 0:
		return u.cards / t.GuaranteedGPUs
	case t.GuaranteedCores > 0:
		return u.cores / t.GuaranteedCores
	}
	return 1 + u.cards + u.cores/8
}

// gangStarvationTime is how long a gang waits in its turn. After that it gathers
// room before anything else, one such gang at a time and the longest waiting
// first: smaller and more urgent work that arrives all the time would else
// take every machine that becomes free, and two gangs would each keep room
// that the other needs.
const gangStarvationTime = 75 * second

// serveStarvedGang lets the gang that has waited longest beyond its timeout
// gather room.
func (p *schedulingPass) serveStarvedGang(qs []*teamQueue) {
	var first *queuedJob
	for _, q := range qs {
		for _, w := range q.jobs {
			j := w.job
			if j.Record.Spec.Shape != wire.ShapeGang || j.waitingSince == 0 || p.node.now-j.waitingSince < gangStarvationTime {
				continue
			}
			if first == nil || j.waitingSince < first.job.waitingSince || j.waitingSince == first.job.waitingSince && j.ID < first.job.ID {
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
func (p *schedulingPass) serveQueues(qs []*teamQueue) int {
	p.serveStarvedGang(qs)
	for {
		var pick *teamQueue
		for _, q := range qs {
			if len(q.jobs) == 0 {
				continue
			}
			if pick == nil || q.jobs[0].rank() > pick.jobs[0].rank() ||
				q.jobs[0].rank() == pick.jobs[0].rank() && p.shareUsed(q.team) < p.shareUsed(pick.team) {
				pick = q
			}
		}
		if pick == nil {
			return p.ungranted
		}
		w := pick.jobs[0]
		more := false
		if w.job.Record.Spec.Shape == wire.ShapeGang {
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
func (p *schedulingPass) record(j *job) *wire.Job {
	if r := p.writer.records[j.Index]; r != nil {
		return r
	}
	return j.Record
}

// unmetDemand is a demand for which there was no free room in this pass.
type unmetDemand struct {
	cores, cards, mem     float64
	zone                  int
	any, spot, avoidsIdle bool // partly: it kept off untouched ordinary machines
}

// isUnmet tells whether a demand that asked for no more, at no fewer places,
// has found no room already: then there is no need to look again.
func (p *schedulingPass) isUnmet(j *job, partly bool) bool {
	sp := j.Record.Spec
	for i := range p.unmetDemands {
		m := &p.unmetDemands[i]
		if m.any && (m.zone < 0 || m.zone == j.Zone) && (m.spot || !j.AllowSpot) && (!m.avoidsIdle || partly) &&
			m.cores <= sp.Cores+epsilon && m.cards <= sp.GPUs+epsilon && m.mem <= sp.MemoryGB+epsilon {
			return true
		}
	}
	return false
}

func (p *schedulingPass) noteUnmet(j *job, partly bool) {
	if sp := j.Record.Spec; len(j.Record.FailedMachines) == 0 && len(p.unmetDemands) < 16 {
		p.unmetDemands = append(p.unmetDemands, unmetDemand{sp.Cores, sp.GPUs, sp.MemoryGB, j.Zone, j.AnyType, j.AllowSpot, partly})
	}
}

// serveTask grants the next tasks of an array or daemon, one or, of a large array, as many
// as fit a machine, and tells whether to go on with the job.
func (p *schedulingPass) serveTask(w *queuedJob) bool {
	if w.runBudget <= 0 || p.admission == nil && !p.hasQuota(w.job, 1) {
		return false
	}
	if w.zoneTasks == nil {
		p.countTasks(w)
	}
	fits := p.placementRule(w)
	if p.admission != nil {
		return p.grantNow(w, func(s *slot) bool { return fits(s) && p.mayAdmit(w.job, 1, s.shard) })
	}
	if p.grantNow(w, fits) {
		return true
	}
	w.noFreeRoom = true
	p.unplacedTasks++
	p.noteWaiting(w.job)
	return p.planOnReleasing(w, fits) || p.planOnExpected(w, fits)
}

// countTasks counts a job's tasks by zone and by shard.
func (p *schedulingPass) countTasks(w *queuedJob) {
	w.zoneTasks = p.node.zoneTasks(p.record(w.job))
	w.shardTasks = make([]int, len(p.node.shards))
	for i := range w.job.Record.ActiveTasks {
		w.shardTasks[w.job.Record.ActiveTasks[i].Shard]++
	}
}

// placementRule gives the test whether the next task of a job may be planned on a machine,
// up or to come, by its place and kind.
func (p *schedulingPass) placementRule(w *queuedJob) func(*slot) bool {
	spec, zones := w.job.Record.Spec, w.zoneTasks
	w.avoidsIdle = p.avoidsIdleOnDemand(w)
	return func(s *slot) bool {
		// Machines to come are no different: planned on ordinary ones that it
		// would not take, it would wait for them while no spot machine is provisioned.
		if w.avoidsIdle && !s.spot && s.isIdle() {
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

// shardPenalty gives what it counts, in seconds, to put the next task of a job on a
// machine, by the machine's shard.
func (p *schedulingPass) shardPenalty(w *queuedJob) func(*slot) float64 {
	j, scarcity := w.job, p.node.writeScarcity()
	started := len(j.Record.ActiveTasks) > 0 || p.writer.records[j.Index] != nil
	if j.LargeArray {
		scarcity = 2 // its owners and the leader would keep each other from writing its record
	}
	return func(s *slot) float64 {
		switch {
		case s.shard < 0:
			return 0
		case started && w.shardTasks[s.shard] == 0:
			return newShardPenalty * scarcity
		case j.LargeArray: // begun in different shards, several don't meet
			return foreignShardPenalty * float64(boolToInt(!started && s.shard != j.Index%len(p.node.shards)))
		case !started && j.Priority == 0 && !p.node.owns(p.node.shards[s.shard]):
			return foreignShardPenalty * scarcity
		}
		return 0
	}
}

// hasNoZoneRule tells whether it makes no difference to a job's tasks where the others are,
// so that what was found out for one holds for the rest.
func (w *queuedJob) hasNoZoneRule() bool {
	return !w.job.Record.Spec.Spread && !w.job.Record.Spec.SameZone
}

// runLengthOn is how many of a job's next tasks a machine takes at once.
func (p *schedulingPass) runLengthOn(w *queuedJob, s *slot) int {
	if !w.job.LargeArray {
		return 1
	}
	tasks := min(s.capacityFor(w.job.Record.Spec), len(w.tasks), maxRunLength)
	for tasks > 1 && !p.mayCharge(w.job, tasks, s) {
		tasks--
	}
	return max(1, tasks)
}

// assigned notes that the next tasks of a job are planned on a machine. Tasks that only a
// machine still to come will take count in their zone too, else all would be planned
// for the same one.
func (w *queuedJob) assigned(s *slot, tasks int) {
	s.release(w.job.Record.Spec, -tasks)
	w.zoneTasks[s.zone] += tasks
	w.tasks = w.tasks[tasks:]
	w.runBudget--
}

// grantNow grants the next tasks of a job to the best machine with free room.
func (p *schedulingPass) grantNow(w *queuedJob, fits func(*slot) bool) bool {
	j := w.job
	if w.noFreeRoom || p.isUnmet(j, w.avoidsIdle) {
		return false
	}
	s := p.available.best(j, fits, p.shardPenalty(w))
	if s == nil {
		if w.hasNoZoneRule() && p.admission == nil { // a share is not a place
			p.noteUnmet(j, w.avoidsIdle)
		}
		return false
	}
	// Without a put left the room is kept for it all the same: it is neither to be
	// taken by what comes later, nor to go back as idle.
	tasks := p.runLengthOn(w, s)
	if p.grant(j, w.tasks[:tasks], slices.Repeat([]*slot{s}, tasks)) {
		w.shardTasks[s.shard] += tasks
	} else {
		p.charge(j, tasks)
	}
	s.noteFetch(j)
	w.assigned(s, tasks)
	j.waitingSince = 0
	return true
}

// planOnReleasing plans the next task of a job on room that is about to be free, or that is
// made for it. A large array takes such room when it is there.
func (p *schedulingPass) planOnReleasing(w *queuedJob, fits func(*slot) bool) bool {
	if w.noReleasingRoom || w.job.LargeArray {
		return false
	}
	for _, s := range p.available.releasing {
		if s.accepts(w.job) && s.fitsAfterRelease(w.job.Record.Spec) && fits(s) {
			w.assigned(s, 1)
			return true
		}
	}
	if s := p.preempt(w, fits); s != nil {
		w.assigned(s, 1)
		return true
	}
	w.noReleasingRoom = w.hasNoZoneRule()
	return false
}

// planOnExpected plans the next tasks of a job on a machine that is to come, or is now to be
// provisioned. Later passes grant them for real.
func (p *schedulingPass) planOnExpected(w *queuedJob, fits func(*slot) bool) bool {
	j := w.job
	var s *slot
	if !w.noExpectedRoom {
		s = p.expected.best(j, fits, nil)
		w.noExpectedRoom = s == nil && w.hasNoZoneRule()
	}
	if s == nil {
		s = p.provisionFor(w, func(s *slot) bool { return fits(s) && (s.spot || !p.isBackfill(w)) })
	}
	if s == nil {
		return false
	}
	// Their use counts, so that no more is provisioned than the team may use.
	tasks := p.runLengthOn(w, s)
	p.charge(j, tasks)
	w.assigned(s, tasks)
	return true
}

// newShardPenalty is what it counts, in seconds, to spread a job over one more shard
// when puts are scarce: each shard's owner has to write the job's record. foreignShardPenalty
// is what it counts to begin work of low urgency in a shard that is not the
// leader's own, where the grant chooses the machine and saves a put.
const (
	newShardPenalty     = 8
	foreignShardPenalty = 3
)

// avoidsIdleOnDemand tells whether a task that may run on spot machines should
// rather wait for one than break into an ordinary machine that nothing uses:
// those are for whole-machine gangs and daemons, and cost several times more.
func (p *schedulingPass) avoidsIdleOnDemand(w *queuedJob) bool {
	j, sp := w.job, w.job.Record.Spec
	if p.isBackfill(w) {
		return true
	}
	if !sp.AllowSpot || j.Priority >= 2 || j.waitingSince != 0 && p.node.now-j.waitingSince > spotWaitTime {
		return false
	}
	for _, c := range p.expected.classOrder {
		if c.spot && float64(c.gpus) >= sp.GPUs && len(*p.expected.open[c]) > 0 && j.Allows(c.machineType, c.zone, true) {
			return true
		}
	}
	for _, x := range p.pools(j) {
		if x.spot && p.mayProvision(x.machinePool) {
			return true
		}
	}
	return false
}

// spotWaitTime is about the time that a machine takes to boot and more.
const spotWaitTime = 40 * second

// noteWaiting notes since when a job has waited. What was never granted has waited
// since it was accepted: a new leader must not make it begin anew, or with a
// leader that ends every minute a gang's turn to gather room never comes.
func (p *schedulingPass) noteWaiting(j *job) {
	if j.waitingSince != 0 {
		return
	}
	j.waitingSince = p.node.now
	switch {
	case j.Record.NextAttempt == 1 && j.Links != nil && len(j.Links.Dependencies) > 0:
		j.waitingSince = j.Links.ReadyAt
	case j.Record.NextAttempt == 1:
		j.waitingSince -= max(0, Time(p.node.cfg.WallClockMS()-j.Record.AcceptedAtMS)*time.Millisecond)
	}
	if j.waitingSince == 0 {
		j.waitingSince = -1
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
