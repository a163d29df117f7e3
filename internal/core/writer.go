package core

import (
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
	size := max(minRecordBytes, job.BaseBytes) + replica.TaskListBytes(job.Record.ActiveTasks, job.Record.DoneTasks)
	if len(w.changedJobs)+len(w.inseparableWrites) >= w.maxWrites || w.bytes+size > maxTransactionBytes {
		return nil
	}
	w.bytes += size
	w.changedRecords[job.Index] = replica.CloneRecord(job.Record)
	w.changedJobs = append(w.changedJobs, job.Index)
	return w.changedRecords[job.Index]
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

// send commits the changes, if any, as a batch. Records that don't fit the transaction together
// with their overflow keys are left out; the decisions about them are made again later.
func (w *writer) send(b *batch) {
	if len(w.changedJobs)+len(w.inseparableWrites) == 0 {
		return
	}
	conditions := w.conditions
	for i, shard := range w.node.shards {
		if w.ownedShards[i] {
			conditions = append(conditions, kv.Condition{Key: wire.ShardKey(shard.Name), Revision: shard.Term})
		}
	}
	writes := w.inseparableWrites
	for _, index := range w.changedJobs {
		job := w.node.jobs[index]
		changed := w.writesOf(job, len(writes) == 0)
		if len(writes)+len(changed) > w.node.cfg.MaxTransactionOps {
			continue
		}
		conditions = append(conditions, kv.Condition{Key: wire.JobKey(job.ID), Revision: job.Revision})
		writes = append(writes, changed...)
	}
	if len(writes) > 0 {
		b.start(w.node, conditions, writes, w.inseparableWrites)
	}
}

// writesOf returns the writes of a job's changed record and its overflow keys. If they don't fit
// one transaction, writeOverflowFirst is set and the transaction is empty, it returns writes of
// overflow keys only, ahead of the record.
func (w *writer) writesOf(job *job, empty bool) []kv.Write {
	record := w.changedRecords[job.Index]
	record.OverflowKeys = 0
	replica.CompactRecord(record)
	stored := replica.StoredRecord{Tasks: job.Record.ActiveTasks, OverflowKeys: job.Record.OverflowKeys}
	writes := w.node.replica.SplitRecord(job.ID, stored, record)
	if maxWrites := w.node.cfg.MaxTransactionOps; len(writes) > maxWrites && w.writeOverflowFirst && empty {
		return replica.EarlyOverflowWrites(writes, job.Record.OverflowKeys, maxWrites)
	}
	return writes
}
