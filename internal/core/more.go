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

// splitRecord shares the active tasks of a changed record out to its keys and gives the
// writes that follow, the record's own first. What has a place keeps it, so that
// few keys change. The first opaque further keys are left alone: their tasks are
// not in rec.
func (n *Node) splitRecord(ref string, was wire.Actives, wasMore, unknownKeys int, rec *wire.Job) []Write {
	own := *rec
	base := n.baseOf(rec)
	room := func(key int) int {
		if key == 1 {
			return n.valueBytes() - base - rangeCost*len(rec.DoneSet)
		}
		return n.cfg.ValueBytes - continuationFrame
	}
	l := rec.Active
	if !n.writesChains() || len(l) == 0 || wasMore == 0 && l.Cost() <= room(1) {
		for i := range l {
			l[i].StoredIn = 1
		}
		own.Continuations = unknownKeys
		if len(l) > 0 {
			own.Active = l
		}
		return append([]Write{{Key: wire.JobKey(ref), Value: &own}}, dropContinuations(ref, unknownKeys+1, wasMore)...)
	}
	if unknownKeys == 0 && l.Cost() <= room(1)*3/4 {
		for i := range l {
			l[i].StoredIn = 1 // it fits one key again
		}
	}
	cost := map[int]int{}
	last := wasMore + 1 + len(l) // ample: what is planned keeps to moreKeys
	for key := 1; key <= wasMore+1; key++ {
		held := tasksInKey(l, key)
		for cost[key] = held.Cost(); cost[key] > room(key) && len(held) > 0; cost[key] = held.Cost() {
			from, _ := held.Run(len(held) - 1)
			for i := range l {
				if l[i].StoredIn == key && slices.ContainsFunc(held[from:], func(a wire.Active) bool { return a.Task == l[i].Task && a.Attempt == l[i].Attempt }) {
					l[i].StoredIn = 0
				}
			}
			held = held[:from]
		}
	}
	for at := 0; at < len(l); {
		from, to := l.Run(at)
		at = to
		if l[from].StoredIn != 0 {
			continue
		}
		need := wire.RunCost(l[from].Host) + wire.ListCost
		key := 1
		for key < last && (key > 1 && key <= unknownKeys+1 || cost[key]+need > room(key)) {
			key++
		}
		cost[key] += need
		for i := from; i < to; i++ {
			l[i].StoredIn = key
		}
	}
	own.Continuations = unknownKeys
	for _, a := range l {
		own.Continuations = max(own.Continuations, a.StoredIn-1)
	}
	own.Active = tasksInKey(l, 1)
	out := []Write{{Key: wire.JobKey(ref), Value: &own}}
	for k := unknownKeys + 1; k <= own.Continuations; k++ {
		now := tasksInKey(l, k+1)
		if k > wasMore && len(now) > 0 && sameTasks(now, n.continuations[ref][k]) {
			continue // written ahead
		}
		if len(now) == 0 {
			if len(tasksInKey(was, k+1)) > 0 { // a hole: an empty value keeps the count simple
				out = append(out, Write{Key: wire.ContinuationKey(ref, k), Value: &wire.Continuation{}})
			}
			continue
		}
		if !slices.Equal(now, tasksInKey(was, k+1)) {
			out = append(out, Write{Key: wire.ContinuationKey(ref, k), Value: &wire.Continuation{Active: now}})
		}
	}
	return append(out, dropContinuations(ref, own.Continuations+1, wasMore)...)
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
