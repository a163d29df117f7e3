package core

import (
	"slices"

	"micaport/internal/replica"
	"micaport/internal/wire"
)

// job is a job of the replica together with the controller's own state of it, which is in no record
// and may be lost without harm.
type job struct {
	*replica.Job
	pending               []int // tasks that are neither done nor active; valid if pendingValid is set
	pendingValid          bool
	lastConsecutiveErrors int  // consecutive errors in the record at its previous change
	suspect               bool // the job failed on several machines without success: probably its own fault
	retryAt               Time // no tasks are granted before this time
	earliestCloseAt       Time // earliest time at which the job can have been recorded as done or cancelled
	leftOut               bool // its last change did not fit the transaction; the next one comes first
	nextSizeReportAt      Time // earliest time of the next log line about the size of its changes

	// State of the scheduler, used while this controller is the leader.
	waitingSince     Time // when the job started to wait for capacity; 0: it does not wait
	queuePosition    queuePosition
	gangZone         int  // index of the zone in which capacity is being freed for the gang; -1: none
	nextPreemptionAt Time // no further tasks are preempted for the job before this time
	grantedAt        Time // when a task of the job was last granted
	withinGuarantee  bool // the job is within its team's guarantee
}

// countJobChange updates the statistics of user writes, completions and run times. It is called
// before job.Record is replaced by record.
func (n *Node) countJobChange(job *job, record *wire.Job) {
	previous := job.Record
	if n.replica.Loaded() && record != nil && (previous == nil || previous.State == wire.JobLive && record.State == wire.JobCancelled) {
		n.budget.observedUserWrites++
	}
	if previous == nil {
		return
	}
	if record == nil || record.State != wire.JobLive {
		n.countCompletion(previous)
	}
	if record != nil && record.State == wire.JobDone && previous.State == wire.JobLive {
		n.recordRunTime(job, previous)
	}
}

// setEarliestCloseAt sets earliestCloseAt of a job that is recorded as done or cancelled. As the
// replica may lag behind the state service, the change may have been committed some time ago. It was
// not in the replica when the last ownership proof took effect, and was thus committed after that
// proof was sent.
func (s *site) setEarliestCloseAt(job *job) {
	if job.Record.State == wire.JobLive || job.earliestCloseAt != 0 {
		return
	}
	job.earliestCloseAt = s.now
	if provenAt := s.ownership.ProvenAt(); provenAt > 0 {
		job.earliestCloseAt = provenAt
	}
}

// Backoff after errors. After errorsBeforeBackoff or more consecutive errors, no tasks of a job are
// granted for a time that doubles with each further error. A job that has also failed on
// errorsBeforeBackoff machines may become a suspect; see updateErrorBackoff.
const (
	errorsBeforeBackoff = 3
	minErrorBackoff     = 5 * second
	maxErrorBackoff     = 120 * second
	maxBackoffDoublings = 5
)

// updateErrorBackoff updates the backoff of a job after a change of its record. A job that has
// failed on several machines and has no task done is marked as a suspect: the failures are then
// attributed to the job rather than to the machines.
func (s *site) updateErrorBackoff(job *job) {
	record := job.Record
	if record.ConsecutiveErrors > job.lastConsecutiveErrors && record.ConsecutiveErrors >= errorsBeforeBackoff {
		doublings := min(record.ConsecutiveErrors-errorsBeforeBackoff, maxBackoffDoublings)
		job.retryAt = s.now + min(minErrorBackoff<<doublings, maxErrorBackoff)
	}
	job.lastConsecutiveErrors = record.ConsecutiveErrors
	if record.ConsecutiveErrors >= errorsBeforeBackoff &&
		len(record.FailedMachines) >= errorsBeforeBackoff &&
		len(record.DoneTasks) == 0 {
		job.suspect = true
	} else if record.State == wire.JobDone || len(record.DoneTasks) > 0 {
		job.suspect = false
	}
}

// indexPlacements adds a job's placed tasks to the placements of their machines, which are ordered
// by job.
func (n *Node) indexPlacements(job *job) {
	for i := range job.Record.ActiveTasks {
		task := &job.Record.ActiveTasks[i]
		if task.Machine == "" {
			continue
		}
		machine := n.getOrAddMachine(task.Machine)
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
		machine.usageValid = false
		n.addUnstartedMachine(machine, taskKey{job.Index, task.Task, task.Attempt})
	}
}

// unindexPlacements removes a job's tasks from the placements of their machines.
func (s *site) unindexPlacements(job *job) {
	last := ""
	for i := range job.Record.ActiveTasks {
		if task := &job.Record.ActiveTasks[i]; task.Machine != last && task.Machine != "" {
			last = task.Machine
			machine := s.getOrAddMachine(task.Machine)
			machine.placements = slices.DeleteFunc(machine.placements, func(p placement) bool { return p.job == job.Index })
			machine.usageValid = false
		}
	}
}

// pendingTasks returns up to limit tasks of a job that wait to be granted.
func (s *site) pendingTasks(job *job, limit int) []int {
	if !job.pendingValid {
		job.pending, job.pendingValid = replica.PendingTasks(job.Record, s.maxActiveTasks(job)), true
	}
	return job.pending[:max(0, min(limit, len(job.pending)))]
}

// invalidateUsage invalidates the cached resource use of the machines on which a job's tasks are
// placed.
func (s *site) invalidateUsage(job *job) {
	if job.Record == nil {
		return
	}
	for i := range job.Record.ActiveTasks {
		if task := &job.Record.ActiveTasks[i]; task.Machine != "" {
			s.getOrAddMachine(task.Machine).usageValid = false
		}
	}
}

// findJob returns the job with an id, or nil if the id is not known.
func (s *site) findJob(id string) *job {
	if index := s.names.Jobs.Find(id); index >= 0 {
		return s.jobs[index]
	}
	return nil
}
