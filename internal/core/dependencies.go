package core

import (
	"time"

	"micaport/internal/wire"
)

// dependencyLinks links a job to the jobs that it waits on and to those that wait on it. A job
// may start only when all that it names are done, which is final. So no task of a job
// below a cancelled one has ever run, and that the job is cancelled too follows from the
// records of its ancestors. Jobs without such links have no chain.
type dependencyLinks struct {
	dependencies      []int // jobs that it waits on and that were not done when it was submitted
	dependents        []int // jobs that wait on it
	openDependencies  int   // needs that are not done
	ancestorCancelled bool  // a job that it needs, directly or through others, is cancelled
	readyAt           Time  // when the replica first showed all its needs done; 0: not yet
	readyMS           int64 // the same as time of day
	deadlineMS        int64 // when it should be done, so that what needs it can be in time; 0: no matter
}

// ensureJob is the job with an id, also one whose record we have not seen.
func (n *Node) ensureJob(ref string) *job {
	ix := n.jobIDs.Of(ref)
	if ix == len(n.jobs) {
		n.jobs = append(n.jobs, &job{index: ix, id: ref, image: -1, team: -1, zone: -1, gangZone: -1})
	}
	return n.jobs[ix]
}

// ensureLinks gives the job's chain, which it makes if there is none.
func (j *job) ensureLinks() *dependencyLinks {
	if j.links == nil {
		j.links = &dependencyLinks{}
	}
	return j.links
}

// isWaiting tells whether a job may not be granted anything yet, or ever.
func (j *job) isWaiting() bool {
	return j.links != nil && (j.links.openDependencies > 0 || j.links.ancestorCancelled)
}

// state is a job's state as it follows from all records.
func (j *job) state() wire.JobState {
	if j.record.State == wire.JobLive && j.links != nil && j.links.ancestorCancelled {
		return wire.JobCancelled
	}
	return j.record.State
}

// linkDependencies takes in what a job waits on, when its record is first seen.
func (n *Node) linkDependencies(j *job) {
	if j.record.HasDependencies() {
		c := j.ensureLinks()
		refs, complete := n.dependenciesInRecord(j.id, j.record)
		if !complete {
			// The list is written before the record that names it, so this can't
			// happen. If it does, the job must not start.
			n.log(LogError, "dependency list missing", "job", j.id)
			c.openDependencies++
		}
		for _, ref := range refs {
			a := n.ensureJob(ref)
			c.dependencies = append(c.dependencies, a.index)
			if a.record != nil && a.record.State == wire.JobDone {
				continue
			}
			c.openDependencies++
			if a.record != nil && a.state() == wire.JobCancelled {
				n.markCancelled(j)
				continue
			}
			up := a.ensureLinks()
			up.dependents = append(up.dependents, j.index)
		}
		if c.openDependencies == 0 {
			n.markReady(j)
		}
	}
	if j.links != nil {
		n.propagateUrgency(j)
	}
}

// markReady notes that all that a job waits on is done: from now on it waits for room.
func (n *Node) markReady(j *job) {
	j.links.readyAt, j.links.readyMS = n.now, n.cfg.WallClockMS()
	n.leader.planNeeded = true
	n.leader.planAt = min(n.leader.planAt, n.now+stageDelay)
	if n.loaded && !j.links.ancestorCancelled && j.record != nil && j.record.Spec != nil {
		n.noteArrival(j)
	}
}

// stageDelay is how soon the leader looks again when a stage of a chain may begin:
// it may as well take in what else the same changes bring.
const stageDelay = 20 * time.Millisecond

// notifyDependents updates the jobs that wait on one that is done or cancelled. Its cost
// is proportional to their number.
func (n *Node) notifyDependents(j *job) {
	c := j.links
	if c == nil || j.record.State == wire.JobLive {
		return
	}
	for _, ix := range c.dependents {
		d := n.jobs[ix]
		if d.links == nil {
			continue // it is finished itself
		}
		if j.record.State == wire.JobCancelled {
			n.markCancelled(d)
		} else if d.links.openDependencies--; d.links.openDependencies == 0 {
			n.markReady(d)
		}
	}
	j.links = nil // finished jobs are kept for ever, and are very many
}

// markCancelled marks a job and all its descendants, each of them once, as cancelled with
// an ancestor. It walks them with a list of its own: chains may be deep.
func (n *Node) markCancelled(j *job) {
	for list := []*job{j}; len(list) > 0; {
		j, list = list[len(list)-1], list[:len(list)-1]
		c := j.links
		if c == nil || c.ancestorCancelled || j.record != nil && j.record.State != wire.JobLive {
			continue
		}
		c.ancestorCancelled = true
		n.derivedCancellations = append(n.derivedCancellations, j.index)
		for _, ix := range c.dependents {
			list = append(list, n.jobs[ix])
		}
	}
}

// recordCancellations writes the cancellations that follow from other records, with writes
// that nothing else needs. Answers to users don't depend on it; it lets controllers drop
// the jobs from memory.
func (n *Node) recordCancellations(w *writer) {
	for len(n.derivedCancellations) > 0 {
		j := n.jobs[n.derivedCancellations[0]]
		if j.record == nil {
			return
		}
		if j.record.State == wire.JobLive {
			rec := w.job(j)
			if rec == nil {
				return
			}
			rec.State = wire.JobCancelled
			n.derivedCancellations = append(n.derivedCancellations[1:], j.index) // until the replica shows it
			if len(w.order) >= len(n.derivedCancellations) {
				return
			}
			continue
		}
		n.derivedCancellations = n.derivedCancellations[1:]
	}
}

// propagateUrgency passes the urgency of a job, and the time by which it has to begin to
// be in time, on to all its ancestors: users set one deadline and one urgency, at the end
// of the chain. An ancestor is visited again only when this changes something for it.
func (n *Node) propagateUrgency(j *job) {
	for list := []*job{j}; len(list) > 0; {
		j, list = list[len(list)-1], list[:len(list)-1]
		if j.record == nil || j.record.Spec == nil {
			continue // its record, once it is seen, propagates further
		}
		c, spec := j.links, j.record.Spec
		if own := j.record.AcceptedAtMS + int64(spec.DeadlineS*1000); spec.DeadlineS > 0 && (c.deadlineMS == 0 || own < c.deadlineMS) {
			c.deadlineMS = own
		}
		var latestStartMS int64
		if c.deadlineMS != 0 {
			latestStartMS = c.deadlineMS - n.runTime(spec).Milliseconds() - n.cfg.HeartbeatInterval.Milliseconds()
		}
		for _, index := range c.dependencies {
			if need := n.jobs[index]; n.raiseUrgency(need, j.priority, latestStartMS) {
				list = append(list, need)
			}
		}
	}
}

// raiseUrgency makes a job at least as urgent as one that needs it, and due when that has
// to begin, 0 for no such time. It tells whether this changes anything.
func (n *Node) raiseUrgency(need *job, urgency int, dueMS int64) bool {
	if need.links == nil || need.record != nil && need.record.State != wire.JobLive {
		return false
	}
	changed := false
	if need.priority < urgency {
		need.priority, changed = urgency, true
		n.usageChanged(need)
	}
	if c := need.links; dueMS != 0 && (c.deadlineMS == 0 || dueMS < c.deadlineMS) {
		c.deadlineMS, changed = dueMS, true
	}
	return changed
}

// usageChanged forgets what was worked out for the machines that a job is on.
func (n *Node) usageChanged(j *job) {
	if j.record == nil {
		return
	}
	for i := range j.record.ActiveTasks {
		if a := &j.record.ActiveTasks[i]; a.Machine != "" {
			n.machineNamed(a.Machine).usedKnown = false
		}
	}
}

// latestStartMS is by when a job of a chain has to begin to be in time; 0: no matter.
func (n *Node) latestStartMS(j *job) int64 {
	if j.links == nil || j.links.deadlineMS == 0 {
		return 0
	}
	return j.links.deadlineMS - n.runTime(j.record.Spec).Milliseconds()
}

// runnableSinceMS is since when a job could run.
func (j *job) runnableSinceMS() int64 {
	if j.links != nil && len(j.links.dependencies) > 0 {
		return j.links.readyMS
	}
	return j.record.AcceptedAtMS
}
