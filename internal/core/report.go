package core

import (
	"slices"
	"time"

	"micaport/internal/wire"
)

// report answers a worker.
func (n *Node) report(in Reported) {
	r := in.Report
	pi := n.partOf(n.zones.Find(r.Zone), r.Host)
	if pi < 0 || r.Host == "" {
		n.emit(Reply{Req: in.Req, Status: 503, Body: wire.Error{Error: "unknown zone"}})
		return
	}
	p := n.parts[pi]
	h := n.hostOf(r.Host)
	if h.returned {
		// The cloud has confirmed it gone: a late copy.
		n.emit(Reply{Req: in.Req, Status: 503, Body: wire.Error{Error: "returned"}})
		return
	}
	n.setPart(h, pi)
	h.rig, h.spot, h.addr = n.rigs.Of(r.Rig), r.Spot, r.Addr
	if !n.loaded || !n.valid(p) || r.Token > p.rev {
		n.redirect(in.Req, p, h, h.isStrayCopy(r))
		return
	}
	if h.session > r.Session || h.session == r.Session && h.seq >= r.Seq {
		// A late copy; its worker has long given it up.
		n.emit(Reply{Req: in.Req, Status: 503, Body: wire.Error{Error: "late report"}})
		return
	}
	n.noteTerm(p, h, r)
	n.noteSession(h, r)
	n.noteToken(p, h, r)
	consecutive := h.session == r.Session && r.Seq == h.seq+1
	n.noteHeard(h, r)
	n.ownerAt = 0
	was := h.ignored
	orders := n.reconcile(p, h, r)
	if h.silenced {
		n.emit(Reply{Req: in.Req, Status: 503, Body: wire.Error{Error: "a start is not accounted for"}})
		return
	}
	if consecutive && h.ignored == was && len(n.cfg.Members) > 1 && h.token {
		h.ignored = 0 // it has stayed with us, so it heard our last answer
	}
	n.noteDeafness(p, h, was)
	if pause := n.worthWaiting(h, r, orders); pause > 0 {
		n.held = append(n.held, heldReport{Reported: in, part: p, host: h, term: p.rev, until: n.now + pause})
		h.held++
		return
	}
	n.answerWorker(in.Req, p, h, orders)
}

// isStrayCopy tells whether a report that came to another than the owner is a copy of
// what came before, which tells nothing of where the machine is now.
func (h *host) isStrayCopy(r *wire.Report) bool {
	if h.strayShift > r.Session || h.strayShift == r.Session && h.strayTick >= r.Seq {
		return true
	}
	h.strayShift, h.strayTick = r.Session, r.Seq
	return false
}

// noteTerm begins anew with a machine that is heard for the first time in our term.
func (n *Node) noteTerm(p *part, h *host, r *wire.Report) {
	firstReports := r.Session == 1 && r.Seq <= 2
	if h.term == p.rev {
		h.newborn = h.newborn && firstReports
		return
	}
	h.term, h.answered, h.reports, h.token, h.ignored, h.deaf = p.rev, 0, 0, false, 0, false
	h.silenced = false
	h.started, h.direct = map[taskKey]uint64{}, map[taskKey]directStart{}
	// The first report of a machine's life, of which nobody has heard: it can't know
	// any term yet.
	h.newborn = firstReports && r.Token == 0 && !h.info.known && len(h.on) == 0
	n.ownInfoAt = 0
}

// noteSession forgets what was sent to a machine in its last session.
func (n *Node) noteSession(h *host, r *wire.Report) {
	if h.session == r.Session {
		return
	}
	// Its lease ran out although we answered it a short while ago: our answers don't
	// reach it. Only reports that show our term tell so: what was held back in a cut
	// arrives together with the next session.
	if h.token && h.reports > 1 && h.answered > 0 && n.now-h.answered < n.cfg.Lease*3/4 {
		h.ignored = deafAfter
	}
	clear(h.started)
	clear(h.direct)
	h.silenced = false
}

// noteToken notes whether a machine has taken our term, and counts answers after which
// it still has not.
func (n *Node) noteToken(p *part, h *host, r *wire.Report) {
	if h.token != (r.Token == p.rev) {
		h.token, h.ignored = r.Token == p.rev, 0
		n.ownInfoAt = 0
	} else if h.reports > 0 && !h.token && n.inVain(h) {
		h.ignored++
	}
}

// noteHeard notes when and what a machine has reported.
func (n *Node) noteHeard(h *host, r *wire.Report) {
	h.session, h.seq, h.heard = r.Session, r.Seq, n.now
	h.bounceAt, h.redirectAt = 0, 0
	h.reports++
	h.leavingAt = 0
	if r.RecallS != nil {
		h.leavingAt = n.now + Time(*r.RecallS*float64(second))
	}
}

// noteDeafness tells the peers when a machine does not hear us, or may not.
func (n *Node) noteDeafness(p *part, h *host, ignoredBefore int) {
	deaf := h.ignored >= deafAfter && !n.manyDeaf(p)
	if deaf == h.deaf && h.ignored == ignoredBefore {
		return
	}
	if deaf && !h.deaf {
		n.log(LogInfo, "machine does not hear us", "host", h.name)
	}
	h.deaf, n.ownInfoAt = deaf, 0
}

// inVain tells whether a machine may have waited in vain for our last answer:
// it would have done so for 4 s. What comes sooner was on its way before, as
// everything that a cut has held back.
func (n *Node) inVain(h *host) bool { return h.answered > 0 && n.now-h.answered > 3*second }

// deafAfter is how many answers in a row may be without effect before a
// machine counts as deaf. One or two are lost now and then.
const deafAfter = 3

// manyDeaf tells whether so many machines seem deaf that the fault is rather
// ours: answers that come too late are dropped as well.
func (n *Node) manyDeaf(p *part) bool {
	all, deaf := 0, 0
	for _, h := range p.hosts {
		if h.term == p.rev && !h.returned {
			all++
			if h.ignored >= deafAfter-1 {
				deaf++
			}
		}
	}
	return deaf > max(1, all/4)
}

func (n *Node) answerWorker(req uint64, p *part, h *host, orders []wire.Order) {
	h.answered = n.now
	n.emit(Reply{Req: req, Status: 200, Body: wire.ReportReply{Token: p.rev, Orders: orders}})
}

// answerPause is how long an answer may wait for the records to be written
// that follow from the report. The worker's next report is seconds away, so
// orders that miss this answer leave the machine idle for as long.
const answerPause = 600 * time.Millisecond

// idlePause is how long the answer to a machine without tasks waits for
// something to start. The worker would wait 4 s; it has nothing else to tell,
// and a start that comes meanwhile reaches it at once instead of with its next
// report.
const idlePause = 2500 * time.Millisecond

// heldReport is a report whose answer waits.
type heldReport struct {
	Reported
	part  *part
	host  *host
	term  uint64
	until Time
}

// worthWaiting tells how long orders may be waited for: when tasks have just
// ended, when the machine is new, and when it is idle.
func (n *Node) worthWaiting(h *host, r *wire.Report, orders []wire.Order) Time {
	if !h.token && !h.newborn {
		return 0 // it is to learn our term first
	}
	for _, o := range orders {
		if o.Op != wire.OrderClear {
			return 0 // has something to do at once
		}
	}
	if len(h.on) == 0 && len(r.Tasks) == h.lingering {
		switch {
		case !n.usable(h):
			return 0
		case h.token && h.reports > 1:
			return idlePause
		}
		return answerPause
	}
	if n.pendingResults(h) {
		return answerPause
	}
	return 0
}

// pendingResults tells whether the end of a task on the machine still has to
// be written to its record.
func (n *Node) pendingResults(h *host) bool {
	for i := range h.on {
		if _, ended := n.results[h.on[i].taskKey]; ended {
			return true
		}
	}
	return false
}

// answerHeld answers reports that have waited for their records.
func (n *Node) answerHeld() {
	if len(n.held) == 0 || n.now < n.heldAt {
		return
	}
	n.heldAt = n.now + 40*time.Millisecond
	n.held = slices.DeleteFunc(n.held, func(q heldReport) bool {
		p, h := q.part, q.host
		if p.rev != q.term || !n.valid(p) || h.session != q.Report.Session || h.seq != q.Report.Seq {
			h.held--
			n.redirect(q.Req, p, h, false)
			return true
		}
		if n.now < q.until && (n.pendingResults(h) || !n.startsWaiting(h)) && !h.retiring {
			return false
		}
		h.held--
		if orders := n.reconcile(p, h, q.Report); !h.silenced {
			n.answerWorker(q.Req, p, h, orders)
		} else {
			n.redirect(q.Req, p, h, true)
		}
		return true
	})
}

// startsWaiting tells whether a placed task has not reached the machine.
func (n *Node) startsWaiting(h *host) bool {
	for i := range h.on {
		if _, there := h.tasks[h.on[i].taskKey]; !there {
			return true
		}
	}
	return false
}

func (n *Node) redirect(req uint64, p *part, h *host, late bool) {
	if n.loaded && p.rec != nil && p.rec.Owner != n.cfg.Self {
		// It was sent to its owner and is back, or its owner has told us that
		// it hears nothing from it: it can't reach its owner.
		back := n.now - h.redirectAt
		bounced := h.redirectAt > 0 && back > second*7/10 && back < 15*second
		unheard := n.toldUnheard(p, h)
		if n.storeOK && !late && (bounced || unheard) && !n.toldHeard(p, h) {
			if h.bounceAt == 0 || n.now-h.bounceAt > 12*second {
				h.bounceFrom = n.now
			}
			h.bounceAt = n.now
		}
		if !late {
			h.redirectAt = n.now
		}
		if !h.straying {
			h.straying = true
			n.strayed = append(n.strayed, h.ix)
		}
		n.emit(Reply{Req: req, Status: 421, Body: wire.Redirect{Owner: p.rec.Owner}})
		return
	}
	n.emit(Reply{Req: req, Status: 503, Body: wire.Error{Error: "no owner"}})
}

// toldHeard tells whether an owner that can be heard says that it hears a
// machine: then what comes here in its name is a late copy, or the machine is
// deaf to the answers. When copies counted, two controllers took parts from
// each other for as long as they came.
func (n *Node) toldHeard(p *part, h *host) bool {
	owner := n.peers[p.rec.Owner]
	if owner == nil || n.now-owner.at > 3*second {
		return false
	}
	if h.infoTerm != p.rev {
		return n.now-p.changed < 3*n.cfg.Report // it has not had the time to hear it
	}
	return h.info.quiet == 0
}

// toldUnheard tells whether an owner that has been up for a while says that it
// hears nothing of a machine. One that has just come back does not know of it
// yet, which proves nothing.
func (n *Node) toldUnheard(p *part, h *host) bool {
	owner := n.peers[p.rec.Owner]
	return owner != nil && n.now-owner.at < 3*second && owner.msg.UpS >= 4*n.cfg.Report.Seconds() &&
		h.infoTerm == p.rev && h.info.quiet > 0
}

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

// result is what became of a task, to be written to its record.
type result struct {
	host  string
	cause string // an exit cause, or "lost"
	at    Time
	term  uint64 // in which it was found out
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
