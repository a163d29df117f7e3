package core

import (
	"slices"

	"micaport/internal/replica"
	"micaport/internal/wire"
)

// Constants of large arrays. An array with more tasks than a record can list one by one is a large
// array: many small tasks that use spare capacity. The size of its record and the number of writes
// are its bottlenecks. Therefore its tasks are granted and placed in runs, and their outcomes are
// written in batches. A run is as many consecutive tasks as fit on a machine, and takes one entry
// of the record.
const (
	// maxRunLength bounds the number of tasks in a run.
	maxRunLength = 256
	// minListCapacity is the least capacity, in bytes, for the task lists of a large array.
	minListCapacity = 100
	// maxWaitingGrants bounds the grants of a daemon that wait for a machine. It bounds the time
	// that a pass takes.
	maxWaitingGrants = 1000
	// maxGrantDelay is the longest time for which the leader batches grants of a job; see grantDelay.
	maxGrantDelay = 4 * second
	// lowPriorityDelayFactor is how many times longer the outcomes of arrays of the lowest priority
	// may wait to be written.
	lowPriorityDelayFactor = 8
	// batchingDelayDivisor divides the expected run time of a task. The quotient bounds how long
	// batching may delay a write; see maxBatchingDelay.
	batchingDelayDivisor = 4
	// defaultMachineName is used to estimate sizes while no machine is known.
	defaultMachineName = "vm-000000"
)

// grantableCapacity returns how much of a list's capacity grants may use: an eighth is kept free
// for runs that owners have to split.
func grantableCapacity(bytes int) int { return bytes * 7 / 8 }

// maxActiveTasks returns the upper bound for the number of active tasks of a job. For a daemon, all
// of whose tasks run at the same time, it grows as its grants are placed.
func (s *site) maxActiveTasks(job *job) int {
	switch {
	case job.LargeArray:
		return max(s.replica.MaxTasksWithoutRuns(), s.cfg.MaxLargeArrayTasks)
	case job.Record.Spec != nil && job.Record.Spec.Shape == wire.ShapeGang:
		return job.Record.TaskCount // a gang starts as a whole
	case job.Record.Spec != nil && job.Record.Spec.Shape == wire.ShapeDaemon:
		return len(job.Record.ActiveTasks) + s.grantableDaemonTasks(job)
	}
	return s.replica.MaxTasksWithoutRuns()
}

// grantableDaemonTasks returns how many tasks of a daemon may be granted in addition to the active
// ones. While records have no overflow keys, all tasks have to fit the record even if each takes a
// run of its own. Otherwise there are as many keys as the tasks need, and only the grants that wait
// for a machine are bounded.
func (s *site) grantableDaemonTasks(job *job) int {
	active := job.Record.ActiveTasks
	if s.replica.SupportsDependencies() {
		return max(0, min(job.Record.TaskCount-len(active), maxWaitingGrants-job.Unplaced))
	}
	placed := slices.DeleteFunc(slices.Clone(active), func(task wire.ActiveTask) bool { return task.Machine == "" })
	remaining := grantableCapacity(s.plannableListCapacity(job)) - placed.MaxEncodedBytes()
	return max(0, s.replica.MaxTasksWithoutRuns()-len(active), remaining/s.taskRunBytes()-job.Unplaced)
}

// listCapacity returns how many bytes the task lists of a large array may take, over all its keys.
// Each overflow key counts without the size of two runs, as the last bytes of a key may be too few
// for another run.
func (s *site) listCapacity(job *job) int {
	return max(minListCapacity, s.replica.MaxWritableBytes()-job.BaseBytes+s.replica.MaxOverflowKeys()*(s.cfg.MaxValueBytes-replica.OverflowHeaderBytes-2*s.taskRunBytes()))
}

// plannableListCapacity returns the list capacity for tasks that are yet to be granted. It is based
// on MaxValueBytes, while listCapacity uses the limit on values at present, which may be higher for
// a time; see replica.Replica.MaxWritableBytes.
func (s *site) plannableListCapacity(job *job) int {
	return max(minListCapacity, s.listCapacity(job)-s.replica.MaxWritableBytes()+s.cfg.MaxValueBytes)
}

// taskRunBytes estimates how many bytes one more run takes in a record. The size depends on the
// length of the machine's name, for which it uses the name of the machine that was added last.
func (s *site) taskRunBytes() int {
	if len(s.machines) == 0 {
		return wire.MaxRunBytes(defaultMachineName)
	}
	return wire.MaxRunBytes(s.machines[len(s.machines)-1].name) + 1
}

// outcomeDelayFor returns how long an outcome waits for others of the same job when writes are
// scarce: a single write records them all, and the tasks of a gang end together. Outcomes of a large
// array always wait, as many arrive per second. Those of low-priority arrays may wait longer, as
// their work is less urgent.
func (n *Node) outcomeDelayFor(job *job) Time {
	delay := Time(float64(baseOutcomeDelay) * n.writeScarcity())
	if job.Record == nil || job.Record.Spec == nil || job.Record.State != wire.JobLive ||
		job.Record.Spec.Shape != wire.ShapeArray || len(job.Record.ActiveTasks) < 2 {
		return delay
	}
	if job.Priority == 0 {
		delay *= lowPriorityDelayFactor
	}
	if job.LargeArray {
		delay = max(delay, baseOutcomeDelay)
	}
	return min(delay, maxBatchingDelay(job))
}

// maxBatchingDelay returns how long batching may delay the writes of an array: a share of the
// expected run time of its tasks, but at least baseOutcomeDelay.
func maxBatchingDelay(job *job) Time {
	return max(baseOutcomeDelay, Time(job.Record.Spec.ExpectedS*float64(second)/batchingDelayDivisor))
}

// grantDelay returns how long the leader batches grants to a large array or an array of the lowest
// priority. The delay counts from the last grant rather than from the last change of the record, as
// the record of a large array changes all the time.
func (n *Node) grantDelay(job *job) Time {
	if len(job.Record.ActiveTasks) == 0 || job.Record.Spec.Shape != wire.ShapeArray || job.Priority > 0 && !job.LargeArray {
		return 0
	}
	delay := Time(float64(maxGrantDelay) * n.writeScarcity())
	if job.LargeArray {
		delay = max(delay, baseOutcomeDelay)
	}
	return min(delay, maxBatchingDelay(job))
}

// remainingRuns returns how many runs the leader may still grant to a large array. Grants without a
// machine count as runs on the machines that the leader planned for them.
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
