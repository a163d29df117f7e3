package core

import (
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// recordCapacity tracks the remaining capacity in the records of large arrays while an owner changes
// them. Removing single tasks from a run may split it, which makes the record larger. Without
// capacity for that, outcomes wait until the whole run has ended.
type recordCapacity struct {
	node           *Node
	writer         *writer
	remainingBytes map[int]int // by index of the job, computed on first use
}

func newRecordCapacity(n *Node, writer *writer) *recordCapacity {
	return &recordCapacity{n, writer, map[int]int{}}
}

// remaining returns how many bytes are left for the task lists of a job.
func (c *recordCapacity) remaining(job *job) int {
	remaining, known := c.remainingBytes[job.Index]
	if !known {
		record := job.Record
		if changed := c.writer.changedRecords[job.Index]; changed != nil {
			record = changed
		}
		remaining = c.node.listCapacity(job) - replica.TaskListBytes(record.ActiveTasks, record.DoneTasks)
		c.remainingBytes[job.Index] = remaining
	}
	return remaining
}

// reserve reserves bytes of a job's record for one change. It returns false and reserves nothing
// unless more than twice as many bytes remain, so that enough for another such change are left
// afterwards.
func (c *recordCapacity) reserve(job *job, bytes int) bool {
	remaining := c.remaining(job)
	if remaining <= 2*bytes {
		return false
	}
	c.remainingBytes[job.Index] = remaining - bytes
	return true
}

// reserveForOutcome reports whether the outcome of a task may be written, which removes the task
// from its run: there must be capacity for a split of the run, which is then reserved, or all tasks
// of the run must have ended.
func (c *recordCapacity) reserveForOutcome(key taskKey, machineName string) bool {
	job := c.node.jobs[key.job]
	if !job.LargeArray || job.Record.State != wire.JobLive {
		return true
	}
	if c.reserve(job, wire.MaxRunBytes(machineName)+replica.TaskRangeBytes) {
		return true
	}
	at := c.node.activeTaskIndex(key, machineName)
	if at < 0 {
		return true
	}
	first, end := job.Record.ActiveTasks.Run(at)
	for i := first; i < end; i++ {
		other := &job.Record.ActiveTasks[i]
		if _, ended := c.node.outcomes[taskKey{key.job, other.Task, other.Attempt}]; !ended {
			return false
		}
	}
	return true
}

// recordableOutcome returns the outcome to record for a task. The done tasks of a large array
// usually form a few ranges, as the lowest are granted first. If there are too many ranges, a done
// task that would add another is recorded as lost: it is started again, and its machine immediately
// reports it as done. Otherwise the record could become too large to be ever written again.
func (c *recordCapacity) recordableOutcome(job *job, record *wire.Job, key taskKey, outcome taskOutcome) taskOutcome {
	if job.LargeArray && outcome.cause == wire.CauseDone &&
		len(record.DoneTasks) > c.node.listCapacity(job)/(2*replica.TaskRangeBytes) &&
		!record.DoneTasks.Has(key.task-1) && !record.DoneTasks.Has(key.task+1) {
		outcome.cause = causeLost
	}
	return outcome
}

// reserveRun reserves the bytes for one more run in a job's record if enough remain. It reports
// whether the run may be added. Only large arrays need the reservation.
func (c *recordCapacity) reserveRun(job *job) bool {
	return !job.LargeArray || c.reserve(job, c.node.taskRunBytes())
}
