package core

import (
	"micaport/internal/wire"
)

// workerHeartbeat answers a worker.
func (n *Node) workerHeartbeat(in WorkerReported) {
	heartbeat := in.Heartbeat
	index := n.shardOf(n.names.Zones.Find(heartbeat.Zone), heartbeat.Machine)
	if index < 0 || heartbeat.Machine == "" {
		n.emit(Reply{RequestID: in.RequestID, Status: 503, Body: wire.Error{Error: "unknown zone"}})
		return
	}
	shard := n.shards[index]
	machine := n.machineNamed(heartbeat.Machine)
	if machine.returned {
		// The cloud has confirmed it gone: a late copy.
		n.emit(Reply{RequestID: in.RequestID, Status: 503, Body: wire.Error{Error: "returned"}})
		return
	}
	n.setShard(machine, index)
	machine.machineType, machine.spot, machine.address = n.names.MachineTypes.Of(heartbeat.MachineType), heartbeat.Spot, heartbeat.Addr
	if !n.replica.Loaded() || !n.mayActAsOwner(shard) || heartbeat.Token > shard.Term {
		n.redirect(in.RequestID, shard, machine, machine.isStrayCopy(heartbeat))
		return
	}
	if machine.epoch > heartbeat.Epoch || machine.epoch == heartbeat.Epoch && machine.sequence >= heartbeat.Sequence {
		// A late copy; its worker has long given it up.
		n.emit(Reply{RequestID: in.RequestID, Status: 503, Body: wire.Error{Error: "late report"}})
		return
	}
	n.noteNewTerm(shard, machine, heartbeat)
	n.noteSession(machine, heartbeat)
	n.noteToken(shard, machine, heartbeat)
	consecutive := machine.epoch == heartbeat.Epoch && heartbeat.Sequence == machine.sequence+1
	n.noteHeartbeat(machine, heartbeat)
	n.placementAt = 0
	was := machine.ignoredReplies
	orders := n.reconcile(shard, machine, heartbeat)
	if machine.leaseExpiring {
		n.emit(Reply{RequestID: in.RequestID, Status: 503, Body: wire.Error{Error: "a start is not accounted for"}})
		return
	}
	if consecutive && machine.ignoredReplies == was && len(n.cfg.Members) > 1 && machine.tokenConfirmed {
		machine.ignoredReplies = 0 // it has stayed with us, so it heard our last answer
	}
	n.noteResponsiveness(shard, machine, was)
	if pause := n.replyDelayFor(machine, heartbeat, orders); pause > 0 {
		n.heldReplies = append(n.heldReplies, heldReply{WorkerReported: in, shard: shard, machine: machine, term: shard.Term, until: n.now + pause})
		machine.heldReplies++
		return
	}
	n.answerWorker(in.RequestID, shard, machine, orders)
}

// isStrayCopy tells whether a report that came to another than the owner is a copy of
// what came before, which tells nothing of where the machine is now.
func (machine *machine) isStrayCopy(heartbeat *wire.WorkerHeartbeat) bool {
	if machine.strayEpoch > heartbeat.Epoch || machine.strayEpoch == heartbeat.Epoch && machine.straySequence >= heartbeat.Sequence {
		return true
	}
	machine.strayEpoch, machine.straySequence = heartbeat.Epoch, heartbeat.Sequence
	return false
}

// noteNewTerm begins anew with a machine that is heard for the first time in our term.
func (n *Node) noteNewTerm(shard *shard, machine *machine, heartbeat *wire.WorkerHeartbeat) {
	firstReports := heartbeat.Epoch == 1 && heartbeat.Sequence <= 2
	if machine.term == shard.Term {
		machine.newlyBooted = machine.newlyBooted && firstReports
		return
	}
	machine.term, machine.answeredAt, machine.heartbeats, machine.tokenConfirmed, machine.ignoredReplies, machine.unresponsive = shard.Term, 0, 0, false, 0, false
	machine.leaseExpiring = false
	machine.startSentAt, machine.directStarts = map[taskKey]uint64{}, map[taskKey]directStart{}
	// The first report of a machine's life, of which nobody has heard: it can't know
	// any term yet.
	machine.newlyBooted = firstReports && heartbeat.Token == 0 && !machine.view.known && len(machine.placements) == 0
	n.ownViewAt = 0
}

// noteSession forgets what was sent to a machine in its last epoch.
func (n *Node) noteSession(machine *machine, heartbeat *wire.WorkerHeartbeat) {
	if machine.epoch == heartbeat.Epoch {
		return
	}
	// Its lease ran out although we answered it a short while ago: our answers don't
	// reach it. Only reports that show our term tell so: what was held back in a cut
	// arrives together with the next epoch.
	if machine.tokenConfirmed && machine.heartbeats > 1 && machine.answeredAt > 0 && n.now-machine.answeredAt < n.cfg.WorkerLease*3/4 {
		machine.ignoredReplies = maxIgnoredReplies
	}
	clear(machine.startSentAt)
	clear(machine.directStarts)
	machine.leaseExpiring = false
}

// noteToken notes whether a machine has taken our term, and counts answers after which
// it still has not.
func (n *Node) noteToken(shard *shard, machine *machine, heartbeat *wire.WorkerHeartbeat) {
	if machine.tokenConfirmed != (heartbeat.Token == shard.Term) {
		machine.tokenConfirmed, machine.ignoredReplies = heartbeat.Token == shard.Term, 0
		n.ownViewAt = 0
	} else if machine.heartbeats > 0 && !machine.tokenConfirmed && n.replyLikelyLost(machine) {
		machine.ignoredReplies++
	}
}

// noteHeartbeat notes when and what a machine has reported.
func (n *Node) noteHeartbeat(machine *machine, heartbeat *wire.WorkerHeartbeat) {
	machine.epoch, machine.sequence, machine.heartbeatAt = heartbeat.Epoch, heartbeat.Sequence, n.now
	machine.bouncedAt, machine.redirectedAt = 0, 0
	machine.heartbeats++
	machine.reclaimAt = 0
	if heartbeat.ReclaimS != nil {
		machine.reclaimAt = n.now + Time(*heartbeat.ReclaimS*float64(second))
	}
}

// noteResponsiveness tells the peers when a machine does not hear us, or may not.
func (n *Node) noteResponsiveness(shard *shard, machine *machine, ignoredBefore int) {
	deaf := machine.ignoredReplies >= maxIgnoredReplies && !n.manyUnresponsive(shard)
	if deaf == machine.unresponsive && machine.ignoredReplies == ignoredBefore {
		return
	}
	if deaf && !machine.unresponsive {
		n.log(LogInfo, "machine unresponsive", "machine", machine.name)
	}
	machine.unresponsive, n.ownViewAt = deaf, 0
}

// replyLikelyLost tells whether a machine may have waited in vain for our last answer:
// it would have done so for 4 s. What comes sooner was on its way before, as
// everything that a cut has held back.
func (n *Node) replyLikelyLost(machine *machine) bool {
	return machine.answeredAt > 0 && n.now-machine.answeredAt > 3*second
}

// maxIgnoredReplies is how many answers in a row may be without effect before a
// machine counts as unresponsive. One or two are lost now and then.
const maxIgnoredReplies = 3

// manyUnresponsive tells whether so many machines seem unresponsive that the fault is rather
// ours: answers that come too late are dropped as well.
func (n *Node) manyUnresponsive(shard *shard) bool {
	all, deaf := 0, 0
	for _, machine := range shard.machines {
		if machine.term == shard.Term && !machine.returned {
			all++
			if machine.ignoredReplies >= maxIgnoredReplies-1 {
				deaf++
			}
		}
	}
	return deaf > max(1, all/4)
}
