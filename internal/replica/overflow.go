package replica

import (
	"slices"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Active tasks that don't fit into the value of a job's record are stored in overflow keys.
// These change only in transactions that also change the record, so the record's revision
// covers all of them, and conditions, quotas and proofs work as with a single key.

// PutOverflow applies an overflow key; nil deletes it. Its tasks become part of the job when
// the job's record is applied.
func (r *Replica) PutOverflow(key string, overflow *wire.Overflow) {
	id, number := wire.SplitOverflowKey(key)
	if overflow == nil {
		if delete(r.overflow[id], number); len(r.overflow[id]) == 0 {
			delete(r.overflow, id)
		}
		return
	}
	if r.overflow[id] == nil {
		r.overflow[id] = map[int]wire.ActiveTasks{}
	}
	r.overflow[id][number] = overflow.ActiveTasks
}

// assemble appends the tasks in the overflow keys to those in the record, and sets the key in
// which each task is stored.
func (r *Replica) assemble(id string, record *wire.Job) {
	record.ActiveTasks = slices.Clip(record.ActiveTasks)
	for i := range record.ActiveTasks {
		record.ActiveTasks[i].StoredIn = ownKey
	}
	for number := 1; number <= record.OverflowKeys; number++ {
		for _, task := range r.overflow[id][number] {
			task.StoredIn = number + 1
			record.ActiveTasks = append(record.ActiveTasks, task)
		}
	}
}

// ownKey is the number of the key of the job's record itself, as in wire.ActiveTask.StoredIn.
// The overflow key with number n has the number n+1 here.
const ownKey = 1

// tasksInKey returns the tasks that are stored in one key.
func tasksInKey(tasks wire.ActiveTasks, key int) wire.ActiveTasks {
	var held wire.ActiveTasks
	for _, task := range tasks {
		if task.StoredIn == key {
			held = append(held, task)
		}
	}
	return held
}

// StoredRecord describes how the active tasks of a job are stored in the state service.
type StoredRecord struct {
	Tasks        wire.ActiveTasks
	OverflowKeys int
	// UnknownKeys is the number of overflow keys, from the first one on, whose tasks are not
	// in Tasks. They are left unchanged.
	UnknownKeys int
}

// recordSplit distributes the active tasks of a changed record over its keys.
type recordSplit struct {
	replica   *Replica
	id        string
	record    *wire.Job
	baseBytes int // of the record without its task lists
	stored    StoredRecord
	cost      map[int]int // size of the tasks in each key, in bytes
}

// SplitRecord returns the writes that store a changed record, that of the job's own key
// first. Tasks stay in the key in which they are stored if possible, so that few keys change.
func (r *Replica) SplitRecord(id string, stored StoredRecord, record *wire.Job) []kv.Write {
	split := &recordSplit{replica: r, id: id, record: record, baseBytes: BaseBytes(record), stored: stored, cost: map[int]int{}}
	tasks := record.ActiveTasks
	if !r.WritesDependencies() || len(tasks) == 0 || stored.OverflowKeys == 0 && tasks.Cost() <= split.room(ownKey) {
		split.moveAll()
		own := *record
		own.OverflowKeys = stored.UnknownKeys
		writes := []kv.Write{{Key: wire.JobKey(id), Value: &own}}
		return append(writes, deleteOverflow(id, stored.UnknownKeys+1, stored.OverflowKeys)...)
	}
	if stored.UnknownKeys == 0 && tasks.Cost() <= split.room(ownKey)*3/4 {
		split.moveAll() // all tasks fit into the job's own key again, with a margin
	}
	split.evictOverfull()
	split.placeRest()
	return split.writes()
}

// room returns the size of the tasks that a key can hold, in bytes.
func (s *recordSplit) room(key int) int {
	if key == ownKey {
		return s.replica.ValueBytes() - s.baseBytes - TaskRangeBytes*len(s.record.DoneTasks)
	}
	return s.replica.cfg.MaxValueBytes - OverflowHeaderBytes
}

// moveAll assigns all tasks to the job's own key.
func (s *recordSplit) moveAll() {
	for i := range s.record.ActiveTasks {
		s.record.ActiveTasks[i].StoredIn = ownKey
	}
}

// evictOverfull removes the last runs of tasks from each key whose tasks exceed its capacity.
func (s *recordSplit) evictOverfull() {
	for key := ownKey; key <= s.stored.OverflowKeys+1; key++ {
		held := tasksInKey(s.record.ActiveTasks, key)
		for s.cost[key] = held.Cost(); s.cost[key] > s.room(key) && len(held) > 0; s.cost[key] = held.Cost() {
			from, _ := held.Run(len(held) - 1)
			s.evict(key, held[from:])
			held = held[:from]
		}
	}
}

// evict removes tasks from a key and leaves them without one.
func (s *recordSplit) evict(key int, evicted wire.ActiveTasks) {
	tasks := s.record.ActiveTasks
	for i := range tasks {
		same := func(task wire.ActiveTask) bool {
			return task.Task == tasks[i].Task && task.Attempt == tasks[i].Attempt
		}
		if tasks[i].StoredIn == key && slices.ContainsFunc(evicted, same) {
			tasks[i].StoredIn = 0
		}
	}
}

// placeRest assigns each run of tasks without a key to the first key with enough capacity.
func (s *recordSplit) placeRest() {
	tasks := s.record.ActiveTasks
	last := s.stored.OverflowKeys + 1 + len(tasks) // never reached, as the leader plans with at most OverflowKeys
	for at := 0; at < len(tasks); {
		from, to := tasks.Run(at)
		at = to
		if tasks[from].StoredIn != 0 {
			continue
		}
		cost := wire.RunCost(tasks[from].Machine) + wire.GroupCost
		key := ownKey
		for key < last && (s.isUnknown(key) || s.cost[key]+cost > s.room(key)) {
			key++
		}
		s.cost[key] += cost
		for i := from; i < to; i++ {
			tasks[i].StoredIn = key
		}
	}
}

// isUnknown reports whether a key is one of StoredRecord.UnknownKeys.
func (s *recordSplit) isUnknown(key int) bool { return key > ownKey && key <= s.stored.UnknownKeys+1 }

// writes returns the writes of the record and of the overflow keys that change.
func (s *recordSplit) writes() []kv.Write {
	own := *s.record
	own.OverflowKeys = s.stored.UnknownKeys
	for _, task := range s.record.ActiveTasks {
		own.OverflowKeys = max(own.OverflowKeys, task.StoredIn-1)
	}
	own.ActiveTasks = tasksInKey(s.record.ActiveTasks, ownKey)
	writes := []kv.Write{{Key: wire.JobKey(s.id), Value: &own}}
	for number := s.stored.UnknownKeys + 1; number <= own.OverflowKeys; number++ {
		if overflow := s.changedOverflow(number); overflow != nil {
			writes = append(writes, kv.Write{Key: wire.OverflowKey(s.id, number), Value: overflow})
		}
	}
	return append(writes, deleteOverflow(s.id, own.OverflowKeys+1, s.stored.OverflowKeys)...)
}

// changedOverflow returns the new value of an overflow key, or nil if it is unchanged.
func (s *recordSplit) changedOverflow(number int) *wire.Overflow {
	now, before := tasksInKey(s.record.ActiveTasks, number+1), tasksInKey(s.stored.Tasks, number+1)
	switch {
	case number > s.stored.OverflowKeys && len(now) > 0 && sameTasks(now, s.replica.overflow[s.id][number]):
		return nil // already written; see WritesAhead
	case len(now) == 0 && len(before) > 0:
		return &wire.Overflow{} // the key stays, so that the numbers remain consecutive
	case len(now) > 0 && !slices.Equal(now, before):
		return &wire.Overflow{ActiveTasks: now}
	}
	return nil
}

// sameTasks reports whether two lists have the same tasks, whichever keys they are stored in.
func sameTasks(a, b wire.ActiveTasks) bool {
	return slices.EqualFunc(a, b, func(x, y wire.ActiveTask) bool {
		x.StoredIn, y.StoredIn = 0, 0
		return x == y
	})
}

// WritesAhead returns at most maxWrites of the given writes, those of overflow keys that the
// stored record does not refer to yet, where namedKeys is the number of keys that it does
// refer to. Such keys can be written in earlier transactions, as they have no effect until
// the record refers to them. So a record that is too large for one transaction can be split
// over several keys without any of its tasks missing from the stored state in between.
func WritesAhead(writes []kv.Write, namedKeys, maxWrites int) []kv.Write {
	var ahead []kv.Write
	for i := len(writes) - 1; i >= 0 && len(ahead) < maxWrites; i-- {
		if _, is := writes[i].Value.(*wire.Overflow); is {
			if _, number := wire.SplitOverflowKey(writes[i].Key); number > namedKeys {
				ahead = append(ahead, writes[i])
			}
		}
	}
	return ahead
}

// deleteOverflow returns writes that delete the overflow keys with the numbers from first to
// last, inclusive.
func deleteOverflow(id string, first, last int) []kv.Write {
	var writes []kv.Write
	for number := first; number <= last; number++ {
		writes = append(writes, kv.Write{Key: wire.OverflowKey(id, number)})
	}
	return writes
}
