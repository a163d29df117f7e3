package core

import (
	"time"

	"micaport/internal/wire"
)

// What a report says of tasks, held against the records.

// active finds a placed task in our copy of the records.
func (n *Node) active(k taskKey, hostName string) *wire.Active {
	if at := n.activeAt(k, hostName); at >= 0 {
		return &n.jobs[k.job].rec.Active[at]
	}
	return nil
}

// activeAt gives a placed task's place in its record, or -1.
func (n *Node) activeAt(k taskKey, hostName string) int {
	ix := n.hostIx.Find(hostName)
	if k.job < 0 || ix < 0 {
		return -1
	}
	for i := range n.hosts[ix].on {
		if x := &n.hosts[ix].on[i]; x.taskKey == k {
			return x.at
		}
	}
	return -1
}

// sessionPause is how long a task that was lost with its machine's session
// waits for the machine to take our term. It reports again after half a second.
const sessionPause = 1200 * time.Millisecond

// termOf is the term of the part that the machine belongs to.
func (h *host) termOf(n *Node) uint64 { return n.parts[h.part].rev }

// resultPause is how long a result waits for others of the same job when puts
// are scarce: one put serves them all, and the tasks of a gang end together.
const resultPause = 500 * time.Millisecond

const causeLost = "lost"

// reconciliation compares one report with the records.
type reconciliation struct {
	n        *Node
	h        *host
	report   *wire.Report
	fresh    bool // the worker has seen our token: no earlier owner can start anything on it
	reported map[taskKey]bool
	before   map[taskKey]string // the states in the report before
	orders   []wire.Order
	ignored  bool // a start that it was told lacks
}

// reconcile compares a report with the records and gives the orders that
// bring the machine in line.
func (n *Node) reconcile(p *part, h *host, r *wire.Report) []wire.Order {
	x := &reconciliation{n: n, h: h, report: r, fresh: r.Token == p.rev, reported: make(map[taskKey]bool, len(r.Tasks)), before: h.tasks}
	h.tasks, h.lingering = make(map[taskKey]string, len(r.Tasks)), 0
	for i := range r.Tasks {
		x.present(&r.Tasks[i])
	}
	for i := range h.on {
		if on := &h.on[i]; !x.reported[on.taskKey] {
			x.missing(on)
		}
	}
	if x.ignored && n.inVain(h) {
		h.ignored++
	}
	return x.orders
}

func (x *reconciliation) order(op, task string, attempt uint64, graceS float64) {
	x.orders = append(x.orders, wire.Order{Op: op, Task: task, Attempt: attempt, GraceS: graceS})
}

// present deals with a task that the report shows.
func (x *reconciliation) present(t *wire.Task) {
	n, h := x.n, x.h
	ref, task, err := wire.SplitTask(t.Task)
	if err != nil {
		return
	}
	k := taskKey{n.refs.Find(ref), task, t.Attempt}
	x.reported[k] = true
	a := n.active(k, h.name)
	switch {
	case t.State == wire.TaskEnded:
		x.ended(t, k, a)
		return
	case a == nil:
		x.order(wire.OrderKill, t.Task, t.Attempt, 0)
		return
	}
	h.tasks[k] = t.State
	j := n.jobs[k.job]
	if x.before[k] != t.State {
		n.log(LogDebug, "task state", "job", j.ref, "class", j.rec.Spec.Class, "task", task, "attempt", t.Attempt, "host", h.name, "state", t.State)
	}
	if t.State != wire.TaskFetching {
		h.images.add(j.image)
	}
	if grace, kill := n.killGrace(h, j, a, t); kill {
		x.order(wire.OrderKill, t.Task, t.Attempt, grace)
	}
}

// ended deals with a task that the report shows as ended; a is its entry in the
// record, or nil.
func (x *reconciliation) ended(t *wire.Task, k taskKey, a *wire.Active) {
	if a != nil {
		x.n.taskEnded(x.h, k, t)
		return
	}
	if _, direct := x.h.direct[k]; direct {
		// A late copy of its start may still come. As long as the worker knows the
		// attempt that has no effect.
		x.h.lingering++
		return
	}
	// The record has let go of this attempt, so it can't be started again and may be
	// forgotten by the worker.
	x.order(wire.OrderClear, t.Task, t.Attempt, 0)
}

// missing deals with a task that a record puts on the machine and the report lacks.
func (x *reconciliation) missing(on *placed) {
	n, h := x.n, x.h
	k, j := on.taskKey, n.jobs[on.job]
	if _, known := n.results[k]; known {
		return
	}
	last, sent := h.started[k]
	// A start sent to the worker's own address may still be on its way, whatever its
	// reports say.
	viaAddr, direct := h.direct[k]
	gone := x.fresh && x.report.Seq > last && !direct
	x.ignored = x.ignored || sent && gone
	switch {
	case x.report.Session > on.session:
		n.results[k] = result{h.name, causeLost, n.now, h.termOf(n)}
	case j.rec.State != wire.Live || on.stop != wire.Keep || h.leavingAt > 0:
		if gone {
			n.results[k] = result{h.name, causeLost, n.now, h.termOf(n)}
		} else if direct && n.mayComeTooLate(j, viaAddr) {
			h.ignored, h.silenced = deafAfter, true
		} else if direct && n.now-viaAddr.at > 2*n.cfg.Lease {
			h.ignored = deafAfter // it took a start and never showed it
		}
	case gone && sent && h.ignored >= deafAfter-1:
		// It goes on reporting and does not do what it is told. The report is newer
		// than the answer that ordered the start and lacks it; from here on it is not
		// ordered again.
		n.results[k] = result{h.name, causeLost, n.now, h.termOf(n)}
	case n.holdBack(j, n.active(k, h.name)):
	default:
		x.order(wire.OrderStart, wire.TaskName(j.ref, k.task), k.attempt, 0)
		h.started[k] = x.report.Seq
	}
}

// killGrace decides whether a task on the machine has to stop, and with how
// much time to save.
func (n *Node) killGrace(h *host, j *job, a *wire.Active, t *wire.Task) (float64, bool) {
	sp := j.rec.Spec
	switch {
	case j.rec.State == wire.Withdrawn, a.Stop == wire.Abandon:
		return 0, true
	case j.rec.State != wire.Live:
		return 0, false
	case t.State == wire.TaskSaving:
		return 0, false
	case a.Stop == wire.Preempt:
		return sp.SaveS + 5, true
	case h.leavingAt == 0:
		return 0, false
	}
	left := (h.leavingAt - n.now).Seconds()
	switch {
	case sp.Shape == wire.ShapeGang && sp.Frames > 1:
		// All tasks have to be told, so the record says it.
		n.stopJobs[j.ix] = true
		return 0, false
	case sp.Shape == wire.ShapeDaemon || sp.CheckpointS == 0:
		return 0, left < 2.5*n.cfg.Report.Seconds()
	}
	return max(sp.SaveS+1, left-1), true
}

// holdBack delays the start of a gang's tasks whose machines have the image
// until those that fetch it are nearly there: a task waits for the others no
// longer than gang_wait_s, which a fetch can exceed.
func (n *Node) holdBack(j *job, a *wire.Active) bool {
	sp := j.rec.Spec
	if sp.Shape != wire.ShapeGang || sp.Frames < 2 {
		return false
	}
	// Images come at two thirds of the nominal rate at worst. A gang that is
	// surely complete in time had better start with the last of them, not
	// with the next report of a machine that was held back.
	if r := n.flavor(n.hostOf(a.Host).rig); r != nil && r.FetchGBs > 0 &&
		1.5*sp.ImageGB/r.FetchGBs < (n.cfg.GangWait-2*n.cfg.Report).Seconds() {
		return false
	}
	if !n.hostOf(a.Host).images.has(j.image) {
		return false
	}
	for i := range j.rec.Active {
		b := &j.rec.Active[i]
		if b.Attempt != a.Attempt || b.Host == "" {
			continue
		}
		hb := n.hostOf(b.Host)
		if hb.images.has(j.image) || n.parts[b.Part].rec == nil || !n.valid(n.parts[b.Part]) {
			continue
		}
		return true
	}
	return false
}
