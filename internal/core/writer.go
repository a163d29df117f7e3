package core

import (
	"slices"

	"micaport/internal/kv"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// writer collects changed records for one transaction. Each change is conditional on the
// revision of its record. The whole transaction is conditional on the terms of the shards as
// whose owner this controller acts in it.
type writer struct {
	node              *Node
	changedRecords    map[int]*wire.Job // changed copies, by index of their job
	changedJobs       []int             // indices of these jobs, in the order of the changes
	ownedShards       map[int]bool      // shards as whose owner this controller acts in the transaction, by index
	inseparableWrites []kv.Write        // of other keys, which may only be written together with the rest
	conditions        []kv.Condition    // in addition to those on the changed records
	bytes             int               // estimated size of the transaction
	maxWrites         int               // recordToChange adds records up to this number of writes
	exitedTasks       map[taskKey]bool  // tasks whose end the changed records show
	attemptNumbers    map[int]uint64    // of the tasks that the transaction starts, by index of their job
	// writeOverflowFirst allows writing overflow keys in earlier transactions than the
	// record that names them.
	writeOverflowFirst bool
	// deletesUnusedOverflow allows deleting overflow keys of finished jobs.
	deletesUnusedOverflow bool
}

// newWriter returns a writer for a transaction within the current limits.
func newWriter(n *Node) *writer {
	return &writer{
		node: n, changedRecords: map[int]*wire.Job{}, ownedShards: map[int]bool{}, exitedTasks: map[taskKey]bool{}, attemptNumbers: map[int]uint64{},
		maxWrites: min(n.cfg.MaxTransactionOps-1, n.cfg.MaxBatchWrites, n.availableWrites()),
	}
}

const (
	// maxTransactionBytes bounds the estimated size of a transaction. As sizes are
	// estimates, it is well below the 64 KiB that the state service accepts.
	maxTransactionBytes = 48_000
	// minRecordBytes is the minimum estimate for a record without its task lists.
	minRecordBytes = 900
)

// recordToChange returns a copy of a job's record to change, or nil if the transaction is full.
// Repeated calls for a job return the same copy.
func (w *writer) recordToChange(job *job) *wire.Job {
	if record := w.changedRecords[job.Index]; record != nil {
		return record
	}
	size := w.expectedBytes(job)
	if len(w.changedJobs)+len(w.inseparableWrites) >= w.maxWrites || w.bytes+size > maxTransactionBytes {
		return nil
	}
	w.bytes += size
	w.changedRecords[job.Index] = replica.CloneRecord(job.Record)
	w.changedJobs = append(w.changedJobs, job.Index)
	return w.changedRecords[job.Index]
}

// expectedBytes returns how many bytes of the transaction a change of a job's record is expected to
// take. Of a record with overflow keys not all have to change; see transaction.addRecord.
func (w *writer) expectedBytes(job *job) int {
	const valuesPerChange = 2
	size := max(minRecordBytes, job.BaseBytes) + replica.TaskListBytes(job.Record.ActiveTasks, job.Record.DoneTasks)
	if limit := valuesPerChange * w.node.cfg.MaxValueBytes; size > limit && w.node.replica.SupportsDependencies() {
		return min(limit, maxTransactionBytes)
	}
	return size
}

// attemptNumber returns the attempt number of the tasks of a job that this transaction starts. The
// first call for a job also increments the record's next number. All these tasks can share one
// number, as a task starts at most once in a transaction and the next transaction uses the next
// number. Tasks with the same number are recorded in one run.
func (w *writer) attemptNumber(job *job, record *wire.Job) uint64 {
	if _, taken := w.attemptNumbers[job.Index]; !taken {
		w.attemptNumbers[job.Index] = record.NextAttempt
		record.NextAttempt++
	}
	return w.attemptNumbers[job.Index]
}

// addWrite adds a write of another key with a condition. It returns false if the transaction has the
// maximum number of writes.
func (w *writer) addWrite(write kv.Write, condition kv.Condition) bool {
	if len(w.changedJobs)+len(w.inseparableWrites) >= w.node.cfg.MaxTransactionOps {
		return false
	}
	w.inseparableWrites = append(w.inseparableWrites, write)
	w.conditions = append(w.conditions, condition)
	return true
}

// send commits the changes, if any, as a batch. Of a record whose change doesn't fit the transaction,
// the largest part that fits is written, and none of a gang's; the decisions about the rest are made
// again later.
func (w *writer) send(b *batch) {
	transaction := newTransaction(w)
	for _, index := range w.jobsInOrder() {
		transaction.addRecord(w.node.jobs[index])
	}
	transaction.addUnusedOverflowDeletions()
	if len(transaction.writes) > 0 {
		b.start(w.node, transaction.allConditions(), transaction.writes, transaction.inseparable)
	}
}

// jobsInOrder returns the indices of the changed jobs in the order of the changes, but those that the
// previous transaction left out first.
func (w *writer) jobsInOrder() []int {
	order := slices.Clone(w.changedJobs)
	slices.SortStableFunc(order, func(a, b int) int {
		return boolToInt(w.node.jobs[b].leftOut) - boolToInt(w.node.jobs[a].leftOut)
	})
	return order
}
