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
func (n *Node) countJobChange(job *job, record *wire.Job) {
	was := job.Record
	if n.replica.Loaded() && record != nil && (was == nil || was.State == wire.JobLive && record.State == wire.JobCancelled) {
		n.budget.seenUserWrites++
	}
	if was == nil {
		return
	}
	if record == nil || record.State != wire.JobLive {
		n.noteCompletion(was)
	}
	if record != nil && record.State == wire.JobDone && was.State == wire.JobLive {
		n.noteRunTime(job, was)
	}
}

// noteClosed notes since when a job is recorded as done or cancelled. The replica may have
// lagged behind. What it knew at the last proof that has settled did not hold this
// change, so it was made after that was sent.
func (s *site) noteClosed(job *job) {
	if job.Record.State == wire.JobLive || job.closedAt != 0 {
		return
	}
	job.closedAt = s.now
	if provenAt := s.ownership.ProvenAt(); provenAt > 0 {
		job.closedAt = provenAt
	}
}

// How long a job is left alone that fails wherever it runs, and after how many errors in a
// row, on as many machines, it counts as such.
const (
	errorsBeforeBackoff = 3
	minErrorBackoff     = 5 * second
	maxErrorBackoff     = 120 * second
	maxBackoffDoublings = 5
)

// noteErrors makes a job that fails everywhere wait, longer each time, and suspects the
// job rather than the machines.
func (s *site) noteErrors(job *job) {
	record := job.Record
	if record.ConsecutiveErrors > job.errorsSeen && record.ConsecutiveErrors >= errorsBeforeBackoff {
		doublings := min(record.ConsecutiveErrors-errorsBeforeBackoff, maxBackoffDoublings)
		job.retryAt = s.now + min(minErrorBackoff<<doublings, maxErrorBackoff)
	}
	job.errorsSeen = record.ConsecutiveErrors
	if record.ConsecutiveErrors >= errorsBeforeBackoff &&
		len(record.FailedMachines) >= errorsBeforeBackoff &&
		len(record.DoneTasks) == 0 {
		job.suspect = true
	} else if record.State == wire.JobDone || len(record.DoneTasks) > 0 {
		job.suspect = false
	}
}

// indexPlacements keeps, for every machine, the tasks that records put on it.
func (n *Node) indexPlacements(job *job) {
	for i := range job.Record.ActiveTasks {
		task := &job.Record.ActiveTasks[i]
		if task.Machine == "" {
			continue
		}
		machine := n.machineNamed(task.Machine)
		n.setShard(machine, task.Shard)
		at := len(machine.placements)
		for at > 0 && machine.placements[at-1].job > job.Index {
			at--
		}
		machine.placements = slices.Insert(machine.placements, at, placement{
			shard:       task.Shard,
			stop:        task.Stop,
			epoch:       task.Epoch,
			activeIndex: i,
			taskKey:     taskKey{job.Index, task.Task, task.Attempt},
		})
		machine.usedKnown = false
		n.noteUnstarted(machine, taskKey{job.Index, task.Task, task.Attempt})
	}
}

// unindexPlacements takes a job's tasks off their machines.
func (s *site) unindexPlacements(job *job) {
	last := ""
	for i := range job.Record.ActiveTasks {
		if task := &job.Record.ActiveTasks[i]; task.Machine != last && task.Machine != "" {
			last = task.Machine
			machine := s.machineNamed(task.Machine)
			machine.placements = slices.DeleteFunc(machine.placements, func(p placement) bool { return p.job == job.Index })
			machine.usedKnown = false
		}
	}
}

// waitingTasks lists up to limit tasks that wait to be granted.
func (s *site) waitingTasks(job *job, limit int) []int {
	if !job.pendingKnown {
		job.pending, job.pendingKnown = replica.PendingTasks(job.Record, s.maxActiveTasks(job)), true
	}
	return job.pending[:max(0, min(limit, len(job.pending)))]
}

// usageChanged forgets what was worked out for the machines that a job is on.
func (s *site) usageChanged(job *job) {
	if job.Record == nil {
		return
	}
	for i := range job.Record.ActiveTasks {
		if task := &job.Record.ActiveTasks[i]; task.Machine != "" {
			s.machineNamed(task.Machine).usedKnown = false
		}
	}
}

// jobNamed is the job with an id, or nil if the id has not been seen.
func (s *site) jobNamed(id string) *job {
	if index := s.names.Jobs.Find(id); index >= 0 {
		return s.jobs[index]
	}
	return nil
}
