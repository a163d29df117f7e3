package core

import (
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// writer gathers changed records for one commit.
type writer struct {
	node               *Node
	records            map[int]*wire.Job
	order              []int
	shards             map[int]bool
	linkedWrites       []Write
	conditions         []Condition
	bytes              int
	maxWrites          int // puts
	exitedTasks        map[taskKey]bool
	writeOverflowFirst bool           // overflow keys may be written before the record names them
	attempts           map[int]uint64 // the attempt number of what is granted or placed anew here, by job
}

func newWriter(n *Node) *writer {
	limit := min(n.cfg.MaxTransactionOps-1, n.cfg.MaxBatchWrites, n.availableWrites())
	return &writer{node: n, records: map[int]*wire.Job{}, shards: map[int]bool{}, exitedTasks: map[taskKey]bool{}, attempts: map[int]uint64{}, maxWrites: limit}
}

// maxTransactionBytes is what we put into one transaction, well below the service's
// 64 KiB, as sizes are estimates.
const maxTransactionBytes = 48_000

// job gives a copy of the record to change, or nil when the commit is full.
func (writer *writer) job(job *job) *wire.Job {
	if r := writer.records[job.Index]; r != nil {
		return r
	}
	size := max(900, job.BaseBytes) + replica.TaskListBytes(job.Record.ActiveTasks, job.Record.DoneTasks)
	if len(writer.order)+len(writer.linkedWrites) >= writer.maxWrites || writer.bytes+size > maxTransactionBytes {
		return nil
	}
	writer.bytes += size
	writer.records[job.Index] = replica.CloneRecord(job.Record)
	writer.order = append(writer.order, job.Index)
	return writer.records[job.Index]
}

// attempt gives the number for what this commit starts of a job: one for all of
// its tasks, since a task is started once in a commit and the next commit takes
// the next number. Tasks that begin together are so told in one run.
func (writer *writer) attempt(job *job, record *wire.Job) uint64 {
	if _, taken := writer.attempts[job.Index]; !taken {
		writer.attempts[job.Index] = record.NextAttempt
		record.NextAttempt++
	}
	return writer.attempts[job.Index]
}

// addWrite adds a write of another key under a condition.
func (writer *writer) addWrite(wr Write, c Condition) bool {
	if len(writer.order)+len(writer.linkedWrites) >= writer.node.cfg.MaxTransactionOps {
		return false
	}
	writer.linkedWrites = append(writer.linkedWrites, wr)
	writer.conditions = append(writer.conditions, c)
	return true
}

// send commits the changes, each conditional on its record's revision, and
// all on the terms of the shards they speak for.
func (writer *writer) send(b *batch, onOK func()) {
	if len(writer.order)+len(writer.linkedWrites) == 0 {
		return
	}
	conds := writer.conditions
	for i, shard := range writer.node.shards {
		if writer.shards[i] {
			conds = append(conds, Condition{Key: wire.ShardKey(shard.Name), Revision: shard.Term})
		}
	}
	writes := writer.linkedWrites
	for _, index := range writer.order {
		job, record := writer.node.jobs[index], writer.records[index]
		record.OverflowKeys = 0
		replica.CompactRecord(record)
		changed := writer.node.replica.SplitRecord(job.ID, replica.StoredRecord{Tasks: job.Record.ActiveTasks, OverflowKeys: job.Record.OverflowKeys}, record)
		if len(changed) > writer.node.cfg.MaxTransactionOps && writer.writeOverflowFirst && len(writes) == 0 {
			changed = replica.WritesAhead(changed, job.Record.OverflowKeys, writer.node.cfg.MaxTransactionOps)
		}
		if len(writes)+len(changed) > writer.node.cfg.MaxTransactionOps {
			continue // it is decided again
		}
		conds = append(conds, Condition{Key: wire.JobKey(job.ID), Revision: job.Revision})
		writes = append(writes, changed...)
	}
	if len(writes) == 0 {
		return
	}
	b.start(writer.node, conds, writes, writer.linkedWrites, onOK)
}
