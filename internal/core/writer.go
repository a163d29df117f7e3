package core

import "micaport/internal/wire"

// writer gathers changed records for one commit.
type writer struct {
	n     *Node
	recs  map[int]*wire.Job
	order []int
	parts map[int]bool
	extra []Write
	conds []Cond
	bytes int
	limit int // puts
	ended map[taskKey]bool
	ahead bool           // further keys may be written before the record names them
	tries map[int]uint64 // the attempt number of what is granted or placed anew here, by job
}

func newWriter(n *Node) *writer {
	limit := min(n.cfg.TxnOps-1, n.cfg.BatchPuts, n.availableWrites())
	return &writer{n: n, recs: map[int]*wire.Job{}, parts: map[int]bool{}, ended: map[taskKey]bool{}, tries: map[int]uint64{}, limit: limit}
}

// maxTransactionBytes is what we put into one transaction, well below the service's
// 64 KiB, as sizes are estimates.
const maxTransactionBytes = 48_000

// job gives a copy of the record to change, or nil when the commit is full.
func (w *writer) job(j *job) *wire.Job {
	if r := w.recs[j.ix]; r != nil {
		return r
	}
	size := max(900, j.base) + recordCost(j.rec.Active, j.rec.DoneSet)
	if len(w.order)+len(w.extra) >= w.limit || w.bytes+size > maxTransactionBytes {
		return nil
	}
	w.bytes += size
	w.recs[j.ix] = clone(j.rec)
	w.order = append(w.order, j.ix)
	return w.recs[j.ix]
}

// attempt gives the number for what this commit starts of a job: one for all of
// its tasks, since a task is started once in a commit and the next commit takes
// the next number. Tasks that begin together are so told in one run.
func (w *writer) attempt(j *job, rec *wire.Job) uint64 {
	if _, taken := w.tries[j.ix]; !taken {
		w.tries[j.ix] = rec.Next
		rec.Next++
	}
	return w.tries[j.ix]
}

// also adds a write of another key under a condition.
func (w *writer) also(wr Write, c Cond) bool {
	if len(w.order)+len(w.extra) >= w.n.cfg.TxnOps {
		return false
	}
	w.extra = append(w.extra, wr)
	w.conds = append(w.conds, c)
	return true
}

// send commits the changes, each conditional on its record's revision, and
// all on the terms of the parts they speak for.
func (w *writer) send(b *batch, onOK func()) {
	if len(w.order)+len(w.extra) == 0 {
		return
	}
	conds := w.conds
	for i, p := range w.n.parts {
		if w.parts[i] {
			conds = append(conds, Cond{wire.PartKey(p.name), p.rev})
		}
	}
	writes := w.extra
	for _, jx := range w.order {
		j, rec := w.n.jobs[jx], w.recs[jx]
		rec.Continuations = 0
		tidy(rec)
		changed := w.n.splitRecord(j.ref, j.rec.Active, j.rec.Continuations, 0, rec)
		if len(changed) > w.n.cfg.TxnOps && w.ahead && len(writes) == 0 {
			changed = writesAhead(changed, j.rec.Continuations, w.n.cfg.TxnOps)
		}
		if len(writes)+len(changed) > w.n.cfg.TxnOps {
			continue // it is decided again
		}
		conds = append(conds, Cond{wire.JobKey(j.ref), j.rev})
		writes = append(writes, changed...)
	}
	if len(writes) == 0 {
		return
	}
	b.start(w.n, conds, writes, w.extra, onOK)
}
