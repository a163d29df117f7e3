package core

import (
	"slices"

	"micaport/internal/wire"
)

// followLeader does what the leader's message asks of the owners of shards.
func (n *Node) followLeader(message *wire.Gossip) {
	if n.leadership.Record() == nil || n.leadership.Record().Controller != message.From {
		return
	}
	for _, name := range message.Returned {
		if index := n.names.Machines.Find(name); index >= 0 {
			n.machines[index].returned = true
		}
	}
	n.takeReservations(message.Kept)
	n.drainMachines(message.Retire)
}

// reservations are the machines that the leader reserves for gangs.
type reservations struct {
	jobs       map[int]int // by machine
	receivedAt Time
}

// reservationTimeout is how long reservations hold after the leader's last message.
const reservationTimeout = 5 * second

// jobOf is the job for which a machine is reserved, if any.
func (r *reservations) jobOf(machine int, now Time) (job int, reserved bool) {
	job, reserved = r.jobs[machine]
	return job, reserved && now-r.receivedAt < reservationTimeout
}

// takeReservations takes in which machines the leader reserves for gangs. Owners choose the
// machines of tasks; before they knew the reservations they filled the machines again as
// soon as a task on them had ended.
func (n *Node) takeReservations(reservations []wire.Reservation) {
	clear(n.reserved.jobs)
	n.reserved.receivedAt = n.now
	for _, reservation := range reservations {
		machine, job := n.names.Machines.Find(reservation.Host), n.names.Jobs.Find(reservation.Ref)
		if machine >= 0 && job >= 0 {
			n.reserved.jobs[machine] = job
		}
	}
}

// drainMachines drains the own machines that the leader wants to return, as far as they are
// empty, and lets those go that it no longer wants to.
func (n *Node) drainMachines(names []string) {
	asked := make(map[string]bool, len(names))
	for _, name := range names {
		asked[name] = true
		if index := n.names.Machines.Find(name); index >= 0 {
			n.drainIfEmpty(n.machines[index])
		}
	}
	n.draining = slices.DeleteFunc(n.draining, func(index int) bool {
		machine := n.machines[index]
		// A leader that was replaced early may still return what it had asked for.
		if machine.draining && !asked[machine.name] && n.now >= n.failover.cloudOpensAt(n.cfg.LeaderLease) {
			machine.draining = false
		}
		return !machine.draining || machine.returned
	})
}

// drainIfEmpty drains a machine if it is this controller's own and has no tasks.
func (n *Node) drainIfEmpty(machine *machine) {
	if machine.shard < 0 || !n.owns(n.shards[machine.shard]) ||
		len(machine.placements) > 0 || len(machine.reportedTasks) > 0 ||
		machine.draining {
		return
	}
	machine.draining = true
	n.draining = append(n.draining, machine.index)
	n.sendGossip(true)
}
