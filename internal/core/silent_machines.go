package core

import (
	"slices"
)

// leaseMargin and a thousandth of the worker's lease are added to the lease before the worker's
// tasks count as lost: the worker's clock may run slower than this controller's.
const leaseMargin = second

// queueLostTasks queues the tasks of two kinds of machines as lost: machines that have been
// deprovisioned, and machines whose worker's lease must have expired because they failed, hang or
// can't reach a controller.
func (n *Node) queueLostTasks(shard *shard) {
	limit := n.cfg.WorkerLease + n.cfg.WorkerLease/1000 + leaseMargin
	for _, machine := range shard.machines {
		if len(machine.placements) == 0 {
			continue
		}
		lastReplyAt := shard.SoleOwnerSince // an earlier owner may have replied until then
		if machine.term == shard.Term {
			lastReplyAt = max(lastReplyAt, machine.answeredAt)
		}
		if !machine.deprovisioned && n.now-lastReplyAt <= limit {
			continue
		}
		for i := range machine.placements {
			placed := &machine.placements[i]
			if _, known := n.outcomes[placed.taskKey]; !known && placed.shard == shard.Index {
				n.queueOutcome(machine, placed.taskKey, causeLost)
				n.log(LogInfo, "task lost", "job", n.jobs[placed.job].ID, "task", placed.task, "machine", machine.name)
			}
		}
	}
}

// cleanupInterval is the time between two searches for machines that are gone and for grants that
// no longer wait; see removeGoneMachines.
const cleanupInterval = 5 * second

// removeGoneMachines removes machines that are gone from their shards and discards their state, so
// that they use no time or memory. Machines with placed tasks are kept. It also calls
// removeEndedGrantWaits.
func (n *Node) removeGoneMachines() {
	if n.now < n.nextCleanupAt {
		return
	}
	n.nextCleanupAt = n.now + cleanupInterval
	n.removeEndedGrantWaits()
	for _, shard := range n.shards {
		for i := len(shard.machines) - 1; i >= 0; i-- {
			if machine := shard.machines[i]; len(machine.placements) == 0 && n.isGone(shard, machine) {
				n.setShard(machine, -1)
				machine.clearState()
			}
		}
	}
}

// isGone reports whether a machine has been deprovisioned, or has been silent for three times the
// lease of a worker. If this controller may act as the owner, silent means that it has received no
// heartbeat for that time. If this controller does not own the shard, it means that the view from
// the owner shows the machine as unreachable, and that the claim of the shard has not changed for
// that time.
func (s *site) isGone(shard *shard, machine *machine) bool {
	timeout := 3 * s.cfg.WorkerLease
	switch {
	case machine.deprovisioned:
		return true
	case s.mayActAsOwner(shard) && machine.term == shard.Term && s.now-machine.heartbeatAt > timeout:
		return true
	}
	return machine.view.unreachable && !s.owns(shard) && s.now-shard.ChangedAt > timeout
}

// clearState discards most of a machine's state. If the machine sends another heartbeat, the state is
// initialized as in a new term.
func (m *machine) clearState() {
	m.view = machineView{}
	m.reportedTasks = nil
	m.startReplySequence = nil
	m.directStarts = nil
	m.failedJobs = nil
	m.images = nil
	m.term = 0
}

// isUnreachable reports whether a machine has failed or hangs, after a silence of the given length.
// A machine that reports to a peer is not unreachable; only its connection to this controller has
// failed. A machine that reports to no peer is unreachable if othersReport is set, which means that
// most machines of its shard report, or if it has had enough time to try a reachable peer.
func (n *Node) isUnreachable(machine *machine, silence Time, othersReport bool) bool {
	if silence < 3*n.cfg.HeartbeatInterval+second {
		return false
	}
	if silence > n.cfg.WorkerLease+5*second {
		return true // no reply can have renewed its lease, wherever it reported
	}
	peerReachable := false
	for _, member := range n.cfg.Members {
		p := n.peers[member.Name]
		if p == nil || n.now-p.receivedAt > peerAliveTime {
			continue
		}
		peerReachable = true
		if _, redirected := slices.BinarySearch(p.message.Strays, machine.name); redirected {
			return false
		}
	}
	// After this time a worker that can't reach its owner has reported to a peer, and the peer
	// has sent this controller the machine's name: that takes a heartbeat, its timeout of 4 s, a
	// retry delay, and the peer's next message.
	return othersReport || peerReachable && silence > 2*n.cfg.HeartbeatInterval+7*second
}
