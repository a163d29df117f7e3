package core

import (
	"slices"

	"micaport/internal/wire"
)

// job is our copy of a job's record, with what follows from it.
type job struct {
	ix        int
	ref       string
	rec       *wire.Job
	rev       uint64
	image     int
	prio      int
	team      int // -1: not one of ours
	zone      int // the only one allowed, or -1
	rigs      set // the types allowed, unless any is
	any       bool
	spot      bool
	base      int   // bytes of its record, without its lists
	bulk      bool  // more tasks than can be active one by one, see bulk.go
	pend      []int // tasks neither done nor active; good while pendKnown
	pendKnown bool
	unplaced  int // active tasks granted but not placed
	// Leader's memory; lost without harm.
	blockedSince Time
	place        gangPlace
	gangZone     int  // where room is being made for it; -1: nowhere yet
	preemptAt    Time // not before this is anything stopped for it again
	notBefore    Time
	errorsSeen   int
	suspect      bool   // failed wherever it ran: rather the job's fault than the machines'
	changed      Time   // when our copy last changed
	closedAt     Time   // it was recorded as done or withdrawn at this time or later
	grantedAt    Time   // when we, as the leader, last granted anything of it
	within       bool   // inside its team's guarantee
	chain        *chain // what it waits on and what waits on it; nil: nothing
}

func priority(urgency string) int {
	switch urgency {
	case "critical":
		return 3
	case "high":
		return 2
	case "standard":
		return 1
	}
	return 0
}

// putJob takes a record, or its absence, into our copy.
func (n *Node) putJob(ref string, rec *wire.Job, rev uint64) {
	j := n.jobAt(ref)
	if rev <= j.rev {
		return
	}
	if rec != nil {
		n.assemble(ref, rec)
	}
	n.countJobChange(j, rec)
	n.chargeJob(j, -1)
	if j.rec != nil {
		n.unindex(j)
	}
	if rec != nil && rec.State != wire.Live && len(rec.Active) == 0 && len(rec.DoneSet) == 0 {
		rec = n.sameFinished(rec)
	}
	j.rec, j.rev, j.changed, j.pendKnown, j.pend = rec, rev, n.now, false, nil
	if rec == nil {
		n.setLive(j, false)
		return
	}
	n.noteClosed(j)
	if rec.Spec != nil && j.image < 0 {
		n.describe(j, rec.Spec)
		if n.loaded && !rec.Waits() {
			n.noteArrival(j)
		}
	}
	n.notifyDependents(j)
	n.noteErrors(j)
	n.chargeJob(j, 1)
	j.unplaced = 0
	for i := range rec.Active {
		if rec.Active[i].Host == "" {
			j.unplaced++
		}
	}
	n.index(j)
	n.setLive(j, rec.State == wire.Live || len(rec.Active) > 0)
}

// countJobChange takes a change of a job's record into the statistics: of users'
// writes, of what ends, and of how long jobs take.
func (n *Node) countJobChange(j *job, rec *wire.Job) {
	was := j.rec
	if n.loaded && rec != nil && (was == nil || was.State == wire.Live && rec.State == wire.Withdrawn) {
		n.budget.seenUserWrites++
	}
	if was == nil {
		return
	}
	if rec == nil || rec.State != wire.Live {
		n.noteEnd(was)
	}
	if rec != nil && rec.State == wire.Done && was.State == wire.Live {
		n.noteRunTime(j, was)
	}
}

// noteClosed notes since when a job is recorded as done or withdrawn. Our copy may have
// lagged behind. What it knew at the last proof that has settled did not hold this
// change, so it was made after that was sent.
func (n *Node) noteClosed(j *job) {
	if j.rec.State == wire.Live || j.closedAt != 0 {
		return
	}
	j.closedAt = n.now
	if n.provenAt > 0 {
		j.closedAt = n.provenAt
	}
}

// Pauses of a job that fails wherever it runs, and the machines after which it counts
// as such.
const (
	errorsBeforePause = 3
	firstErrorPause   = 5 * second
	longestErrorPause = 120 * second
	maxPauseDoublings = 5
)

// noteErrors makes a job that fails everywhere wait, longer each time, and suspects the
// job rather than the machines.
func (n *Node) noteErrors(j *job) {
	rec := j.rec
	if rec.Errors > j.errorsSeen && rec.Errors >= errorsBeforePause {
		doublings := min(rec.Errors-errorsBeforePause, maxPauseDoublings)
		j.notBefore = n.now + min(firstErrorPause<<doublings, longestErrorPause)
	}
	j.errorsSeen = rec.Errors
	if rec.Errors >= errorsBeforePause && len(rec.Avoid) >= errorsBeforePause && len(rec.DoneSet) == 0 {
		j.suspect = true
	} else if rec.State == wire.Done || len(rec.DoneSet) > 0 {
		j.suspect = false
	}
}

// sameFinished gives one record for all finished jobs that have nothing left to
// tell them apart: they are kept for ever, and there are very many.
func (n *Node) sameFinished(rec *wire.Job) *wire.Job {
	key := finishedKind{rec.State, rec.Frames}
	if have := n.finished[key]; have != nil {
		return have
	}
	n.finished[key] = &wire.Job{State: rec.State, Frames: rec.Frames}
	return n.finished[key]
}

// describe maps the names in a specification to indices.
func (n *Node) describe(j *job, sp *wire.Spec) {
	j.image = n.images.Of(sp.Image)
	j.prio = max(j.prio, priority(sp.Urgency))
	j.team = n.teams.Find(sp.Team)
	if sp.Zone != "" {
		j.zone = n.zones.Of(sp.Zone)
	}
	j.spot, j.any = sp.Spot, len(sp.Rigs) == 0 && !sp.RigsForbidAll
	n.measure(j)
	for _, name := range sp.Rigs {
		j.rigs.add(n.rigs.Of(name))
	}
	n.linkNeeds(j)
}

// allows tells whether a job's tasks may run on a kind of machine at a place.
func (j *job) allows(rig, zone int, spot bool) bool {
	return (j.any || j.rigs.has(rig)) && (j.zone < 0 || j.zone == zone) && (j.spot || !spot)
}

func (n *Node) setLive(j *job, on bool) {
	at, found := slices.BinarySearch(n.live, j.ix)
	if on && !found {
		n.live = slices.Insert(n.live, at, j.ix)
	} else if !on && found {
		n.live = slices.Delete(n.live, at, at+1)
	}
}

// index keeps, for every machine, the tasks that records put on it.
func (n *Node) index(j *job) {
	for i := range j.rec.Active {
		a := &j.rec.Active[i]
		if a.Host == "" {
			continue
		}
		h := n.hostOf(a.Host)
		n.setPart(h, a.Part)
		at := len(h.on)
		for at > 0 && h.on[at-1].job > j.ix {
			at--
		}
		h.on = slices.Insert(h.on, at, placed{part: a.Part, stop: a.Stop, session: a.Session, at: i, taskKey: taskKey{j.ix, a.Task, a.Attempt}})
		h.roomKnown = false
		n.noteUnstarted(h, taskKey{j.ix, a.Task, a.Attempt})
	}
}

func (n *Node) unindex(j *job) {
	last := ""
	for i := range j.rec.Active {
		if a := &j.rec.Active[i]; a.Host != last && a.Host != "" {
			last = a.Host
			h := n.hostOf(a.Host)
			h.on = slices.DeleteFunc(h.on, func(p placed) bool { return p.job == j.ix })
			h.roomKnown = false
		}
	}
}

// clone copies a record so that it can be changed.
func clone(r *wire.Job) *wire.Job {
	c := *r
	c.Active = slices.Clone(r.Active)
	c.DoneSet = slices.Clone(r.DoneSet)
	c.Avoid = slices.Clone(r.Avoid)
	return &c
}

// tidy closes a finished record: the state follows from the done tasks, and
// the specification is dropped once no task charges the team any more.
func tidy(r *wire.Job) {
	if r.State == wire.Live && r.DoneSet.Count() == r.Frames {
		r.State = wire.Done
	}
	if r.State != wire.Live && len(r.Active) == 0 && r.Continuations == 0 {
		r.Spec, r.Avoid, r.Errors = nil, nil, 0
		if r.State == wire.Done {
			r.DoneSet = nil
		}
	}
}

// status is what a user is told.
func status(ref string, r *wire.Job) wire.JobStatus {
	s := wire.JobStatus{Ref: ref, Status: wire.StatusPending, Done: r.DoneSet.Count()}
	switch r.State {
	case wire.Done:
		return wire.JobStatus{Ref: ref, Status: wire.StatusDone, Done: r.Frames}
	case wire.Withdrawn:
		s.Status = wire.StatusWithdrawn
		return s
	}
	for _, a := range r.Active {
		if a.Host != "" {
			s.Running++
		}
	}
	if s.Running > 0 {
		s.Status = wire.StatusRunning
	}
	return s
}

// waitingTasks lists up to limit tasks that wait to be granted.
func (n *Node) waitingTasks(j *job, limit int) []int {
	if !j.pendKnown {
		j.pend, j.pendKnown = pendingTasks(j.rec, n.tasksLimit(j)), true
	}
	return j.pend[:max(0, min(limit, len(j.pend)))]
}

// pendingTasks lists up to limit tasks that are neither done nor active,
// lowest first, so that the done set stays a few ranges.
func pendingTasks(r *wire.Job, limit int) []int {
	if limit <= 0 || r.State != wire.Live {
		return nil
	}
	busy := make(map[int]bool, len(r.Active))
	for _, a := range r.Active {
		busy[a.Task] = true
	}
	var out []int
	next, ri := 0, 0
	for next < r.Frames && len(out) < limit {
		if ri < len(r.DoneSet) && r.DoneSet[ri].First <= next {
			next = r.DoneSet[ri].End
			ri++
			continue
		}
		if !busy[next] {
			out = append(out, next)
		}
		next++
	}
	return out
}

// activeLimit bounds the active tasks of one record by the size of a value,
// with room for the rest of the record. Larger arrays are told apart in bulk.go.
func (n *Node) activeLimit() int {
	const perTask = 60 // generous, in JSON form, with its share of the done set
	return max(1, (n.cfg.ValueBytes*(1+n.continuationKeys())-2000)/perTask)
}
