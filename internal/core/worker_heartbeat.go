package core

import (
	"net/http"

	"micaport/internal/wire"
)

// receiveWorkerHeartbeat processes a worker's heartbeat. The reply is sent immediately or after a
// delay (worker_reply.go), or redirects the worker to the machine's owner (worker_redirect.go).
func (n *Node) receiveWorkerHeartbeat(in WorkerReported) {
	heartbeat := in.Heartbeat
	index := n.ownership.ShardOf(n.names.Zones.Find(heartbeat.Zone), heartbeat.Machine)
	if index < 0 || heartbeat.Machine == "" {
		n.refuseHeartbeat(in.RequestID, "unknown zone")
		return
	}
	shard := n.shards[index]
	machine := n.getOrAddMachine(heartbeat.Machine)
	if machine.returned {
		// The cloud has confirmed that the machine is gone, so this is a late copy.
		n.refuseHeartbeat(in.RequestID, "returned")
		return
	}
	n.setShard(machine, index)
	machine.machineType = n.names.MachineTypes.Intern(heartbeat.MachineType)
	machine.spot = heartbeat.Spot
	machine.address = heartbeat.Addr
	if !n.replica.Loaded() || !n.mayActAsOwner(shard) || heartbeat.Token > shard.Term {
		n.redirect(in.RequestID, shard, machine, machine.isMisdirectedCopy(heartbeat))
		return
	}
	if machine.epoch > heartbeat.Epoch || machine.epoch == heartbeat.Epoch && machine.sequence >= heartbeat.Sequence {
		// A late copy; the worker no longer waits for its reply.
		n.refuseHeartbeat(in.RequestID, "late report")
		return
	}
	n.processOwnedHeartbeat(in, shard, machine)
}

// processOwnedHeartbeat processes a new heartbeat of a machine that this controller owns.
func (n *Node) processOwnedHeartbeat(in WorkerReported, shard *shard, machine *machine) {
	heartbeat := in.Heartbeat
	n.resetForNewTerm(shard, machine, heartbeat)
	n.resetForNewEpoch(machine, heartbeat)
	n.updateTokenConfirmed(shard, machine, heartbeat)
	consecutive := machine.epoch == heartbeat.Epoch && heartbeat.Sequence == machine.sequence+1
	n.recordHeartbeat(machine, heartbeat)
	n.nextOwnerPassAt = 0
	ignoredBefore := machine.ignoredReplies
	commands := n.reconcile(shard, machine, heartbeat)
	if machine.leaseExpiring {
		n.refuseHeartbeat(in.RequestID, "a start is not accounted for")
		return
	}
	if consecutive && machine.ignoredReplies == ignoredBefore && len(n.cfg.Members) > 1 && machine.tokenConfirmed {
		machine.ignoredReplies = 0 // it did not try a peer in between, so it received the last reply
	}
	n.updateResponsiveness(shard, machine, ignoredBefore)
	if delay := n.replyDelayFor(machine, heartbeat, commands); delay > 0 {
		n.delayReply(in, shard, machine, delay)
		return
	}
	n.answerWorker(in.RequestID, shard, machine, commands)
}

// refuseHeartbeat answers a heartbeat with status 503, after which the worker tries again.
func (n *Node) refuseHeartbeat(requestID uint64, reason string) {
	n.emit(Reply{RequestID: requestID, Status: http.StatusServiceUnavailable, Body: wire.Error{Error: reason}})
}

// resetForNewTerm resets the state of a machine at its first heartbeat in the shard's current term.
// Later heartbeats of the term only end newlyBooted.
func (n *Node) resetForNewTerm(shard *shard, machine *machine, heartbeat *wire.WorkerHeartbeat) {
	firstReports := heartbeat.Epoch == 1 && heartbeat.Sequence <= 2
	if machine.term == shard.Term {
		machine.newlyBooted = machine.newlyBooted && firstReports
		return
	}
	machine.term = shard.Term
	machine.answeredAt = 0
	machine.heartbeatCount = 0
	machine.tokenConfirmed = false
	machine.ignoredReplies = 0
	machine.unresponsive = false
	machine.leaseExpiring = false
	machine.startSentAt, machine.directStarts = map[taskKey]uint64{}, map[taskKey]directStart{}
	// The first heartbeat of a machine that no owner has seen before: the worker can't have
	// received a token yet.
	machine.newlyBooted = firstReports && heartbeat.Token == 0 && !machine.view.reportedByOwner && len(machine.placements) == 0
	n.nextViewUpdateAt = 0
}

// resetForNewEpoch discards what was sent to a machine in the previous epoch when its worker has
// begun a new one.
func (n *Node) resetForNewEpoch(machine *machine, heartbeat *wire.WorkerHeartbeat) {
	if machine.epoch == heartbeat.Epoch {
		return
	}
	// The lease expired although a heartbeat was answered recently, so the replies don't reach
	// the worker. Only heartbeats with the current token prove that: those that a network
	// partition has delayed arrive together with the first of the next epoch.
	if machine.tokenConfirmed && machine.heartbeatCount > 1 &&
		machine.answeredAt > 0 &&
		n.now-machine.answeredAt < n.cfg.WorkerLease*3/4 {
		machine.ignoredReplies = maxIgnoredReplies
	}
	clear(machine.startSentAt)
	clear(machine.directStarts)
	machine.leaseExpiring = false
}

// updateTokenConfirmed records whether a worker has the current token, and counts replies after
// which it still has not.
func (n *Node) updateTokenConfirmed(shard *shard, machine *machine, heartbeat *wire.WorkerHeartbeat) {
	if machine.tokenConfirmed != (heartbeat.Token == shard.Term) {
		machine.tokenConfirmed, machine.ignoredReplies = heartbeat.Token == shard.Term, 0
		n.nextViewUpdateAt = 0
	} else if machine.heartbeatCount > 0 && !machine.tokenConfirmed && n.replyLikelyLost(machine) {
		machine.ignoredReplies++
	}
}

// recordHeartbeat records when a machine has sent a heartbeat, its sequence number, and a notice
// that the cloud will reclaim the machine.
func (n *Node) recordHeartbeat(machine *machine, heartbeat *wire.WorkerHeartbeat) {
	machine.epoch = heartbeat.Epoch
	machine.sequence = heartbeat.Sequence
	machine.heartbeatAt = n.now
	machine.bouncedAt, machine.redirectedAt = 0, 0
	machine.heartbeatCount++
	machine.reclaimAt = 0
	if heartbeat.ReclaimS != nil {
		machine.reclaimAt = n.now + Time(*heartbeat.ReclaimS*float64(second))
	}
}

// updateResponsiveness records whether replies reach a machine's worker, and has the
// machine's view sent to the peers at once when that or the number of ignored replies has changed.
func (n *Node) updateResponsiveness(shard *shard, machine *machine, ignoredBefore int) {
	unresponsive := machine.ignoredReplies >= maxIgnoredReplies && !n.manyUnresponsive(shard)
	if unresponsive == machine.unresponsive && machine.ignoredReplies == ignoredBefore {
		return
	}
	if unresponsive && !machine.unresponsive {
		n.log(LogInfo, "machine unresponsive", "machine", machine.name)
	}
	machine.unresponsive, n.nextViewUpdateAt = unresponsive, 0
}

// replyLikelyLost reports whether the worker may have waited for the last reply until its
// timeout of 4 s. A heartbeat that arrives sooner was sent before the reply, as were all those
// that a network partition has delayed.
func (s *site) replyLikelyLost(machine *machine) bool {
	return machine.answeredAt > 0 && s.now-machine.answeredAt > 3*second
}

// maxIgnoredReplies is the number of consecutive replies without effect at which a machine
// counts as unresponsive. One or two are lost occasionally.
const maxIgnoredReplies = 3

// manyUnresponsive reports whether more than a quarter of a shard's machines seem unresponsive.
// Then the fault is probably this controller's: workers also ignore replies that arrive too late.
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
