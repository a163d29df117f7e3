package core

import (
	"time"

	"micaport/internal/wire"
)

// chain links a job to the jobs that it waits on and to those that wait on it. A job
// may start only when all that it names are done, which is final. So no task of a job
// below a withdrawn one has ever run, and that the job is withdrawn too follows from the
// records of its ancestors. Jobs without such links have no chain.
type chain struct {
	needs             []int // jobs that it waits on and that were not done when it was submitted
	dependents        []int // jobs that wait on it
	openNeeds         int   // needs that are not done
	ancestorWithdrawn bool  // a job that it needs, directly or through others, is withdrawn
	readyAt           Time  // when our copy first showed all its needs done; 0: not yet
	readyMS           int64 // the same as time of day
	dueMS             int64 // when it should be done, so that what needs it can be in time; 0: no matter
}

// jobAt is the job with an id, also one whose record we have not seen.
func (n *Node) jobAt(ref string) *job {
	ix := n.refs.Of(ref)
	if ix == len(n.jobs) {
		n.jobs = append(n.jobs, &job{ix: ix, ref: ref, image: -1, team: -1, zone: -1, gangZone: -1})
	}
	return n.jobs[ix]
}

// ensureChain gives the job's chain, which it makes if there is none.
func (j *job) ensureChain() *chain {
	if j.chain == nil {
		j.chain = &chain{}
	}
	return j.chain
}

// waits tells whether a job may not be granted anything yet, or ever.
func (j *job) waits() bool {
	return j.chain != nil && (j.chain.openNeeds > 0 || j.chain.ancestorWithdrawn)
}

// state is a job's state as it follows from all records.
func (j *job) state() wire.JobState {
	if j.rec.State == wire.Live && j.chain != nil && j.chain.ancestorWithdrawn {
		return wire.Withdrawn
	}
	return j.rec.State
}

// linkNeeds takes in what a job waits on, when its record is first seen.
func (n *Node) linkNeeds(j *job) {
	if j.rec.Waits() {
		c := j.ensureChain()
		refs, complete := n.needsInRecord(j.ref, j.rec)
		if !complete {
			// The list is written before the record that names it, so this can't
			// happen. If it does, the job must not start.
			n.log(LogError, "a record lacks its list of needs", "job", j.ref)
			c.openNeeds++
		}
		for _, ref := range refs {
			a := n.jobAt(ref)
			c.needs = append(c.needs, a.ix)
			if a.rec != nil && a.rec.State == wire.Done {
				continue
			}
			c.openNeeds++
			if a.rec != nil && a.state() == wire.Withdrawn {
				n.markWithdrawn(j)
				continue
			}
			up := a.ensureChain()
			up.dependents = append(up.dependents, j.ix)
		}
		if c.openNeeds == 0 {
			n.markReady(j)
		}
	}
	if j.chain != nil {
		n.propagateUrgency(j)
	}
}

// markReady notes that all that a job waits on is done: from now on it waits for room.
func (n *Node) markReady(j *job) {
	j.chain.readyAt, j.chain.readyMS = n.now, n.cfg.WallMS()
	n.leader.dirty = true
	n.leader.at = min(n.leader.at, n.now+stagePause)
	if n.loaded && !j.chain.ancestorWithdrawn && j.rec != nil && j.rec.Spec != nil {
		n.noteArrival(j)
	}
}

// stagePause is how soon the leader looks again when a stage of a chain may begin:
// it may as well take in what else the same changes bring.
const stagePause = 20 * time.Millisecond

// notifyDependents updates the jobs that wait on one that is done or withdrawn. Its cost
// is proportional to their number.
func (n *Node) notifyDependents(j *job) {
	c := j.chain
	if c == nil || j.rec.State == wire.Live {
		return
	}
	for _, ix := range c.dependents {
		d := n.jobs[ix]
		if d.chain == nil {
			continue // it is finished itself
		}
		if j.rec.State == wire.Withdrawn {
			n.markWithdrawn(d)
		} else if d.chain.openNeeds--; d.chain.openNeeds == 0 {
			n.markReady(d)
		}
	}
	j.chain = nil // finished jobs are kept for ever, and are very many
}

// markWithdrawn marks a job and all its descendants, each of them once, as withdrawn with
// an ancestor. It walks them with a list of its own: chains may be deep.
func (n *Node) markWithdrawn(j *job) {
	for list := []*job{j}; len(list) > 0; {
		j, list = list[len(list)-1], list[:len(list)-1]
		c := j.chain
		if c == nil || c.ancestorWithdrawn || j.rec != nil && j.rec.State != wire.Live {
			continue
		}
		c.ancestorWithdrawn = true
		n.derivedWithdrawals = append(n.derivedWithdrawals, j.ix)
		for _, ix := range c.dependents {
			list = append(list, n.jobs[ix])
		}
	}
}

// recordWithdrawals writes the withdrawals that follow from other records, with writes
// that nothing else needs. Answers to users don't depend on it; it lets controllers drop
// the jobs from memory.
func (n *Node) recordWithdrawals(w *writer) {
	for len(n.derivedWithdrawals) > 0 {
		j := n.jobs[n.derivedWithdrawals[0]]
		if j.rec == nil {
			return
		}
		if j.rec.State == wire.Live {
			rec := w.job(j)
			if rec == nil {
				return
			}
			rec.State = wire.Withdrawn
			n.derivedWithdrawals = append(n.derivedWithdrawals[1:], j.ix) // until our copy shows it
			if len(w.order) >= len(n.derivedWithdrawals) {
				return
			}
			continue
		}
		n.derivedWithdrawals = n.derivedWithdrawals[1:]
	}
}

// propagateUrgency passes the urgency of a job, and the time by which it has to begin to
// be in time, on to all its ancestors: users set one deadline and one urgency, at the end
// of the chain. An ancestor is visited again only when this changes something for it.
func (n *Node) propagateUrgency(j *job) {
	for list := []*job{j}; len(list) > 0; {
		j, list = list[len(list)-1], list[:len(list)-1]
		if j.rec == nil || j.rec.Spec == nil {
			continue // its record, once it is seen, propagates further
		}
		c, spec := j.chain, j.rec.Spec
		if own := j.rec.At + int64(spec.DueS*1000); spec.DueS > 0 && (c.dueMS == 0 || own < c.dueMS) {
			c.dueMS = own
		}
		var latestStartMS int64
		if c.dueMS != 0 {
			latestStartMS = c.dueMS - n.runTime(spec).Milliseconds() - n.cfg.Report.Milliseconds()
		}
		for _, index := range c.needs {
			if need := n.jobs[index]; n.raiseUrgency(need, j.prio, latestStartMS) {
				list = append(list, need)
			}
		}
	}
}

// raiseUrgency makes a job at least as urgent as one that needs it, and due when that has
// to begin, 0 for no such time. It tells whether this changes anything.
func (n *Node) raiseUrgency(need *job, urgency int, dueMS int64) bool {
	if need.chain == nil || need.rec != nil && need.rec.State != wire.Live {
		return false
	}
	changed := false
	if need.prio < urgency {
		need.prio, changed = urgency, true
		n.roomChanged(need)
	}
	if c := need.chain; dueMS != 0 && (c.dueMS == 0 || dueMS < c.dueMS) {
		c.dueMS, changed = dueMS, true
	}
	return changed
}

// roomChanged forgets what was worked out for the machines that a job is on.
func (n *Node) roomChanged(j *job) {
	if j.rec == nil {
		return
	}
	for i := range j.rec.Active {
		if a := &j.rec.Active[i]; a.Host != "" {
			n.hostOf(a.Host).roomKnown = false
		}
	}
}

// startMS is by when a job of a chain has to begin to be in time; 0: no matter.
func (n *Node) startMS(j *job) int64 {
	if j.chain == nil || j.chain.dueMS == 0 {
		return 0
	}
	return j.chain.dueMS - n.runTime(j.rec.Spec).Milliseconds()
}

// sinceMS is since when a job could run.
func (j *job) sinceMS() int64 {
	if j.chain != nil && len(j.chain.needs) > 0 {
		return j.chain.readyMS
	}
	return j.rec.At
}
