package replica

import "micaport/internal/wire"

// How large records are, in the form in which the state service measures values.

const (
	// TaskRangeBytes bounds what a range of done tasks takes.
	TaskRangeBytes = 16
	// OverflowHeaderBytes bounds what the value of an overflow key takes besides its tasks.
	OverflowHeaderBytes = 16

	// maxListBytes is what the task lists of a job may take in all. Each overflow key
	// costs a write for each change, so there are no more than make this much; it is
	// what one value holds at sites whose arrays have up to a hundred tasks.
	maxListBytes = 8 << 10
	// recordSlackBytes is for what a record gains while it lives: names of lists, and of
	// a few machines on which it failed.
	recordSlackBytes = 120
	// unknownRecordBytes is assumed for a record that can't be measured.
	unknownRecordBytes = 2000
	// singleTaskBytes is a generous bound for one active task, with its share of the done
	// set, and singleTasksReserve is left for the rest of the record.
	singleTaskBytes    = 60
	singleTasksReserve = 2000
)

// OverflowKeys is how many overflow keys the leader plans with. A grant changes the
// record, the key of a gang perhaps, and these.
func (r *Replica) OverflowKeys() int {
	if !r.WritesDependencies() {
		return 0
	}
	return max(0, min(maxListBytes/r.cfg.MaxValueBytes-1, r.cfg.MaxTransactionOps-2))
}

// ValueBytes is what a value may take now. While controllers of the earlier version serve,
// their records may be as large as the present limit allows, and have to be written all
// the same.
func (r *Replica) ValueBytes() int {
	if !r.WritesDependencies() {
		return max(r.cfg.MaxValueBytes, r.cfg.CurrentValueBytes)
	}
	return r.cfg.MaxValueBytes
}

// MaxSingleTasks bounds the active tasks of a record in which each task stands by itself.
// An array with more tasks is a large array: its tasks are recorded in runs.
func (r *Replica) MaxSingleTasks() int {
	return max(1, (r.cfg.MaxValueBytes*(1+r.OverflowKeys())-singleTasksReserve)/singleTaskBytes)
}

// TaskListBytes bounds the size of the task lists in a record.
func TaskListBytes(active wire.ActiveTasks, done wire.TaskSet) int {
	return active.Cost() + TaskRangeBytes*len(done)
}

// BaseBytes bounds the size of a record without its task lists.
func BaseBytes(record *wire.Job) int {
	const (
		attemptsToCome  = 1000
		errorsToCome    = 100
		maxOverflowKeys = 10
	)
	bare := wire.Job{
		Spec: record.Spec, State: record.State, TaskCount: record.TaskCount, AcceptedAtMS: record.AcceptedAtMS,
		NextAttempt: record.NextAttempt + attemptsToCome, ConsecutiveErrors: record.ConsecutiveErrors + errorsToCome,
		FailedMachines: record.FailedMachines, OverflowKeys: maxOverflowKeys,
		DependencyList: record.DependencyList, DependencyListKeys: record.DependencyListKeys,
	}
	size, err := wire.JSONSize(&bare)
	if err != nil {
		return unknownRecordBytes
	}
	return size + recordSlackBytes
}

// measure works out the size of a job's record without its task lists, and with it whether
// the job is a large array.
func (r *Replica) measure(job *Job) {
	job.BaseBytes = BaseBytes(job.Record)
	job.LargeArray = job.Record.Spec.Shape == wire.ShapeArray && job.Record.Spec.TaskCount > r.MaxSingleTasks()
}
