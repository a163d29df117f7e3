package core

import (
	"time"
)

// The owner of shards writes the outcomes of their tasks (task_outcomes.go), chooses
// machines for granted tasks (grant_placement.go), and gives up the tasks of machines that
// no longer report (silent_machines.go), in one transaction at a time.

const (
	// ownerInterval and ownerIntervalPerJob give the time between two passes of the
	// owner; a pass looks at every job that is live.
	ownerInterval       = 60 * time.Millisecond
	ownerIntervalPerJob = 20 * time.Microsecond
)

// runOwner writes the outcomes of tasks and places granted ones.
func (n *Node) runOwner() {
	if n.now < n.placementAt {
		return
	}
	n.placementAt = n.now + ownerInterval + Time(len(n.replica.Live()))*ownerIntervalPerJob
	actsAsOwner := false
	for _, shard := range n.shards {
		if n.mayActAsOwner(shard) {
			actsAsOwner = true
			n.expireSilentMachines(shard)
		}
	}
	if !actsAsOwner {
		n.batch.drop()
		return
	}
	if !n.batch.ready(n) {
		return
	}
	writer := newWriter(n)
	var room lazySlots
	n.applyOutcomes(writer, &room, true)
	n.stopReclaimedGangs(writer)
	n.settleOwnedGangs(writer)
	n.placeGranted(writer, &room)
	n.applyOutcomes(writer, &room, false)
	n.admitWork(writer, &room)
	writer.send(&n.batch)
}

// acceptsTasks reports whether the owner of a machine may place tasks on it.
func (s *site) acceptsTasks(machine *machine) bool {
	if machine.shard < 0 || machine.term != s.shards[machine.shard].Term {
		return false
	}
	switch {
	case !machine.tokenConfirmed && !machine.newlyBooted,
		machine.ignoredReplies > 0,
		s.now-machine.heartbeatAt >= 3*s.cfg.HeartbeatInterval:
		return false // its worker may not carry out a start
	case machine.reclaimAt != 0, machine.draining, machine.returned, machine.unhealthy, s.now < machine.noCapacityUntil:
		return false
	}
	return true
}
