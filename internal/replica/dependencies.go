package replica

import "micaport/internal/wire"

// DependencyLinks links a job to the jobs that it depends on and to those that depend on
// it. A job may start only when all its dependencies are done, which is final. So no task
// of a descendant of a cancelled job has ever run, and that the descendant is cancelled
// too follows from the records of its ancestors.
type DependencyLinks struct {
	Dependencies      []int // jobs that were not done when this one was submitted
	Dependents        []int // jobs that depend on this one
	Open              int   // dependencies that are not done
	AncestorCancelled bool  // a direct or indirect dependency is cancelled
	ReadyAt           Time  // when the replica first showed all dependencies done; 0: not yet
	ReadyMS           int64 // the same as time of day, in milliseconds
	DeadlineMS        int64 // time of day by which it should be done for its dependents; 0: none
}

// IsWaiting tells whether a job may not be granted anything yet, or ever.
func (j *Job) IsWaiting() bool {
	return j.Links != nil && (j.Links.Open > 0 || j.Links.AncestorCancelled)
}

// RunnableSinceMS is since when a job could run, as time of day in milliseconds.
func (j *Job) RunnableSinceMS() int64 {
	if j.Links != nil && len(j.Links.Dependencies) > 0 {
		return j.Links.ReadyMS
	}
	return j.Record.AcceptedAtMS
}

// ReadySince is when the last dependency was done; 0 if the job has none.
func (j *Job) ReadySince() Time {
	if j.Links == nil {
		return 0
	}
	return j.Links.ReadyAt
}

// ensureLinks gives the links of a job, which it makes if there are none.
func (j *Job) ensureLinks() *DependencyLinks {
	if j.Links == nil {
		j.Links = &DependencyLinks{}
	}
	return j.Links
}

// linkDependencies links a job to its dependencies when its record is first seen.
func (r *Replica) linkDependencies(job *Job) {
	if job.Record.HasDependencies() {
		r.addDependencies(job)
	}
	if job.Links != nil {
		r.propagateUrgency(job)
	}
}

func (r *Replica) addDependencies(job *Job) {
	links := job.ensureLinks()
	ids, complete := r.dependenciesInRecord(job.ID, job.Record)
	if !complete {
		// The list is written before the record that names it, so this can't happen. If
		// it does, the job must not start.
		r.observer.DependencyListMissing(job)
		links.Open++
	}
	for _, id := range ids {
		dependency := r.ensure(id)
		links.Dependencies = append(links.Dependencies, dependency.Index)
		if dependency.Record != nil && dependency.Record.State == wire.JobDone {
			continue
		}
		links.Open++
		if dependency.Record != nil && dependency.State() == wire.JobCancelled {
			r.markCancelled(job)
			continue
		}
		upstream := dependency.ensureLinks()
		upstream.Dependents = append(upstream.Dependents, job.Index)
	}
	if links.Open == 0 {
		r.markReady(job)
	}
}

// markReady notes that all dependencies of a job are done.
func (r *Replica) markReady(job *Job) {
	job.Links.ReadyAt, job.Links.ReadyMS = r.now, r.cfg.WallClockMS()
	r.observer.JobReady(job)
	if r.loaded && !job.Links.AncestorCancelled && job.Record != nil && job.Record.Spec != nil {
		r.observer.JobArrived(job)
	}
}

// notifyDependents updates the jobs that depend on one that is done or cancelled. Its cost
// is proportional to their number.
func (r *Replica) notifyDependents(job *Job) {
	links := job.Links
	if links == nil || job.Record.State == wire.JobLive {
		return
	}
	for _, index := range links.Dependents {
		dependent := r.jobs[index]
		if dependent.Links == nil {
			continue // it is finished itself
		}
		if job.Record.State == wire.JobCancelled {
			r.markCancelled(dependent)
		} else if dependent.Links.Open--; dependent.Links.Open == 0 {
			r.markReady(dependent)
		}
	}
	job.Links = nil // finished jobs are kept for ever, and there are very many
}

// markCancelled marks a job and all its descendants, each of them once, as cancelled with
// an ancestor. It is iterative, as chains may be deep.
func (r *Replica) markCancelled(job *Job) {
	for stack := []*Job{job}; len(stack) > 0; {
		job, stack = stack[len(stack)-1], stack[:len(stack)-1]
		links := job.Links
		if links == nil || links.AncestorCancelled || job.Record != nil && job.Record.State != wire.JobLive {
			continue
		}
		links.AncestorCancelled = true
		r.unrecorded = append(r.unrecorded, job.Index)
		for _, index := range links.Dependents {
			stack = append(stack, r.jobs[index])
		}
	}
}

// UnrecordedCancellations counts the jobs that a cancelled ancestor cancels and whose
// records don't say so yet.
func (r *Replica) UnrecordedCancellations() int { return len(r.unrecorded) }

// FirstUnrecorded is the first of these jobs.
func (r *Replica) FirstUnrecorded() *Job { return r.jobs[r.unrecorded[0]] }

// DropFirstUnrecorded forgets the first of these jobs: its record says so.
func (r *Replica) DropFirstUnrecorded() { r.unrecorded = r.unrecorded[1:] }

// RequeueFirstUnrecorded puts the first of these jobs last: its record is being written,
// and is looked at again later.
func (r *Replica) RequeueFirstUnrecorded() {
	r.unrecorded = append(r.unrecorded[1:], r.unrecorded[0])
}

// propagateUrgency passes the priority of a job, and the time by which it has to begin to
// meet its deadline, on to all its ancestors: users set both at the end of a chain only. An
// ancestor is visited again only when this changes something for it.
func (r *Replica) propagateUrgency(job *Job) {
	for stack := []*Job{job}; len(stack) > 0; {
		job, stack = stack[len(stack)-1], stack[:len(stack)-1]
		if job.Record == nil || job.Record.Spec == nil {
			continue // its record, once it is seen, propagates further
		}
		links, spec := job.Links, job.Record.Spec
		if own := job.Record.AcceptedAtMS + int64(spec.DeadlineS*1000); spec.DeadlineS > 0 && (links.DeadlineMS == 0 || own < links.DeadlineMS) {
			links.DeadlineMS = own
		}
		var latestStartMS int64
		if links.DeadlineMS != 0 {
			latestStartMS = links.DeadlineMS - r.cfg.EstimateRunTime(spec).Milliseconds() - r.cfg.HeartbeatInterval.Milliseconds()
		}
		for _, index := range links.Dependencies {
			if dependency := r.jobs[index]; r.raiseUrgency(dependency, job.Priority, latestStartMS) {
				stack = append(stack, dependency)
			}
		}
	}
}

// raiseUrgency gives a job at least the priority of one that depends on it, and a deadline
// no later than when that has to begin; 0 is no deadline. It tells whether anything changed.
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
