package core

import (
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

// result is what became of a task, to be written to its record.
type result struct {
	host  string
	cause string // an exit cause, or "lost"
	at    Time
	term  uint64 // in which it was found out
}
