package core

import (
	"slices"

	"micaport/internal/wire"
)

// Where values are small a record's active tasks go on in further keys, which are
// only ever changed together with the record itself: its revision stands for all,
// so conditions, quota and proofs are the same as with one key.

// enoughBytes is what the lists of a job may take in all. A further key costs a put
// for each change, so there are no more than make this much; it is what one value
// holds at sites whose arrays have up to a hundred tasks.
const enoughBytes = 8 << 10

// continuationKeys is how many further keys the leader plans with. A grant changes the
// record, the key of a gang perhaps, and these.
func (n *Node) continuationKeys() int {
	if !n.writesChains() {
		return 0
	}
	return max(0, min(enoughBytes/n.cfg.ValueBytes-1, n.cfg.TxnOps-2))
}

// continuationFrame bounds what a further key's value takes besides its lists.
const continuationFrame = 16

// valueBytes is what a value may take now. While controllers of the earlier version
// are about, their records may be as large as the present limit allows, and are
// to be written all the same.
func (n *Node) valueBytes() int {
	if !n.writesChains() {
		return max(n.cfg.ValueBytes, n.cfg.ValueNow)
	}
	return n.cfg.ValueBytes
}

// putContinuation keeps the further active tasks of a job until its record is taken in.
func (n *Node) putContinuation(key string, m *wire.Continuation) {
	ref, k := wire.SplitContinuation(key)
	if m == nil {
		if delete(n.continuations[ref], k); len(n.continuations[ref]) == 0 {
			delete(n.continuations, ref)
		}
		return
	}
	if n.continuations[ref] == nil {
		n.continuations[ref] = map[int]wire.Actives{}
	}
	n.continuations[ref][k] = m.Active
}

// assemble puts a record together from its keys.
func (n *Node) assemble(ref string, rec *wire.Job) {
	rec.Active = slices.Clip(rec.Active)
	for i := range rec.Active {
		rec.Active[i].StoredIn = 1
	}
	for k := 1; k <= rec.Continuations; k++ {
		for _, a := range n.continuations[ref][k] {
			a.StoredIn = k + 1
			rec.Active = append(rec.Active, a)
		}
	}
}

// tasksInKey lists the tasks that one key holds.
func tasksInKey(l wire.Actives, key int) wire.Actives {
	var out wire.Actives
	for _, a := range l {
		if a.StoredIn == key {
			out = append(out, a)
		}
	}
	return out
}

// recordSplit shares the active tasks of a changed record out to its keys.
type recordSplit struct {
	n       *Node
	ref     string
	rec     *wire.Job
	base    int          // bytes of the record without its lists
	was     wire.Actives // the tasks as they stand in the keys now
	wasKeys int          // the further keys that there are now
	// The first further keys that are left alone: their tasks are not in rec.
	unknownKeys int
	cost        map[int]int // bytes of the tasks in each key
}

// splitRecord gives the writes that follow from a changed record, its own first. What
// has a place keeps it, so that few keys change.
func (n *Node) splitRecord(ref string, was wire.Actives, wasKeys, unknownKeys int, rec *wire.Job) []Write {
	x := &recordSplit{n: n, ref: ref, rec: rec, base: n.baseOf(rec), was: was, wasKeys: wasKeys, unknownKeys: unknownKeys, cost: map[int]int{}}
	tasks := rec.Active
	if !n.writesChains() || len(tasks) == 0 || wasKeys == 0 && tasks.Cost() <= x.room(ownKey) {
		x.moveAll()
		own := *rec
		own.Continuations = unknownKeys
		return append([]Write{{Key: wire.JobKey(ref), Value: &own}}, dropContinuations(ref, unknownKeys+1, wasKeys)...)
	}
	if unknownKeys == 0 && tasks.Cost() <= x.room(ownKey)*3/4 {
		x.moveAll() // it fits one key again
	}
	x.evictOverfull()
	x.placeRest()
	return x.writes()
}

// ownKey is the place of tasks that stand in the record itself; the further keys are
// counted from the next number on.
const ownKey = 1

// room is how many bytes of tasks a key holds.
func (x *recordSplit) room(key int) int {
	if key == ownKey {
		return x.n.valueBytes() - x.base - rangeCost*len(x.rec.DoneSet)
	}
	return x.n.cfg.ValueBytes - continuationFrame
}

// moveAll puts all tasks into the record itself.
func (x *recordSplit) moveAll() {
	for i := range x.rec.Active {
		x.rec.Active[i].StoredIn = ownKey
	}
}

// evictOverfull takes the last runs of tasks out of keys that can't hold them any more.
func (x *recordSplit) evictOverfull() {
	tasks := x.rec.Active
	for key := ownKey; key <= x.wasKeys+1; key++ {
		held := tasksInKey(tasks, key)
		for x.cost[key] = held.Cost(); x.cost[key] > x.room(key) && len(held) > 0; x.cost[key] = held.Cost() {
			from, _ := held.Run(len(held) - 1)
			for i := range tasks {
				if tasks[i].StoredIn == key && slices.ContainsFunc(held[from:], func(a wire.Active) bool { return a.Task == tasks[i].Task && a.Attempt == tasks[i].Attempt }) {
					tasks[i].StoredIn = 0
				}
			}
			held = held[:from]
		}
	}
}

// placeRest puts tasks without a place into the first key with room.
func (x *recordSplit) placeRest() {
	tasks := x.rec.Active
	last := x.wasKeys + 1 + len(tasks) // ample: what is planned keeps to continuationKeys
	for at := 0; at < len(tasks); {
		from, to := tasks.Run(at)
		at = to
		if tasks[from].StoredIn != 0 {
			continue
		}
		need := wire.RunCost(tasks[from].Host) + wire.ListCost
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

// writes gives the record and the further keys that change.
func (x *recordSplit) writes() []Write {
	own := *x.rec
	own.Continuations = x.unknownKeys
	for _, a := range x.rec.Active {
		own.Continuations = max(own.Continuations, a.StoredIn-1)
	}
	own.Active = tasksInKey(x.rec.Active, ownKey)
	out := []Write{{Key: wire.JobKey(x.ref), Value: &own}}
	for k := x.unknownKeys + 1; k <= own.Continuations; k++ {
		now, before := tasksInKey(x.rec.Active, k+1), tasksInKey(x.was, k+1)
		var value *wire.Continuation
		switch {
		case k > x.wasKeys && len(now) > 0 && sameTasks(now, x.n.continuations[x.ref][k]):
			// Written ahead.
		case len(now) == 0 && len(before) > 0:
			value = &wire.Continuation{} // a hole: an empty value keeps the count simple
		case len(now) > 0 && !slices.Equal(now, before):
			value = &wire.Continuation{Active: now}
		}
		if value != nil {
			out = append(out, Write{Key: wire.ContinuationKey(x.ref, k), Value: value})
		}
	}
	return append(out, dropContinuations(x.ref, own.Continuations+1, x.wasKeys)...)
}

// sameTasks compares what a key is to hold with what it holds.
func sameTasks(a, b wire.Actives) bool {
	return slices.EqualFunc(a, b, func(x, y wire.Active) bool {
		x.StoredIn, y.StoredIn = 0, 0
		return x == y
	})
}

// writesAhead gives the writes of further keys that the record does not name yet, as
// many as one transaction takes. Nobody minds them until it does, which the last of
// the transactions brings; a record far too large for one so gets within the limits
// without any task being out of it in between.
func writesAhead(changed []Write, named, most int) []Write {
	var out []Write
	for i := len(changed) - 1; i >= 0 && len(out) < most; i-- {
		if _, is := changed[i].Value.(*wire.Continuation); is {
			if _, k := wire.SplitContinuation(changed[i].Key); k > named {
				out = append(out, changed[i])
			}
		}
	}
	return out
}

func dropContinuations(ref string, from, to int) []Write {
	var out []Write
	for k := from; k <= to; k++ {
		out = append(out, Write{Key: wire.ContinuationKey(ref, k)})
	}
	return out
}

// baseOf bounds what a record takes without its lists, in the form in which values
// are measured.
func (n *Node) baseOf(rec *wire.Job) int {
	bare := wire.Job{Spec: rec.Spec, State: rec.State, Frames: rec.Frames, At: rec.At, Next: rec.Next + 1000, Errors: rec.Errors + 100, Avoid: rec.Avoid, Continuations: 10,
		NeedsList: rec.NeedsList, NeedsKeys: rec.NeedsKeys}
	size, err := wire.JSONSize(&bare)
	if err != nil {
		return 2000
	}
	return size + baseSlack
}

// baseSlack is for what a record gains while it lives: names of lists, and of a few
// machines on which it failed.
const baseSlack = 120

// measure works out how large a job's record is without its lists, and with it
// whether the job is bulk.
func (n *Node) measure(j *job) {
	j.base = n.baseOf(j.rec)
	j.bulk = j.rec.Spec.Shape == wire.ShapeArray && j.rec.Spec.Frames > n.activeLimit()
	j.pendKnown = false
}

// shrinkRecords rewrites what the earlier version has left larger than the limits
// that are to come, while it still can be written at all.
func (n *Node) shrinkRecords(w *writer) {
	if !n.writesChains() || n.shrunk {
		return
	}
	n.shrunk = true
	for _, jx := range n.live {
		j := n.jobs[jx]
		if j.rec.Spec == nil || j.rec.Continuations > 0 || j.base+recordCost(j.rec.Active, j.rec.DoneSet) <= n.cfg.ValueBytes {
			continue
		}
		n.shrunk = false
		w.ahead = true
		if w.job(j) == nil {
			return
		}
	}
}
