package core

import (
	"slices"

	"micaport/internal/wire"
)

// applyLeaderInstructions applies the instructions to the owners of shards in a message of the
// leader.
func (n *Node) applyLeaderInstructions(message *wire.Gossip) {
	if n.leadership.Record() == nil || n.leadership.Record().Controller != message.From {
		return
	}
	for _, name := range message.Returned {
		if index := n.names.Machines.Find(name); index >= 0 {
			n.machines[index].deprovisioned = true
		}
	}
	n.receiveReservations(message.Kept)
	n.updateDrainingMachines(message.Retire, message.RetireCut)
}

// reservations holds the machines that the leader reserves for gangs.
type reservations struct {
	jobs       map[int]int // by machine
	receivedAt Time
}

// reservationTimeout is how long reservations are valid after the leader's last message.
const reservationTimeout = 5 * second

// jobOf returns the job for which a machine is reserved, if any.
func (r *reservations) jobOf(machine int, now Time) (job int, reserved bool) {
	job, reserved = r.jobs[machine]
	return job, reserved && now-r.receivedAt < reservationTimeout
}

// receiveReservations stores which machines the leader reserves for gangs. Owners choose the
// machines of tasks. Without the reservations they would place new tasks on a reserved machine as
// soon as a task on it has ended.
func (n *Node) receiveReservations(reservations []wire.Reservation) {
	clear(n.reserved.jobs)
	n.reserved.receivedAt = n.now
	for _, reservation := range reservations {
		machine, job := n.names.Machines.Find(reservation.Host), n.names.Jobs.Find(reservation.Ref)
		if machine >= 0 && job >= 0 {
			n.reserved.jobs[machine] = job
		}
	}
}

// updateDrainingMachines starts to drain those of this controller's machines that the leader wants
// to deprovision and that are empty. It stops draining those that the leader no longer lists, unless
// the list has been cut.
func (n *Node) updateDrainingMachines(names []string, cut bool) {
	asked := make(map[string]bool, len(names))
	for _, name := range names {
		asked[name] = true
		if index := n.names.Machines.Find(name); index >= 0 {
			n.drainIfEmpty(n.machines[index])
		}
	}
	n.drainingMachines = slices.DeleteFunc(n.drainingMachines, func(index int) bool {
		machine := n.machines[index]
		// A leader that was replaced early may still deprovision the machines that it had asked
		// to drain, until the cloud fence has ended.
		if machine.draining && !cut && !asked[machine.name] && n.now >= n.failover.cloudFenceEndsAt(n.cfg.LeaderLease) {
			machine.draining = false
		}
		return !machine.draining || machine.deprovisioned
	})
}

// drainIfEmpty starts to drain a machine if this controller owns it and it has no tasks.
func (n *Node) drainIfEmpty(machine *machine) {
	if machine.shard < 0 || !n.owns(n.shards[machine.shard]) ||
		len(machine.placements) > 0 || len(machine.reportedTasks) > 0 ||
		machine.draining {
		return
	}
	machine.draining = true
	n.drainingMachines = append(n.drainingMachines, machine.index)
	n.sendOrExpediteGossip(true)
}
