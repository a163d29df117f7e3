package core

import "micaport/internal/wire"

// An array with more tasks than a record can hold one by one is a large array: many
// small tasks that fill what is spare. What limits it is the size of its record
// and the number of puts, so its tasks are granted and placed in runs, as many
// neighbours on a machine as fit, which take a record no more than one entry,
// and their ends are gathered.

// maxActiveTasks bounds the active tasks of a job.
func (n *Node) maxActiveTasks(j *job) int {
	switch {
	case j.largeArray:
		return max(n.maxSingleTasks(), n.cfg.MaxBulkTasks)
	case j.record.Spec != nil && j.record.Spec.Shape == wire.ShapeGang:
		return j.record.TaskCount // all or none
	case j.record.Spec != nil && j.record.Spec.Shape == wire.ShapeDaemon:
		return max(n.maxSingleTasks(), n.plannableListCapacity(j)*7/8/n.taskRunBytes())
	}
	return n.maxSingleTasks()
}

// taskRangeBytes is what a range of done tasks takes at most in the form in which
// values are measured.
const taskRangeBytes = 16

// taskListBytes bounds the size of the lists in a job's record.
func taskListBytes(active wire.ActiveTasks, done wire.TaskSet) int {
	return active.Cost() + taskRangeBytes*len(done)
}

// listCapacity is what the lists of a large array may take, in all its keys. In each some
// room is left that no run fits.
func (n *Node) listCapacity(j *job) int {
	return max(100, n.valueBytes()-j.baseBytes+n.overflowKeys()*(n.cfg.MaxValueBytes-overflowFrameBytes-2*n.taskRunBytes()))
}

// plannableListCapacity is that for what is yet to be granted, by the limits that hold at all times.
func (n *Node) plannableListCapacity(j *job) int {
	return max(100, n.listCapacity(j)-n.valueBytes()+n.cfg.MaxValueBytes)
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
	if j.record == nil || j.record.Spec == nil || j.record.State != wire.JobLive || j.record.Spec.Shape != wire.ShapeArray || len(j.record.ActiveTasks) < 2 {
		return pause
	}
	if j.priority == 0 {
		pause *= 8
	}
	if j.largeArray {
		pause = max(pause, outcomeDelay)
	}
	return min(pause, maxBatchingDelay(j))
}

// maxBatchingDelay bounds what is gathered for a job's tasks by a quarter of the time that
// they are said to take.
func maxBatchingDelay(j *job) Time {
	return max(outcomeDelay, Time(j.record.Spec.ExpectedS*float64(second)/4))
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
	left, known := x.left[j.index]
	if !known {
		rec := j.record
		if changed := x.writer.records[j.index]; changed != nil {
			rec = changed
		}
		left = x.node.listCapacity(j) - taskListBytes(rec.ActiveTasks, rec.DoneTasks)
		x.left[j.index] = left
	}
	return left
}

// mayRemove tells whether the end of a task may be written.
func (x *recordRoom) mayRemove(k taskKey, host string) bool {
	j := x.node.jobs[k.job]
	if !j.largeArray || j.record.State != wire.JobLive {
		return true
	}
	if room, cost := x.remaining(j), wire.RunCost(host)+taskRangeBytes; room > 2*cost {
		x.left[j.index] = room - cost
		return true
	}
	at := x.node.activeTaskIndex(k, host)
	if at < 0 {
		return true
	}
	from, to := j.record.ActiveTasks.Run(at)
	for i := from; i < to; i++ {
		b := &j.record.ActiveTasks[i]
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
	if j.largeArray && res.cause == wire.CauseDone && len(rec.DoneTasks) > x.node.listCapacity(j)/(2*taskRangeBytes) &&
		!rec.DoneTasks.Has(k.task-1) && !rec.DoneTasks.Has(k.task+1) {
		res.cause = causeLost
	}
	return res
}

// mayAdd tells whether one more run may be put into a record.
func (x *recordRoom) mayAdd(j *job) bool {
	if !j.largeArray {
		return true
	}
	if room, cost := x.remaining(j), x.node.taskRunBytes(); room > 2*cost {
		x.left[j.index] = room - cost
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
	cost, each := taskListBytes(j.record.ActiveTasks, j.record.DoneTasks), n.taskRunBytes()
	var last *machine
	for i := range j.record.ActiveTasks {
		if a := &j.record.ActiveTasks[i]; a.Machine == "" {
			if h := n.leader.grantHints[taskKey{j.index, a.Task, a.Attempt}]; h != last {
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
	if len(j.record.ActiveTasks) == 0 || j.record.Spec.Shape != wire.ShapeArray || j.priority > 0 && !j.largeArray {
		return 0
	}
	pause := Time(float64(maxGrantDelay) * n.writeScarcity())
	if j.largeArray {
		pause = max(pause, outcomeDelay)
	}
	return min(pause, maxBatchingDelay(j))
}
