package core

import (
	"slices"
	"time"

	"micaport/internal/wire"
)

// Answers to workers: at once, held for a moment, or to another controller.

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
			n.strayHosts = append(n.strayHosts, h.ix)
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
