package core

import (
	"slices"
	"sort"
	"strings"

	"micaport/internal/kv"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// sizeReportInterval is the time between two log lines about changes of the same job that exceed a
// transaction.
const sizeReportInterval = 60 * second

// transaction collects the writes of a writer's changes within the limits of the state service.
type transaction struct {
	node        *Node
	writer      *writer
	writes      []kv.Write
	conditions  []kv.Condition
	inseparable []kv.Write // the part of writes that may only be made together with the rest
	bytes       int        // of the values of job records and overflow keys, at most
}

// newTransaction returns a transaction with the writer's writes of other keys than job records.
func newTransaction(w *writer) *transaction {
	return &transaction{
		node: w.node, writer: w,
		writes: slices.Clone(w.inseparableWrites), inseparable: slices.Clone(w.inseparableWrites), conditions: slices.Clone(w.conditions),
	}
}

// allConditions returns the conditions of the transaction, with those on the terms of the shards as
// whose owner this controller acts.
func (t *transaction) allConditions() []kv.Condition {
	conditions := t.conditions
	for i, shard := range t.node.shards {
		if t.writer.ownedShards[i] {
			conditions = append(conditions, kv.Condition{Key: wire.ShardKey(shard.Name), Revision: shard.Term})
		}
	}
	return conditions
}

// recordWrites are the writes that store a changed record or a part of the change.
type recordWrites struct {
	writes []kv.Write
	bytes  int // of all values, at most
	tasks  int // number of tasks whose change is included
}

// addRecord adds the writes of a job's changed record and its overflow keys: of the whole change, or
// of the largest part of it that fits. If none fits, the job is left out.
func (t *transaction) addRecord(job *job) {
	changed := t.writer.changedRecords[job.Index]
	whole := t.encode(job, changed)
	chosen := &whole
	if !t.fits(&whole) {
		chosen = t.partOf(job, changed)
		t.reportSize(job, &whole, chosen)
	}
	job.leftOut = chosen == nil
	if chosen == nil {
		t.removeGangWrites(job)
		return
	}
	t.conditions = append(t.conditions, kv.Condition{Key: wire.JobKey(job.ID), Revision: job.Revision})
	t.writes = append(t.writes, chosen.writes...)
	t.bytes += chosen.bytes
}

// partOf returns the writes of the largest part of a change that fits, or nil if none does. A record
// that the writer may move to overflow keys in several transactions is moved a step further then. No
// part of a gang's change is written, as its tasks start together.
func (t *transaction) partOf(job *job, changed *wire.Job) *recordWrites {
	if changed.Spec == nil || changed.Spec.Shape == wire.ShapeGang {
		return t.earlyOverflow(job, changed)
	}
	change := replica.NewPartialChange(job.Record, changed)
	var largest *recordWrites
	sort.Search(change.Tasks(), func(tasks int) bool {
		if tasks == 0 {
			return false
		}
		part := t.encode(job, change.Record(tasks))
		if !t.fits(&part) {
			return true
		}
		part.tasks = tasks
		largest = &part
		return false
	})
	if largest == nil {
		return t.earlyOverflow(job, change.Record(0))
	}
	return largest
}

// earlyOverflow returns the next writes of overflow keys ahead of the record that will refer to them,
// or nil if the writer may not make any or the transaction has other writes.
func (t *transaction) earlyOverflow(job *job, record *wire.Job) *recordWrites {
	if !t.writer.writeOverflowFirst || len(t.writes) > 0 {
		return nil
	}
	all := t.encode(job, record)
	early := recordWrites{writes: replica.EarlyOverflowWrites(all.writes, job.Record.OverflowKeys, t.node.cfg.MaxTransactionOps)}
	early.bytes = writesBytes(early.writes)
	if len(early.writes) == 0 {
		return nil
	}
	return &early
}

// encode returns the writes that store a changed record of a job.
func (t *transaction) encode(job *job, changed *wire.Job) recordWrites {
	record := *changed
	record.OverflowKeys = 0
	replica.CompactRecord(&record)
	stored := replica.StoredRecord{
		Tasks: job.Record.ActiveTasks, OverflowKeys: job.Record.OverflowKeys, MayBeWrittenEarly: t.writer.writeOverflowFirst,
	}
	writes := t.node.replica.SplitRecord(job.ID, stored, &record)
	writes = replica.DeferDeletions(writes, t.node.cfg.MaxTransactionOps-len(t.writes))
	bound := job.BaseBytes + replica.TaskListBytes(record.ActiveTasks, record.DoneTasks)
	if bound > t.node.replica.MaxWritableBytes() {
		bound = writesBytes(writes)
	}
	return recordWrites{writes: writes, bytes: bound}
}

// writesBytes returns the total size of the values of writes, as the state service measures it.
func writesBytes(writes []kv.Write) int {
	bytes := 0
	for _, write := range writes {
		bytes += valueBytes(write)
	}
	return bytes
}

// valueBytes returns the size of the value of a write, as the state service measures it.
func valueBytes(write kv.Write) int {
	if write.Value == nil {
		return 0
	}
	size, err := wire.JSONSize(write.Value)
	if err != nil {
		return maxTransactionBytes // it can't be written
	}
	return size
}

// fits reports whether the writes of a record fit the rest of the transaction, and its values the
// size limit of a value.
func (t *transaction) fits(record *recordWrites) bool {
	if len(t.writes)+len(record.writes) > t.node.cfg.MaxTransactionOps || t.bytes+record.bytes > maxTransactionBytes {
		return false
	}
	limit := t.node.replica.MaxWritableBytes()
	return record.bytes <= limit || !slices.ContainsFunc(record.writes, func(write kv.Write) bool { return valueBytes(write) > limit })
}

// addUnusedOverflowDeletions adds deletions of overflow keys of finished jobs, as far as the
// transaction has room for them.
func (t *transaction) addUnusedOverflowDeletions() {
	if !t.writer.deletesUnusedOverflow {
		return
	}
	for _, unused := range t.node.replica.UnusedOverflowKeys(t.node.cfg.MaxTransactionOps - len(t.writes)) {
		condition := kv.Condition{Key: wire.JobKey(unused.Job.ID), Revision: unused.Job.Revision}
		if !slices.Contains(t.conditions, condition) {
			t.conditions = append(t.conditions, condition)
		}
		t.writes = append(t.writes, kv.Write{Key: unused.Key})
	}
}

// removeGangWrites removes the writes of a job's gangs, which may only be made together with the
// change of the job's record.
func (t *transaction) removeGangWrites(job *job) {
	prefix := wire.GangPrefix + job.ID + "/"
	isOfGang := func(write kv.Write) bool { return strings.HasPrefix(write.Key, prefix) }
	t.writes = slices.DeleteFunc(t.writes, isOfGang)
	t.inseparable = slices.DeleteFunc(t.inseparable, isOfGang)
	t.conditions = slices.DeleteFunc(t.conditions, func(condition kv.Condition) bool { return strings.HasPrefix(condition.Key, prefix) })
}

// reportSize logs that the change of a job's record exceeds the transaction and which part of it is
// written, at most once per job and sizeReportInterval.
func (t *transaction) reportSize(job *job, whole, part *recordWrites) {
	n := t.node
	if n.now < job.nextSizeReportAt {
		return
	}
	job.nextSizeReportAt = n.now + sizeReportInterval
	text, tasks, writes := "change too large for a transaction, leaving it out", 0, 0
	if part != nil {
		text, tasks, writes = "change too large for a transaction, writing a part", part.tasks, len(part.writes)
	}
	n.log(LogInfo, text,
		"job", job.ID, "writes", len(whole.writes), "bytes", whole.bytes,
		"max_writes", n.cfg.MaxTransactionOps, "max_bytes", maxTransactionBytes, "max_value_bytes", n.replica.MaxWritableBytes(),
		"other_writes", len(t.writes), "other_bytes", t.bytes, "written_tasks", tasks, "written", writes)
}
