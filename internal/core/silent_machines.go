package core

import (
	"slices"
)

// Machines that no longer report to their owner: they have failed, hang, or are cut off.

// leaseMargin is added to a worker's lease before its tasks count as lost, together with a
// thousandth of the lease: the worker's clock may run slower than ours.
const leaseMargin = second

// expireSilentMachines gives up the tasks of machines whose lease must have run out.
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
				n.noteOutcome(machine, placed.taskKey, causeLost)
				n.log(LogInfo, "task lost", "job", n.jobs[placed.job].ID, "task", placed.task, "machine", machine.name)
			}
		}
	}
}

// forgetInterval is the time between two searches for machines and grants to forget.
const forgetInterval = 5 * second

// forgetMachines drops what is known of machines that are gone, so that their number
// costs nothing.
func (n *Node) forgetMachines() {
	if n.now < n.forgetAt {
		return
	}
	n.forgetAt = n.now + forgetInterval
	n.forgetPlacedGrants()
	for _, shard := range n.shards {
		for i := len(shard.machines) - 1; i >= 0; i-- {
			if machine := shard.machines[i]; len(machine.placements) == 0 && n.isGone(shard, machine) {
				n.setShard(machine, -1)
				machine.forget()
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

// forget drops what is known of a machine; it is learnt anew if it reports again.
func (m *machine) forget() {
	m.view = machineView{}
	m.reportedTasks = nil
	m.startSentAt = nil
	m.directStarts = nil
	m.failedJobs = nil
	m.images = nil
	m.term = 0
}

// isUnreachable reports whether a silent machine has failed or hangs, rather than being
// cut off from this controller or silent for a moment: it has not turned to any peer, and
// either other machines of the shard still report or it has had the time to try a peer.
func (n *Node) isUnreachable(machine *machine, silent Time, othersReport bool) bool {
	if silent < 3*n.cfg.HeartbeatInterval+second {
		return false
	}
	if silent > n.cfg.WorkerLease+5*second {
		return true // wherever it reports, nobody could answer it
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
	// A worker that can't reach its owner has tried a peer by now: a report, its
	// timeout of 4 s, a delay, and the peer's next message.
	return othersReport || peerReachable && silent > 2*n.cfg.HeartbeatInterval+7*second
}
