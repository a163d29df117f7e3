package core

import (
	"micaport/internal/kv"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// writer gathers changed records for one transaction. Each change is conditional on the
// revision of its record, and all are on the terms of the shards that they speak for.
type writer struct {
	node         *Node
	records      map[int]*wire.Job // changed copies, by index of their job
	order        []int             // of these jobs
	shards       map[int]bool      // for which this controller speaks as the owner, by index
	linkedWrites []kv.Write        // of other keys, which belong together with the rest
	conditions   []kv.Condition    // besides those on the changed records
	bytes        int               // estimate of the size of the transaction
	maxWrites    int
	exitedTasks  map[taskKey]bool // whose end is in the changed records
	attempts     map[int]uint64   // attempt number of what is granted or placed here, by job
	// writeOverflowFirst says that overflow keys may be written before the record that
	// names them.
	writeOverflowFirst bool
}

func newWriter(n *Node) *writer {
	return &writer{
		node: n, records: map[int]*wire.Job{}, shards: map[int]bool{}, exitedTasks: map[taskKey]bool{}, attempts: map[int]uint64{},
		maxWrites: min(n.cfg.MaxTransactionOps-1, n.cfg.MaxBatchWrites, n.availableWrites()),
	}
}

const (
	// maxTransactionBytes is what goes into one transaction, well below the 64 KiB that
	// the state service takes, as sizes are estimates.
	maxTransactionBytes = 48_000
	// minRecordBytes is assumed for small records.
	minRecordBytes = 900
)

// job gives a copy of a job's record to change, or nil when the transaction is full.
func (w *writer) job(job *job) *wire.Job {
	if record := w.records[job.Index]; record != nil {
		return record
	}
	size := max(minRecordBytes, job.BaseBytes) + replica.TaskListBytes(job.Record.ActiveTasks, job.Record.DoneTasks)
	if len(w.order)+len(w.linkedWrites) >= w.maxWrites || w.bytes+size > maxTransactionBytes {
		return nil
	}
	w.bytes += size
	w.records[job.Index] = replica.CloneRecord(job.Record)
	w.order = append(w.order, job.Index)
	return w.records[job.Index]
}

// attempt is the attempt number of all tasks of a job that this transaction starts. One
// number does: a task starts once in a transaction, and the next transaction takes the next
// number. Tasks with the same number are recorded in one run.
func (w *writer) attempt(job *job, record *wire.Job) uint64 {
	if _, taken := w.attempts[job.Index]; !taken {
		w.attempts[job.Index] = record.NextAttempt
		record.NextAttempt++
	}
	return w.attempts[job.Index]
}

// addWrite adds a write of another key under a condition, and tells whether there was room.
func (w *writer) addWrite(write kv.Write, condition kv.Condition) bool {
	if len(w.order)+len(w.linkedWrites) >= w.node.cfg.MaxTransactionOps {
		return false
	}
	w.linkedWrites = append(w.linkedWrites, write)
	w.conditions = append(w.conditions, condition)
	return true
}

// send commits the changes as a batch, if there are any. Records for whose overflow keys
// there is no room are left out: they are decided on again.
func (w *writer) send(b *batch) {
	if len(w.order)+len(w.linkedWrites) == 0 {
		return
	}
	conditions := w.conditions
	for i, shard := range w.node.shards {
		if w.shards[i] {
			conditions = append(conditions, kv.Condition{Key: wire.ShardKey(shard.Name), Revision: shard.Term})
		}
	}
	writes := w.linkedWrites
	for _, index := range w.order {
		job := w.node.jobs[index]
		changed := w.writesOf(job, len(writes) == 0)
		if len(writes)+len(changed) > w.node.cfg.MaxTransactionOps {
			continue
		}
		conditions = append(conditions, kv.Condition{Key: wire.JobKey(job.ID), Revision: job.Revision})
		writes = append(writes, changed...)
	}
	if len(writes) > 0 {
		b.start(w.node, conditions, writes, w.linkedWrites)
	}
}

// writesOf gives the writes of a job's changed record and of its overflow keys. Where they
// don't fit a transaction and this one is empty, overflow keys are written ahead.
func (w *writer) writesOf(job *job, empty bool) []kv.Write {
	record := w.records[job.Index]
	record.OverflowKeys = 0
	replica.CompactRecord(record)
	stored := replica.StoredRecord{Tasks: job.Record.ActiveTasks, OverflowKeys: job.Record.OverflowKeys}
	writes := w.node.replica.SplitRecord(job.ID, stored, record)
	if maxWrites := w.node.cfg.MaxTransactionOps; len(writes) > maxWrites && w.writeOverflowFirst && empty {
		return replica.WritesAhead(writes, job.Record.OverflowKeys, maxWrites)
	}
	return writes
}
