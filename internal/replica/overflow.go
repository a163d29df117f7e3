package replica

import (
	"slices"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Where values are small a record's active tasks go on in overflow keys, which are only
// ever changed together with the record itself: its revision stands for all, so that
// conditions, quotas and proofs are the same as with one key.

// PutOverflow applies an overflow key; nil deletes it. It counts once the record of its
// job is applied.
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

// assemble appends the tasks in overflow keys to those in the record.
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

// ownKey is the place of tasks that stand in the record itself; the overflow keys are
// counted from the next number on.
const ownKey = 1

// tasksInKey lists the tasks that one key holds.
func tasksInKey(tasks wire.ActiveTasks, key int) wire.ActiveTasks {
	var held wire.ActiveTasks
	for _, task := range tasks {
		if task.StoredIn == key {
			held = append(held, task)
		}
	}
	return held
}

// StoredRecord is what the state service holds of a job: the active tasks by key.
type StoredRecord struct {
	Tasks        wire.ActiveTasks
	OverflowKeys int
	// UnknownKeys are the first overflow keys whose tasks are not in Tasks; they are left
	// alone.
	UnknownKeys int
}

// recordSplit distributes the active tasks of a changed record over its keys.
type recordSplit struct {
	replica   *Replica
	id        string
	record    *wire.Job
	baseBytes int // of the record without its task lists
	stored    StoredRecord
	cost      map[int]int // bytes of the tasks in each key
}

// SplitRecord gives the writes that follow from a changed record, its own first. Tasks
// that have a place keep it, so that few keys change.
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
		split.moveAll() // it fits one key again
	}
	split.evictOverfull()
	split.placeRest()
	return split.writes()
}

// room is how many bytes of tasks a key holds.
func (s *recordSplit) room(key int) int {
	if key == ownKey {
		return s.replica.ValueBytes() - s.baseBytes - TaskRangeBytes*len(s.record.DoneTasks)
	}
	return s.replica.cfg.MaxValueBytes - OverflowHeaderBytes
}

// moveAll puts all tasks into the record itself.
func (s *recordSplit) moveAll() {
	for i := range s.record.ActiveTasks {
		s.record.ActiveTasks[i].StoredIn = ownKey
	}
}

// evictOverfull takes the last runs of tasks out of keys that can't hold them any more.
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

// evict takes tasks out of a key.
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

// placeRest puts tasks without a place into the first key with room.
func (s *recordSplit) placeRest() {
	tasks := s.record.ActiveTasks
	last := s.stored.OverflowKeys + 1 + len(tasks) // ample: what is planned keeps to OverflowKeys
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

func (s *recordSplit) isUnknown(key int) bool { return key > ownKey && key <= s.stored.UnknownKeys+1 }

// writes gives the record and the overflow keys that change.
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

// changedOverflow is the new value of an overflow key, or nil if it stays as it is.
func (s *recordSplit) changedOverflow(number int) *wire.Overflow {
	now, before := tasksInKey(s.record.ActiveTasks, number+1), tasksInKey(s.stored.Tasks, number+1)
	switch {
	case number > s.stored.OverflowKeys && len(now) > 0 && sameTasks(now, s.replica.overflow[s.id][number]):
		return nil // written ahead of the record
	case len(now) == 0 && len(before) > 0:
		return &wire.Overflow{} // an empty value keeps the numbering
	case len(now) > 0 && !slices.Equal(now, before):
		return &wire.Overflow{ActiveTasks: now}
	}
	return nil
}

// sameTasks compares tasks, wherever they are stored.
func sameTasks(a, b wire.ActiveTasks) bool {
	return slices.EqualFunc(a, b, func(x, y wire.ActiveTask) bool {
		x.StoredIn, y.StoredIn = 0, 0
		return x == y
	})
}

// WritesAhead selects the writes of overflow keys that the record does not name yet, as
// many as one transaction takes. They have no effect until the record names them, which
// the last of the transactions brings; so a record far too large for one transaction gets
// within the limits without any task being out of it in between.
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

// deleteOverflow deletes the overflow keys with the numbers from first to last.
func deleteOverflow(id string, first, last int) []kv.Write {
	var writes []kv.Write
	for number := first; number <= last; number++ {
		writes = append(writes, kv.Write{Key: wire.OverflowKey(id, number)})
	}
	return writes
}
