package core

import (
	"hash/fnv"
	"slices"
	"sort"

	"micaport/internal/wire"
)

// part is a share of a zone's machines.
type part struct {
	ix   int
	name string
	zone int
	home string // the controller meant to own it; "" in a zone without one
	rec  *wire.Part
	rev  uint64 // of the claim: the term and the workers' token

	hosts      []*host // machines that may still be there
	changed    Time    // when our copy last saw it change hands
	askedAt    Time    // when we last asked ourselves whether to claim it
	since      Time    // when our copy last saw it change hands or go
	proven     bool    // a check has covered this term
	base       Time    // our validity counts from here
	validSince Time    // since when we could answer without a break
	bound      Time    // no earlier owner can have answered a report sent after this
}

// makeParts splits the machines of each zone among its controllers.
func (n *Node) makeParts() {
	members := slices.Clone(n.cfg.Members)
	sort.Slice(members, func(i, k int) bool { return members[i].Label < members[k].Label })
	for z := range n.zones.Len() {
		zone, before := n.zones.Name(z), len(n.parts)
		add := func(name, home string) {
			n.parts = append(n.parts, &part{ix: len(n.parts), name: zone + "/" + name, zone: z, home: home})
		}
		for _, m := range members {
			if m.Zone == zone {
				add(m.Label, m.Label)
			}
		}
		if len(n.parts) == before {
			add("-", "")
		}
		n.zoneParts = append(n.zoneParts, [2]int{before, len(n.parts) - before})
	}
}

// partOf hashes a machine to a part of its zone, or gives -1.
func (n *Node) partOf(zone int, name string) int {
	if zone < 0 || zone >= len(n.zoneParts) {
		return -1
	}
	f := fnv.New64a()
	f.Write([]byte(name))
	// Names differ in their last digits only, and FNV leaves those in the low
	// bits of neighbours alike: mix all bits before taking the remainder.
	v := f.Sum64()
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	v ^= v >> 33
	return n.zoneParts[zone][0] + int(v%uint64(n.zoneParts[zone][1]))
}

func (n *Node) partNamed(key string) *part {
	for _, p := range n.parts {
		if wire.PartKey(p.name) == key {
			return p
		}
	}
	return nil
}

func (n *Node) putPart(p *part, rec *wire.Part, rev uint64) {
	if rev <= p.rev {
		return
	}
	was := p.rec
	p.rec, p.rev, p.since, p.changed = rec, rev, n.now, n.now
	p.proven, p.base = false, 0
	// What machines did under the last owner says nothing about this one.
	// Kept, it made two peers take the part from each other in turns.
	p.forgetBounces()
	n.voidResults(p)
	if rec != nil && rec.Owner == n.cfg.Self && rec.Life == n.cfg.Life {
		// An owner whose key went with its lease had stopped before, and an
		// earlier life of ours is dead. One that we took over by a new claim
		// may still answer until its validity has run out.
		p.bound = n.now
		if was != nil && was.Owner != n.cfg.Self {
			p.bound += n.cfg.Validity
		}
		n.checkAt = 0
		n.log(1, "part claimed", "part", p.name, "term", rev)
	} else if was != nil && was.Owner == n.cfg.Self && was.Life == n.cfg.Life {
		n.log(1, "part lost", "part", p.name)
	}
}

// voidResults drops what was found out about the tasks of a part in a term
// that has ended and could not be written in it. Another owner may have served
// the machines since; applied in a later term, it would put tasks on a second
// machine that have run on all the while.
func (n *Node) voidResults(p *part) {
	for k, res := range n.results {
		if a := n.active(k, res.host); a == nil || a.Part == p.ix {
			delete(n.results, k)
		}
	}
}

func (p *part) forgetBounces() {
	for _, h := range p.hosts {
		h.redirectAt, h.bounceAt = 0, 0
	}
}

// holds tells whether our copy says that the part is ours.
func (n *Node) holds(p *part) bool {
	return p.rec != nil && p.rec.Owner == n.cfg.Self && p.rec.Life == n.cfg.Life
}

// valid tells whether we may act as the owner now.
func (n *Node) valid(p *part) bool {
	return n.holds(p) && p.proven && n.now < p.base+n.cfg.Validity
}

// claimParts takes parts that nobody holds, and those whose owner can't serve
// their workers.
func (n *Node) claimParts() {
	if n.partLease.id == 0 || n.now-n.partLease.sent > n.partLease.ttl/2 {
		return
	}
	for _, p := range n.parts {
		if n.holds(p) || n.now < p.claimAt() || n.now < p.askedAt+200*1e6 {
			continue
		}
		p.askedAt = n.now
		if !n.mayClaim(p) {
			continue
		}
		p.since = max(p.since, n.now) // wait before the next try
		rev := p.rev
		if p.rec == nil {
			rev = 0
		}
		key := wire.PartKey(p.name)
		n.commit(Vital, []Cond{{key, rev}},
			[]Write{{Key: key, Value: &wire.Part{Owner: n.cfg.Self, Life: n.cfg.Life}, Lease: n.partLease.id}},
			func(c Committed) {
				if c.Outcome == BadLease {
					n.partLease.id, n.partLease.next = 0, n.now
				}
			})
	}
}

// claimAt spaces claims of one part.
func (p *part) claimAt() Time { return p.since + 300*1e6 }

func (n *Node) mayClaim(p *part) bool {
	waited := n.now - p.since
	if p.rec == nil {
		switch {
		case p.home == n.cfg.Self:
			return true
		case n.zones.Name(p.zone) == n.cfg.Zone:
			return waited > 2*second
		}
		return waited > 4*second+Time(n.rank())*second
	}
	if p.rec.Owner == n.cfg.Self {
		return true // an earlier life of ours
	}
	// Its workers come here although we send them to their owner. A single
	// machine among many may be deaf or cut off by itself, which says nothing
	// about the owner.
	var first Time
	bounced, known := 0, 0
	for _, h := range p.hosts {
		if h.returned || h.info.lost {
			continue
		}
		if h.info.known && h.info.quiet < 2 {
			known++
		}
		if h.bounceAt > 0 && n.now-h.bounceAt < 12*second {
			bounced++
			if first == 0 || h.bounceFrom < first {
				first = h.bounceFrom
			}
		}
	}
	need := max(1, min(known, max(2, min(known/8, 12))))
	owner := n.peers[p.rec.Owner]
	deaf := owner == nil || n.now-owner.at > 5*second
	refused := owner != nil && !deaf && !owner.msg.StoreOK
	wait := 0 * second
	if n.zones.Name(p.zone) != n.cfg.Zone {
		wait = 4 * second
	}
	switch {
	case bounced >= need && n.now-first > 2*second+wait && waited > 10*second:
		n.log(1, "taking part over: its workers can't reach its owner", "part", p.name, "owner", p.rec.Owner)
		return true
	case deaf && bounced >= 1 && waited > 5*second+wait:
		n.log(1, "taking part over: owner is silent", "part", p.name, "owner", p.rec.Owner)
		return true
	case refused && n.storeOK && n.now-n.storeAt < 2*second && n.peerRefusedFor(p.rec.Owner) > 4*second+wait:
		n.log(1, "taking part over: owner is refused by the state service", "part", p.name, "owner", p.rec.Owner)
		return true
	}
	// The home controller is back and well: it stands beside the workers.
	home := p.home == n.cfg.Self && waited > 60*second && n.storeOK
	return home && owner != nil && !deaf
}

func (n *Node) peerRefusedFor(label string) Time {
	p := n.peers[label]
	if p == nil || p.msg.StoreOK {
		return 0
	}
	// An outage ends for one controller a moment before another.
	return n.now - max(n.refusedSince[label], n.storeSince)
}

// rank orders the controllers, so that two don't claim at once.
func (n *Node) rank() int {
	r := 0
	for _, m := range n.cfg.Members {
		if m.Label < n.cfg.Self {
			r++
		}
	}
	return r
}

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
		// A copy of what we have seen before tells nothing of where the
		// machine is now.
		late := h.strayShift > r.Session || h.strayShift == r.Session && h.strayTick >= r.Seq
		if !late {
			h.strayShift, h.strayTick = r.Session, r.Seq
		}
		n.redirect(in.Req, p, h, late)
		return
	}
	if h.session > r.Session || h.session == r.Session && h.seq >= r.Seq {
		// A late copy; its worker has long given it up.
		n.emit(Reply{Req: in.Req, Status: 503, Body: wire.Error{Error: "late report"}})
		return
	}
	if h.term != p.rev {
		h.term, h.answered, h.reports, h.token, h.ignored, h.deaf = p.rev, 0, 0, false, 0, false
		h.started, h.direct = map[taskKey]uint64{}, map[taskKey]*directStart{}
		// The first report of a machine's life, of which nobody has heard: it
		// can't know any term yet.
		h.newborn = r.Session == 1 && r.Seq <= 2 && r.Token == 0 && !h.info.known && len(h.on) == 0
		n.ownInfoAt = 0
	} else {
		h.newborn = h.newborn && r.Session == 1 && r.Seq <= 2
	}
	if h.session != r.Session {
		// Its lease ran out although we answered it a short while ago: our
		// answers don't reach it.
		// Only reports that show our term tell so: what was held back in a cut
		// arrives together with the next session.
		if h.token && h.reports > 1 && h.answered > 0 && n.now-h.answered < n.cfg.Lease*3/4 {
			h.ignored = deafAfter
		}
		clear(h.started)
		clear(h.direct)
	}
	if h.token != (r.Token == p.rev) {
		h.token, h.ignored = r.Token == p.rev, 0
		n.ownInfoAt = 0
	} else if h.reports > 0 && !h.token && n.inVain(h) {
		h.ignored++
	}
	consecutive := h.session == r.Session && r.Seq == h.seq+1
	h.session, h.seq, h.heard = r.Session, r.Seq, n.now
	h.bounceAt, h.redirectAt = 0, 0
	h.reports++
	if r.RecallS != nil {
		h.leavingAt = n.now + Time(*r.RecallS*float64(second))
	} else {
		h.leavingAt = 0
	}
	n.ownerAt = 0
	was := h.ignored
	orders := n.reconcile(p, h, r)
	if consecutive && h.ignored == was && len(n.cfg.Members) > 1 && h.token {
		h.ignored = 0 // it has stayed with us, so it heard our last answer
	}
	if deaf := h.ignored >= deafAfter && !n.manyDeaf(p); deaf != h.deaf || h.ignored != was {
		if deaf && !h.deaf {
			n.log(1, "machine does not hear us", "host", h.name)
		}
		h.deaf, n.ownInfoAt = deaf, 0
	}
	if pause := n.worthWaiting(h, r, orders); pause > 0 {
		n.held = append(n.held, heldReport{Reported: in, part: p, host: h, term: p.rev, until: n.now + pause})
		h.held++
		return
	}
	n.answerWorker(in.Req, p, h, orders)
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
const answerPause = 600 * 1e6

// idlePause is how long the answer to a machine without tasks waits for
// something to start. The worker would wait 4 s; it has nothing else to tell,
// and a start that comes meanwhile reaches it at once instead of with its next
// report.
const idlePause = 2500 * 1e6

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
	n.heldAt = n.now + 40*1e6
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
		n.answerWorker(q.Req, p, h, n.reconcile(p, h, q.Report))
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
	if k.job < 0 || n.jobs[k.job].rec == nil {
		return nil
	}
	list := n.jobs[k.job].rec.Active
	for i := range list {
		if a := &list[i]; a.Task == k.task && a.Attempt == k.attempt && a.Host == hostName {
			return a
		}
	}
	return nil
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
const sessionPause = 1200 * 1e6

// termOf is the term of the part that the machine belongs to.
func (h *host) termOf(n *Node) uint64 { return n.parts[h.part].rev }

// resultPause is how long a result waits for others of the same job when puts
// are scarce: one put serves them all, and the tasks of a gang end together.
const resultPause = 500 * 1e6

const causeLost = "lost"

// reconcile compares a report with the records and gives the orders that
// bring the machine in line.
func (n *Node) reconcile(p *part, h *host, r *wire.Report) []wire.Order {
	var orders []wire.Order
	// Only a worker that has seen our token can't be told to start anything
	// by an earlier owner any more.
	fresh := r.Token == p.rev
	reported := make(map[taskKey]bool, len(r.Tasks))
	before := h.tasks
	h.tasks, h.lingering = make(map[taskKey]string, len(r.Tasks)), 0
	for i := range r.Tasks {
		t := &r.Tasks[i]
		ref, task, err := wire.SplitTask(t.Task)
		if err != nil {
			continue
		}
		k := taskKey{n.refs.Find(ref), task, t.Attempt}
		reported[k] = true
		a := n.active(k, h.name)
		if t.State == wire.TaskEnded {
			if _, direct := h.direct[k]; a == nil && direct {
				// A late copy of its start may still come. As long as the
				// worker knows the attempt that has no effect.
				h.lingering++
			} else if a == nil {
				// The record has let go of this attempt, so it can't be
				// started again and may be forgotten by the worker.
				orders = append(orders, wire.Order{Op: wire.OrderClear, Task: t.Task, Attempt: t.Attempt})
			} else {
				n.taskEnded(h, k, t)
			}
			continue
		}
		if a == nil {
			orders = append(orders, wire.Order{Op: wire.OrderKill, Task: t.Task, Attempt: t.Attempt})
			continue
		}
		h.tasks[k] = t.State
		j := n.jobs[k.job]
		if before[k] != t.State {
			n.log(0, "task state", "job", j.ref, "class", j.rec.Spec.Class, "task", task, "attempt", t.Attempt, "host", h.name, "state", t.State)
		}
		if t.State != wire.TaskFetching {
			h.images.add(j.image)
		}
		switch grace, kill := n.killGrace(h, j, a, t); {
		case kill:
			orders = append(orders, wire.Order{Op: wire.OrderKill, Task: t.Task, Attempt: t.Attempt, GraceS: grace})
		}
	}
	missed := false
	for i := range h.on {
		x := &h.on[i]
		k, j := x.taskKey, n.jobs[x.job]
		if reported[k] {
			continue
		}
		if _, over := n.results[k]; over {
			continue
		}
		last, sent := h.started[k]
		// A start sent to the worker's own address may still be on its way,
		// whatever its reports say.
		direct := h.direct[k]
		gone := fresh && r.Seq > last && direct == nil
		missed = missed || sent && gone
		switch {
		case r.Session > x.session:
			n.results[k] = result{h.name, causeLost, n.now, h.termOf(n)}
		case j.rec.State != wire.Live || x.stop != wire.Keep || h.leavingAt > 0:
			if gone {
				n.results[k] = result{h.name, causeLost, n.now, h.termOf(n)}
			} else if direct != nil && n.now-direct.at > 2*n.cfg.Lease {
				h.ignored = deafAfter // it took a start and never showed it
			}
		case gone && sent && h.ignored >= deafAfter-1:
			// It goes on reporting and does not do what it is told. The
			// report is newer than the answer that ordered the start and
			// lacks it; from here on it is not ordered again.
			n.results[k] = result{h.name, causeLost, n.now, h.termOf(n)}
		case n.holdBack(j, n.active(k, h.name)):
		default:
			orders = append(orders, wire.Order{Op: wire.OrderStart, Task: wire.TaskName(j.ref, k.task), Attempt: k.attempt})
			h.started[k] = r.Seq
		}
	}
	if missed && n.inVain(h) {
		h.ignored++
	}
	return orders
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

// taskEnded notes the end of a task for its record and what it says of the
// machine.
func (n *Node) taskEnded(h *host, k taskKey, t *wire.Task) {
	if _, known := n.results[k]; known {
		return
	}
	n.results[k] = result{h.name, t.Cause, n.now, h.termOf(n)}
	j := n.jobs[k.job]
	switch t.Cause {
	case wire.CauseDone:
		h.errJobs, h.sick = nil, false
		h.images.add(j.image)
	case wire.CauseError:
		if h.errJobs == nil {
			h.errJobs = map[int]bool{}
		}
		if j.rec.Errors < 3 {
			h.errJobs[k.job] = true
		}
		// Two jobs failing here, or one that runs elsewhere, speak against
		// the machine rather than the job.
		if len(h.errJobs) >= 2 || countDone(j.rec.DoneSet) > 0 {
			h.sick = true
		}
		n.ownInfoAt = 0 // before more is granted to it
	case wire.CauseFull:
		h.fullUntil = n.now + 2*n.cfg.Report
	}
	n.log(0, "task ended", "job", j.ref, "task", k.task, "attempt", k.attempt, "host", h.name, "cause", t.Cause)
}

// usable tells whether an owner may place tasks on a machine of its own.
func (n *Node) usable(h *host) bool {
	if h.part < 0 {
		return false
	}
	p := n.parts[h.part]
	return h.term == p.rev && (h.token || h.newborn) && h.ignored == 0 && n.now-h.heard < 3*n.cfg.Report && h.leavingAt == 0 &&
		!h.sick && !h.retiring && !h.returned && n.now >= h.fullUntil
}

// ownerTick writes what has become of tasks, and places granted ones.
func (n *Node) ownerTick() {
	if n.now < n.ownerAt {
		return
	}
	n.ownerAt = n.now + 60*1e6 + Time(len(n.live))*20*1e3
	anyValid := false
	for _, p := range n.parts {
		if n.valid(p) {
			anyValid = true
			n.silentHosts(p)
		}
	}
	if !anyValid {
		n.owner.drop()
		return
	}
	if !n.owner.ready(n) {
		return
	}
	w := newWriter(n)
	var room ownRoom
	n.applyResults(w, &room, true)
	n.applyStops(w)
	n.settleGangs(w)
	n.placeGranted(w, &room)
	n.applyResults(w, &room, false)
	w.send(&n.owner, nil)
}

// silentHosts gives up the tasks of machines whose lease must have run out.
func (n *Node) silentHosts(p *part) {
	limit := n.cfg.Lease + n.cfg.Lease/1000 + second
	for _, h := range p.hosts {
		if len(h.on) == 0 {
			continue
		}
		last := p.bound
		if h.term == p.rev {
			last = max(last, h.answered)
		}
		if !h.returned && n.now-last <= limit {
			continue
		}
		for i := range h.on {
			k := h.on[i].taskKey
			if _, known := n.results[k]; !known && h.on[i].part == p.ix {
				n.results[k] = result{h.name, causeLost, n.now, h.termOf(n)}
				n.log(1, "task lost with its machine", "job", n.jobs[k.job].ref, "task", k.task, "host", h.name)
			}
		}
	}
}

// forgetHosts lets go of machines that are gone, so that nothing is spent on
// what has been.
func (n *Node) forgetHosts() {
	if n.now < n.tidyAt {
		return
	}
	n.tidyAt = n.now + 5*second
	for _, p := range n.parts {
		for i := len(p.hosts) - 1; i >= 0; i-- {
			h := p.hosts[i]
			silent := n.valid(p) && h.term == p.rev && n.now-h.heard > 3*n.cfg.Lease
			if len(h.on) == 0 && (h.returned || silent || h.info.lost && !n.holds(p) && n.now-p.changed > 3*n.cfg.Lease) {
				n.setPart(h, -1)
				h.info, h.tasks, h.started, h.errJobs, h.images = view{}, nil, nil, nil, nil
			}
		}
	}
}

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
}

func newWriter(n *Node) *writer {
	limit := min(n.cfg.TxnOps-1, n.cfg.BatchPuts, n.mayPut())
	return &writer{n: n, recs: map[int]*wire.Job{}, parts: map[int]bool{}, ended: map[taskKey]bool{}, limit: limit}
}

// job gives a copy of the record to change, or nil when the commit is full.
func (w *writer) job(j *job) *wire.Job {
	if r := w.recs[j.ix]; r != nil {
		return r
	}
	size := 900 + 60*len(j.rec.Active)
	if len(w.order)+len(w.extra) >= w.limit || w.bytes+size > 48_000 {
		return nil
	}
	w.bytes += size
	w.recs[j.ix] = clone(j.rec)
	w.order = append(w.order, j.ix)
	return w.recs[j.ix]
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
		j := w.n.jobs[jx]
		tidy(w.recs[jx])
		conds = append(conds, Cond{wire.JobKey(j.ref), j.rev})
		writes = append(writes, Write{Key: wire.JobKey(j.ref), Value: w.recs[jx]})
	}
	b.start(w.n, conds, writes, w.extra, onOK)
}

// pressing tells whether others wait for the end of a task to be written: a
// daemon or gang that is to start anew, a user who waits for the end of a job.
// The end of one task of an array among others can wait behind placings; by
// the time its turn comes, one put often serves several.
func (n *Node) pressing(k taskKey, res result) bool {
	j := n.jobs[k.job]
	if j.rec == nil || j.rec.State != wire.Live {
		return false
	}
	return j.rec.Spec.Shape != wire.ShapeArray || res.cause != wire.CauseDone || len(j.rec.Active) == 1
}

// applyResults writes what became of tasks, either what presses or the rest.
func (n *Node) applyResults(w *writer, room *ownRoom, pressing bool) {
	keys := make([]taskKey, 0, len(n.results))
	for k := range n.results {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(a, b int) bool {
		if keys[a].job != keys[b].job {
			return keys[a].job < keys[b].job
		}
		if keys[a].task != keys[b].task {
			return keys[a].task < keys[b].task
		}
		return keys[a].attempt < keys[b].attempt
	})
	oldest := map[int]Time{}
	for _, k := range keys {
		if at, seen := oldest[k.job]; !seen || n.results[k].at < at {
			oldest[k.job] = n.results[k].at
		}
	}
	for _, k := range keys {
		res := n.results[k]
		if w.ended[k] || n.pressing(k, res) != pressing && w.recs[k.job] == nil {
			continue
		}
		// A machine that has lost its session is the best place for the same
		// task, as it has the image, once it has shown that it knows our term.
		if h := n.hostOf(res.host); res.cause == causeLost && h.part >= 0 && n.now-res.at < sessionPause && h.term == n.parts[h.part].rev &&
			!h.token && n.now-h.heard < sessionPause {
			continue
		}
		if n.now-oldest[k.job] < Time(float64(resultPause)*n.scarcity()) {
			continue
		}
		a := n.active(k, res.host)
		if a == nil {
			delete(n.results, k) // written
			continue
		}
		if !n.valid(n.parts[a.Part]) || n.parts[a.Part].rev != res.term {
			delete(n.results, k)
			continue
		}
		rec := w.job(n.jobs[k.job])
		if rec == nil {
			return
		}
		// Once: an end that is applied twice would count an error twice and
		// put two tasks where one was.
		w.ended[k] = true
		w.parts[a.Part] = true
		was := *a
		finish(rec, k, res)
		n.placeAnew(rec, was, res, room)
	}
}

// placeAnew gives a task that its machine has lost another machine of the same
// part: the grant stands, only the choice of the machine is the owner's. It
// saves two puts, and when a whole zone has lost its tasks that is most of the
// time it takes to have them back.
func (n *Node) placeAnew(rec *wire.Job, was wire.Active, res result, room *ownRoom) {
	if rec.State != wire.Live || rec.Spec.Shape == wire.ShapeGang || was.Stop != wire.Keep ||
		res.cause != causeLost && res.cause != wire.CauseHalted {
		return
	}
	j := n.jobNamed(rec.Spec.Ref)
	s := room.slots(n).best(j, func(s *slot) bool { return s.part == was.Part }, nil)
	if s == nil || s.h.name == was.Host && s.h.session <= was.Session {
		return
	}
	s.take(rec.Spec)
	rec.Active = append(rec.Active, wire.Active{Task: was.Task, Attempt: rec.Next, Part: was.Part, Host: s.h.name, Session: s.h.session})
	rec.Next++
	n.log(0, "placed anew", "job", j.ref, "task", was.Task, "host", s.h.name)
}

// finish takes a task that is gone out of its record.
func finish(rec *wire.Job, k taskKey, res result) {
	rec.Active = slices.DeleteFunc(rec.Active, func(a wire.Active) bool {
		return a.Task == k.task && a.Attempt == k.attempt && a.Host == res.host
	})
	gang := rec.Spec.Shape == wire.ShapeGang
	switch {
	case res.cause == wire.CauseDone && rec.State == wire.Live:
		rec.Errors, rec.Avoid = 0, nil
		if gang {
			// The tasks of a gang complete together.
			rec.DoneSet = [][2]int{{0, rec.Frames}}
		} else if rec.Spec.Shape == wire.ShapeArray {
			rec.DoneSet = addDone(rec.DoneSet, k.task)
		}
		return
	case res.cause == wire.CauseError:
		rec.Errors++
		if !contains(rec.Avoid, res.host) {
			rec.Avoid = append(rec.Avoid, res.host)
		}
		if len(rec.Avoid) > 4 {
			rec.Avoid = rec.Avoid[1:]
		}
	}
	if gang && rec.State == wire.Live {
		failGang(rec, k.attempt)
	}
}

// failGang stops what is left of a gang's attempt. Tasks that are saving on
// order go on; those not yet placed are given up at once.
func failGang(rec *wire.Job, attempt uint64) {
	rec.Active = slices.DeleteFunc(rec.Active, func(a wire.Active) bool {
		return a.Attempt == attempt && a.Host == ""
	})
	for i := range rec.Active {
		if a := &rec.Active[i]; a.Attempt == attempt && a.Stop == wire.Keep {
			a.Stop = wire.Abandon
		}
	}
}

// applyStops marks gangs that have to leave a machine for an orderly stop.
func (n *Node) applyStops(w *writer) {
	var list []int
	for jx := range n.stopJobs {
		list = append(list, jx)
	}
	slices.Sort(list)
	for _, jx := range list {
		j := n.jobs[jx]
		if j.rec == nil || j.rec.State != wire.Live || !slices.ContainsFunc(j.rec.Active, func(a wire.Active) bool { return a.Stop == wire.Keep }) {
			delete(n.stopJobs, jx)
			continue
		}
		rec := w.job(j)
		if rec == nil {
			return
		}
		markStop(rec)
	}
}

// markStop asks every task of a job to save and exit.
func markStop(rec *wire.Job) {
	rec.Active = slices.DeleteFunc(rec.Active, func(a wire.Active) bool { return a.Host == "" })
	for i := range rec.Active {
		if rec.Active[i].Stop == wire.Keep {
			rec.Active[i].Stop = wire.Preempt
		}
	}
}

// ownRoom is the room on our machines, worked out when it is first needed.
type ownRoom struct{ set *slotSet }

func (r *ownRoom) slots(n *Node) *slotSet {
	if r.set == nil {
		r.set = n.ownSlots()
	}
	return r.set
}

// ownSlots lists the room on the machines that we own, less what is held.
func (n *Node) ownSlots() *slotSet {
	slots := newSlotSet(n)
	for _, p := range n.parts {
		if !n.valid(p) {
			continue
		}
		for _, h := range p.hosts {
			n.work++
			if n.usable(h) {
				if s := n.slotOf(h); s != nil {
					if j, kept := n.kept[h.ix]; kept && n.now-n.keptAt < 5*second {
						s.keptFor = j + 1
					}
					// What is proven gone leaves its room, though its record
					// still shows it; the new placing goes into the same put.
					for i := range h.on {
						if _, over := n.results[h.on[i].taskKey]; over && n.jobs[h.on[i].job].rec.Spec != nil {
							s.give(n.jobs[h.on[i].job].rec.Spec, 1)
						}
					}
					slots.add(s)
				}
			}
		}
	}
	n.takeHolds(slots)
	return slots
}

// placeGranted chooses machines for the tasks granted to our parts.
func (n *Node) placeGranted(w *writer, room *ownRoom) {
	for _, jx := range n.live {
		j := n.jobs[jx]
		if j.unplaced == 0 || !slices.ContainsFunc(j.rec.Active, func(a wire.Active) bool {
			return a.Host == "" && n.valid(n.parts[a.Part])
		}) {
			continue
		}
		n.placeJob(w, j, room.slots(n))
	}
}

// grantPatience is how long an owner looks for room for a grant before it
// gives it back.
const grantPatience = 2500 * 1e6

func (n *Node) placeJob(w *writer, j *job, slots *slotSet) {
	sp := j.rec.Spec
	if j.rec.State != wire.Live {
		if rec := w.job(j); rec != nil {
			n.giveBack(w, rec)
		}
		return
	}
	if sp.Shape == wire.ShapeGang {
		n.placeGang(w, j, slots)
		return
	}
	for i := range j.rec.Active {
		a := &j.rec.Active[i]
		if a.Host != "" || !n.valid(n.parts[a.Part]) {
			continue
		}
		s := slots.best(j, func(s *slot) bool { return s.part == a.Part }, nil)
		k := taskKey{j.ix, a.Task, a.Attempt}
		if s == nil && !n.outOfPatience(k) {
			continue
		}
		rec := w.job(j)
		if rec == nil {
			return
		}
		w.parts[a.Part] = true
		if s == nil {
			rec.Active = slices.DeleteFunc(rec.Active, func(b wire.Active) bool {
				return b.Task == a.Task && b.Attempt == a.Attempt && b.Host == ""
			})
			continue
		}
		s.take(sp)
		setHost(rec, a, s.h)
	}
}

func setHost(rec *wire.Job, a *wire.Active, h *host) {
	for i := range rec.Active {
		if b := &rec.Active[i]; b.Task == a.Task && b.Attempt == a.Attempt {
			b.Host, b.Session = h.name, h.session
		}
	}
}

// giveBack removes the grants to our parts that were never placed.
func (n *Node) giveBack(w *writer, rec *wire.Job) {
	rec.Active = slices.DeleteFunc(rec.Active, func(a wire.Active) bool {
		mine := a.Host == "" && n.valid(n.parts[a.Part])
		if mine {
			w.parts[a.Part] = true
		}
		return mine
	})
}

// outOfPatience tells whether a grant has waited too long for room.
func (n *Node) outOfPatience(k taskKey) bool {
	if len(n.grantSeen) > 4096 {
		clear(n.grantSeen)
	}
	at, seen := n.grantSeen[k]
	if !seen {
		n.grantSeen[k] = n.now
		return false
	}
	return n.now-at > grantPatience
}
