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
	job             *job
	tasks           []int // that may be granted now and are not planned yet
	zoneTasks       []int // how many of its tasks each zone has, with those planned so far
	shardTasks      []int // the same by shard
	withinGuarantee bool  // inside the team's guarantee, together with the older jobs
	runBudget       int   // how many more runs of tasks its record can hold
	latestStartMS   int64 // by when it has to start, see Node.latestStartMS
	avoidsIdle      bool  // its next task avoids idle on-demand machines

	// What was found out for an earlier task of the job holds for the rest.
	noFreeSlot, noReleasingSlot, noExpectedSlot bool
}

// teamQueue is the queue of one team.
type teamQueue struct {
	team int
	jobs []*queuedJob
}

const (
	// ownerPlacementTime is how long a job's owners have for placing what was granted before
	// more is granted to it, when writes are scarce: the record can't be written by both
	// at once.
	ownerPlacementTime = 700 * time.Millisecond
	// gangReservationDelay is how long a gang waits for its turn. After that capacity is
	// reserved for it before anything else, for one gang at a time and the longest waiting
	// first: otherwise smaller and more urgent work that arrives all the time would
	// take every machine that becomes free, and two gangs would each hold capacity that the
	// other needs.
	gangReservationDelay = 75 * second
)

// queues builds a queue for each team, the most urgent job first.
func (n *Node) queues() []*teamQueue {
	queues := make([]*teamQueue, len(n.cfg.Teams))
	for team := range queues {
		queues[team] = &teamQueue{team: team}
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

// jobsByAge lists the live jobs, the one that became runnable first in front.
func (s *site) jobsByAge() []int {
	order := slices.Clone(s.replica.Live())
	slices.SortFunc(order, func(a, b int) int {
		first, second := s.jobs[a], s.jobs[b]
		return cmp.Or(cmp.Compare(first.RunnableSinceMS(), second.RunnableSinceMS()), cmp.Compare(first.ID, second.ID))
	})
	return order
}

// hasGuarantee reports whether a team has a guarantee of anything.
func hasGuarantee(team *replica.Team) bool {
	return team.GuaranteedGPUs > 0 || team.GuaranteedCores > 0
}

// guarantees reports whether a team has a guarantee that covers a use.
func guarantees(team *replica.Team, used usage) bool {
	return hasGuarantee(team) && !exceeds(used.gpus, team.GuaranteedGPUs) && !exceeds(used.cores, team.GuaranteedCores)
}

// isDeferred reports whether nothing is to be granted to a job now: it failed lately, its
// record is being written, or its owners are about to place what was granted.
func (n *Node) isDeferred(job *job) bool {
	if n.now < job.retryAt || n.batch.changes(job) || n.defersToOwner(job) {
		return true
	}
	placing := job.Unplaced > 0 && n.now-job.ChangedAt < Time(float64(ownerPlacementTime)*n.writeScarcity())
	return placing && (!job.LargeArray || n.now-job.grantedAt < ownerPlacementTime)
}

// queuedTasks lists the tasks of a job that may be granted now; none where the job has to wait
// for its own earlier tasks.
func (n *Node) queuedTasks(job *job) *queuedJob {
	queued := &queuedJob{
		job:             job,
		withinGuarantee: job.withinGuarantee,
		latestStartMS:   n.latestStart(job),
		runBudget:       len(job.Record.ActiveTasks) + job.Record.TaskCount,
	}
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
		mayStart := 1
		if len(job.Record.ActiveTasks) > 0 {
			mayStart = 0
		}
		queued.tasks = queued.tasks[:min(len(queued.tasks), mayStart)]
	}
	return queued
}

// compareUrgency orders the jobs of a team's queue. Among equals the stages of a chain come in
// the order of their latest starts, before jobs without one. A large array is served seldom
// and takes one write; behind a swarm of small jobs, which need one each, it would never be
// served.
func compareUrgency(a, b *queuedJob) int {
	return cmp.Or(b.rank()-a.rank(), cmp.Compare(a.latestStartMS, b.latestStartMS), boolToInt(b.job.LargeArray)-boolToInt(a.job.LargeArray))
}

// latestStart is by when a job of a chain has to start for the chain to meet its deadline, as
// Unix time in milliseconds, or the end of time if there is no deadline.
func (n *Node) latestStart(job *job) int64 {
	if ms := n.latestStartMS(job); ms != 0 {
		return ms
	}
	return math.MaxInt64
}

// rank puts urgent work first, and among equals work within a guarantee before the rest. It
// must agree with mayPreemptJob: if what was preempted came before what it was preempted
// for, the two would take turns.
func (q *queuedJob) rank() int { return 2*q.job.Priority + boolToInt(q.withinGuarantee) }

// coresPerGPU is how many cores count as much as a GPU where use is compared without a guarantee.
const coresPerGPU = 8

// shareUsed is the share of its guarantee that a team uses; the team with the lowest is served
// first. A team without a guarantee has used up its share by what it uses.
func (p *schedulingPass) shareUsed(team int) float64 {
	used, quota := p.used[team], p.node.replica.Quota(team)
	switch {
	case quota.GuaranteedGPUs > 0:
		return used.gpus / quota.GuaranteedGPUs
	case quota.GuaranteedCores > 0:
		return used.cores / quota.GuaranteedCores
	}
	return 1 + used.gpus + used.cores/coresPerGPU
}

// serveQueues serves the teams in turn until their queues are empty: the most urgent head
// first, and among equals the team that uses the least of its share. It returns how many
// grants found no write left.
func (p *schedulingPass) serveQueues(queues []*teamQueue) (unwritten int) {
	p.serveLongestWaitingGang(queues)
	for queue := p.nextQueue(queues); queue != nil; queue = p.nextQueue(queues) {
		queued := queue.jobs[0]
		more := false
		if queued.job.Record.Spec.Shape == wire.ShapeGang {
			p.serveGang(queued)
		} else {
			more = p.serveTask(queued)
		}
		if !more || len(queued.tasks) == 0 {
			queue.jobs = queue.jobs[1:]
		}
	}
	return p.unwrittenGrants
}

// nextQueue returns the queue whose head is to be served next, or nil if all are empty.
func (p *schedulingPass) nextQueue(queues []*teamQueue) *teamQueue {
	var next *teamQueue
	for _, queue := range queues {
		if len(queue.jobs) == 0 {
			continue
		}
		if next == nil || queue.jobs[0].rank() > next.jobs[0].rank() ||
			queue.jobs[0].rank() == next.jobs[0].rank() && p.shareUsed(queue.team) < p.shareUsed(next.team) {
			next = queue
		}
	}
	return next
}

// serveLongestWaitingGang serves the gang that has waited longest beyond gangReservationDelay
// before all queues.
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

// noteWaiting notes since when a job has waited. What was never granted has waited since it was
// accepted: were the count to begin anew with each leader, a gang would never get its
// reservation while leaders change every minute.
func (p *schedulingPass) noteWaiting(job *job) {
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
		job.waitingSince = -1 // 0 would say that it does not wait
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
