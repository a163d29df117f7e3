package core

import (
	"slices"
)

// leaseMargin is added to a worker's lease, together with a thousandth of it, before the
// worker's tasks count as lost: its clock may run slower than this controller's.
const leaseMargin = second

// expireSilentMachines records as lost the tasks of machines that have been returned or whose
// worker's lease must have expired, because the machine failed, hangs or is cut off.
func (n *Node) expireSilentMachines(shard *shard) {
	limit := n.cfg.WorkerLease + n.cfg.WorkerLease/1000 + leaseMargin
	for _, machine := range shard.machines {
		if len(machine.placements) == 0 {
			continue
		}
		last := shard.OwnedSince
		if machine.term == shard.Term {
			last = max(last, machine.answeredAt)
		}
		if !machine.returned && n.now-last <= limit {
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

// cleanupInterval is the time between two searches for outdated machines and grants.
const cleanupInterval = 5 * second

// removeGoneMachines removes machines that are gone from their shards and discards their state,
// so that they cost no time or memory. It also discards the times of grants that
// have been placed or revoked.
func (n *Node) removeGoneMachines() {
	if n.now < n.nextCleanupAt {
		return
	}
	n.nextCleanupAt = n.now + cleanupInterval
	n.removeStaleGrantTimes()
	for _, shard := range n.shards {
		for i := len(shard.machines) - 1; i >= 0; i-- {
			if machine := shard.machines[i]; len(machine.placements) == 0 && n.isGone(shard, machine) {
				n.setShard(machine, -1)
				machine.clearState()
			}
		}
	}
}

// isGone reports whether a machine has been returned, or has been silent for far longer
// than its lease.
func (s *site) isGone(shard *shard, machine *machine) bool {
	timeout := 3 * s.cfg.WorkerLease
	switch {
	case machine.returned:
		return true
	case s.mayActAsOwner(shard) && machine.term == shard.Term && s.now-machine.heartbeatAt > timeout:
		return true
	}
	return machine.view.unreachable && !s.owns(shard) && s.now-shard.ChangedAt > timeout
}

// clearState discards the state of a machine; it is built up again if the machine reports again.
func (m *machine) clearState() {
	m.view = machineView{}
	m.reportedTasks = nil
	m.startSentAt = nil
	m.directStarts = nil
	m.failedJobs = nil
	m.images = nil
	m.term = 0
}

// isUnreachable reports whether a silent machine has failed or hangs, rather than being cut
// off from this controller only or silent for a short time. That is so if it has not reported to
// any peer, and either other machines of the shard still report or it has had enough time to
// try a peer.
func (n *Node) isUnreachable(machine *machine, silent Time, othersReport bool) bool {
	if silent < 3*n.cfg.HeartbeatInterval+second {
		return false
	}
	if silent > n.cfg.WorkerLease+5*second {
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
	// A worker that can't reach its owner has reported to a peer by now, and the peer has
	// announced that: it takes a heartbeat, its timeout of 4 s, a retry delay, and the
	// peer's next message.
	return othersReport || peerReachable && silent > 2*n.cfg.HeartbeatInterval+7*second
}
