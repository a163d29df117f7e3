package replica

import "micaport/internal/wire"

// Sizes of records and their parts, as wire.JSONSize measures them.
const (
	// TaskRangeBytes bounds the size of a range of done tasks.
	TaskRangeBytes = 16
	// OverflowHeaderBytes bounds the size of an overflow record without its tasks.
	OverflowHeaderBytes = 16

	// maxTaskListBytes limits the total size of a job's task lists, and thereby the number of
	// its overflow keys, since each of them costs a write per change. At sites whose arrays
	// have up to a hundred tasks, a single value holds as much.
	maxTaskListBytes = 8 << 10
	// recordGrowthBytes is reserved for the growth of a record over its lifetime: the names
	// of dependency lists and of a few machines on which the job failed.
	recordGrowthBytes = 120
	// fallbackRecordBytes is the assumed size of a record that can't be encoded.
	fallbackRecordBytes = 2000
	// separateTaskBytes is a generous bound for one active task that is encoded separately and
	// its part of the set of done tasks. recordReserveBytes is reserved for the rest of the
	// record.
	separateTaskBytes  = 60
	recordReserveBytes = 2000
)

// MaxOverflowKeys returns the largest number of overflow keys per job that the leader plans with.
// All of them have to fit into one transaction with the job's record and the key of a gang.
func (r *Replica) MaxOverflowKeys() int {
	if !r.SupportsDependencies() {
		return 0 // the agreed format has no overflow keys
	}
	return max(0, min(maxTaskListBytes/r.cfg.MaxValueBytes-1, r.cfg.MaxTransactionOps-2))
}

// MaxWritableBytes returns the size limit of the values that this controller writes now. It is
// MaxValueBytes, which also holds after an announced reduction of the limit. While controllers run
// that don't support overflow keys, it is at least CurrentValueBytes: their records may be that
// large, and this controller has to be able to rewrite them.
func (r *Replica) MaxWritableBytes() int {
	if !r.SupportsDependencies() {
		return max(r.cfg.MaxValueBytes, r.cfg.CurrentValueBytes)
	}
	return r.cfg.MaxValueBytes
}

// MaxTasksWithoutRuns returns the largest number of active tasks that a record and its overflow
// keys can hold if each task is encoded separately. An array with more tasks is a large array,
// whose tasks are recorded as runs.
func (r *Replica) MaxTasksWithoutRuns() int {
	return max(1, (r.cfg.MaxValueBytes*(1+r.MaxOverflowKeys())-recordReserveBytes)/separateTaskBytes)
}

// TaskListBytes returns an upper bound of the size of the task lists in a record.
func TaskListBytes(active wire.ActiveTasks, done wire.TaskSet) int {
	return active.MaxEncodedBytes() + TaskRangeBytes*len(done)
}

// BaseBytes returns an upper bound of the size of a record without its task lists, with a
// reserve for its growth.
func BaseBytes(record *wire.Job) int {
	const (
		attemptGrowth   = 1000
		errorGrowth     = 100
		maxOverflowKeys = 10
	)
	bare := wire.Job{
		Spec: record.Spec, State: record.State, TaskCount: record.TaskCount, AcceptedAtMS: record.AcceptedAtMS,
		NextAttempt: record.NextAttempt + attemptGrowth, ConsecutiveErrors: record.ConsecutiveErrors + errorGrowth,
		FailedMachines: record.FailedMachines, OverflowKeys: maxOverflowKeys,
		DependencyList: record.DependencyList, DependencyListKeys: record.DependencyListKeys,
	}
	size, err := wire.JSONSize(&bare)
	if err != nil {
		return fallbackRecordBytes
	}
	return size + recordGrowthBytes
}

// updateRecordSize sets BaseBytes and LargeArray of a job.
func (r *Replica) updateRecordSize(job *Job) {
	job.BaseBytes = BaseBytes(job.Record)
	job.LargeArray = job.Record.Spec.Shape == wire.ShapeArray && job.Record.Spec.TaskCount > r.MaxTasksWithoutRuns()
}
