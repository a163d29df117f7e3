package core

import (
	"slices"

	"micaport/internal/wire"
)

// job is the replica of a job's record, with what follows from it.
type job struct {
	index        int
	id           string
	record       *wire.Job
	revision     uint64
	image        int
	priority     int
	team         int      // -1: not one of ours
	zone         int      // the only one allowed, or -1
	machineTypes indexSet // the types allowed, unless any is
	anyType      bool
	allowSpot    bool
	baseBytes    int   // bytes of its record, without its lists
	largeArray   bool  // more tasks than can be active one by one, see bulk.go
	pending      []int // tasks neither done nor active; good while pendingKnown
	pendingKnown bool
	unplaced     int // active tasks granted but not placed
	// Leader's memory; lost without harm.
	waitingSince    Time
	queuePosition   queuePosition
	gangZone        int  // where room is being made for it; -1: nowhere yet
	preemptAt       Time // not before this is anything stopped for it again
	retryAt         Time
	errorsSeen      int
	suspect         bool             // failed wherever it ran: rather the job's fault than the machines'
	changedAt       Time             // when the replica last changed
	closedAt        Time             // it was recorded as done or cancelled at this time or later
	grantedAt       Time             // when we, as the leader, last granted anything of it
	withinGuarantee bool             // inside its team's guarantee
	links           *dependencyLinks // what it waits on and what waits on it; nil: nothing
}

func priorityOf(urgency string) int {
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

// putJob takes a record, or its absence, into the replica.
func (n *Node) putJob(ref string, rec *wire.Job, rev uint64) {
	j := n.ensureJob(ref)
	if rev <= j.revision {
		return
	}
	if rec != nil {
		n.assemble(ref, rec)
	}
	n.countJobChange(j, rec)
	n.chargeJob(j, -1)
	if j.record != nil {
		n.unindexPlacements(j)
	}
	if rec != nil && rec.State != wire.JobLive && len(rec.ActiveTasks) == 0 && len(rec.DoneTasks) == 0 {
		rec = n.sharedFinishedRecord(rec)
	}
	j.record, j.revision, j.changedAt, j.pendingKnown, j.pending = rec, rev, n.now, false, nil
	if rec == nil {
		n.setLive(j, false)
		return
	}
	n.noteClosed(j)
	if rec.Spec != nil && j.image < 0 {
		n.indexSpec(j, rec.Spec)
		if n.loaded && !rec.HasDependencies() {
			n.noteArrival(j)
		}
	}
	n.notifyDependents(j)
	n.noteErrors(j)
	n.chargeJob(j, 1)
	j.unplaced = 0
	for i := range rec.ActiveTasks {
		if rec.ActiveTasks[i].Machine == "" {
			j.unplaced++
		}
	}
	n.indexPlacements(j)
	n.setLive(j, rec.State == wire.JobLive || len(rec.ActiveTasks) > 0)
}

// countJobChange takes a change of a job's record into the statistics: of users'
// writes, of what ends, and of how long jobs take.
func (n *Node) countJobChange(j *job, rec *wire.Job) {
	was := j.record
	if n.loaded && rec != nil && (was == nil || was.State == wire.JobLive && rec.State == wire.JobCancelled) {
		n.budget.seenUserWrites++
	}
	if was == nil {
		return
	}
	if rec == nil || rec.State != wire.JobLive {
		n.noteCompletion(was)
	}
	if rec != nil && rec.State == wire.JobDone && was.State == wire.JobLive {
		n.noteRunTime(j, was)
	}
}

// noteClosed notes since when a job is recorded as done or cancelled. The replica may have
// lagged behind. What it knew at the last proof that has settled did not hold this
// change, so it was made after that was sent.
func (n *Node) noteClosed(j *job) {
	if j.record.State == wire.JobLive || j.closedAt != 0 {
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
	rec := j.record
	if rec.ConsecutiveErrors > j.errorsSeen && rec.ConsecutiveErrors >= errorsBeforePause {
		doublings := min(rec.ConsecutiveErrors-errorsBeforePause, maxPauseDoublings)
		j.retryAt = n.now + min(firstErrorPause<<doublings, longestErrorPause)
	}
	j.errorsSeen = rec.ConsecutiveErrors
	if rec.ConsecutiveErrors >= errorsBeforePause && len(rec.FailedMachines) >= errorsBeforePause && len(rec.DoneTasks) == 0 {
		j.suspect = true
	} else if rec.State == wire.JobDone || len(rec.DoneTasks) > 0 {
		j.suspect = false
	}
}

// sharedFinishedRecord gives one record for all finished jobs that have nothing left to
// tell them apart: they are kept for ever, and there are very many.
func (n *Node) sharedFinishedRecord(rec *wire.Job) *wire.Job {
	key := finishedKind{rec.State, rec.TaskCount}
	if have := n.finished[key]; have != nil {
		return have
	}
	n.finished[key] = &wire.Job{State: rec.State, TaskCount: rec.TaskCount}
	return n.finished[key]
}

// indexSpec maps the names in a specification to indices.
func (n *Node) indexSpec(j *job, sp *wire.JobSpec) {
	j.image = n.imageNames.Of(sp.Image)
	j.priority = max(j.priority, priorityOf(sp.Priority))
	j.team = n.teamNames.Find(sp.Team)
	if sp.Zone != "" {
		j.zone = n.zoneNames.Of(sp.Zone)
	}
	j.allowSpot, j.anyType = sp.AllowSpot, len(sp.MachineTypes) == 0 && !sp.NoMachineTypes
	n.measureRecord(j)
	for _, name := range sp.MachineTypes {
		j.machineTypes.add(n.typeNames.Of(name))
	}
	n.linkDependencies(j)
}

// allows tells whether a job's tasks may run on a kind of machine at a place.
func (j *job) allows(rig, zone int, spot bool) bool {
	return (j.anyType || j.machineTypes.has(rig)) && (j.zone < 0 || j.zone == zone) && (j.allowSpot || !spot)
}

func (n *Node) setLive(j *job, on bool) {
	at, found := slices.BinarySearch(n.live, j.index)
	if on && !found {
		n.live = slices.Insert(n.live, at, j.index)
	} else if !on && found {
		n.live = slices.Delete(n.live, at, at+1)
	}
}

// indexPlacements keeps, for every machine, the tasks that records put on it.
func (n *Node) indexPlacements(j *job) {
	for i := range j.record.ActiveTasks {
		a := &j.record.ActiveTasks[i]
		if a.Machine == "" {
			continue
		}
		h := n.machineNamed(a.Machine)
		n.setShard(h, a.Shard)
		at := len(h.placements)
		for at > 0 && h.placements[at-1].job > j.index {
			at--
		}
		h.placements = slices.Insert(h.placements, at, placement{shard: a.Shard, stop: a.Stop, epoch: a.Epoch, activeIndex: i, taskKey: taskKey{j.index, a.Task, a.Attempt}})
		h.usedKnown = false
		n.noteUnstarted(h, taskKey{j.index, a.Task, a.Attempt})
	}
}

func (n *Node) unindexPlacements(j *job) {
	last := ""
	for i := range j.record.ActiveTasks {
		if a := &j.record.ActiveTasks[i]; a.Machine != last && a.Machine != "" {
			last = a.Machine
			h := n.machineNamed(a.Machine)
			h.placements = slices.DeleteFunc(h.placements, func(p placement) bool { return p.job == j.index })
			h.usedKnown = false
		}
	}
}

// cloneRecord copies a record so that it can be changed.
func cloneRecord(r *wire.Job) *wire.Job {
	c := *r
	c.ActiveTasks = slices.Clone(r.ActiveTasks)
	c.DoneTasks = slices.Clone(r.DoneTasks)
	c.FailedMachines = slices.Clone(r.FailedMachines)
	return &c
}

// compactRecord closes a finished record: the state follows from the done tasks, and
// the specification is dropped once no task charges the team any more.
func compactRecord(r *wire.Job) {
	if r.State == wire.JobLive && r.DoneTasks.Count() == r.TaskCount {
		r.State = wire.JobDone
	}
	if r.State != wire.JobLive && len(r.ActiveTasks) == 0 && r.OverflowKeys == 0 {
		r.Spec, r.FailedMachines, r.ConsecutiveErrors = nil, nil, 0
		if r.State == wire.JobDone {
			r.DoneTasks = nil
		}
	}
}

// jobStatus is what a user is told.
func jobStatus(ref string, r *wire.Job) wire.JobStatus {
	s := wire.JobStatus{JobID: ref, Status: wire.StatusPending, Done: r.DoneTasks.Count()}
	switch r.State {
	case wire.JobDone:
		return wire.JobStatus{JobID: ref, Status: wire.StatusDone, Done: r.TaskCount}
	case wire.JobCancelled:
		s.Status = wire.StatusCancelled
		return s
	}
	for _, a := range r.ActiveTasks {
		if a.Machine != "" {
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
	if !j.pendingKnown {
		j.pending, j.pendingKnown = pendingTasks(j.record, n.maxActiveTasks(j)), true
	}
	return j.pending[:max(0, min(limit, len(j.pending)))]
}

// pendingTasks lists up to limit tasks that are neither done nor active,
// lowest first, so that the done set stays a few ranges.
func pendingTasks(r *wire.Job, limit int) []int {
	if limit <= 0 || r.State != wire.JobLive {
		return nil
	}
	busy := make(map[int]bool, len(r.ActiveTasks))
	for _, a := range r.ActiveTasks {
		busy[a.Task] = true
	}
	var out []int
	next, ri := 0, 0
	for next < r.TaskCount && len(out) < limit {
		if ri < len(r.DoneTasks) && r.DoneTasks[ri].First <= next {
			next = r.DoneTasks[ri].End
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

// maxSingleTasks bounds the active tasks of one record by the size of a value,
// with room for the rest of the record. Larger arrays are told apart in bulk.go.
func (n *Node) maxSingleTasks() int {
	const perTask = 60 // generous, in JSON form, with its share of the done set
	return max(1, (n.cfg.MaxValueBytes*(1+n.overflowKeys())-2000)/perTask)
}
