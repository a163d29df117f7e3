package core

import (
	"fmt"

	"micaport/internal/wire"
)

// chain is what ties a job to those that it waits on and to those that wait on it.
// A job waits for all that it names to be done, which is final; so nothing of a job
// below a withdrawn one has ever run, and that it is withdrawn itself follows from
// the records of those above it. Only jobs that have such ties have a chain.
type chain struct {
	needs      []int // jobs that it waits on and that were not done when it was submitted
	dependents []int // jobs that wait on it
	open       int   // needs that are not done
	doomed     bool  // a job that it needs, directly or through others, is withdrawn
	readyAt    Time  // when our copy first showed all its needs done; 0: not yet
	readyMS    int64 // the same as time of day
	dueMS      int64 // when it should be done, so that what needs it can be in time; 0: no matter
}

// jobAt is the job with an id, also one whose record we have not seen.
func (n *Node) jobAt(ref string) *job {
	ix := n.refs.Of(ref)
	if ix == len(n.jobs) {
		n.jobs = append(n.jobs, &job{ix: ix, ref: ref, image: -1, team: -1, zone: -1, gangZone: -1})
	}
	return n.jobs[ix]
}

func (j *job) ties() *chain {
	if j.chain == nil {
		j.chain = &chain{}
	}
	return j.chain
}

// waits tells whether a job may not be granted anything yet, or ever.
func (j *job) waits() bool { return j.chain != nil && (j.chain.open > 0 || j.chain.doomed) }

// state is a job's state as it follows from all records.
func (j *job) state() int {
	if j.rec.State == wire.Live && j.chain != nil && j.chain.doomed {
		return wire.Withdrawn
	}
	return j.rec.State
}

// tie takes in what a job waits on, when its record is first seen.
func (n *Node) tie(j *job, sp *wire.Spec) {
	if len(sp.WaitsOn) > 0 {
		c := j.ties()
		for _, ref := range sp.WaitsOn {
			a := n.jobAt(ref)
			c.needs = append(c.needs, a.ix)
			if a.rec != nil && a.rec.State == wire.Done {
				continue
			}
			c.open++
			if a.rec != nil && a.state() == wire.Withdrawn {
				n.doom(j)
				continue
			}
			up := a.ties()
			up.dependents = append(up.dependents, j.ix)
		}
		if c.open == 0 {
			n.ready(j)
		}
	}
	if j.chain != nil {
		n.press(j)
	}
}

// ready notes that all that a job waits on is done: from now on it waits for room.
func (n *Node) ready(j *job) {
	j.chain.readyAt, j.chain.readyMS = n.now, n.cfg.WallMS()
	n.leader.dirty = true
	n.leader.at = min(n.leader.at, n.now+stagePause)
	if n.loaded && !j.chain.doomed && j.rec != nil && j.rec.Spec != nil {
		n.noteArrival(j)
	}
}

// stagePause is how soon the leader looks again when a stage of a chain may begin:
// it may as well take in what else the same changes bring.
const stagePause = 20 * 1e6

// over tells the jobs that wait on one that it is done or withdrawn. What it costs
// follows from how many they are.
func (n *Node) over(j *job) {
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
			n.doom(d)
		} else if d.chain.open--; d.chain.open == 0 {
			n.ready(d)
		}
	}
	j.chain = nil // finished jobs are kept for ever, and are very many
}

// doom marks a job, and all that need it, as withdrawn with one that they need.
func (n *Node) doom(j *job) {
	for list := []*job{j}; len(list) > 0; {
		j, list = list[len(list)-1], list[:len(list)-1]
		c := j.chain
		if c == nil || c.doomed || j.rec != nil && j.rec.State != wire.Live {
			continue
		}
		c.doomed = true
		n.doomed = append(n.doomed, j.ix)
		for _, ix := range c.dependents {
			list = append(list, n.jobs[ix])
		}
	}
}

// closeDoomed writes down what follows from other records anyway, with puts that
// nothing else needs, so that the jobs need not be kept in mind.
func (n *Node) closeDoomed(w *writer) {
	for len(n.doomed) > 0 {
		j := n.jobs[n.doomed[0]]
		if j.rec == nil {
			return
		}
		if j.rec.State == wire.Live {
			rec := w.job(j)
			if rec == nil {
				return
			}
			rec.State = wire.Withdrawn
			n.doomed = append(n.doomed[1:], j.ix) // until our copy shows it
			if len(w.order) >= len(n.doomed) {
				return
			}
			continue
		}
		n.doomed = n.doomed[1:]
	}
}

// press passes on to what a job needs how urgent it is, and by when it has to begin
// to be done in time. One deadline and one urgency at the end of a chain so hold
// for all of it.
func (n *Node) press(j *job) {
	for list := []*job{j}; len(list) > 0; {
		j, list = list[len(list)-1], list[:len(list)-1]
		if j.rec == nil || j.rec.Spec == nil {
			continue // it will, when its record shows
		}
		c, sp := j.chain, j.rec.Spec
		if own := j.rec.At + int64(sp.DueS*1000); sp.DueS > 0 && (c.dueMS == 0 || own < c.dueMS) {
			c.dueMS = own
		}
		start := c.dueMS - int64(sp.ExpectedS*1000) - n.cfg.Report.Milliseconds()
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
func (j *job) startMS() int64 {
	if j.chain == nil || j.chain.dueMS == 0 {
		return 0
	}
	return j.chain.dueMS - int64(j.rec.Spec.ExpectedS*1000)
}

// sinceMS is since when a job could run.
func (j *job) sinceMS() int64 {
	if j.chain != nil && len(j.chain.needs) > 0 {
		return j.chain.readyMS
	}
	return j.rec.At
}

// needed is what becomes of the jobs that a submission names.
type needed struct {
	asked  int             // reads under way
	states map[string]int  // of those that our copy did not have
	daemon map[string]bool // of those, services
}

// findNeeds finds out about the jobs that a submission names, and calls create again
// once it knows. Those that our copy does not show may have been accepted a moment
// ago by another controller, so they are read.
func (n *Node) findNeeds(op *userOp) bool {
	if op.needs == nil {
		op.needs = &needed{states: map[string]int{}, daemon: map[string]bool{}}
	}
	for _, ref := range op.spec.WaitsOn {
		if j := n.jobNamed(ref); j != nil && j.rec != nil {
			continue
		}
		if _, read := op.needs.states[ref]; read {
			continue
		}
		n.readNeed(op, ref)
	}
	return op.needs.asked == 0
}

// never marks a job that was never accepted.
const never = -1

func (n *Node) readNeed(op *userOp, ref string) {
	op.needs.asked++
	op.needs.states[ref] = wire.Live
	id := n.id(func(in any) {
		g := in.(GotJob)
		n.storeHeard(g.Outcome)
		op.needs.asked--
		switch g.Outcome {
		case OK:
			op.needs.states[ref] = g.Job.State
			op.needs.daemon[ref] = g.Job.Spec != nil && g.Job.Spec.Shape == wire.ShapeDaemon
		case Missing:
			op.needs.states[ref] = never
		default:
			delete(op.needs.states, ref)
			if n.retry(op, g.Outcome) {
				n.readNeed(op, ref)
			}
			return
		}
		if _, open := n.users.open[op.Req]; open && op.needs.asked == 0 {
			n.create(op)
		}
	})
	n.emit(Read{ID: id, Ref: ref})
}

// settleNeeds takes what is done out of what a job waits on, and tells whether one
// of the rest is withdrawn, or why the job can't be taken.
func (n *Node) settleNeeds(op *userOp) (withdrawn bool, fault error) {
	var rest []string
	for _, ref := range op.spec.WaitsOn {
		state, known := op.needs.states[ref]
		daemon := op.needs.daemon[ref]
		if j := n.jobNamed(ref); j != nil && j.rec != nil {
			state, known = j.state(), true
			daemon = j.rec.Spec != nil && j.rec.Spec.Shape == wire.ShapeDaemon
		}
		switch {
		case !known || state == never:
			return false, fmt.Errorf("waits on %s, which was never accepted", ref)
		case daemon && state == wire.Live:
			return false, fmt.Errorf("waits on %s, which is a service", ref)
		case state != wire.Done:
			// Also what is withdrawn: the request may have to be made once more.
			withdrawn = withdrawn || state == wire.Withdrawn
			rest = append(rest, ref)
		}
	}
	op.spec.WaitsOn = rest
	return withdrawn, nil
}

// answerFromAbove answers for a job that is live by its own record but waits on
// others, of which our copy may lag: they are read, up the chain, until one is found
// withdrawn or all are known.
func (n *Node) answerFromAbove(op *userOp, rec *wire.Job) {
	seen := map[string]bool{}
	var list []string
	add := func(refs []string) {
		for _, r := range refs {
			if !seen[r] {
				seen[r] = true
				list = append(list, r)
			}
		}
	}
	add(rec.Spec.WaitsOn)
	var next func()
	next = func() {
		for len(list) > 0 {
			ref := list[len(list)-1]
			list = list[:len(list)-1]
			if j := n.jobNamed(ref); j != nil && j.rec != nil && j.state() != wire.Live {
				if j.state() == wire.Withdrawn {
					n.answer(op, 200, wire.JobStatus{Ref: op.Ref, Status: wire.StatusWithdrawn})
					return
				}
				continue // done is final
			}
			id := n.id(func(in any) {
				g := in.(GotJob)
				n.storeHeard(g.Outcome)
				switch {
				case g.Outcome == OK && g.Job.State == wire.Withdrawn:
					n.answer(op, 200, wire.JobStatus{Ref: op.Ref, Status: wire.StatusWithdrawn})
				case g.Outcome == OK:
					if g.Job.State == wire.Live && g.Job.Spec != nil {
						add(g.Job.Spec.WaitsOn)
					}
					next()
				case n.retry(op, g.Outcome):
					list = append(list, ref)
					next()
				}
			})
			n.emit(Read{ID: id, Ref: ref})
			return
		}
		n.answer(op, 200, status(op.Ref, rec))
	}
	next()
}
