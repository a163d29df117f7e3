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
	if machine.deprovisioned {
		// The cloud has confirmed the deprovisioning, so this is a late copy.
		n.refuseHeartbeat(in.RequestID, "returned")
		return
	}
	n.setShard(machine, index)
	machine.machineType = n.names.MachineTypes.Intern(heartbeat.MachineType)
	if n.typeAt(machine.machineType) == nil {
		n.recordUnknownType(machine)
	}
	machine.spot = heartbeat.Spot
	machine.address = heartbeat.Addr
	// A token above the term was issued under a claim that this replica does not show yet.
	if !n.replica.Loaded() || !n.mayActAsOwner(shard) || heartbeat.Token > shard.Term {
		isCopy := machine.recordMisdirected(heartbeat)
		n.redirect(in.RequestID, shard, machine, isCopy)
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
	n.nextOwnerPassAt = 0 // at once
	ignoredBefore := machine.ignoredReplies
	commands := n.reconcile(shard, machine, heartbeat)
	switch {
	case machine.leaseExpiring:
		n.refuseHeartbeat(in.RequestID, "a start is not accounted for")
		return
	case machine.lostTasks:
		n.answerInNewTerm(in, shard, machine)
		return
	}
	if consecutive && machine.ignoredReplies == ignoredBefore && len(n.cfg.Members) > 1 && machine.tokenConfirmed {
		machine.ignoredReplies = 0 // the worker did not try a peer in between, so it received the last reply
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
// Later heartbeats of the term only clear newlyBooted, unless they are among the worker's first.
func (n *Node) resetForNewTerm(shard *shard, machine *machine, heartbeat *wire.WorkerHeartbeat) {
	amongFirst := heartbeat.Epoch == 1 && heartbeat.Sequence <= 2
	if machine.term == shard.Term {
		machine.newlyBooted = machine.newlyBooted && amongFirst
		return
	}
	machine.term = shard.Term
	machine.answeredAt = 0
	machine.heartbeatCount = 0
	machine.tokenConfirmed = false
	machine.ignoredReplies = 0
	machine.unresponsive = false
	machine.leaseExpiring, machine.lostTasks = false, false
	machine.startReplySequence, machine.directStarts = map[taskKey]uint64{}, map[taskKey]directStart{}
	// No owner has reported the machine before, so the worker can't have received a token yet.
	machine.newlyBooted = amongFirst && heartbeat.Token == 0 && !machine.view.reportedByOwner && len(machine.placements) == 0
	n.nextViewUpdateAt = 0
}

// resetForNewEpoch discards what was sent to a machine in the previous epoch when its worker has
// begun a new one.
func (n *Node) resetForNewEpoch(machine *machine, heartbeat *wire.WorkerHeartbeat) {
	if machine.epoch == heartbeat.Epoch {
		return
	}
	// The lease expired although a heartbeat was answered recently, so the replies don't reach
	// the worker. Without the current token in the last heartbeat this conclusion is not valid:
	// heartbeats that a network partition has delayed arrive together with the first of the
	// next epoch.
	if machine.tokenConfirmed && machine.heartbeatCount > 1 &&
		machine.answeredAt > 0 &&
		n.now-machine.answeredAt < n.cfg.WorkerLease*3/4 {
		machine.ignoredReplies = ignoredRepliesThreshold
	}
	clear(machine.startReplySequence)
	clear(machine.directStarts)
	machine.leaseExpiring, machine.lostTasks = false, false
}

// updateTokenConfirmed records whether a worker has the current token. If it still lacks the token
// after a reply, the reply counts as ignored.
func (n *Node) updateTokenConfirmed(shard *shard, machine *machine, heartbeat *wire.WorkerHeartbeat) {
	if machine.tokenConfirmed != (heartbeat.Token == shard.Term) {
		machine.tokenConfirmed, machine.ignoredReplies = heartbeat.Token == shard.Term, 0
		n.nextViewUpdateAt = 0
	} else if machine.heartbeatCount > 0 && !machine.tokenConfirmed && n.sentAfterLastReply(machine) {
		machine.ignoredReplies++
	}
}

// recordHeartbeat records the time, epoch and sequence number of a machine's heartbeat and a notice
// that the cloud will reclaim the machine. It clears the records that the worker was redirected and
// could not reach its owner.
func (n *Node) recordHeartbeat(machine *machine, heartbeat *wire.WorkerHeartbeat) {
	machine.epoch = heartbeat.Epoch
	machine.sequence = heartbeat.Sequence
	machine.heartbeatAt = n.now
	machine.ownerUnreachableAt, machine.redirectedAt = 0, 0
	machine.heartbeatCount++
	machine.reclaimAt = 0
	if heartbeat.ReclaimS != nil {
		machine.reclaimAt = n.now + Time(*heartbeat.ReclaimS*float64(second))
	}
}

// updateResponsiveness records whether a machine is unresponsive. If this has changed, or the number
// of ignored replies differs from ignoredBefore, the machine's view is updated at once.
func (n *Node) updateResponsiveness(shard *shard, machine *machine, ignoredBefore int) {
	unresponsive := machine.ignoredReplies >= ignoredRepliesThreshold && !n.manyUnresponsive(shard)
	if unresponsive == machine.unresponsive && machine.ignoredReplies == ignoredBefore {
		return
	}
	if unresponsive && !machine.unresponsive {
		n.log(LogInfo, "machine unresponsive", "machine", machine.name)
	}
	machine.unresponsive, n.nextViewUpdateAt = unresponsive, 0
}

// sentAfterLastReply reports whether the worker has probably sent the heartbeat that has just
// arrived after it received the last reply, or after it gave up waiting for that reply, which it
// does 4 s after sending a heartbeat. If such a heartbeat shows no effect of the reply, the reply
// was lost or ignored. A heartbeat that arrives within 3 s of the reply is assumed to have been
// sent before it. This includes heartbeats that a network partition has delayed, which arrive
// together.
func (s *site) sentAfterLastReply(machine *machine) bool {
	return machine.answeredAt > 0 && s.now-machine.answeredAt > 3*second
}

// ignoredRepliesThreshold is the number of consecutive replies without effect at which a machine
// counts as unresponsive. One or two are lost occasionally.
const ignoredRepliesThreshold = 3

// manyUnresponsive reports whether more than a quarter of a shard's machines, and at least two, have
// ignored at least ignoredRepliesThreshold-1 consecutive replies. Then the fault is probably this
// controller's: workers also ignore replies that arrive too late.
func (s *site) manyUnresponsive(shard *shard) bool {
	all, ignoring := 0, 0
	for _, machine := range shard.machines {
		if machine.term == shard.Term && !machine.deprovisioned {
			all++
			if machine.ignoredReplies >= ignoredRepliesThreshold-1 {
				ignoring++
			}
		}
	}
	return ignoring > max(1, all/4)
}
