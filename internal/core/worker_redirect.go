package core

import (
	"net/http"
	"slices"
	"time"

	"micaport/internal/wire"
)

// Workers that report to a controller which doesn't own their machine. They are sent to the
// owner. One that comes back can't reach it, which the shard's claim takes into account,
// and peers must not return a machine as lost that reports to any controller.

const (
	// redirectedTime is how long a machine counts as having come to a controller that
	// does not own it.
	redirectedTime = 12 * second
	// A worker that returns within these times of a redirect has been to its owner in
	// vain; sooner it can't have been there yet, later it comes for another reason.
	minBounceTime = 700 * time.Millisecond
	maxBounceTime = 15 * second
	// bounceGap is the time between two bounces from which on the later one counts as
	// the first of others.
	bounceGap = 12 * second
)

// redirect sends a worker to the owner of its machine. A late heartbeat is a copy of an
// earlier one, which says nothing of where the worker is now.
func (n *Node) redirect(requestID uint64, shard *shard, machine *machine, late bool) {
	if !n.replica.Loaded() || shard.Record == nil || shard.Record.Owner == n.cfg.Self {
		n.refuseHeartbeat(requestID, "no owner")
		return
	}
	if !late {
		n.noteRedirect(shard, machine)
	}
	if !machine.misdirectedListed {
		machine.misdirectedListed = true
		n.misdirectedMachines = append(n.misdirectedMachines, machine.index)
	}
	n.emit(Reply{RequestID: requestID, Status: http.StatusMisdirectedRequest, Body: wire.Redirect{Owner: shard.Record.Owner}})
}

// noteRedirect notes that a worker is sent to its owner, and whether it can't reach it: it
// was sent there before and is back, or its owner says that it misses its heartbeats.
func (n *Node) noteRedirect(shard *shard, machine *machine) {
	away := n.now - machine.redirectedAt
	bounced := machine.redirectedAt > 0 && away > minBounceTime && away < maxBounceTime
	if n.storeOK && (bounced || n.ownerMissesMachine(shard, machine)) && !n.ownerHearsMachine(shard, machine) {
		if machine.bouncedAt == 0 || n.now-machine.bouncedAt > bounceGap {
			machine.bouncingSince = n.now
		}
		machine.bouncedAt = n.now
	}
	machine.redirectedAt = n.now
}

// isRedirectedCopy reports whether a heartbeat that came to another controller than the
// owner is a copy of what came before.
func (m *machine) isRedirectedCopy(heartbeat *wire.WorkerHeartbeat) bool {
	if m.misdirectedEpoch > heartbeat.Epoch ||
		m.misdirectedEpoch == heartbeat.Epoch && m.misdirectedSequence >= heartbeat.Sequence {
		return true
	}
	m.misdirectedEpoch, m.misdirectedSequence = heartbeat.Epoch, heartbeat.Sequence
	return false
}

// ownerHearsMachine reports whether an owner that is reachable says that it gets a
// machine's heartbeats: then what comes here in its name is a late copy, or only the
// answers don't reach the machine. When copies counted, two controllers took shards from
// each other for as long as they came.
func (n *Node) ownerHearsMachine(shard *shard, machine *machine) bool {
	owner := n.peers[shard.Record.Owner]
	if owner == nil || n.now-owner.receivedAt > peerAliveTime {
		return false
	}
	if machine.viewTerm != shard.Term {
		return n.now-shard.ChangedAt < 3*n.cfg.HeartbeatInterval // too early for a heartbeat to it
	}
	return machine.view.missedHeartbeats == 0
}

// ownerMissesMachine reports whether an owner that has been up for a while says that it
// gets no heartbeats of a machine. One that has just come back does not know the machine
// yet, which proves nothing.
func (n *Node) ownerMissesMachine(shard *shard, machine *machine) bool {
	owner := n.peers[shard.Record.Owner]
	return owner != nil && n.now-owner.receivedAt < peerAliveTime && owner.message.UpS >= 4*n.cfg.HeartbeatInterval.Seconds() &&
		machine.viewTerm == shard.Term && machine.view.missedHeartbeats > 0
}

// missedMachineNames names the machines of other owners that came here lately although
// their owners miss their heartbeats, sorted by name. Peers need all of these, as one
// that is left out counts as lost and is returned, and no others: after an owner's
// failure its machines, thousands at a large site, all come to its peers at once.
func (n *Node) missedMachineNames() []string {
	var names []string
	n.misdirectedMachines = slices.DeleteFunc(n.misdirectedMachines, func(index int) bool {
		machine := n.machines[index]
		if machine.redirectedAt == 0 || n.now-machine.redirectedAt >= redirectedTime {
			machine.misdirectedListed = false
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
