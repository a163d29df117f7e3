package core

import (
	"time"
)

const (
	// ownerInterval and ownerIntervalPerJob are the fixed and the variable part of the time
	// between two passes of the owner; a pass visits every live job.
	ownerInterval       = 60 * time.Millisecond
	ownerIntervalPerJob = 20 * time.Microsecond
)

// runOwner makes a pass over the shards that this controller owns, if one is due. It queues the
// tasks of silent machines as lost (silent_machines.go), writes the outcomes of tasks
// (task_outcomes.go), stops gangs (gang_stop.go), chooses machines for granted tasks
// (grant_placement.go) and admits jobs without the leader, in one transaction at a time.
func (n *Node) runOwner() {
	if n.now < n.nextOwnerPassAt {
		return
	}
	n.nextOwnerPassAt = n.now + ownerInterval + Time(len(n.replica.Live()))*ownerIntervalPerJob
	actsAsOwner := false
	for _, shard := range n.shards {
		if n.mayActAsOwner(shard) {
			actsAsOwner = true
			n.queueLostTasks(shard)
		}
	}
	if !actsAsOwner {
		n.batch.discard()
		return
	}
	if !n.batch.retryOrCheckReady(n) {
		return
	}
	writer := newWriter(n)
	var available lazySlots
	n.applyOutcomes(writer, &available, true)
	n.stopReclaimedGangs(writer)
	n.expireGangHolds(writer)
	n.placeGranted(writer, &available)
	n.applyOutcomes(writer, &available, false)
	n.admitWork(writer, &available)
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
		return false // its worker might not execute a start
	case machine.reclaimAt != 0, machine.draining, machine.deprovisioned, machine.unhealthy, s.now < machine.noCapacityUntil:
		return false
	}
	return true
}
