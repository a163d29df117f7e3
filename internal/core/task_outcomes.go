package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"micaport/internal/wire"
)

// taskOutcome describes how a task has ended, until that is written to the job's record.
type taskOutcome struct {
	machine  string
	cause    string // an exit cause of package wire, or causeLost
	queuedAt Time
	term     uint64 // of the shard when the outcome was queued
}

// taskOutcomes holds the outcomes of tasks that are queued to be written to their jobs' records.
type taskOutcomes map[taskKey]taskOutcome

// causeLost is the cause of a task that no machine runs or reports any more.
const causeLost = "lost"

// baseOutcomeDelay is how long an outcome waits for others of the same job when writes are scarce,
// as one write can record all of them and the tasks of a gang end together. outcomeDelayFor
// derives the delay for a job from it.
const baseOutcomeDelay = 500 * time.Millisecond

// tokenConfirmationWait is how long a task that was lost at the end of its machine's epoch waits
// for the worker to confirm the owner's token. A worker sends a heartbeat half a second after it has
// received a new token.
const tokenConfirmationWait = 1200 * time.Millisecond

const (
	// errorsBeforeJobAtFault is the number of consecutive errors of a job from which on its
	// further failures are attributed to the job and no longer to machines.
	errorsBeforeJobAtFault = 3
	// failedJobsThreshold is the number of jobs whose failures on a machine mark it as unhealthy.
	failedJobsThreshold = 2
	// maxFailedMachines is the number of machines in the record's list of those on which the job
	// failed last.
	maxFailedMachines = 4
)

// queueOutcome queues the outcome of a task on a machine to be written to the job's record.
func (n *Node) queueOutcome(machine *machine, key taskKey, cause string) {
	n.outcomes[key] = taskOutcome{machine.name, cause, n.now, machine.shardTerm(n)}
}

// recordTaskExit queues the outcome of a task that its machine has reported as exited, and updates
// the state of the machine accordingly.
func (n *Node) recordTaskExit(machine *machine, key taskKey, status *wire.TaskStatus) {
	if _, known := n.outcomes[key]; known {
		return
	}
	n.queueOutcome(machine, key, status.ExitCause)
	job := n.jobs[key.job]
	switch status.ExitCause {
	case wire.CauseDone:
		machine.failedJobs, machine.unhealthy = nil, false
		machine.images.Add(job.Image)
	case wire.CauseError:
		n.recordTaskFailure(machine, job)
	case wire.CauseNoCapacity:
		machine.noCapacityUntil = n.now + 2*n.cfg.HeartbeatInterval
	}
	n.log(LogDebug, "task exited",
		"job", job.ID, "task", key.task,
		"attempt", key.attempt, "machine", machine.name,
		"cause", status.ExitCause)
}

// recordTaskFailure records that a task of a job has failed on a machine, and marks the machine as
// unhealthy when the fault is probably the machine's.
func (n *Node) recordTaskFailure(machine *machine, job *job) {
	if machine.failedJobs == nil {
		machine.failedJobs = map[int]bool{}
	}
	if job.Record.ConsecutiveErrors < errorsBeforeJobAtFault {
		machine.failedJobs[job.Index] = true
	}
	// The machine is probably at fault if several jobs have failed on it, or if other tasks of
	// this job have succeeded.
	if n.failedJobCount(machine) >= failedJobsThreshold || job.Record.DoneTasks.Count() > 0 {
		machine.unhealthy = true
	}
	n.nextViewUpdateAt = 0 // at once: the leader needs the view before it grants more tasks to the machine
}

// failedJobCount counts the jobs of which a task failed on a machine since a task last succeeded
// there. A job that has failed on three machines and never succeeded is not counted: a few such
// jobs once caused one healthy machine after another to be quarantined until their users cancelled
// them.
func (s *site) failedJobCount(machine *machine) int {
	count := 0
	for index := range machine.failedJobs {
		count += boolToInt(!s.jobs[index].suspect)
	}
	return count
}

// isUrgentOutcome reports whether the outcome of a task is written before new placements. That is so
// for a task of a daemon or gang, which may have to be started again, for a task that was not
// successful, and for the last active task of an array, which may complete the job for which a user
// waits. Other successful tasks of an array are written after the placements, as one write can then
// often record several of them.
func (s *site) isUrgentOutcome(key taskKey, outcome taskOutcome) bool {
	job := s.jobs[key.job]
	if job.Record == nil || job.Record.State != wire.JobLive {
		return false
	}
	return job.Record.Spec.Shape != wire.ShapeArray || outcome.cause != wire.CauseDone || len(job.Record.ActiveTasks) == 1
}

// outcomePass writes outcomes of tasks to their records.
type outcomePass struct {
	writer         *writer
	slots          *lazySlots
	records        *recordCapacity
	firstOutcomeAt map[int]Time // by job: when the first of its unwritten outcomes was queued
}

// applyOutcomes adds the outcomes of tasks to the transaction, either the urgent ones or the
// others.
func (n *Node) applyOutcomes(writer *writer, available *lazySlots, urgent bool) {
	if len(n.outcomes) == 0 {
		return
	}
	keys := n.outcomes.sortedKeys()
	pass := outcomePass{writer: writer, slots: available, records: newRecordCapacity(n, writer), firstOutcomeAt: map[int]Time{}}
	for _, key := range keys {
		if at, seen := pass.firstOutcomeAt[key.job]; !seen || n.outcomes[key].queuedAt < at {
			pass.firstOutcomeAt[key.job] = n.outcomes[key].queuedAt
		}
	}
	for _, key := range keys {
		outcome := n.outcomes[key]
		if !pass.isDue(n, key, outcome, urgent) {
			continue
		}
		task := n.activeTask(key, outcome.machine)
		if task == nil || !n.mayActAsOwner(n.shards[task.Shard]) || n.shards[task.Shard].Term != outcome.term {
			delete(n.outcomes, key) // already written, or queued in an earlier term
			continue
		}
		if !pass.records.reserveForOutcome(key, outcome.machine) {
			continue
		}
		record := writer.recordToChange(n.jobs[key.job])
		if record == nil {
			return
		}
		pass.writeOutcome(n, record, key, outcome, *task)
	}
}

// isDue reports whether an outcome may be written now. One that is not urgent is written together
// with the urgent ones if the transaction changes the job's record anyway.
func (p *outcomePass) isDue(n *Node, key taskKey, outcome taskOutcome, urgent bool) bool {
	job := n.jobs[key.job]
	switch {
	case p.writer.exitedTasks[key],
		n.isUrgentOutcome(key, outcome) != urgent && p.writer.changedRecords[key.job] == nil,
		n.leader.batch.changes(job):
		return false
	}
	return !n.awaitsTokenConfirmation(outcome) && n.now-p.firstOutcomeAt[key.job] >= n.outcomeDelayFor(job)
}

// writeOutcome removes a task that has ended from its job's record, and places it again if it was
// lost or stopped.
func (p *outcomePass) writeOutcome(n *Node, record *wire.Job, key taskKey, outcome taskOutcome, task wire.ActiveTask) {
	// An outcome must be applied only once; otherwise an error would count twice and a lost
	// task would be placed twice.
	p.writer.exitedTasks[key] = true
	p.writer.ownedShards[task.Shard] = true
	job := n.jobs[key.job]
	removeExitedTask(record, key, p.records.recordableOutcome(job, record, key, outcome))
	if p.records.reserveRun(job) {
		n.rescheduleLostTask(p.writer, record, task, outcome, p.slots)
	}
}

// sortedKeys returns the sorted keys of the tasks with outcomes.
func (o taskOutcomes) sortedKeys() []taskKey {
	return slices.SortedFunc(maps.Keys(o), func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
	})
}

// awaitsTokenConfirmation reports whether the outcome of a lost task waits until its machine can be
// chosen for it again. A machine whose worker has begun a new epoch is the best choice for the same
// task, as it has the image, but must first confirm the owner's token.
func (s *site) awaitsTokenConfirmation(outcome taskOutcome) bool {
	machine := s.getOrAddMachine(outcome.machine)
	return outcome.cause == causeLost && machine.shard >= 0 &&
		s.now-outcome.queuedAt < tokenConfirmationWait &&
		machine.term == s.shards[machine.shard].Term &&
		!machine.tokenConfirmed && s.now-machine.heartbeatAt < tokenConfirmationWait
}

// rescheduleLostTask places a lost or stopped task again within the same shard. The leader's grant
// remains valid, as only the choice of the machine is the owner's. Compared with a new grant this
// saves two writes, which are most of the time to recovery when a whole zone has lost its tasks.
func (n *Node) rescheduleLostTask(writer *writer, record *wire.Job, lost wire.ActiveTask, outcome taskOutcome, available *lazySlots) {
	if record.State != wire.JobLive || record.Spec.Shape == wire.ShapeGang || lost.Stop != wire.StopNone ||
		outcome.cause != causeLost && outcome.cause != wire.CauseStopped {
		return
	}
	job := n.findJob(record.Spec.ID)
	best := available.slots(n).best(job, func(candidate *slot) bool { return candidate.shard == lost.Shard }, nil)
	// The same machine is chosen again only in a later epoch of its worker.
	if best == nil || best.machine.name == lost.Machine && best.machine.epoch <= lost.Epoch {
		return
	}
	best.allocate(record.Spec)
	record.ActiveTasks = append(record.ActiveTasks, wire.ActiveTask{
		Task: lost.Task, Attempt: writer.attemptNumber(job, record), Shard: lost.Shard, Admitted: lost.Admitted,
		Machine: best.machine.name, Epoch: best.machine.epoch,
	})
	n.log(LogDebug, "task replaced", "job", job.ID, "task", lost.Task, "machine", best.machine.name)
}

// removeExitedTask removes a task that has ended from its job's record and applies the outcome to
// the record: it updates the done tasks or the errors, and stops the rest of a gang of which one
// task was not successful.
func removeExitedTask(record *wire.Job, key taskKey, outcome taskOutcome) {
	record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool {
		return task.Task == key.task && task.Attempt == key.attempt && task.Machine == outcome.machine
	})
	live := record.State == wire.JobLive
	if outcome.cause == wire.CauseDone && live {
		recordTaskDone(record, key.task)
		return
	}
	if outcome.cause == wire.CauseError {
		record.ConsecutiveErrors++
		if !slices.Contains(record.FailedMachines, outcome.machine) {
			record.FailedMachines = append(record.FailedMachines, outcome.machine)
		}
		if len(record.FailedMachines) > maxFailedMachines {
			record.FailedMachines = record.FailedMachines[1:]
		}
	}
	if live && record.Spec.Shape == wire.ShapeGang {
		abandonGang(record, key.attempt)
	}
}

// recordTaskDone records the success of a task in its job's record.
func recordTaskDone(record *wire.Job, task int) {
	record.ConsecutiveErrors, record.FailedMachines = 0, nil
	switch record.Spec.Shape {
	case wire.ShapeGang:
		record.DoneTasks = wire.TaskSetOfRange(0, record.TaskCount) // a gang completes as a whole
	case wire.ShapeArray:
		record.DoneTasks = record.DoneTasks.With(task)
	}
}
