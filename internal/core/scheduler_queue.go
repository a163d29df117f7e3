package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"micaport/internal/replica"
	"micaport/internal/wire"
)

// queuedJob is a job in its team's queue.
type queuedJob struct {
	job                *job
	tasks              []int // tasks that may be granted now and are not planned yet
	zoneTasks          []int // number of its active and planned tasks by zone
	shardTasks         []int // number of its active and newly granted tasks by shard
	withinGuarantee    bool  // the team's guarantee covers the job and the team's older jobs
	remainingRuns      int   // runs that the record of a large array can still hold; other jobs: no limit
	latestStartMS      int64 // see Node.latestStartOrMax
	avoidsIdleOnDemand bool  // its next task avoids idle on-demand machines

	// Set if the search for such a slot has failed for a task of the job. The search is then not
	// repeated for the job's other tasks.
	noFreeSlot, noReleasingSlot, noExpectedSlot bool
}

// teamQueue is the queue of one team.
type teamQueue struct {
	team int
	jobs []*queuedJob
}

const (
	// ownerPlacementTime is how long the leader waits, when writes are scarce, for the owners of
	// shards to place the grants of a job before it grants more tasks to the job: the leader and
	// the owners can't write the job's record at the same time.
	ownerPlacementTime = 700 * time.Millisecond
	// gangReservationDelay is how long a gang waits in its queue before capacity is reserved for it
	// ahead of all other jobs. This is done for one gang at a time, the longest waiting first.
	// Otherwise a steady arrival of smaller and more urgent jobs would take every machine that
	// becomes free, and two gangs could each hold capacity that the other needs.
	gangReservationDelay = 75 * second
)

// queues returns a queue for each team, the most urgent job first.
func (n *Node) queues() []*teamQueue {
	queues := make([]*teamQueue, len(n.cfg.Teams))
	for team := range queues {
		queues[team] = &teamQueue{team: team}
	}
	used := make([]usage, n.names.Teams.Len())
	for _, index := range n.jobsByRunnableTime() {
		job := n.jobs[index]
		if job.Record.State != wire.JobLive || job.Record.Spec == nil || job.Team < 0 || job.IsBlocked() {
			continue
		}
		used[job.Team].add(job.Record.Spec, float64(job.Record.TaskCount-job.Record.DoneTasks.Count()))
		job.withinGuarantee = guaranteeCovers(n.replica.Quota(job.Team), used[job.Team])
		if n.isDeferred(job) {
			continue
		}
		if job.Record.Spec.Shape == wire.ShapeGang && len(job.Record.ActiveTasks) > 0 {
			continue // its earlier attempt has not ended yet
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

// jobsByRunnableTime returns the live jobs in the order in which they became runnable, oldest first.
func (s *site) jobsByRunnableTime() []int {
	order := slices.Clone(s.replica.Live())
	slices.SortFunc(order, func(a, b int) int {
		first, second := s.jobs[a], s.jobs[b]
		return cmp.Or(cmp.Compare(first.RunnableSinceMS(), second.RunnableSinceMS()), cmp.Compare(first.ID, second.ID))
	})
	return order
}

// hasGuarantee reports whether a team has any guaranteed cores or GPUs.
func hasGuarantee(team *replica.Team) bool {
	return team.GuaranteedGPUs > 0 || team.GuaranteedCores > 0
}

// guaranteeCovers reports whether a team has a guarantee that covers a usage.
func guaranteeCovers(team *replica.Team, used usage) bool {
	return hasGuarantee(team) && !exceeds(used.gpus, team.GuaranteedGPUs) && !exceeds(used.cores, team.GuaranteedCores)
}

// isDeferred reports whether no tasks of a job may be granted now: the job failed recently, its
// record is being written, it is left to the owner of its home shard, or owners are about to place
// its earlier grants. For a large array, whose record changes all the time, the wait for the owners
// also ends ownerPlacementTime after its last grant.
func (n *Node) isDeferred(job *job) bool {
	if n.now < job.retryAt || n.batch.changes(job) || n.defersToOwner(job) {
		return true
	}
	placing := job.Unplaced > 0 && n.now-job.ChangedAt < Time(float64(ownerPlacementTime)*n.writeScarcity())
	return placing && (!job.LargeArray || n.now-job.grantedAt < ownerPlacementTime)
}

// queuedTasks returns the queue entry of a job with the tasks that may be granted now. There are
// none while grants to the job are delayed or its record has no space for more runs.
func (n *Node) queuedTasks(job *job) *queuedJob {
	queued := &queuedJob{
		job:             job,
		withinGuarantee: job.withinGuarantee,
		latestStartMS:   n.latestStartOrMax(job),
		remainingRuns:   len(job.Record.ActiveTasks) + job.Record.TaskCount, // more than the job can use
	}
	if job.Record.Spec.Shape == wire.ShapeGang {
		queued.tasks = n.pendingTasks(job, job.Record.TaskCount)
		return queued
	}
	queued.tasks = n.pendingTasks(job, n.maxActiveTasks(job)-len(job.Record.ActiveTasks))
	if job.LargeArray {
		queued.remainingRuns = n.remainingRuns(job)
	}
	if queued.remainingRuns <= 0 || n.now-job.grantedAt < n.grantDelay(job) {
		queued.tasks = nil
	}
	if job.suspect { // one task is enough to see whether the job still fails
		mayStart := 1
		if len(job.Record.ActiveTasks) > 0 {
			mayStart = 0
		}
		queued.tasks = queued.tasks[:min(len(queued.tasks), mayStart)]
	}
	return queued
}

// compareUrgency orders the jobs of a team's queue by rank, then by latest start with jobs
// without one last, then large arrays first. A large array is served rarely and takes one write;
// behind many small jobs, which need one write each, it would never be served.
func compareUrgency(a, b *queuedJob) int {
	return cmp.Or(b.rank()-a.rank(), cmp.Compare(a.latestStartMS, b.latestStartMS), boolToInt(b.job.LargeArray)-boolToInt(a.job.LargeArray))
}

// latestStartOrMax returns latestStartMS of a job, or math.MaxInt64 if it has none, so that jobs
// without a latest start come last in the queue.
func (n *Node) latestStartOrMax(job *job) int64 {
	if ms := n.latestStartMS(job); ms != 0 {
		return ms
	}
	return math.MaxInt64
}

// rank orders jobs by priority, and jobs of the same priority by whether they are within their
// team's guarantee. It must agree with mayPreemptJob: if a preempted job came before the job that
// preempted it, the two would take each other's capacity in turn.
func (q *queuedJob) rank() int { return 2*q.job.Priority + boolToInt(q.withinGuarantee) }

// coresPerGPU is the number of cores that count as much as one GPU in the usage of teams without
// a guarantee.
const coresPerGPU = 8

// guaranteeUtilization returns the fraction of its guaranteed GPUs that a team uses, or of its
// guaranteed cores if it has no guaranteed GPUs; the team with the lowest is served first. For a
// team without a guarantee it is at least 1 and increases with the usage.
func (p *schedulingPass) guaranteeUtilization(team int) float64 {
	used, quota := p.used[team], p.node.replica.Quota(team)
	switch {
	case quota.GuaranteedGPUs > 0:
		return used.gpus / quota.GuaranteedGPUs
	case quota.GuaranteedCores > 0:
		return used.cores / quota.GuaranteedCores
	}
	return 1 + used.gpus + used.cores/coresPerGPU
}

// serveQueues serves the queues until they are empty. If gangs have waited for
// gangReservationDelay, the one that has waited longest is served first. After that, the next job is
// always the one with the highest rank, and among equal ranks that of the team that uses the
// smallest fraction of its guarantee. serveQueues returns the number of grants of the whole pass
// that did not fit into the transaction.
func (p *schedulingPass) serveQueues(queues []*teamQueue) (unwritten int) {
	p.serveLongestWaitingGang(queues)
	for queue := p.nextQueue(queues); queue != nil; queue = p.nextQueue(queues) {
		queued := queue.jobs[0]
		moreTasks := false
		if queued.job.Record.Spec.Shape == wire.ShapeGang {
			p.serveGang(queued)
		} else {
			moreTasks = p.serveTask(queued)
		}
		if !moreTasks || len(queued.tasks) == 0 {
			queue.jobs = queue.jobs[1:]
		}
	}
	return p.unwrittenGrants
}

// nextQueue returns the queue whose first job is to be served next, or nil if all queues are
// empty.
func (p *schedulingPass) nextQueue(queues []*teamQueue) *teamQueue {
	var next *teamQueue
	for _, queue := range queues {
		if len(queue.jobs) == 0 {
			continue
		}
		if next == nil || queue.jobs[0].rank() > next.jobs[0].rank() ||
			queue.jobs[0].rank() == next.jobs[0].rank() && p.guaranteeUtilization(queue.team) < p.guaranteeUtilization(next.team) {
			next = queue
		}
	}
	return next
}

// serveLongestWaitingGang serves, before all queues, the gang that has waited longest, if any has
// waited for gangReservationDelay, and removes it from its queue.
func (p *schedulingPass) serveLongestWaitingGang(queues []*teamQueue) {
	var longest *queuedJob
	for _, queue := range queues {
		for _, queued := range queue.jobs {
			job := queued.job
			if job.Record.Spec.Shape != wire.ShapeGang ||
				job.waitingSince == 0 ||
				p.node.now-job.waitingSince < gangReservationDelay {
				continue
			}
			if longest == nil || job.waitingSince < longest.job.waitingSince ||
				job.waitingSince == longest.job.waitingSince && job.ID < longest.job.ID {
				longest = queued
			}
		}
	}
	if longest == nil {
		return
	}
	p.longestWaitingGang = longest
	p.serveGang(longest)
	for _, queue := range queues {
		queue.jobs = slices.DeleteFunc(queue.jobs, func(queued *queuedJob) bool { return queued == longest })
	}
}

// recordWaitingSince records since when a job has waited for capacity, unless this is recorded
// already. A job that was never granted has waited since it was accepted or since its dependencies
// were done. If the wait started again with each leader, no gang would wait long enough for a
// reservation while the leader changes every minute.
func (p *schedulingPass) recordWaitingSince(job *job) {
	if job.waitingSince != 0 {
		return
	}
	job.waitingSince = p.node.now
	switch {
	case job.Record.NextAttempt == 1 && job.Links != nil && len(job.Links.Dependencies) > 0:
		job.waitingSince = job.Links.ReadyAt
	case job.Record.NextAttempt == 1:
		job.waitingSince -= max(0, Time(p.node.cfg.WallClockMS()-job.Record.AcceptedAtMS)*time.Millisecond)
	}
	if job.waitingSince == 0 {
		job.waitingSince = -1 // 0 means that it does not wait
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
