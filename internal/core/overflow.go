package core

import (
	"slices"

	"micaport/internal/wire"
)

// Where values are small a record's active tasks go on in overflow keys, which are
// only ever changed together with the record itself: its revision stands for all,
// so conditions, quota and proofs are the same as with one key.

// maxListBytes is what the lists of a job may take in all. A overflow key costs a put
// for each change, so there are no more than make this much; it is what one value
// holds at sites whose arrays have up to a hundred tasks.
const maxListBytes = 8 << 10

// overflowKeys is how many overflow keys the leader plans with. A grant changes the
// record, the key of a gang perhaps, and these.
func (n *Node) overflowKeys() int {
	if !n.writesDependencies() {
		return 0
	}
	return max(0, min(maxListBytes/n.cfg.MaxValueBytes-1, n.cfg.MaxTransactionOps-2))
}

// overflowFrameBytes bounds what a overflow key's value takes besides its lists.
const overflowFrameBytes = 16

// valueBytes is what a value may take now. While controllers of the earlier version
// are about, their records may be as large as the present limit allows, and are
// to be written all the same.
func (n *Node) valueBytes() int {
	if !n.writesDependencies() {
		return max(n.cfg.MaxValueBytes, n.cfg.CurrentValueBytes)
	}
	return n.cfg.MaxValueBytes
}

// putOverflow keeps the overflow tasks of a job until its record is taken in.
func (n *Node) putOverflow(key string, m *wire.Overflow) {
	ref, k := wire.SplitOverflowKey(key)
	if m == nil {
		if delete(n.overflow[ref], k); len(n.overflow[ref]) == 0 {
			delete(n.overflow, ref)
		}
		return
	}
	if n.overflow[ref] == nil {
		n.overflow[ref] = map[int]wire.ActiveTasks{}
	}
	n.overflow[ref][k] = m.ActiveTasks
}

// assemble puts a record together from its keys.
func (n *Node) assemble(ref string, rec *wire.Job) {
	rec.ActiveTasks = slices.Clip(rec.ActiveTasks)
	for i := range rec.ActiveTasks {
		rec.ActiveTasks[i].StoredIn = 1
	}
	for k := 1; k <= rec.OverflowKeys; k++ {
		for _, a := range n.overflow[ref][k] {
			a.StoredIn = k + 1
			rec.ActiveTasks = append(rec.ActiveTasks, a)
		}
	}
}

// tasksInKey lists the tasks that one key holds.
func tasksInKey(l wire.ActiveTasks, key int) wire.ActiveTasks {
	var out wire.ActiveTasks
	for _, a := range l {
		if a.StoredIn == key {
			out = append(out, a)
		}
	}
	return out
}

// recordSplit shares the active tasks of a changed record out to its keys.
type recordSplit struct {
	node      *Node
	jobID     string
	record    *wire.Job
	baseBytes int              // bytes of the record without its lists
	was       wire.ActiveTasks // the tasks as they stand in the keys now
	wasKeys   int              // the overflow keys that there are now
	// The first overflow keys that are left alone: their tasks are not in rec.
	unknownKeys int
	cost        map[int]int // bytes of the tasks in each key
}

// splitRecord gives the writes that follow from a changed record, its own first. What
// has a place keeps it, so that few keys change.
func (n *Node) splitRecord(ref string, was wire.ActiveTasks, wasKeys, unknownKeys int, rec *wire.Job) []Write {
	x := &recordSplit{node: n, jobID: ref, record: rec, baseBytes: n.recordBaseBytes(rec), was: was, wasKeys: wasKeys, unknownKeys: unknownKeys, cost: map[int]int{}}
	tasks := rec.ActiveTasks
	if !n.writesDependencies() || len(tasks) == 0 || wasKeys == 0 && tasks.Cost() <= x.room(ownKey) {
		x.moveAll()
		own := *rec
		own.OverflowKeys = unknownKeys
		return append([]Write{{Key: wire.JobKey(ref), Value: &own}}, dropOverflow(ref, unknownKeys+1, wasKeys)...)
	}
	if unknownKeys == 0 && tasks.Cost() <= x.room(ownKey)*3/4 {
		x.moveAll() // it fits one key again
	}
	x.evictOverfull()
	x.placeRest()
	return x.writes()
}

// ownKey is the place of tasks that stand in the record itself; the overflow keys are
// counted from the next number on.
const ownKey = 1

// room is how many bytes of tasks a key holds.
func (x *recordSplit) room(key int) int {
	if key == ownKey {
		return x.node.valueBytes() - x.baseBytes - taskRangeBytes*len(x.record.DoneTasks)
	}
	return x.node.cfg.MaxValueBytes - overflowFrameBytes
}

// moveAll puts all tasks into the record itself.
func (x *recordSplit) moveAll() {
	for i := range x.record.ActiveTasks {
		x.record.ActiveTasks[i].StoredIn = ownKey
	}
}

// evictOverfull takes the last runs of tasks out of keys that can't hold them any more.
func (x *recordSplit) evictOverfull() {
	tasks := x.record.ActiveTasks
	for key := ownKey; key <= x.wasKeys+1; key++ {
		held := tasksInKey(tasks, key)
		for x.cost[key] = held.Cost(); x.cost[key] > x.room(key) && len(held) > 0; x.cost[key] = held.Cost() {
			from, _ := held.Run(len(held) - 1)
			for i := range tasks {
				if tasks[i].StoredIn == key && slices.ContainsFunc(held[from:], func(a wire.ActiveTask) bool { return a.Task == tasks[i].Task && a.Attempt == tasks[i].Attempt }) {
					tasks[i].StoredIn = 0
				}
			}
			held = held[:from]
		}
	}
}

// placeRest puts tasks without a place into the first key with room.
func (x *recordSplit) placeRest() {
	tasks := x.record.ActiveTasks
	last := x.wasKeys + 1 + len(tasks) // ample: what is planned keeps to overflowKeys
	for at := 0; at < len(tasks); {
		from, to := tasks.Run(at)
		at = to
		if tasks[from].StoredIn != 0 {
			continue
		}
		need := wire.RunCost(tasks[from].Machine) + wire.GroupCost
		key := ownKey
		for key < last && (x.isUnknown(key) || x.cost[key]+need > x.room(key)) {
			key++
		}
		x.cost[key] += need
		for i := from; i < to; i++ {
			tasks[i].StoredIn = key
		}
	}
}

func (x *recordSplit) isUnknown(key int) bool { return key > ownKey && key <= x.unknownKeys+1 }

// writes gives the record and the overflow keys that change.
func (x *recordSplit) writes() []Write {
	own := *x.record
	own.OverflowKeys = x.unknownKeys
	for _, a := range x.record.ActiveTasks {
		own.OverflowKeys = max(own.OverflowKeys, a.StoredIn-1)
	}
	own.ActiveTasks = tasksInKey(x.record.ActiveTasks, ownKey)
	out := []Write{{Key: wire.JobKey(x.jobID), Value: &own}}
	for k := x.unknownKeys + 1; k <= own.OverflowKeys; k++ {
		now, before := tasksInKey(x.record.ActiveTasks, k+1), tasksInKey(x.was, k+1)
		var value *wire.Overflow
		switch {
		case k > x.wasKeys && len(now) > 0 && sameTasks(now, x.node.overflow[x.jobID][k]):
			// Written ahead.
		case len(now) == 0 && len(before) > 0:
			value = &wire.Overflow{} // a hole: an empty value keeps the count simple
		case len(now) > 0 && !slices.Equal(now, before):
			value = &wire.Overflow{ActiveTasks: now}
		}
		if value != nil {
			out = append(out, Write{Key: wire.OverflowKey(x.jobID, k), Value: value})
		}
	}
	return append(out, dropOverflow(x.jobID, own.OverflowKeys+1, x.wasKeys)...)
}

// sameTasks compares what a key is to hold with what it holds.
func sameTasks(a, b wire.ActiveTasks) bool {
	return slices.EqualFunc(a, b, func(x, y wire.ActiveTask) bool {
		x.StoredIn, y.StoredIn = 0, 0
		return x == y
	})
}

// writesAhead gives the writes of overflow keys that the record does not name yet, as
// many as one transaction takes. Nobody minds them until it does, which the last of
// the transactions brings; a record far too large for one so gets within the limits
// without any task being out of it in between.
func writesAhead(changed []Write, named, most int) []Write {
	var out []Write
	for i := len(changed) - 1; i >= 0 && len(out) < most; i-- {
		if _, is := changed[i].Value.(*wire.Overflow); is {
			if _, k := wire.SplitOverflowKey(changed[i].Key); k > named {
				out = append(out, changed[i])
			}
		}
	}
	return out
}

func dropOverflow(ref string, from, to int) []Write {
	var out []Write
	for k := from; k <= to; k++ {
		out = append(out, Write{Key: wire.OverflowKey(ref, k)})
	}
	return out
}

// recordBaseBytes bounds what a record takes without its lists, in the form in which values
// are measured.
func (n *Node) recordBaseBytes(rec *wire.Job) int {
	bare := wire.Job{Spec: rec.Spec, State: rec.State, TaskCount: rec.TaskCount, AcceptedAtMS: rec.AcceptedAtMS, NextAttempt: rec.NextAttempt + 1000, ConsecutiveErrors: rec.ConsecutiveErrors + 100, FailedMachines: rec.FailedMachines, OverflowKeys: 10,
		DependencyList: rec.DependencyList, DependencyListKeys: rec.DependencyListKeys}
	size, err := wire.JSONSize(&bare)
	if err != nil {
		return 2000
	}
	return size + recordSlackBytes
}

// recordSlackBytes is for what a record gains while it lives: names of lists, and of a few
// machines on which it failed.
const recordSlackBytes = 120

// measureRecord works out how large a job's record is without its lists, and with it
// whether the job is a large array.
func (n *Node) measureRecord(j *job) {
	j.baseBytes = n.recordBaseBytes(j.record)
	j.largeArray = j.record.Spec.Shape == wire.ShapeArray && j.record.Spec.TaskCount > n.maxSingleTasks()
	j.pendingKnown = false
}

// shrinkRecords rewrites what the earlier version has left larger than the limits
// that are to come, while it still can be written at all.
func (n *Node) shrinkRecords(w *writer) {
	if !n.writesDependencies() || n.recordsFit {
		return
	}
	n.recordsFit = true
	for _, jx := range n.live {
		j := n.jobs[jx]
		if j.record.Spec == nil || j.record.OverflowKeys > 0 || j.baseBytes+taskListBytes(j.record.ActiveTasks, j.record.DoneTasks) <= n.cfg.MaxValueBytes {
			continue
		}
		n.recordsFit = false
		w.writeOverflowFirst = true
		if w.job(j) == nil {
			return
		}
	}
}
