package core

import (
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// An array with more tasks than a record can hold one by one is a large array: many
// small tasks that fill what is spare. What limits it is the size of its record
// and the number of puts, so its tasks are granted and placed in runs, as many
// neighbours on a machine as fit, which take a record no more than one entry,
// and their ends are gathered.

// maxActiveTasks bounds the active tasks of a job.
func (n *Node) maxActiveTasks(job *job) int {
	switch {
	case job.LargeArray:
		return max(n.replica.MaxSingleTasks(), n.cfg.MaxBulkTasks)
	case job.Record.Spec != nil && job.Record.Spec.Shape == wire.ShapeGang:
		return job.Record.TaskCount // all or none
	case job.Record.Spec != nil && job.Record.Spec.Shape == wire.ShapeDaemon:
		return max(n.replica.MaxSingleTasks(), n.plannableListCapacity(job)*7/8/n.taskRunBytes())
	}
	return n.replica.MaxSingleTasks()
}

// listCapacity is what the lists of a large array may take, in all its keys. In each some
// room is left that no run fits.
func (n *Node) listCapacity(job *job) int {
	return max(100, n.replica.ValueBytes()-job.BaseBytes+n.replica.OverflowKeys()*(n.cfg.MaxValueBytes-replica.OverflowFrameBytes-2*n.taskRunBytes()))
}

// plannableListCapacity is that for what is yet to be granted, by the limits that hold at all times.
func (n *Node) plannableListCapacity(job *job) int {
	return max(100, n.listCapacity(job)-n.replica.ValueBytes()+n.cfg.MaxValueBytes)
}

// taskRunBytes is what one more run on some machine takes.
func (n *Node) taskRunBytes() int {
	if len(n.machines) == 0 {
		return wire.RunCost("vm-000000")
	}
	return wire.RunCost(n.machines[len(n.machines)-1].name) + 1
}

// outcomeDelayFor is how long a result waits for others of the same job when puts
// are scarce: one put serves them all, and the tasks of a gang end together.
// The ends of a large array come many a second. What fills spare room can wait for
// longer than work that somebody needs soon.
func (n *Node) outcomeDelayFor(job *job) Time {
	pause := Time(float64(outcomeDelay) * n.writeScarcity())
	if job.Record == nil || job.Record.Spec == nil || job.Record.State != wire.JobLive || job.Record.Spec.Shape != wire.ShapeArray || len(job.Record.ActiveTasks) < 2 {
		return pause
	}
	if job.Priority == 0 {
		pause *= 8
	}
	if job.LargeArray {
		pause = max(pause, outcomeDelay)
	}
	return min(pause, maxBatchingDelay(job))
}

// maxBatchingDelay bounds what is gathered for a job's tasks by a quarter of the time that
// they are said to take.
func maxBatchingDelay(job *job) Time {
	return max(outcomeDelay, Time(job.Record.Spec.ExpectedS*float64(second)/4))
}

// recordRoom is the room that is left in the records of large arrays while an owner
// changes them. Taking single tasks out of runs can only make a record larger:
// when there is no room for that, ends wait until the whole run has ended.
type recordRoom struct {
	node   *Node
	writer *writer
	left   map[int]int
}

func newRecordRoom(n *Node, writer *writer) *recordRoom { return &recordRoom{n, writer, map[int]int{}} }

func (x *recordRoom) remaining(job *job) int {
	left, known := x.left[job.Index]
	if !known {
		record := job.Record
		if changed := x.writer.records[job.Index]; changed != nil {
			record = changed
		}
		left = x.node.listCapacity(job) - replica.TaskListBytes(record.ActiveTasks, record.DoneTasks)
		x.left[job.Index] = left
	}
	return left
}

// mayRemove tells whether the end of a task may be written.
func (x *recordRoom) mayRemove(key taskKey, host string) bool {
	job := x.node.jobs[key.job]
	if !job.LargeArray || job.Record.State != wire.JobLive {
		return true
	}
	if room, cost := x.remaining(job), wire.RunCost(host)+replica.TaskRangeBytes; room > 2*cost {
		x.left[job.Index] = room - cost
		return true
	}
	at := x.node.activeTaskIndex(key, host)
	if at < 0 {
		return true
	}
	from, to := job.Record.ActiveTasks.Run(at)
	for i := from; i < to; i++ {
		other := &job.Record.ActiveTasks[i]
		if _, over := x.node.outcomes[taskKey{key.job, other.Task, other.Attempt}]; !over {
			return false
		}
	}
	return true
}

// recordable is what of a result a record takes. The done tasks of a large array are a
// few ranges, as the lowest are granted first; should they not be, a task is
// rather started again, which its machine answers with done at once, than a
// record made too large to be written ever again.
func (x *recordRoom) recordable(job *job, record *wire.Job, key taskKey, outcome taskOutcome) taskOutcome {
	if job.LargeArray && outcome.cause == wire.CauseDone && len(record.DoneTasks) > x.node.listCapacity(job)/(2*replica.TaskRangeBytes) &&
		!record.DoneTasks.Has(key.task-1) && !record.DoneTasks.Has(key.task+1) {
		outcome.cause = causeLost
	}
	return outcome
}

// mayAdd tells whether one more run may be put into a record.
func (x *recordRoom) mayAdd(job *job) bool {
	if !job.LargeArray {
		return true
	}
	if room, cost := x.remaining(job), x.node.taskRunBytes(); room > 2*cost {
		x.left[job.Index] = room - cost
		return true
	}
	return false
}

// maxRunLength bounds a run: the tasks of one machine.
const maxRunLength = 256

// remainingRuns is how many runs the leader may still grant to a large array. What is
// granted but not placed counts by the machines that the grants had in mind.
// An eighth is left for runs that their owners have to split.
func (n *Node) remainingRuns(job *job) int {
	cost, each := replica.TaskListBytes(job.Record.ActiveTasks, job.Record.DoneTasks), n.taskRunBytes()
	var last *machine
	for i := range job.Record.ActiveTasks {
		if task := &job.Record.ActiveTasks[i]; task.Machine == "" {
			if h := n.leader.grantHints[taskKey{job.Index, task.Task, task.Attempt}]; h != last {
				cost, last = cost+each, h
			}
		}
	}
	return (n.plannableListCapacity(job)*7/8 - cost) / each
}

const maxGrantDelay = 4 * second

// grantDelay is how long the leader gathers what it grants to an array that
// fills spare room or is a large array. It counts from the last grant: the record of a
// large array changes all the time.
func (n *Node) grantDelay(job *job) Time {
	if len(job.Record.ActiveTasks) == 0 || job.Record.Spec.Shape != wire.ShapeArray || job.Priority > 0 && !job.LargeArray {
		return 0
	}
	pause := Time(float64(maxGrantDelay) * n.writeScarcity())
	if job.LargeArray {
		pause = max(pause, outcomeDelay)
	}
	return min(pause, maxBatchingDelay(job))
}
