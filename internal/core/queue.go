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
		job := n.jobs[index]
		if job.Record.State != wire.JobLive || job.Record.Spec == nil || job.Team < 0 || job.IsWaiting() {
			continue
		}
		used[job.Team].add(job.Record.Spec, float64(job.Record.TaskCount-job.Record.DoneTasks.Count()))
		job.withinGuarantee = guarantees(n.replica.Quota(job.Team), used[job.Team])
		if n.isDeferred(job) {
			continue
		}
		if job.Record.Spec.Shape == wire.ShapeGang && len(job.Record.ActiveTasks) > 0 {
			continue // the old attempt is not gone yet
		}
		if queued := n.queuedTasks(job); len(queued.tasks) > 0 {
			queues[job.Team].jobs = append(queues[job.Team].jobs, queued)
		} else {
			job.waitingSince = 0
		}
	}
	for _, queue := range queues {
		slices.SortStableFunc(queue.jobs, compareUrgency)
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
func guarantees(team *Team, used usage) bool {
	return hasGuarantee(team) && !exceeds(used.cards, team.GuaranteedGPUs) && !exceeds(used.cores, team.GuaranteedCores)
}

// hasGuarantee reports whether a team has a guarantee of anything.
func hasGuarantee(team *Team) bool { return team.GuaranteedGPUs > 0 || team.GuaranteedCores > 0 }

// isDeferred tells whether a job is not to be granted anything now: it failed lately,
// its record is being written, or its owners are about to place what was granted.
func (n *Node) isDeferred(job *job) bool {
	if n.now < job.retryAt || n.batch.changes(job) || n.defersToOwner(job) {
		return true
	}
	placing := job.Unplaced > 0 && n.now-job.ChangedAt < Time(float64(ownerPlacementTime)*n.writeScarcity())
	return placing && (!job.LargeArray || n.now-job.grantedAt < ownerPlacementTime)
}

// queuedTasks lists the tasks of a job that may be granted now; none where the job has
// to wait for its own earlier tasks.
func (n *Node) queuedTasks(job *job) *queuedJob {
	queued := &queuedJob{job: job, withinGuarantee: job.withinGuarantee, latestStartMS: n.latestStart(job), runBudget: len(job.Record.ActiveTasks) + job.Record.TaskCount}
	if job.Record.Spec.Shape == wire.ShapeGang {
		queued.tasks = n.waitingTasks(job, job.Record.TaskCount)
		return queued
	}
	queued.tasks = n.waitingTasks(job, n.maxActiveTasks(job)-len(job.Record.ActiveTasks))
	if job.LargeArray {
		queued.runBudget = n.remainingRuns(job)
	}
	if queued.runBudget <= 0 || n.now-job.grantedAt < n.grantDelay(job) {
		queued.tasks = nil
	}
	if job.suspect { // one task shows as much as many
		queued.tasks = queued.tasks[:min(len(queued.tasks), boolToInt(len(job.Record.ActiveTasks) == 0))]
	}
	return queued
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
func (n *Node) latestStart(job *job) int64 {
	if ms := n.latestStartMS(job); ms != 0 {
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
func (queued *queuedJob) rank() int { return 2*queued.job.Priority + boolToInt(queued.withinGuarantee) }

// shareUsed is how much of its guarantee a team uses; less is served first.
func (pass *schedulingPass) shareUsed(team int) float64 {
	u, t := pass.used[team], pass.node.replica.Quota(team)
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
func (pass *schedulingPass) serveStarvedGang(qs []*teamQueue) {
	var first *queuedJob
	for _, queue := range qs {
		for _, queued := range queue.jobs {
			job := queued.job
			if job.Record.Spec.Shape != wire.ShapeGang || job.waitingSince == 0 || pass.node.now-job.waitingSince < gangStarvationTime {
				continue
			}
			if first == nil || job.waitingSince < first.job.waitingSince || job.waitingSince == first.job.waitingSince && job.ID < first.job.ID {
				first = queued
			}
		}
	}
	if first != nil {
		pass.starved = first
		pass.serveGang(first)
		for _, queue := range qs {
			queue.jobs = slices.DeleteFunc(queue.jobs, func(queued *queuedJob) bool { return queued == first })
		}
	}
}

// serveQueues takes the teams in turn: the most pressing head first, and
// among equals the team that uses the least of its share. It tells how many
// jobs it did not come to.
func (pass *schedulingPass) serveQueues(qs []*teamQueue) int {
	pass.serveStarvedGang(qs)
	for {
		var pick *teamQueue
		for _, queue := range qs {
			if len(queue.jobs) == 0 {
				continue
			}
			if pick == nil || queue.jobs[0].rank() > pick.jobs[0].rank() ||
				queue.jobs[0].rank() == pick.jobs[0].rank() && pass.shareUsed(queue.team) < pass.shareUsed(pick.team) {
				pick = queue
			}
		}
		if pick == nil {
			return pass.ungranted
		}
		queued := pick.jobs[0]
		more := false
		if queued.job.Record.Spec.Shape == wire.ShapeGang {
			pass.serveGang(queued)
		} else {
			more = pass.serveTask(queued)
		}
		if !more || len(queued.tasks) == 0 {
			pick.jobs = pick.jobs[1:]
		}
	}
}

// record is the job's record with what this pass has added.
func (pass *schedulingPass) record(job *job) *wire.Job {
	if r := pass.writer.records[job.Index]; r != nil {
		return r
	}
	return job.Record
}

// unmetDemand is a demand for which there was no free room in this pass.
type unmetDemand struct {
	cores, cards, mem     float64
	zone                  int
	any, spot, avoidsIdle bool // partly: it kept off untouched ordinary machines
}

// isUnmet tells whether a demand that asked for no more, at no fewer places,
// has found no room already: then there is no need to look again.
func (pass *schedulingPass) isUnmet(job *job, partly bool) bool {
	spec := job.Record.Spec
	for i := range pass.unmetDemands {
		m := &pass.unmetDemands[i]
		if m.any && (m.zone < 0 || m.zone == job.Zone) && (m.spot || !job.AllowSpot) && (!m.avoidsIdle || partly) &&
			m.cores <= spec.Cores+epsilon && m.cards <= spec.GPUs+epsilon && m.mem <= spec.MemoryGB+epsilon {
			return true
		}
	}
	return false
}

func (pass *schedulingPass) noteUnmet(job *job, partly bool) {
	if spec := job.Record.Spec; len(job.Record.FailedMachines) == 0 && len(pass.unmetDemands) < 16 {
		pass.unmetDemands = append(pass.unmetDemands, unmetDemand{spec.Cores, spec.GPUs, spec.MemoryGB, job.Zone, job.AnyType, job.AllowSpot, partly})
	}
}

// serveTask grants the next tasks of an array or daemon, one or, of a large array, as many
// as fit a machine, and tells whether to go on with the job.
func (pass *schedulingPass) serveTask(queued *queuedJob) bool {
	if queued.runBudget <= 0 || pass.admission == nil && !pass.hasQuota(queued.job, 1) {
		return false
	}
	if queued.zoneTasks == nil {
		pass.countTasks(queued)
	}
	fits := pass.placementRule(queued)
	if pass.admission != nil {
		return pass.grantNow(queued, func(s *slot) bool { return fits(s) && pass.mayAdmit(queued.job, 1, s.shard) })
	}
	if pass.grantNow(queued, fits) {
		return true
	}
	queued.noFreeRoom = true
	pass.unplacedTasks++
	pass.noteWaiting(queued.job)
	return pass.planOnReleasing(queued, fits) || pass.planOnExpected(queued, fits)
}

// countTasks counts a job's tasks by zone and by shard.
func (pass *schedulingPass) countTasks(queued *queuedJob) {
	queued.zoneTasks = pass.node.zoneTasks(pass.record(queued.job))
	queued.shardTasks = make([]int, len(pass.node.shards))
	for i := range queued.job.Record.ActiveTasks {
		queued.shardTasks[queued.job.Record.ActiveTasks[i].Shard]++
	}
}

// placementRule gives the test whether the next task of a job may be planned on a machine,
// up or to come, by its place and kind.
func (pass *schedulingPass) placementRule(queued *queuedJob) func(*slot) bool {
	spec, zones := queued.job.Record.Spec, queued.zoneTasks
	queued.avoidsIdle = pass.avoidsIdleOnDemand(queued)
	return func(s *slot) bool {
		// Machines to come are no different: planned on ordinary ones that it
		// would not take, it would wait for them while no spot machine is provisioned.
		if queued.avoidsIdle && !s.spot && s.isIdle() {
			return false
		}
		return allowsZone(spec, zones, s.zone)
	}
}

// shardPenalty gives what it counts, in seconds, to put the next task of a job on a
// machine, by the machine's shard.
func (pass *schedulingPass) shardPenalty(queued *queuedJob) func(*slot) float64 {
	job, scarcity := queued.job, pass.node.writeScarcity()
	started := len(job.Record.ActiveTasks) > 0 || pass.writer.records[job.Index] != nil
	if job.LargeArray {
		scarcity = 2 // its owners and the leader would keep each other from writing its record
	}
	return func(s *slot) float64 {
		switch {
		case s.shard < 0:
			return 0
		case started && queued.shardTasks[s.shard] == 0:
			return newShardPenalty * scarcity
		case job.LargeArray: // begun in different shards, several don't meet
			return foreignShardPenalty * float64(boolToInt(!started && s.shard != job.Index%len(pass.node.shards)))
		case !started && job.Priority == 0 && !pass.node.owns(pass.node.shards[s.shard]):
			return foreignShardPenalty * scarcity
		}
		return 0
	}
}

// hasNoZoneRule tells whether it makes no difference to a job's tasks where the others are,
// so that what was found out for one holds for the rest.
func (queued *queuedJob) hasNoZoneRule() bool {
	return !queued.job.Record.Spec.Spread && !queued.job.Record.Spec.SameZone
}

// runLengthOn is how many of a job's next tasks a machine takes at once.
func (pass *schedulingPass) runLengthOn(queued *queuedJob, slot *slot) int {
	if !queued.job.LargeArray {
		return 1
	}
	tasks := min(slot.capacityFor(queued.job.Record.Spec), len(queued.tasks), maxRunLength)
	for tasks > 1 && !pass.mayCharge(queued.job, tasks, slot) {
		tasks--
	}
	return max(1, tasks)
}

// assigned notes that the next tasks of a job are planned on a machine. Tasks that only a
// machine still to come will take count in their zone too, else all would be planned
// for the same one.
func (queued *queuedJob) assigned(slot *slot, tasks int) {
	slot.release(queued.job.Record.Spec, -tasks)
	queued.zoneTasks[slot.zone] += tasks
	queued.tasks = queued.tasks[tasks:]
	queued.runBudget--
}

// grantNow grants the next tasks of a job to the best machine with free room.
func (pass *schedulingPass) grantNow(queued *queuedJob, fits func(*slot) bool) bool {
	job := queued.job
	if queued.noFreeRoom || pass.isUnmet(job, queued.avoidsIdle) {
		return false
	}
	s := pass.available.best(job, fits, pass.shardPenalty(queued))
	if s == nil {
		if queued.hasNoZoneRule() && pass.admission == nil { // a share is not a place
			pass.noteUnmet(job, queued.avoidsIdle)
		}
		return false
	}
	// Without a put left the room is kept for it all the same: it is neither to be
	// taken by what comes later, nor to go back as idle.
	tasks := pass.runLengthOn(queued, s)
	if pass.grant(job, queued.tasks[:tasks], slices.Repeat([]*slot{s}, tasks)) {
		queued.shardTasks[s.shard] += tasks
	} else {
		pass.charge(job, tasks)
	}
	s.noteFetch(job)
	queued.assigned(s, tasks)
	job.waitingSince = 0
	return true
}

// planOnReleasing plans the next task of a job on room that is about to be free, or that is
// made for it. A large array takes such room when it is there.
func (pass *schedulingPass) planOnReleasing(queued *queuedJob, fits func(*slot) bool) bool {
	if queued.noReleasingRoom || queued.job.LargeArray {
		return false
	}
	for _, slot := range pass.available.releasing {
		if slot.accepts(queued.job) && slot.fitsAfterRelease(queued.job.Record.Spec) && fits(slot) {
			queued.assigned(slot, 1)
			return true
		}
	}
	if slot := pass.preempt(queued, fits); slot != nil {
		queued.assigned(slot, 1)
		return true
	}
	queued.noReleasingRoom = queued.hasNoZoneRule()
	return false
}

// planOnExpected plans the next tasks of a job on a machine that is to come, or is now to be
// provisioned. Later passes grant them for real.
func (pass *schedulingPass) planOnExpected(queued *queuedJob, fits func(*slot) bool) bool {
	job := queued.job
	var s *slot
	if !queued.noExpectedRoom {
		s = pass.expected.best(job, fits, nil)
		queued.noExpectedRoom = s == nil && queued.hasNoZoneRule()
	}
	if s == nil {
		s = pass.provisionFor(queued.job, func(s *slot) bool { return fits(s) && (s.spot || !pass.isBackfill(queued)) })
	}
	if s == nil {
		return false
	}
	// Their use counts, so that no more is provisioned than the team may use.
	tasks := pass.runLengthOn(queued, s)
	pass.charge(job, tasks)
	queued.assigned(s, tasks)
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
func (pass *schedulingPass) avoidsIdleOnDemand(queued *queuedJob) bool {
	job, spec := queued.job, queued.job.Record.Spec
	if pass.isBackfill(queued) {
		return true
	}
	if !spec.AllowSpot || job.Priority >= 2 || job.waitingSince != 0 && pass.node.now-job.waitingSince > spotWaitTime {
		return false
	}
	for _, class := range pass.expected.classOrder {
		if class.spot && float64(class.gpus) >= spec.GPUs && len(*pass.expected.open[class]) > 0 && job.Allows(class.machineType, class.zone, true) {
			return true
		}
	}
	for _, pool := range pass.pools(job) {
		if pool.spot && pass.node.leader.autoscaler.mayRequest(pass.node.now, pool.machinePool) {
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
func (pass *schedulingPass) noteWaiting(job *job) {
	if job.waitingSince != 0 {
		return
	}
	job.waitingSince = pass.node.now
	switch {
	case job.Record.NextAttempt == 1 && job.Links != nil && len(job.Links.Dependencies) > 0:
		job.waitingSince = job.Links.ReadyAt
	case job.Record.NextAttempt == 1:
		job.waitingSince -= max(0, Time(pass.node.cfg.WallClockMS()-job.Record.AcceptedAtMS)*time.Millisecond)
	}
	if job.waitingSince == 0 {
		job.waitingSince = -1
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
