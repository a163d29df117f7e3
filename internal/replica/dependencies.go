package replica

import "micaport/internal/wire"

// DependencyLinks holds the edges of the dependency graph at one job. A job may start only
// when all its dependencies are done, and "done" is a final state. Therefore no task of a
// descendant of a cancelled job has ever run, and the cancellation of the descendant can be
// derived from the records of its ancestors.
type DependencyLinks struct {
	Dependencies      []int // jobs that were not done when this one was submitted
	Dependents        []int // jobs that depend on this one
	NotDoneCount      int   // number of dependencies that are not done
	AncestorCancelled bool  // a direct or indirect dependency is cancelled
	ReadyAt           Time  // when the replica first showed that all dependencies are done; 0: not yet
	ReadyMS           int64 // ReadyAt as wall-clock time, Unix ms
	DeadlineMS        int64 // wall-clock time (Unix ms) by which the job has to be done, for its own deadline or those of its dependents; 0: none

	rank      int  // higher than the ranks of its dependencies
	queued    bool // a linkQueue has the job
	doneFirst int  // dependencies that are known to be done, from the first one on
}

// IsBlocked reports whether no task of the job may be granted, because a dependency is not done
// yet or an ancestor is cancelled.
func (j *Job) IsBlocked() bool {
	return j.Links != nil && (j.Links.NotDoneCount > 0 || j.Links.AncestorCancelled)
}

// RunnableSinceMS returns the wall-clock time (Unix ms) from which the job could run: when its
// last dependency was done (0: not yet), or when it was accepted if it has no dependencies.
func (j *Job) RunnableSinceMS() int64 {
	if j.Links != nil && len(j.Links.Dependencies) > 0 {
		return j.Links.ReadyMS
	}
	return j.Record.AcceptedAtMS
}

// ReadySince returns when the last dependency was done; 0 if the job has no dependencies or
// some are not done yet.
func (j *Job) ReadySince() Time {
	if j.Links == nil {
		return 0
	}
	return j.Links.ReadyAt
}

// PendingDependencies returns the indices of a job's dependencies from the first one on that is not
// done. As "done" is final, it visits each dependency before that one in one call only. The caller
// must not change the slice. The job must have links.
func (r *Replica) PendingDependencies(job *Job) []int {
	links := job.Links
	for ; links.doneFirst < len(links.Dependencies); links.doneFirst++ {
		r.visitedLinks++
		if record := r.jobs[links.Dependencies[links.doneFirst]].Record; record == nil || record.State != wire.JobDone {
			break
		}
	}
	return links.Dependencies[links.doneFirst:]
}

// ensureLinks returns the links of a job and creates them if they don't exist yet.
func (j *Job) ensureLinks() *DependencyLinks {
	if j.Links == nil {
		j.Links = &DependencyLinks{}
	}
	return j.Links
}

// linkDependencies links a job to its dependencies when its record is first applied. MarkApplied then
// propagates its urgency.
func (r *Replica) linkDependencies(job *Job) {
	if job.Record.HasDependencies() {
		r.addDependencies(job)
	}
	if job.Links != nil {
		r.rankLinkedJob(job)
		r.linkedJobs = append(r.linkedJobs, job)
	}
}

// addDependencies adds the edges between a job and the dependencies in its record.
func (r *Replica) addDependencies(job *Job) {
	links := job.ensureLinks()
	ids, complete := r.dependenciesInRecord(job.ID, job.Record)
	if !complete {
		// This is not expected, as a list is written before the record that refers to it. If
		// it happens, this additional count, which is never decremented, keeps the job from
		// starting.
		r.observer.DependencyListMissing(job)
		links.NotDoneCount++
	}
	for _, id := range ids {
		dependency := r.findOrAdd(id)
		links.Dependencies = append(links.Dependencies, dependency.Index)
		if dependency.Record != nil && dependency.Record.State == wire.JobDone {
			continue
		}
		links.NotDoneCount++
		if dependency.Record != nil && dependency.State() == wire.JobCancelled {
			r.markAncestorCancelled(job)
			continue
		}
		upstream := dependency.ensureLinks()
		upstream.Dependents = append(upstream.Dependents, job.Index)
	}
	if links.NotDoneCount == 0 {
		r.markReady(job)
	}
}

// markReady records the time at which the last dependency of a job was done and notifies the
// observer.
func (r *Replica) markReady(job *Job) {
	job.Links.ReadyAt, job.Links.ReadyMS = r.now, r.cfg.WallClockMS()
	r.observer.JobReady(job)
	if r.loaded && !job.Links.AncestorCancelled && job.Record != nil && job.Record.Spec != nil {
		r.observer.JobArrived(job)
	}
}

// propagateFinalState updates the direct dependents of a job that is done, or all descendants of
// a job that is cancelled, and removes the links of the job. It does nothing if the job is live.
func (r *Replica) propagateFinalState(job *Job) {
	links := job.Links
	if links == nil || job.Record.State == wire.JobLive {
		return
	}
	for _, index := range links.Dependents {
		r.visitedLinks++
		dependent := r.jobs[index]
		if dependent.Links == nil {
			continue // the dependent is finished
		}
		if job.Record.State == wire.JobCancelled {
			r.markAncestorCancelled(dependent)
		} else if dependent.Links.NotDoneCount--; dependent.Links.NotDoneCount == 0 {
			r.markReady(dependent)
		}
	}
	job.Links = nil // finished jobs are never deleted and numerous, so this saves memory
}

// markAncestorCancelled sets AncestorCancelled of a job and of all its descendants that are live,
// and adds them to unrecordedCancellations. It visits each of them once, with an explicit stack
// instead of recursion because chains of dependencies may be deep.
func (r *Replica) markAncestorCancelled(job *Job) {
	for stack := []*Job{job}; len(stack) > 0; {
		job, stack = stack[len(stack)-1], stack[:len(stack)-1]
		links := job.Links
		if links == nil || links.AncestorCancelled || job.Record != nil && job.Record.State != wire.JobLive {
			continue
		}
		links.AncestorCancelled = true
		r.unrecordedCancellations = append(r.unrecordedCancellations, job.Index)
		for _, index := range links.Dependents {
			r.visitedLinks++
			stack = append(stack, r.jobs[index])
		}
	}
}

// UnrecordedCancellations returns the number of queued jobs that are cancelled because an
// ancestor is, and whose own records may not show it yet.
func (r *Replica) UnrecordedCancellations() int { return len(r.unrecordedCancellations) }

// FirstUnrecordedCancellation returns the first job of the queue that UnrecordedCancellations
// counts.
func (r *Replica) FirstUnrecordedCancellation() *Job { return r.jobs[r.unrecordedCancellations[0]] }

// RemoveFirstUnrecordedCancellation removes the first job from the queue. It is used once the
// job's record shows that it is no longer live.
func (r *Replica) RemoveFirstUnrecordedCancellation() {
	r.unrecordedCancellations = r.unrecordedCancellations[1:]
}

// RequeueFirstUnrecordedCancellation moves the first job to the end of the queue. It is used while
// the job's record is being written; the record is checked again later.
func (r *Replica) RequeueFirstUnrecordedCancellation() {
	r.unrecordedCancellations = append(r.unrecordedCancellations[1:], r.unrecordedCancellations[0])
}
