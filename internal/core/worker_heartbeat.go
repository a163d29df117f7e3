package core

import (
	"net/http"

	"micaport/internal/wire"
)

// workerHeartbeat takes in a worker's heartbeat. It is answered at once, later
// (worker_reply.go), or with the owner of the machine (worker_redirect.go).
func (n *Node) workerHeartbeat(in WorkerReported) {
	heartbeat := in.Heartbeat
	index := n.ownership.ShardOf(n.names.Zones.Find(heartbeat.Zone), heartbeat.Machine)
	if index < 0 || heartbeat.Machine == "" {
		n.refuseHeartbeat(in.RequestID, "unknown zone")
		return
	}
	shard := n.shards[index]
	machine := n.machineNamed(heartbeat.Machine)
	if machine.returned {
		// The cloud has confirmed that it is gone: a late copy.
		n.refuseHeartbeat(in.RequestID, "returned")
		return
	}
	n.setShard(machine, index)
	machine.machineType = n.names.MachineTypes.Of(heartbeat.MachineType)
	machine.spot = heartbeat.Spot
	machine.address = heartbeat.Addr
	if !n.replica.Loaded() || !n.mayActAsOwner(shard) || heartbeat.Token > shard.Term {
		n.redirect(in.RequestID, shard, machine, machine.isRedirectedCopy(heartbeat))
		return
	}
	if machine.epoch > heartbeat.Epoch || machine.epoch == heartbeat.Epoch && machine.sequence >= heartbeat.Sequence {
		// A late copy, on whose answer the worker no longer waits.
		n.refuseHeartbeat(in.RequestID, "late report")
		return
	}
	n.ownedHeartbeat(in, shard, machine)
}

// ownedHeartbeat takes in a new heartbeat of one of this controller's own machines.
func (n *Node) ownedHeartbeat(in WorkerReported, shard *shard, machine *machine) {
	heartbeat := in.Heartbeat
	n.noteNewTerm(shard, machine, heartbeat)
	n.noteEpoch(machine, heartbeat)
	n.noteToken(shard, machine, heartbeat)
	consecutive := machine.epoch == heartbeat.Epoch && heartbeat.Sequence == machine.sequence+1
	n.noteHeartbeat(machine, heartbeat)
	n.placementAt = 0
	ignoredBefore := machine.ignoredReplies
	commands := n.reconcile(shard, machine, heartbeat)
	if machine.leaseExpiring {
		n.refuseHeartbeat(in.RequestID, "a start is not accounted for")
		return
	}
	if consecutive && machine.ignoredReplies == ignoredBefore && len(n.cfg.Members) > 1 && machine.tokenConfirmed {
		machine.ignoredReplies = 0 // it has not turned to a peer, so it got the last answer
	}
	n.noteResponsiveness(shard, machine, ignoredBefore)
	if delay := n.replyDelayFor(machine, heartbeat, commands); delay > 0 {
		n.delayReply(in, shard, machine, delay)
		return
	}
	n.answerWorker(in.RequestID, shard, machine, commands)
}

// refuseHeartbeat answers a worker that has to try again.
func (n *Node) refuseHeartbeat(requestID uint64, reason string) {
	n.emit(Reply{RequestID: requestID, Status: http.StatusServiceUnavailable, Body: wire.Error{Error: reason}})
}

// noteNewTerm forgets what earlier owners knew of a machine, at its first heartbeat in the
// shard's present term.
func (n *Node) noteNewTerm(shard *shard, machine *machine, heartbeat *wire.WorkerHeartbeat) {
	firstReports := heartbeat.Epoch == 1 && heartbeat.Sequence <= 2
	if machine.term == shard.Term {
		machine.newlyBooted = machine.newlyBooted && firstReports
		return
	}
	machine.term = shard.Term
	machine.answeredAt = 0
	machine.heartbeats = 0
	machine.tokenConfirmed = false
	machine.ignoredReplies = 0
	machine.unresponsive = false
	machine.leaseExpiring = false
	machine.startSentAt, machine.directStarts = map[taskKey]uint64{}, map[taskKey]directStart{}
	// The first heartbeat of a machine that no owner has known: the worker can't have any
	// owner's token yet.
	machine.newlyBooted = firstReports && heartbeat.Token == 0 && !machine.view.known && len(machine.placements) == 0
	n.ownViewsAt = 0
}

// noteEpoch forgets what was sent to a machine in the last epoch of its worker.
func (n *Node) noteEpoch(machine *machine, heartbeat *wire.WorkerHeartbeat) {
	if machine.epoch == heartbeat.Epoch {
		return
	}
	// Its lease ran out although it was answered a short while ago: the answers don't
	// reach it. Only heartbeats with the current token show that: those that were delayed
	// in a network cut arrive together with the next epoch.
	if machine.tokenConfirmed && machine.heartbeats > 1 &&
		machine.answeredAt > 0 &&
		n.now-machine.answeredAt < n.cfg.WorkerLease*3/4 {
		machine.ignoredReplies = maxIgnoredReplies
	}
	clear(machine.startSentAt)
	clear(machine.directStarts)
	machine.leaseExpiring = false
}

// noteToken notes whether a worker has the current token, and counts answers after which
// it still has not.
func (n *Node) noteToken(shard *shard, machine *machine, heartbeat *wire.WorkerHeartbeat) {
	if machine.tokenConfirmed != (heartbeat.Token == shard.Term) {
		machine.tokenConfirmed, machine.ignoredReplies = heartbeat.Token == shard.Term, 0
		n.ownViewsAt = 0
	} else if machine.heartbeats > 0 && !machine.tokenConfirmed && n.replyLikelyLost(machine) {
		machine.ignoredReplies++
	}
}

// noteHeartbeat notes when and what a machine has reported.
func (n *Node) noteHeartbeat(machine *machine, heartbeat *wire.WorkerHeartbeat) {
	machine.epoch = heartbeat.Epoch
	machine.sequence = heartbeat.Sequence
	machine.heartbeatAt = n.now
	machine.bouncedAt, machine.redirectedAt = 0, 0
	machine.heartbeats++
	machine.reclaimAt = 0
	if heartbeat.ReclaimS != nil {
		machine.reclaimAt = n.now + Time(*heartbeat.ReclaimS*float64(second))
	}
}

// noteResponsiveness notes whether a machine gets the answers, and has a change sent to
// the peers at once.
func (n *Node) noteResponsiveness(shard *shard, machine *machine, ignoredBefore int) {
	unresponsive := machine.ignoredReplies >= maxIgnoredReplies && !n.manyUnresponsive(shard)
	if unresponsive == machine.unresponsive && machine.ignoredReplies == ignoredBefore {
		return
	}
	if unresponsive && !machine.unresponsive {
		n.log(LogInfo, "machine unresponsive", "machine", machine.name)
	}
	machine.unresponsive, n.ownViewsAt = unresponsive, 0
}

// replyLikelyLost reports whether a worker may have waited for the last answer until its
// timeout of 4 s. A heartbeat that comes sooner was on its way before, as all those are
// that a network cut has delayed.
func (s *site) replyLikelyLost(machine *machine) bool {
	return machine.answeredAt > 0 && s.now-machine.answeredAt > 3*second
}

// maxIgnoredReplies is how many answers in a row may be without effect before a
// machine counts as unresponsive. One or two are lost now and then.
const maxIgnoredReplies = 3

// manyUnresponsive reports whether so many machines seem unresponsive that the fault is
// rather this controller's: answers that come too late are dropped as well.
func (s *site) manyUnresponsive(shard *shard) bool {
	all, unresponsive := 0, 0
	for _, machine := range shard.machines {
		if machine.term == shard.Term && !machine.returned {
			all++
			if machine.ignoredReplies >= maxIgnoredReplies-1 {
				unresponsive++
			}
		}
	}
	return unresponsive > max(1, all/4)
}
