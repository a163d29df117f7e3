package core

import "micaport/internal/wire"

// A start that was sent to a worker's own address may be carried out at any time
// while the worker's session and our term last, and so may a copy of it. Until
// then its task counts as there and, once it has ended, is not cleared. See
// "Starts at a worker's own address" in docs/design.md.

// directLimit bounds the starts of a machine's session that go to its own
// address, as each leaves an ended task in its reports: a kilobyte in all. Work
// of low urgency has none of them, as it comes in swarms of tiny tasks.
const directLimit = 16

// directStart is a start sent to a machine's own address in its present session
// and our term.
type directStart struct {
	at     Time
	obeyed bool // the worker has said so: it knows the attempt, and no copy has an effect
}

// mayComeTooLate tells whether a start that nobody has seen obeyed might still be
// when its job has been withdrawn for cancel_s: it can be as long as the session
// lasts. A machine that goes on reporting is therefore answered no more from
// half a validity after the withdrawal on, reckoned from before it was recorded, as
// our copy may show it late, and its lease ends the session in time. For a job that is not withdrawn there is no need of it: answers repeat
// the start, after which the worker knows the attempt.
func (n *Node) mayComeTooLate(j *job, s directStart) bool {
	return !s.obeyed && j.rec.State == wire.Withdrawn && n.now-j.closedAt > n.cfg.Validity/2
}

// noteUnstarted remembers a machine of ours on which a task has been placed.
func (n *Node) noteUnstarted(h *host, k taskKey) {
	if h.listed || h.part < 0 || !n.holds(n.parts[h.part]) {
		return
	}
	if _, there := h.tasks[k]; !there {
		h.listed = true
		n.unstarted = append(n.unstarted, h.ix)
	}
}

// startDirectly tells machines of tasks that have just been placed on them,
// where no answer to a report is about to.
func (n *Node) startDirectly() {
	if len(n.unstarted) == 0 {
		return
	}
	list := n.unstarted
	n.unstarted = nil
	for _, ix := range list {
		h := n.hosts[ix]
		h.listed = false
		if h.part >= 0 && n.hearsUs(h) {
			n.startOn(h)
		}
	}
}

// hearsUs tells whether a machine does what the present owner says, and none
// of its reports waits for an answer.
func (n *Node) hearsUs(h *host) bool {
	p := n.parts[h.part]
	return n.valid(p) && h.term == p.rev && h.token && h.held == 0 && h.ignored == 0 && !h.deaf && !h.returned &&
		h.leavingAt == 0 && h.addr != "" && n.now-h.heard < 2*n.cfg.Report
}

func (n *Node) startOn(h *host) {
	var orders []wire.Order
	var keys []taskKey
	for i := range h.on {
		x := &h.on[i]
		k, j := x.taskKey, n.jobs[x.job]
		_, there := h.tasks[k]
		_, over := n.results[k]
		_, sent := h.direct[k]
		if there || over || sent || h.started[k] > 0 || x.session != h.session || x.stop != wire.Keep ||
			j.rec.State != wire.Live || j.prio == 0 || len(h.direct)+len(orders) >= directLimit {
			continue
		}
		a := n.active(k, h.name)
		if a == nil || n.holdBack(j, a) {
			continue
		}
		orders = append(orders, wire.Order{Op: wire.OrderStart, Task: wire.TaskName(j.ref, k.task), Attempt: k.attempt})
		keys = append(keys, k)
	}
	if len(orders) == 0 {
		return
	}
	for _, k := range keys {
		h.direct[k] = directStart{at: n.now}
	}
	term, session := h.term, h.session
	id := n.id(func(in Result) {
		if h.term != term || h.session != session {
			return
		}
		for _, k := range keys {
			switch s, there := h.direct[k]; in.(Directed).Outcome {
			case OK:
				if there {
					s.obeyed = true
					h.direct[k] = s
				}
			case Refused, Conflict:
				// Certainly not carried out, now or later: its reports will do.
				delete(h.direct, k)
			}
		}
	})
	n.emit(Direct{ID: id, Addr: h.addr, Orders: wire.Orders{Token: term, Session: session, Orders: orders}})
}
