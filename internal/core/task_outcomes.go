package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"micaport/internal/wire"
)

// taskOutcome is how a task has ended, until its record shows it.
type taskOutcome struct {
	machine string
	cause   string // an exit cause of package wire, or causeLost
	at      Time
	term    uint64 // of the shard when the end was noted
}

// taskOutcomes are the ends of tasks that their records do not show yet.
type taskOutcomes map[taskKey]taskOutcome

// causeLost is the cause of the end of a task of which no machine reports anything more.
const causeLost = "lost"

// outcomeDelay is how long an outcome waits for others of the same job when writes are
// scarce: one write serves them all, and the tasks of a gang end together.
const outcomeDelay = 500 * time.Millisecond

// epochDelay is how long a task that was lost with its machine's epoch waits for the
// machine to take the owner's token. A worker reports again half a second after.
const epochDelay = 1200 * time.Millisecond

const (
	// errorsBeforeSuspicion is how many errors in a row make a failure say nothing of
	// the machine any more.
	errorsBeforeSuspicion = 3
	// jobsBeforeQuarantine is the number of jobs whose failures on a machine quarantine it.
	jobsBeforeQuarantine = 2
	// maxFailedMachines is how many machines a record remembers that a job failed on.
	maxFailedMachines = 4
)

// noteOutcome notes the end of a task on a machine for its record.
func (n *Node) noteOutcome(machine *machine, key taskKey, cause string) {
	n.outcomes[key] = taskOutcome{machine.name, cause, n.now, machine.shardTerm(n)}
}

// noteTaskExit notes the end of a task that its machine has reported, and what it says of
// the machine.
func (n *Node) noteTaskExit(machine *machine, key taskKey, status *wire.TaskStatus) {
	if _, known := n.outcomes[key]; known {
		return
	}
	n.noteOutcome(machine, key, status.ExitCause)
	job := n.jobs[key.job]
	switch status.ExitCause {
	case wire.CauseDone:
		machine.failedJobs, machine.unhealthy = nil, false
		machine.images.Add(job.Image)
	case wire.CauseError:
		n.noteFailure(machine, job)
	case wire.CauseNoCapacity:
		machine.noCapacityUntil = n.now + 2*n.cfg.HeartbeatInterval
	}
	n.log(LogDebug, "task exited",
		"job", job.ID, "task", key.task,
		"attempt", key.attempt, "machine", machine.name,
		"cause", status.ExitCause)
}

// noteFailure notes that a task of a job has failed on a machine, and quarantines the
// machine where the fault seems to be its own.
func (n *Node) noteFailure(machine *machine, job *job) {
	if machine.failedJobs == nil {
		machine.failedJobs = map[int]bool{}
	}
	if job.Record.ConsecutiveErrors < errorsBeforeSuspicion {
		machine.failedJobs[job.Index] = true
	}
	// Two jobs that fail here, or one that succeeds elsewhere, speak against the machine
	// rather than the job.
	if n.failedJobCount(machine) >= jobsBeforeQuarantine || job.Record.DoneTasks.Count() > 0 {
		machine.unhealthy = true
	}
	n.ownViewsAt = 0 // the leader has to know before it grants more to the machine
}

// failedJobCount counts the jobs that failed on a machine since a task last succeeded
// there. A job that has failed on three machines and never succeeded says nothing
// against them: a few such jobs once quarantined one sound machine after the other,
// until their users cancelled them.
func (s *site) failedJobCount(machine *machine) int {
	count := 0
	for index := range machine.failedJobs {
		count += boolToInt(!s.jobs[index].suspect)
	}
	return count
}

// isUrgentOutcome reports whether others wait for the end of a task to be written: a
// daemon or gang that is to start anew, a user who waits for the end of a job.
// The end of one task of an array among others can wait behind placements; by
// the time its turn comes, one write often serves several.
func (s *site) isUrgentOutcome(key taskKey, outcome taskOutcome) bool {
	job := s.jobs[key.job]
	if job.Record == nil || job.Record.State != wire.JobLive {
		return false
	}
	return job.Record.Spec.Shape != wire.ShapeArray || outcome.cause != wire.CauseDone || len(job.Record.ActiveTasks) == 1
}

// outcomePass writes outcomes of tasks to their records.
type outcomePass struct {
	writer  *writer
	slots   *lazySlots
	records *recordCapacity
	firstAt map[int]Time // by job: when its first outcome that is not yet written was noted
}

// applyOutcomes writes the outcomes of tasks to their records, either the urgent ones or
// the rest.
func (n *Node) applyOutcomes(writer *writer, room *lazySlots, urgent bool) {
	if len(n.outcomes) == 0 {
		return
	}
	keys := n.outcomes.sorted()
	pass := outcomePass{writer: writer, slots: room, records: newRecordCapacity(n, writer), firstAt: map[int]Time{}}
	for _, key := range keys {
		if at, seen := pass.firstAt[key.job]; !seen || n.outcomes[key].at < at {
			pass.firstAt[key.job] = n.outcomes[key].at
		}
	}
	for _, key := range keys {
		outcome := n.outcomes[key]
		if !pass.isDue(n, key, outcome, urgent) {
			continue
		}
		task := n.activeTask(key, outcome.machine)
		if task == nil || !n.mayActAsOwner(n.shards[task.Shard]) || n.shards[task.Shard].Term != outcome.term {
			delete(n.outcomes, key) // written, or noted in a term that is over
			continue
		}
		if !pass.records.mayRemove(key, outcome.machine) {
			continue
		}
		record := writer.job(n.jobs[key.job])
		if record == nil {
			return
		}
		pass.write(n, record, key, outcome, *task)
	}
}

// isDue reports whether an outcome may be written now. What is not urgent goes into a
// transaction early where it changes the job's record anyway.
func (p *outcomePass) isDue(n *Node, key taskKey, outcome taskOutcome, urgent bool) bool {
	job := n.jobs[key.job]
	switch {
	case p.writer.exitedTasks[key],
		n.isUrgentOutcome(key, outcome) != urgent && p.writer.records[key.job] == nil,
		n.leader.batch.changes(job):
		return false
	}
	return !n.awaitsNewEpoch(outcome) && n.now-p.firstAt[key.job] >= n.outcomeDelayFor(job)
}

// write takes a task that has ended out of its record, and places a lost one anew.
func (p *outcomePass) write(n *Node, record *wire.Job, key taskKey, outcome taskOutcome, task wire.ActiveTask) {
	// Once: an end that is applied twice would count an error twice and
	// place two tasks where one was.
	p.writer.exitedTasks[key] = true
	p.writer.shards[task.Shard] = true
	job := n.jobs[key.job]
	removeExitedTask(record, key, p.records.recordable(job, record, key, outcome))
	if p.records.mayAdd(job) {
		n.replaceLostTask(p.writer, record, task, outcome, p.slots)
	}
}

// sorted lists the tasks whose ends have been noted, sorted by key.
func (o taskOutcomes) sorted() []taskKey {
	return slices.SortedFunc(maps.Keys(o), func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
	})
}

// awaitsNewEpoch reports whether a lost task should wait a moment for its machine. One
// that has lost its epoch is the best place for the same task, as it has the image,
// once it has shown that it knows the owner's token.
func (s *site) awaitsNewEpoch(outcome taskOutcome) bool {
	machine := s.machineNamed(outcome.machine)
	return outcome.cause == causeLost && machine.shard >= 0 &&
		s.now-outcome.at < epochDelay &&
		machine.term == s.shards[machine.shard].Term &&
		!machine.tokenConfirmed && s.now-machine.heartbeatAt < epochDelay
}

// replaceLostTask places a task that its machine has lost on another machine of the same
// shard: the grant stands, and only the choice of the machine is the owner's. It
// saves two writes, and when a whole zone has lost its tasks that is most of the
// time until they run again.
func (n *Node) replaceLostTask(writer *writer, record *wire.Job, lost wire.ActiveTask, outcome taskOutcome, room *lazySlots) {
	if record.State != wire.JobLive || record.Spec.Shape == wire.ShapeGang || lost.Stop != wire.StopNone ||
		outcome.cause != causeLost && outcome.cause != wire.CauseStopped {
		return
	}
	job := n.jobNamed(record.Spec.ID)
	best := room.slots(n).best(job, func(candidate *slot) bool { return candidate.shard == lost.Shard }, nil)
	if best == nil || best.machine.name == lost.Machine && best.machine.epoch <= lost.Epoch {
		return
	}
	best.allocate(record.Spec)
	record.ActiveTasks = append(record.ActiveTasks, wire.ActiveTask{
		Task: lost.Task, Attempt: writer.attempt(job, record), Shard: lost.Shard, Admitted: lost.Admitted,
		Machine: best.machine.name, Epoch: best.machine.epoch,
	})
	n.log(LogDebug, "task replaced", "job", job.ID, "task", lost.Task, "machine", best.machine.name)
}

// removeExitedTask takes a task that has ended out of its record.
func removeExitedTask(record *wire.Job, key taskKey, outcome taskOutcome) {
	record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool {
		return task.Task == key.task && task.Attempt == key.attempt && task.Machine == outcome.machine
	})
	live := record.State == wire.JobLive
	if outcome.cause == wire.CauseDone && live {
		noteDone(record, key.task)
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

// noteDone notes the success of a task in its record.
func noteDone(record *wire.Job, task int) {
	record.ConsecutiveErrors, record.FailedMachines = 0, nil
	switch record.Spec.Shape {
	case wire.ShapeGang:
		record.DoneTasks = wire.Range(0, record.TaskCount) // a gang completes as a whole
	case wire.ShapeArray:
		record.DoneTasks = record.DoneTasks.With(task)
	}
}
