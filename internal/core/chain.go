package core

import (
	"time"

	"micaport/internal/wire"
)

// chain is what ties a job to those that it waits on and to those that wait on it.
// A job waits for all that it names to be done, which is final; so nothing of a job
// below a withdrawn one has ever run, and that it is withdrawn itself follows from
// the records of those above it. Only jobs that have such ties have a chain.
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
func (j *job) state() int {
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

// notifyDependents tells the jobs that wait on one that it is done or withdrawn. What it costs
// follows from how many they are.
func (n *Node) notifyDependents(j *job) {
	c := j.chain
	if c == nil || j.rec.State == wire.Live {
		return
	}
	for _, ix := range c.dependents {
		d := n.jobs[ix]
		if d.chain == nil {
			continue // it is over itself
		}
		if j.rec.State == wire.Withdrawn {
			n.markWithdrawn(d)
		} else if d.chain.openNeeds--; d.chain.openNeeds == 0 {
			n.markReady(d)
		}
	}
	j.chain = nil // finished jobs are kept for ever, and are very many
}

// markWithdrawn marks a job, and all that need it, as withdrawn with one that they need.
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

// recordWithdrawals writes down what follows from other records anyway, with puts that
// nothing else needs, so that the jobs need not be kept in mind.
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

// propagateUrgency passes on to what a job needs how urgent it is, and by when it has to begin
// to be done in time. One deadline and one urgency at the end of a chain so hold
// for all of it.
func (n *Node) propagateUrgency(j *job) {
	for list := []*job{j}; len(list) > 0; {
		j, list = list[len(list)-1], list[:len(list)-1]
		if j.rec == nil || j.rec.Spec == nil {
			continue // it will, when its record shows
		}
		c, sp := j.chain, j.rec.Spec
		if own := j.rec.At + int64(sp.DueS*1000); sp.DueS > 0 && (c.dueMS == 0 || own < c.dueMS) {
			c.dueMS = own
		}
		start := c.dueMS - n.runTime(sp).Milliseconds() - n.cfg.Report.Milliseconds()
		for _, ix := range c.needs {
			a := n.jobs[ix]
			if a.chain == nil || a.rec != nil && a.rec.State != wire.Live {
				continue
			}
			more := false
			if a.prio < j.prio {
				a.prio, more = j.prio, true
				n.roomChanged(a)
			}
			if up := a.chain; c.dueMS != 0 && (up.dueMS == 0 || start < up.dueMS) {
				up.dueMS, more = start, true
			}
			if more {
				list = append(list, a)
			}
		}
	}
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
