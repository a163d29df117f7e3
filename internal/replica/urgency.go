package replica

import (
	"container/heap"

	"micaport/internal/wire"
)

// A job needs its dependencies, so they are as urgent as it is: users set the priority and the
// deadline that they care about on the last job of a chain only.
//
// The urgency of the jobs that events have linked is propagated to their ancestors once all events of
// a batch have been applied. The ancestors are visited in the order of their ranks, dependents before
// dependencies. A job is then visited at most once in a batch, after all dependents whose urgency
// has changed, and only if its own urgency has changed. In another order the same job could be
// visited once for each of the paths to it, and their number can double with each job of a chain.

// linkQueue holds the linked jobs whose urgency has to be propagated to their dependencies.
type linkQueue struct {
	jobs []*Job // a heap, the job with the highest rank first
}

// Len implements heap.Interface.
func (q *linkQueue) Len() int { return len(q.jobs) }

// Less implements heap.Interface.
func (q *linkQueue) Less(i, j int) bool { return q.jobs[i].Links.rank > q.jobs[j].Links.rank }

// Swap implements heap.Interface.
func (q *linkQueue) Swap(i, j int) { q.jobs[i], q.jobs[j] = q.jobs[j], q.jobs[i] }

// Push implements heap.Interface.
func (q *linkQueue) Push(job any) { q.jobs = append(q.jobs, job.(*Job)) }

// Pop implements heap.Interface.
func (q *linkQueue) Pop() any {
	last := len(q.jobs) - 1
	job := q.jobs[last]
	q.jobs = q.jobs[:last]
	return job
}

// add adds a job unless the queue has it.
func (q *linkQueue) add(job *Job) {
	if !job.Links.queued {
		job.Links.queued = true
		heap.Push(q, job)
	}
}

// next removes and returns the job with the highest rank.
func (q *linkQueue) next() *Job {
	job := heap.Pop(q).(*Job)
	job.Links.queued = false
	return job
}

// propagateUrgency raises the priority and tightens the deadline of the ancestors of all jobs
// that have been linked since the last call, so that each of these jobs can run with its own
// priority and start early enough for its deadline.
func (r *Replica) propagateUrgency() {
	if len(r.linkedJobs) == 0 {
		return
	}
	if r.ranksOutdated {
		r.rankAllLinkedJobs()
	}
	queue := &linkQueue{}
	for _, job := range r.linkedJobs {
		if job.Links != nil { // else it is finished
			queue.add(job)
		}
	}
	r.linkedJobs = nil
	for queue.Len() > 0 {
		r.raiseDependencies(queue.next(), queue)
	}
}

// raiseDependencies raises the urgency of a job's dependencies to that of the job, and adds those
// whose urgency has changed to the queue.
func (r *Replica) raiseDependencies(job *Job, queue *linkQueue) {
	if job.Record == nil || job.Record.Spec == nil {
		return // linkDependencies adds the job again when its record is first applied
	}
	r.applyOwnDeadline(job)
	links := job.Links
	var latestStartMS int64 // deadline of the dependencies; 0: none
	if links.DeadlineMS != 0 {
		latestStartMS = links.DeadlineMS - r.cfg.EstimateRunTime(job.Record.Spec).Milliseconds() - r.cfg.HeartbeatInterval.Milliseconds()
	}
	for _, index := range links.Dependencies {
		r.visitedLinks++
		dependency := r.jobs[index]
		if r.raiseUrgency(dependency, job.Priority, latestStartMS) && dependency.Links.rank < links.rank {
			queue.add(dependency)
		}
	}
}

// applyOwnDeadline moves the deadline of a job to that of its own specification, if that is earlier.
func (r *Replica) applyOwnDeadline(job *Job) {
	deadlineS := job.Record.Spec.DeadlineS
	if deadlineS <= 0 {
		return
	}
	ownDeadlineMS := job.Record.AcceptedAtMS + int64(deadlineS*1000)
	if job.Links.DeadlineMS == 0 || ownDeadlineMS < job.Links.DeadlineMS {
		job.Links.DeadlineMS = ownDeadlineMS
	}
}

// raiseUrgency raises the priority of a job to at least the given one, and moves its deadline
// to the given one if that is earlier; 0 is no deadline. It reports whether it changed
// anything.
func (r *Replica) raiseUrgency(job *Job, priority int, deadlineMS int64) bool {
	if job.Links == nil || job.Record != nil && job.Record.State != wire.JobLive {
		return false
	}
	changed := false
	if job.Priority < priority {
		job.Priority, changed = priority, true
		r.observer.PriorityRaised(job)
	}
	if links := job.Links; deadlineMS != 0 && (links.DeadlineMS == 0 || deadlineMS < links.DeadlineMS) {
		links.DeadlineMS, changed = deadlineMS, true
	}
	return changed
}

// rankLinkedJob gives a job that has just been linked a rank above those of its dependencies. A job
// may depend only on accepted jobs, so normally none depends on it yet. It may be otherwise while
// records are listed, whose order is that of their keys, or after a listing that lacks a record
// accepted meanwhile; then all jobs are ranked anew once the events have been applied.
func (r *Replica) rankLinkedJob(job *Job) {
	rank := 0
	for _, index := range job.Links.Dependencies {
		if dependency := r.jobs[index]; dependency.Links != nil {
			rank = max(rank, dependency.Links.rank+1)
		}
	}
	if rank > job.Links.rank && len(job.Links.Dependents) > 0 {
		r.ranksOutdated = true
	}
	job.Links.rank = max(rank, job.Links.rank)
}

// rankAllLinkedJobs ranks all linked jobs anew, in topological order.
func (r *Replica) rankAllLinkedJobs() {
	unranked := make([]int, len(r.jobs)) // number of dependencies without a new rank, by job
	var ready []*Job                     // jobs all of whose dependencies have their new rank
	for _, job := range r.jobs {
		r.eachLinkedDependent(job, func(dependent *Job) { unranked[dependent.Index]++ })
	}
	for _, job := range r.jobs {
		if job.Links != nil && unranked[job.Index] == 0 {
			job.Links.rank = 0
			ready = append(ready, job)
		}
	}
	for len(ready) > 0 {
		job := ready[len(ready)-1]
		ready = ready[:len(ready)-1]
		r.eachLinkedDependent(job, func(dependent *Job) {
			dependent.Links.rank = max(dependent.Links.rank, job.Links.rank+1)
			if unranked[dependent.Index]--; unranked[dependent.Index] == 0 {
				ready = append(ready, dependent)
			}
		})
	}
	r.ranksOutdated = false
}

// eachLinkedDependent calls a function for each unfinished job that depends directly on a job.
func (r *Replica) eachLinkedDependent(job *Job, call func(dependent *Job)) {
	if job.Links == nil {
		return
	}
	for _, index := range job.Links.Dependents {
		r.visitedLinks++
		if dependent := r.jobs[index]; dependent.Links != nil {
			call(dependent)
		}
	}
}

// VisitedLinks returns how many links between jobs have been followed since the start, with repeated
// visits. Tests use it to measure how the cost grows with the number of jobs.
func (r *Replica) VisitedLinks() uint64 { return r.visitedLinks }
