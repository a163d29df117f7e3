package core

import "micaport/internal/wire"

// lazySlots is the room on this controller's machines, computed when it is first used.
type lazySlots struct{ set *slotSet }

func (r *lazySlots) slots(n *Node) *slotSet {
	if r.set == nil {
		r.set = n.ownedSlots()
	}
	return r.set
}

// ownedSlots lists the room on the machines of this controller's shards, less what is
// reserved for gangs and what its scheduler is about to place there.
func (n *Node) ownedSlots() *slotSet {
	slots := newSlotSet(n)
	for _, shard := range n.shards {
		if !n.mayActAsOwner(shard) {
			continue
		}
		for _, machine := range shard.machines {
			n.workCount++
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

// ownedSlot is the room on a machine, or nil.
func (n *Node) ownedSlot(machine *machine) *slot {
	slot := n.slotOf(machine)
	if slot == nil {
		return nil
	}
	if job, reserved := n.reserved.jobOf(machine.index, n.now); reserved {
		slot.reservedFor = job + 1
	}
	// A task that has ended leaves its room though its record still shows it: the new
	// placement goes into the same write as the end.
	for i := range machine.placements {
		placed := &machine.placements[i]
		if _, ended := n.outcomes[placed.taskKey]; ended && n.jobs[placed.job].Record.Spec != nil {
			slot.release(n.jobs[placed.job].Record.Spec, 1)
		}
	}
	return slot
}

// subtractPendingPlacements subtracts what this controller, as the leader, has placed in a
// transaction that is under way.
func (n *Node) subtractPendingPlacements(slots *slotSet) {
	if !n.leader.batch.active {
		return
	}
	taken := map[*machine][]*wire.JobSpec{}
	for _, pending := range n.leader.pendingPlacements {
		taken[pending.machine] = append(taken[pending.machine], pending.spec)
	}
	for _, slot := range slots.all {
		for _, spec := range taken[slot.machine] {
			slot.allocate(spec)
		}
	}
}
