package core

import (
	"net/http"
	"slices"
	"time"

	"micaport/internal/wire"
)

const (
	// redirectRetention is how long a machine counts as misdirected after its last redirect.
	redirectRetention = 12 * second
	// A worker that sends the next heartbeat here has failed to reach its owner if the time since
	// the redirect is between these limits. Earlier, it can't have tried the owner yet; later, it
	// has another reason.
	minFailedRedirectDelay = 700 * time.Millisecond
	maxFailedRedirectDelay = 15 * second
	// ownerUnreachableSeriesGap is the time between two heartbeats of a worker that can't reach its
	// owner beyond which the later one begins a new series.
	ownerUnreachableSeriesGap = 12 * second
)

// redirect answers a heartbeat of a machine that this controller does not own with the name of
// the owner, or refuses it if no other owner is known, and lists the machine as misdirected. A copy
// of an earlier heartbeat does not count as a sign that the worker can't reach its owner.
func (n *Node) redirect(requestID uint64, shard *shard, machine *machine, isCopy bool) {
	if !n.replica.Loaded() || shard.Record == nil || shard.Record.Owner == n.cfg.Self {
		n.refuseHeartbeat(requestID, "no owner")
		return
	}
	if !isCopy {
		n.recordRedirect(shard, machine)
	}
	if !machine.inMisdirectedMachines {
		machine.inMisdirectedMachines = true
		n.misdirectedMachines = append(n.misdirectedMachines, machine.index)
	}
	n.emit(Reply{RequestID: requestID, Status: http.StatusMisdirectedRequest, Body: wire.Redirect{Owner: shard.Record.Owner}})
}

// recordRedirect records that a worker is redirected to its owner. It also records if the worker
// apparently can't reach the owner, which is evidence for taking over the shard. This is assumed if
// the worker was redirected shortly before, or the owner reports that heartbeats are missing, unless
// the owner reports that it receives them or the state service does not serve this controller.
func (n *Node) recordRedirect(shard *shard, machine *machine) {
	sinceRedirect := n.now - machine.redirectedAt
	redirectedBefore := machine.redirectedAt > 0 && sinceRedirect > minFailedRedirectDelay && sinceRedirect < maxFailedRedirectDelay
	if n.storeOK && (redirectedBefore || n.ownerMissesHeartbeats(shard, machine)) && !n.ownerReceivesHeartbeats(shard, machine) {
		if machine.ownerUnreachableAt == 0 || n.now-machine.ownerUnreachableAt > ownerUnreachableSeriesGap {
			machine.ownerUnreachableSince = n.now
		}
		machine.ownerUnreachableAt = n.now
	}
	machine.redirectedAt = n.now
}

// recordMisdirected records a misdirected heartbeat as the newest, or reports that it is a copy of an
// earlier one.
func (m *machine) recordMisdirected(heartbeat *wire.WorkerHeartbeat) (isCopy bool) {
	if m.misdirectedEpoch > heartbeat.Epoch ||
		m.misdirectedEpoch == heartbeat.Epoch && m.misdirectedSequence >= heartbeat.Sequence {
		return true
	}
	m.misdirectedEpoch, m.misdirectedSequence = heartbeat.Epoch, heartbeat.Sequence
	return false
}

// ownerReceivesHeartbeats reports whether a machine's owner is reachable and reports that it
// receives the machine's heartbeats. Then a heartbeat that arrives here is a late copy, or only the
// owner's replies don't reach the worker. If such copies were taken as signs of an unreachable
// owner, two controllers would keep taking shards from each other for as long as copies arrive.
func (n *Node) ownerReceivesHeartbeats(shard *shard, machine *machine) bool {
	owner := n.peers[shard.Record.Owner]
	if owner == nil || n.now-owner.receivedAt > peerAliveTime {
		return false
	}
	if machine.viewTerm != shard.Term {
		return n.now-shard.ChangedAt < 3*n.cfg.HeartbeatInterval // too early for the owner to report on the machine
	}
	return machine.view.missedHeartbeats == 0
}

// ownerMissesHeartbeats reports whether a machine's owner, having run for at least four heartbeat
// intervals, reports that heartbeats of the machine are missing. An owner that has just started
// has not received any yet, which proves nothing.
func (n *Node) ownerMissesHeartbeats(shard *shard, machine *machine) bool {
	owner := n.peers[shard.Record.Owner]
	return owner != nil && n.now-owner.receivedAt < peerAliveTime && owner.message.UpS >= 4*n.cfg.HeartbeatInterval.Seconds() &&
		machine.viewTerm == shard.Term && machine.view.missedHeartbeats > 0
}

// machinesMissedByOwners returns the sorted names of the machines that this controller has recently
// redirected to their owners and whose owners report missing heartbeats. It also removes from
// misdirectedMachines the machines that it has not redirected recently.
//
// Peers need all of these names, as a machine that is left out counts as lost and is deprovisioned
// although it reports to this controller. They don't need the names of other machines, of which
// there can be thousands at a large site: after an owner's failure all its machines report to its
// peers at once.
func (n *Node) machinesMissedByOwners() []string {
	var names []string
	n.misdirectedMachines = slices.DeleteFunc(n.misdirectedMachines, func(index int) bool {
		machine := n.machines[index]
		if machine.redirectedAt == 0 || n.now-machine.redirectedAt >= redirectRetention {
			machine.inMisdirectedMachines = false
			return true
		}
		if machine.view.missedHeartbeats > 0 {
			names = append(names, machine.name)
		}
		return false
	})
	slices.Sort(names)
	return names
}
