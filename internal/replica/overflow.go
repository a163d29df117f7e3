package replica

import (
	"slices"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Active tasks that don't fit into the value of a job's record are stored in overflow keys. A key
// that the record refers to changes only in transactions that also change the record. Therefore
// the record's revision covers all of the keys, and conditions, quotas and proofs work as with a
// single key.

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

// addOverflowTasks appends the tasks in the overflow keys to those in the record, and sets the
// key in which each task is stored.
func (r *Replica) addOverflowTasks(id string, record *wire.Job) {
	record.ActiveTasks = slices.Clip(record.ActiveTasks)
	for i := range record.ActiveTasks {
		record.ActiveTasks[i].StoredIn = jobKeyNumber
	}
	for number := 1; number <= record.OverflowKeys; number++ {
		for _, task := range r.overflow[id][number] {
			task.StoredIn = number + 1
			record.ActiveTasks = append(record.ActiveTasks, task)
		}
	}
}

// jobKeyNumber is the number of the key of the job's record itself, as in wire.ActiveTask.StoredIn.
// The overflow key with number n has the number n+1 here.
const jobKeyNumber = 1

// tasksInKey returns the tasks that are stored in one key.
func tasksInKey(tasks wire.ActiveTasks, key int) wire.ActiveTasks {
	var inKey wire.ActiveTasks
	for _, task := range tasks {
		if task.StoredIn == key {
			inKey = append(inKey, task)
		}
	}
	return inKey
}

// StoredRecord describes how the active tasks of a job are stored in the state service.
type StoredRecord struct {
	Tasks        wire.ActiveTasks
	OverflowKeys int
	// UnreadOverflowKeys is the number of overflow keys, from the first one on, that have not been
	// read. Tasks lacks their tasks, and SplitRecord leaves these keys unchanged.
	UnreadOverflowKeys int
	// MayBeWrittenEarly is set if overflow keys to which the record does not refer yet may have been
	// written already; see EarlyOverflowWrites.
	MayBeWrittenEarly bool
}

// recordSplit is the computation of SplitRecord.
type recordSplit struct {
	replica   *Replica
	id        string
	record    *wire.Job
	baseBytes int // of the record without its task lists
	stored    StoredRecord
	usedBytes map[int]int // bound of the size of the tasks in each key, in bytes
}

// SplitRecord distributes the active tasks of a changed record over its keys, sets StoredIn of
// each of them, and returns the writes that store the record, that of the job's own key first.
// Tasks stay in the key in which they are stored if possible, so that few keys change.
func (r *Replica) SplitRecord(id string, stored StoredRecord, record *wire.Job) []kv.Write {
	split := &recordSplit{replica: r, id: id, record: record, baseBytes: BaseBytes(record), stored: stored, usedBytes: map[int]int{}}
	tasks := record.ActiveTasks
	if !r.SupportsDependencies() || len(tasks) == 0 || stored.OverflowKeys == 0 && tasks.MaxEncodedBytes() <= split.capacity(jobKeyNumber) {
		split.moveAllToJobKey()
		jobRecord := *record
		jobRecord.OverflowKeys = stored.UnreadOverflowKeys
		writes := []kv.Write{{Key: wire.JobKey(id), Value: &jobRecord}}
		return append(writes, deleteOverflow(id, stored.UnreadOverflowKeys+1, stored.OverflowKeys)...)
	}
	if stored.UnreadOverflowKeys == 0 && tasks.MaxEncodedBytes() <= split.capacity(jobKeyNumber)*3/4 {
		split.moveAllToJobKey() // all tasks fit into the job's own key again, with a margin
	}
	split.unassignExcessTasks()
	split.assignKeys()
	return split.writes()
}

// capacity returns the largest size of the tasks in a key, in bytes.
func (s *recordSplit) capacity(key int) int {
	if key == jobKeyNumber {
		return s.replica.MaxWritableBytes() - s.baseBytes - TaskRangeBytes*len(s.record.DoneTasks)
	}
	return s.replica.cfg.MaxValueBytes - OverflowHeaderBytes
}

// moveAllToJobKey assigns all tasks to the job's own key.
func (s *recordSplit) moveAllToJobKey() {
	for i := range s.record.ActiveTasks {
		s.record.ActiveTasks[i].StoredIn = jobKeyNumber
	}
}

// unassignExcessTasks removes the last runs of tasks from each key whose tasks exceed its
// capacity, until the others fit, and sets usedBytes. assignKeys assigns the removed tasks again.
func (s *recordSplit) unassignExcessTasks() {
	for key := jobKeyNumber; key <= s.stored.OverflowKeys+1; key++ {
		kept := 0
		kept, s.usedBytes[key] = tasksInKey(s.record.ActiveTasks, key).PrefixWithin(s.capacity(key))
		s.unassignAllBut(key, kept)
	}
}

// unassignAllBut leaves the tasks of a key without one, except for the first ones.
func (s *recordSplit) unassignAllBut(key, kept int) {
	tasks := s.record.ActiveTasks
	for i := range tasks {
		if tasks[i].StoredIn != key {
			continue
		}
		if kept > 0 {
			kept--
			continue
		}
		tasks[i].StoredIn = 0
	}
}

// assignKeys assigns the runs of tasks without a key: all of them to the first key with enough
// capacity, so that few keys change, or else each run to the first key with enough capacity for it.
// It skips the overflow keys that have not been read.
func (s *recordSplit) assignKeys() {
	tasks := s.record.ActiveTasks
	unassignedBytes := 0
	for at := 0; at < len(tasks); {
		from, to := tasks.Run(at)
		if at = to; tasks[from].StoredIn == 0 {
			unassignedBytes += separateRunBytes(tasks[from].Machine)
		}
	}
	common := 0
	if unassignedBytes <= s.capacity(jobKeyNumber+1) {
		common = s.firstKeyWith(unassignedBytes)
	}
	for at := 0; at < len(tasks); {
		from, to := tasks.Run(at)
		at = to
		if tasks[from].StoredIn != 0 {
			continue
		}
		key, maxBytes := common, separateRunBytes(tasks[from].Machine)
		if key == 0 {
			key = s.firstKeyWith(maxBytes)
		}
		s.usedBytes[key] += maxBytes
		for i := from; i < to; i++ {
			tasks[i].StoredIn = key
		}
	}
}

// separateRunBytes bounds the size of a run in a group of its own.
func separateRunBytes(machine string) int {
	return wire.MaxRunBytes(machine) + wire.MaxGroupOverheadBytes
}

// firstKeyWith returns the first key whose remaining capacity is at least the given number of bytes,
// or else a new key.
func (s *recordSplit) firstKeyWith(bytes int) int {
	key := jobKeyNumber
	lastKey := s.stored.OverflowKeys + 1 + len(s.record.ActiveTasks) // enough for one new key per task
	for key < lastKey && (s.isUnread(key) || s.usedBytes[key]+bytes > s.capacity(key)) {
		key++
	}
	return key
}

// isUnread reports whether a key is one of those that StoredRecord.UnreadOverflowKeys counts.
func (s *recordSplit) isUnread(key int) bool {
	return key > jobKeyNumber && key <= s.stored.UnreadOverflowKeys+1
}

// writes returns the writes of the record and of the overflow keys that change.
func (s *recordSplit) writes() []kv.Write {
	jobRecord := *s.record
	jobRecord.OverflowKeys = s.stored.UnreadOverflowKeys
	for _, task := range s.record.ActiveTasks {
		jobRecord.OverflowKeys = max(jobRecord.OverflowKeys, task.StoredIn-1)
	}
	jobRecord.ActiveTasks = tasksInKey(s.record.ActiveTasks, jobKeyNumber)
	writes := []kv.Write{{Key: wire.JobKey(s.id), Value: &jobRecord}}
	for number := s.stored.UnreadOverflowKeys + 1; number <= jobRecord.OverflowKeys; number++ {
		if overflow := s.changedOverflow(number); overflow != nil {
			writes = append(writes, kv.Write{Key: wire.OverflowKey(s.id, number), Value: overflow})
		}
	}
	return append(writes, deleteOverflow(s.id, jobRecord.OverflowKeys+1, s.stored.OverflowKeys)...)
}

// changedOverflow returns the new value of an overflow key, or nil if it is unchanged.
func (s *recordSplit) changedOverflow(number int) *wire.Overflow {
	newTasks, storedTasks := tasksInKey(s.record.ActiveTasks, number+1), tasksInKey(s.stored.Tasks, number+1)
	switch {
	case s.stored.MayBeWrittenEarly && number > s.stored.OverflowKeys && len(newTasks) > 0 && sameTasks(newTasks, s.replica.overflow[s.id][number]):
		return nil // already written
	case len(newTasks) == 0 && len(storedTasks) > 0:
		return &wire.Overflow{} // the key stays, so that the numbers remain consecutive
	case len(newTasks) > 0 && !slices.Equal(newTasks, storedTasks):
		return &wire.Overflow{ActiveTasks: newTasks}
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
