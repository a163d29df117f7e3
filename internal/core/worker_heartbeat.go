package core

import (
	"micaport/internal/wire"
)

// workerHeartbeat answers a worker.
func (n *Node) workerHeartbeat(in WorkerReported) {
	r := in.Heartbeat
	pi := n.shardOf(n.names.Zones.Find(r.Zone), r.Machine)
	if pi < 0 || r.Machine == "" {
		n.emit(Reply{RequestID: in.RequestID, Status: 503, Body: wire.Error{Error: "unknown zone"}})
		return
	}
	p := n.shards[pi]
	h := n.machineNamed(r.Machine)
	if h.returned {
		// The cloud has confirmed it gone: a late copy.
		n.emit(Reply{RequestID: in.RequestID, Status: 503, Body: wire.Error{Error: "returned"}})
		return
	}
	n.setShard(h, pi)
	h.machineType, h.spot, h.address = n.names.MachineTypes.Of(r.MachineType), r.Spot, r.Addr
	if !n.replica.Loaded() || !n.mayActAsOwner(p) || r.Token > p.Term {
		n.redirect(in.RequestID, p, h, h.isStrayCopy(r))
		return
	}
	if h.epoch > r.Epoch || h.epoch == r.Epoch && h.sequence >= r.Sequence {
		// A late copy; its worker has long given it up.
		n.emit(Reply{RequestID: in.RequestID, Status: 503, Body: wire.Error{Error: "late report"}})
		return
	}
	n.noteNewTerm(p, h, r)
	n.noteSession(h, r)
	n.noteToken(p, h, r)
	consecutive := h.epoch == r.Epoch && r.Sequence == h.sequence+1
	n.noteHeartbeat(h, r)
	n.placementAt = 0
	was := h.ignoredReplies
	orders := n.reconcile(p, h, r)
	if h.leaseExpiring {
		n.emit(Reply{RequestID: in.RequestID, Status: 503, Body: wire.Error{Error: "a start is not accounted for"}})
		return
	}
	if consecutive && h.ignoredReplies == was && len(n.cfg.Members) > 1 && h.tokenConfirmed {
		h.ignoredReplies = 0 // it has stayed with us, so it heard our last answer
	}
	n.noteResponsiveness(p, h, was)
	if pause := n.replyDelayFor(h, r, orders); pause > 0 {
		n.heldReplies = append(n.heldReplies, heldReply{WorkerReported: in, shard: p, machine: h, term: p.Term, until: n.now + pause})
		h.heldReplies++
		return
	}
	n.answerWorker(in.RequestID, p, h, orders)
}

// isStrayCopy tells whether a report that came to another than the owner is a copy of
// what came before, which tells nothing of where the machine is now.
func (h *machine) isStrayCopy(r *wire.WorkerHeartbeat) bool {
	if h.strayEpoch > r.Epoch || h.strayEpoch == r.Epoch && h.straySequence >= r.Sequence {
		return true
	}
	h.strayEpoch, h.straySequence = r.Epoch, r.Sequence
	return false
}

// noteNewTerm begins anew with a machine that is heard for the first time in our term.
func (n *Node) noteNewTerm(p *shard, h *machine, r *wire.WorkerHeartbeat) {
	firstReports := r.Epoch == 1 && r.Sequence <= 2
	if h.term == p.Term {
		h.newlyBooted = h.newlyBooted && firstReports
		return
	}
	h.term, h.answeredAt, h.heartbeats, h.tokenConfirmed, h.ignoredReplies, h.unresponsive = p.Term, 0, 0, false, 0, false
	h.leaseExpiring = false
	h.startSentAt, h.directStarts = map[taskKey]uint64{}, map[taskKey]directStart{}
	// The first report of a machine's life, of which nobody has heard: it can't know
	// any term yet.
	h.newlyBooted = firstReports && r.Token == 0 && !h.view.known && len(h.placements) == 0
	n.ownViewAt = 0
}

// noteSession forgets what was sent to a machine in its last epoch.
func (n *Node) noteSession(h *machine, r *wire.WorkerHeartbeat) {
	if h.epoch == r.Epoch {
		return
	}
	// Its lease ran out although we answered it a short while ago: our answers don't
	// reach it. Only reports that show our term tell so: what was held back in a cut
	// arrives together with the next epoch.
	if h.tokenConfirmed && h.heartbeats > 1 && h.answeredAt > 0 && n.now-h.answeredAt < n.cfg.WorkerLease*3/4 {
		h.ignoredReplies = maxIgnoredReplies
	}
	clear(h.startSentAt)
	clear(h.directStarts)
	h.leaseExpiring = false
}

// noteToken notes whether a machine has taken our term, and counts answers after which
// it still has not.
func (n *Node) noteToken(p *shard, h *machine, r *wire.WorkerHeartbeat) {
	if h.tokenConfirmed != (r.Token == p.Term) {
		h.tokenConfirmed, h.ignoredReplies = r.Token == p.Term, 0
		n.ownViewAt = 0
	} else if h.heartbeats > 0 && !h.tokenConfirmed && n.replyLikelyLost(h) {
		h.ignoredReplies++
	}
}

// noteHeartbeat notes when and what a machine has reported.
func (n *Node) noteHeartbeat(h *machine, r *wire.WorkerHeartbeat) {
	h.epoch, h.sequence, h.heartbeatAt = r.Epoch, r.Sequence, n.now
	h.bouncedAt, h.redirectedAt = 0, 0
	h.heartbeats++
	h.reclaimAt = 0
	if r.ReclaimS != nil {
		h.reclaimAt = n.now + Time(*r.ReclaimS*float64(second))
	}
}

// noteResponsiveness tells the peers when a machine does not hear us, or may not.
func (n *Node) noteResponsiveness(p *shard, h *machine, ignoredBefore int) {
	deaf := h.ignoredReplies >= maxIgnoredReplies && !n.manyUnresponsive(p)
	if deaf == h.unresponsive && h.ignoredReplies == ignoredBefore {
		return
	}
	if deaf && !h.unresponsive {
		n.log(LogInfo, "machine unresponsive", "machine", h.name)
	}
	h.unresponsive, n.ownViewAt = deaf, 0
}

// replyLikelyLost tells whether a machine may have waited in vain for our last answer:
// it would have done so for 4 s. What comes sooner was on its way before, as
// everything that a cut has held back.
func (n *Node) replyLikelyLost(h *machine) bool {
	return h.answeredAt > 0 && n.now-h.answeredAt > 3*second
}

// maxIgnoredReplies is how many answers in a row may be without effect before a
// machine counts as unresponsive. One or two are lost now and then.
const maxIgnoredReplies = 3

// manyUnresponsive tells whether so many machines seem unresponsive that the fault is rather
// ours: answers that come too late are dropped as well.
func (n *Node) manyUnresponsive(p *shard) bool {
	all, deaf := 0, 0
	for _, h := range p.machines {
		if h.term == p.Term && !h.returned {
			all++
			if h.ignoredReplies >= maxIgnoredReplies-1 {
				deaf++
			}
		}
	}
	return deaf > max(1, all/4)
}

// taskOutcome is what became of a task, to be written to its record.
type taskOutcome struct {
	machine string
	cause   string // an exit cause, or "lost"
	at      Time
	term    uint64 // in which it was found out
}
