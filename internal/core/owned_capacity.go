package core

import "micaport/internal/wire"

// lazySlots holds the slots of this controller's machines, which are computed on first use.
type lazySlots struct{ set *slotSet }

func (l *lazySlots) slots(n *Node) *slotSet {
	if l.set == nil {
		l.set = n.ownedSlots()
	}
	return l.set
}

// ownedSlots returns the free capacity of the machines in this controller's shards, less the
// capacity that is held for gangs and less the placements that this controller has made as the
// leader and that are not committed yet.
func (n *Node) ownedSlots() *slotSet {
	slots := newSlotSet(n)
	for _, shard := range n.shards {
		if !n.mayActAsOwner(shard) {
			continue
		}
		for _, machine := range shard.machines {
			n.examinedMachines++
			if !n.acceptsTasks(machine) {
				continue
			}
			if slot := n.ownedSlot(machine); slot != nil {
				slots.add(slot)
			}
		}
	}
	n.subtractHolds(slots)
	n.subtractPendingPlacements(slots)
	return slots
}

// ownedSlot returns the free capacity of a machine, or nil if the machine's type is not known.
func (n *Node) ownedSlot(machine *machine) *slot {
	slot := n.slotOf(machine)
	if slot == nil {
		return nil
	}
	if job, reserved := n.reserved.jobOf(machine.index, n.now); reserved {
		slot.reservedFor = job + 1
	}
	// The capacity of a task that has ended is free although the record still lists the task:
	// a new placement is written in the same transaction as the removal of the task.
	for i := range machine.placements {
		placed := &machine.placements[i]
		if _, ended := n.outcomes[placed.taskKey]; ended && n.jobs[placed.job].Record.Spec != nil {
			slot.release(n.jobs[placed.job].Record.Spec, 1)
		}
	}
	return slot
}

// subtractPendingPlacements subtracts the capacity of tasks that this controller, as the leader,
// has placed in a transaction that is not committed yet.
func (n *Node) subtractPendingPlacements(slots *slotSet) {
	if !n.leader.batch.active {
		return
	}
	pendingSpecs := map[*machine][]*wire.JobSpec{}
	for _, pending := range n.leader.pendingPlacements {
		pendingSpecs[pending.machine] = append(pendingSpecs[pending.machine], pending.spec)
	}
	for _, slot := range slots.all {
		for _, spec := range pendingSpecs[slot.machine] {
			slot.allocate(spec)
		}
	}
}
