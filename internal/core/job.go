package core

import (
	"slices"

	"micaport/internal/replica"
	"micaport/internal/wire"
)

// job is a job of the replica with what this controller remembers of it beyond its record.
// All of that can be lost without harm.
type job struct {
	*replica.Job
	pending      []int // tasks neither done nor active; valid while pendingKnown is set
	pendingKnown bool
	errorsSeen   int
	suspect      bool // it failed wherever it ran: rather the job's fault than the machines'
	retryAt      Time // nothing is granted to it before this
	closedAt     Time // it was recorded as done or cancelled at this time or later

	// The scheduler's memory, as the leader.
	waitingSince    Time // since when it has found no room; 0: it does not wait
	queuePosition   queuePosition
	gangZone        int  // where room is being made for it; -1: nowhere yet
	preemptAt       Time // nothing is preempted for it again before this
	grantedAt       Time // when anything of it was last granted
	withinGuarantee bool // it is within its team's guarantee
}

// countJobChange takes a change of a job's record into the statistics: of users'
// writes, of what ends, and of how long jobs take.
func (n *Node) countJobChange(j *job, rec *wire.Job) {
	was := j.Record
	if n.replica.Loaded() && rec != nil && (was == nil || was.State == wire.JobLive && rec.State == wire.JobCancelled) {
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
	if j.Record.State == wire.JobLive || j.closedAt != 0 {
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
	rec := j.Record
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

// indexPlacements keeps, for every machine, the tasks that records put on it.
func (n *Node) indexPlacements(j *job) {
	for i := range j.Record.ActiveTasks {
		a := &j.Record.ActiveTasks[i]
		if a.Machine == "" {
			continue
		}
		h := n.machineNamed(a.Machine)
		n.setShard(h, a.Shard)
		at := len(h.placements)
		for at > 0 && h.placements[at-1].job > j.Index {
			at--
		}
		h.placements = slices.Insert(h.placements, at, placement{shard: a.Shard, stop: a.Stop, epoch: a.Epoch, activeIndex: i, taskKey: taskKey{j.Index, a.Task, a.Attempt}})
		h.usedKnown = false
		n.noteUnstarted(h, taskKey{j.Index, a.Task, a.Attempt})
	}
}

func (n *Node) unindexPlacements(j *job) {
	last := ""
	for i := range j.Record.ActiveTasks {
		if a := &j.Record.ActiveTasks[i]; a.Machine != last && a.Machine != "" {
			last = a.Machine
			h := n.machineNamed(a.Machine)
			h.placements = slices.DeleteFunc(h.placements, func(p placement) bool { return p.job == j.Index })
			h.usedKnown = false
		}
	}
}

// waitingTasks lists up to limit tasks that wait to be granted.
func (n *Node) waitingTasks(j *job, limit int) []int {
	if !j.pendingKnown {
		j.pending, j.pendingKnown = replica.PendingTasks(j.Record, n.maxActiveTasks(j)), true
	}
	return j.pending[:max(0, min(limit, len(j.pending)))]
}

// usageChanged forgets what was worked out for the machines that a job is on.
func (n *Node) usageChanged(j *job) {
	if j.Record == nil {
		return
	}
	for i := range j.Record.ActiveTasks {
		if a := &j.Record.ActiveTasks[i]; a.Machine != "" {
			n.machineNamed(a.Machine).usedKnown = false
		}
	}
}
