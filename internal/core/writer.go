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
func (w *writer) job(j *job) *wire.Job {
	if r := w.records[j.Index]; r != nil {
		return r
	}
	size := max(900, j.BaseBytes) + replica.TaskListBytes(j.Record.ActiveTasks, j.Record.DoneTasks)
	if len(w.order)+len(w.linkedWrites) >= w.maxWrites || w.bytes+size > maxTransactionBytes {
		return nil
	}
	w.bytes += size
	w.records[j.Index] = replica.CloneRecord(j.Record)
	w.order = append(w.order, j.Index)
	return w.records[j.Index]
}

// attempt gives the number for what this commit starts of a job: one for all of
// its tasks, since a task is started once in a commit and the next commit takes
// the next number. Tasks that begin together are so told in one run.
func (w *writer) attempt(j *job, rec *wire.Job) uint64 {
	if _, taken := w.attempts[j.Index]; !taken {
		w.attempts[j.Index] = rec.NextAttempt
		rec.NextAttempt++
	}
	return w.attempts[j.Index]
}

// addWrite adds a write of another key under a condition.
func (w *writer) addWrite(wr Write, c Condition) bool {
	if len(w.order)+len(w.linkedWrites) >= w.node.cfg.MaxTransactionOps {
		return false
	}
	w.linkedWrites = append(w.linkedWrites, wr)
	w.conditions = append(w.conditions, c)
	return true
}

// send commits the changes, each conditional on its record's revision, and
// all on the terms of the shards they speak for.
func (w *writer) send(b *batch, onOK func()) {
	if len(w.order)+len(w.linkedWrites) == 0 {
		return
	}
	conds := w.conditions
	for i, p := range w.node.shards {
		if w.shards[i] {
			conds = append(conds, Condition{Key: wire.ShardKey(p.Name), Revision: p.Term})
		}
	}
	writes := w.linkedWrites
	for _, jx := range w.order {
		j, rec := w.node.jobs[jx], w.records[jx]
		rec.OverflowKeys = 0
		replica.CompactRecord(rec)
		changed := w.node.replica.SplitRecord(j.ID, replica.StoredRecord{Tasks: j.Record.ActiveTasks, OverflowKeys: j.Record.OverflowKeys}, rec)
		if len(changed) > w.node.cfg.MaxTransactionOps && w.writeOverflowFirst && len(writes) == 0 {
			changed = replica.WritesAhead(changed, j.Record.OverflowKeys, w.node.cfg.MaxTransactionOps)
		}
		if len(writes)+len(changed) > w.node.cfg.MaxTransactionOps {
			continue // it is decided again
		}
		conds = append(conds, Condition{Key: wire.JobKey(j.ID), Revision: j.Revision})
		writes = append(writes, changed...)
	}
	if len(writes) == 0 {
		return
	}
	b.start(w.node, conds, writes, w.linkedWrites, onOK)
}
