package core

import (
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// An array with more tasks than a record can list one by one is a large array: many small tasks
// that fill spare capacity. What limits it is the size of its record and the number of writes, so
// its tasks are granted and placed in runs, as many consecutive tasks on a machine as fit, which
// take no more than one entry of the record, and their results are batched.

const (
	// maxRunLength bounds a run: the tasks of one machine.
	maxRunLength = 256
	// minListCapacity is what the lists of a large array may take at least, in bytes.
	minListCapacity = 100
	// maxGrantDelay is how long the leader batches the grants of one job at most; see grantDelay.
	maxGrantDelay = 4 * second
	// lowPriorityDelayFactor is how many times longer results of low priority may wait.
	lowPriorityDelayFactor = 8
	// batchingShare is the share of a task's expected run time that batching may delay it by:
	// one in so many.
	batchingShare = 4
	// defaultMachineName stands in for the names of machines while none is known.
	defaultMachineName = "vm-000000"
)

// grantableCapacity is what grants may use of a list's capacity: an eighth is left for runs that
// their owners have to split.
func grantableCapacity(bytes int) int { return bytes * 7 / 8 }

// maxActiveTasks bounds the active tasks of a job.
func (s *site) maxActiveTasks(job *job) int {
	switch {
	case job.LargeArray:
		return max(s.replica.MaxSingleTasks(), s.cfg.MaxLargeArrayTasks)
	case job.Record.Spec != nil && job.Record.Spec.Shape == wire.ShapeGang:
		return job.Record.TaskCount // all or none
	case job.Record.Spec != nil && job.Record.Spec.Shape == wire.ShapeDaemon:
		return max(s.replica.MaxSingleTasks(), grantableCapacity(s.plannableListCapacity(job))/s.taskRunBytes())
	}
	return s.replica.MaxSingleTasks()
}

// listCapacity is how many bytes the lists of a large array may take, in all its keys. In each key
// some are left that no run fits into.
func (s *site) listCapacity(job *job) int {
	return max(minListCapacity, s.replica.ValueBytes()-job.BaseBytes+s.replica.OverflowKeys()*(s.cfg.MaxValueBytes-replica.OverflowHeaderBytes-2*s.taskRunBytes()))
}

// plannableListCapacity is that for what is yet to be granted, by the limits that hold at all times.
func (s *site) plannableListCapacity(job *job) int {
	return max(minListCapacity, s.listCapacity(job)-s.replica.ValueBytes()+s.cfg.MaxValueBytes)
}

// taskRunBytes is how many bytes one more run on some machine takes.
func (s *site) taskRunBytes() int {
	if len(s.machines) == 0 {
		return wire.RunCost(defaultMachineName)
	}
	return wire.RunCost(s.machines[len(s.machines)-1].name) + 1
}

// outcomeDelayFor is how long a result waits for others of the same job when writes are scarce: one
// write serves them all, and the tasks of a gang end together. The results of a large array come
// many a second. Those of low priority can wait for longer than work that somebody needs.
func (n *Node) outcomeDelayFor(job *job) Time {
	delay := Time(float64(outcomeDelay) * n.writeScarcity())
	if job.Record == nil || job.Record.Spec == nil || job.Record.State != wire.JobLive ||
		job.Record.Spec.Shape != wire.ShapeArray || len(job.Record.ActiveTasks) < 2 {
		return delay
	}
	if job.Priority == 0 {
		delay *= lowPriorityDelayFactor
	}
	if job.LargeArray {
		delay = max(delay, outcomeDelay)
	}
	return min(delay, maxBatchingDelay(job))
}

// maxBatchingDelay bounds the delay by batching by a share of the time that a job's tasks are said
// to take.
func maxBatchingDelay(job *job) Time {
	return max(outcomeDelay, Time(job.Record.Spec.ExpectedS*float64(second)/batchingShare))
}

// grantDelay is how long the leader batches what it grants to an array of low priority or a large
// array. It counts from the last grant: the record of a large array changes all the time.
func (n *Node) grantDelay(job *job) Time {
	if len(job.Record.ActiveTasks) == 0 || job.Record.Spec.Shape != wire.ShapeArray || job.Priority > 0 && !job.LargeArray {
		return 0
	}
	delay := Time(float64(maxGrantDelay) * n.writeScarcity())
	if job.LargeArray {
		delay = max(delay, outcomeDelay)
	}
	return min(delay, maxBatchingDelay(job))
}

// remainingRuns is how many runs the leader may still grant to a large array. What is granted but
// not placed counts by the machines that the grants had in mind.
func (n *Node) remainingRuns(job *job) int {
	used, runBytes := replica.TaskListBytes(job.Record.ActiveTasks, job.Record.DoneTasks), n.taskRunBytes()
	var last *machine
	for i := range job.Record.ActiveTasks {
		if task := &job.Record.ActiveTasks[i]; task.Machine == "" {
			if hint := n.leader.grantHints[taskKey{job.Index, task.Task, task.Attempt}]; hint != last {
				used, last = used+runBytes, hint
			}
		}
	}
	return (grantableCapacity(n.plannableListCapacity(job)) - used) / runBytes
}

// recordCapacity is the capacity that is left in the records of large arrays while an owner changes
// them. Taking single tasks out of runs can only make a record larger: when there is no capacity
// for that, results wait until the whole run has ended.
type recordCapacity struct {
	node   *Node
	writer *writer
	left   map[int]int // in bytes, by index of the job; as needed
}

func newRecordCapacity(n *Node, writer *writer) *recordCapacity {
	return &recordCapacity{n, writer, map[int]int{}}
}

// remaining is how many bytes are left in a job's record.
func (c *recordCapacity) remaining(job *job) int {
	left, known := c.left[job.Index]
	if !known {
		record := job.Record
		if changed := c.writer.records[job.Index]; changed != nil {
			record = changed
		}
		left = c.node.listCapacity(job) - replica.TaskListBytes(record.ActiveTasks, record.DoneTasks)
		c.left[job.Index] = left
	}
	return left
}

// allocate takes bytes of a job's record for one change, if there are more than twice as many.
func (c *recordCapacity) allocate(job *job, bytes int) bool {
	left := c.remaining(job)
	if left <= 2*bytes {
		return false
	}
	c.left[job.Index] = left - bytes
	return true
}

// mayRemove reports whether the result of a task may be written.
func (c *recordCapacity) mayRemove(key taskKey, machineName string) bool {
	job := c.node.jobs[key.job]
	if !job.LargeArray || job.Record.State != wire.JobLive {
		return true
	}
	if c.allocate(job, wire.RunCost(machineName)+replica.TaskRangeBytes) {
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

// recordable returns what of a result a record takes. The done tasks of a large array are a few
// ranges, as the lowest are granted first; should they not be, a task is rather started again,
// which its machine answers with done at once, than a record made too large to be written
// ever again.
func (c *recordCapacity) recordable(job *job, record *wire.Job, key taskKey, outcome taskOutcome) taskOutcome {
	if job.LargeArray && outcome.cause == wire.CauseDone &&
		len(record.DoneTasks) > c.node.listCapacity(job)/(2*replica.TaskRangeBytes) &&
		!record.DoneTasks.Has(key.task-1) && !record.DoneTasks.Has(key.task+1) {
		outcome.cause = causeLost
	}
	return outcome
}

// mayAdd reports whether one more run may be added to a record.
func (c *recordCapacity) mayAdd(job *job) bool {
	return !job.LargeArray || c.allocate(job, c.node.taskRunBytes())
}
