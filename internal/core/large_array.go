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
func (n *Node) maxActiveTasks(j *job) int {
	switch {
	case j.LargeArray:
		return max(n.replica.MaxSingleTasks(), n.cfg.MaxBulkTasks)
	case j.Record.Spec != nil && j.Record.Spec.Shape == wire.ShapeGang:
		return j.Record.TaskCount // all or none
	case j.Record.Spec != nil && j.Record.Spec.Shape == wire.ShapeDaemon:
		return max(n.replica.MaxSingleTasks(), n.plannableListCapacity(j)*7/8/n.taskRunBytes())
	}
	return n.replica.MaxSingleTasks()
}

// listCapacity is what the lists of a large array may take, in all its keys. In each some
// room is left that no run fits.
func (n *Node) listCapacity(j *job) int {
	return max(100, n.replica.ValueBytes()-j.BaseBytes+n.replica.OverflowKeys()*(n.cfg.MaxValueBytes-replica.OverflowFrameBytes-2*n.taskRunBytes()))
}

// plannableListCapacity is that for what is yet to be granted, by the limits that hold at all times.
func (n *Node) plannableListCapacity(j *job) int {
	return max(100, n.listCapacity(j)-n.replica.ValueBytes()+n.cfg.MaxValueBytes)
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
func (n *Node) outcomeDelayFor(j *job) Time {
	pause := Time(float64(outcomeDelay) * n.writeScarcity())
	if j.Record == nil || j.Record.Spec == nil || j.Record.State != wire.JobLive || j.Record.Spec.Shape != wire.ShapeArray || len(j.Record.ActiveTasks) < 2 {
		return pause
	}
	if j.Priority == 0 {
		pause *= 8
	}
	if j.LargeArray {
		pause = max(pause, outcomeDelay)
	}
	return min(pause, maxBatchingDelay(j))
}

// maxBatchingDelay bounds what is gathered for a job's tasks by a quarter of the time that
// they are said to take.
func maxBatchingDelay(j *job) Time {
	return max(outcomeDelay, Time(j.Record.Spec.ExpectedS*float64(second)/4))
}

// recordRoom is the room that is left in the records of large arrays while an owner
// changes them. Taking single tasks out of runs can only make a record larger:
// when there is no room for that, ends wait until the whole run has ended.
type recordRoom struct {
	node   *Node
	writer *writer
	left   map[int]int
}

func newRecordRoom(n *Node, w *writer) *recordRoom { return &recordRoom{n, w, map[int]int{}} }

func (x *recordRoom) remaining(j *job) int {
	left, known := x.left[j.Index]
	if !known {
		rec := j.Record
		if changed := x.writer.records[j.Index]; changed != nil {
			rec = changed
		}
		left = x.node.listCapacity(j) - replica.TaskListBytes(rec.ActiveTasks, rec.DoneTasks)
		x.left[j.Index] = left
	}
	return left
}

// mayRemove tells whether the end of a task may be written.
func (x *recordRoom) mayRemove(k taskKey, host string) bool {
	j := x.node.jobs[k.job]
	if !j.LargeArray || j.Record.State != wire.JobLive {
		return true
	}
	if room, cost := x.remaining(j), wire.RunCost(host)+replica.TaskRangeBytes; room > 2*cost {
		x.left[j.Index] = room - cost
		return true
	}
	at := x.node.activeTaskIndex(k, host)
	if at < 0 {
		return true
	}
	from, to := j.Record.ActiveTasks.Run(at)
	for i := from; i < to; i++ {
		b := &j.Record.ActiveTasks[i]
		if _, over := x.node.outcomes[taskKey{k.job, b.Task, b.Attempt}]; !over {
			return false
		}
	}
	return true
}

// recordable is what of a result a record takes. The done tasks of a large array are a
// few ranges, as the lowest are granted first; should they not be, a task is
// rather started again, which its machine answers with done at once, than a
// record made too large to be written ever again.
func (x *recordRoom) recordable(j *job, rec *wire.Job, k taskKey, res taskOutcome) taskOutcome {
	if j.LargeArray && res.cause == wire.CauseDone && len(rec.DoneTasks) > x.node.listCapacity(j)/(2*replica.TaskRangeBytes) &&
		!rec.DoneTasks.Has(k.task-1) && !rec.DoneTasks.Has(k.task+1) {
		res.cause = causeLost
	}
	return res
}

// mayAdd tells whether one more run may be put into a record.
func (x *recordRoom) mayAdd(j *job) bool {
	if !j.LargeArray {
		return true
	}
	if room, cost := x.remaining(j), x.node.taskRunBytes(); room > 2*cost {
		x.left[j.Index] = room - cost
		return true
	}
	return false
}

// maxRunLength bounds a run: the tasks of one machine.
const maxRunLength = 256

// remainingRuns is how many runs the leader may still grant to a large array. What is
// granted but not placed counts by the machines that the grants had in mind.
// An eighth is left for runs that their owners have to split.
func (n *Node) remainingRuns(j *job) int {
	cost, each := replica.TaskListBytes(j.Record.ActiveTasks, j.Record.DoneTasks), n.taskRunBytes()
	var last *machine
	for i := range j.Record.ActiveTasks {
		if a := &j.Record.ActiveTasks[i]; a.Machine == "" {
			if h := n.leader.grantHints[taskKey{j.Index, a.Task, a.Attempt}]; h != last {
				cost, last = cost+each, h
			}
		}
	}
	return (n.plannableListCapacity(j)*7/8 - cost) / each
}

// capacityFor is how many tasks of a kind find room on the machine.
func (s *slot) capacityFor(sp *wire.JobSpec) int {
	k := maxRunLength
	for _, x := range [][2]float64{{s.cores, sp.Cores}, {s.gpus, sp.GPUs}, {s.memoryGB, sp.MemoryGB}} {
		if x[1] > 0 {
			k = min(k, int((x[0]+epsilon)/x[1]))
		}
	}
	return max(0, k)
}

const maxGrantDelay = 4 * second

// grantDelay is how long the leader gathers what it grants to an array that
// fills spare room or is a large array. It counts from the last grant: the record of a
// large array changes all the time.
func (n *Node) grantDelay(j *job) Time {
	if len(j.Record.ActiveTasks) == 0 || j.Record.Spec.Shape != wire.ShapeArray || j.Priority > 0 && !j.LargeArray {
		return 0
	}
	pause := Time(float64(maxGrantDelay) * n.writeScarcity())
	if j.LargeArray {
		pause = max(pause, outcomeDelay)
	}
	return min(pause, maxBatchingDelay(j))
}
