package core

import (
	"maps"
	"slices"

	"micaport/internal/gang"
	"micaport/internal/wire"
)

// gangTransitionInput returns the state on which the next action for an attempt depends.
func (s *site) gangTransitionInput(attempt *gang.Attempt) gang.TransitionInput {
	job := s.findJob(attempt.JobID)
	known := job != nil && job.Record != nil
	return gang.TransitionInput{
		Age: s.now - attempt.SeenAt, HeartbeatInterval: s.cfg.HeartbeatInterval,
		HasUnplacedTasks: known && hasUnplacedTask(job.Record, attempt.Record.Attempt),
		JobLive:          known && job.Record.State == wire.JobLive,
		MayActAsOwner:    slices.ContainsFunc(attempt.Record.Shards, s.mayActInShard),
	}
}

// mayActInShard reports whether this controller may act as the owner of the shard with an index.
func (s *site) mayActInShard(shard int) bool { return s.mayActAsOwner(s.shards[shard]) }

// hasUnplacedTask reports whether a record has a task of an attempt without a machine.
func hasUnplacedTask(record *wire.Job, attempt uint64) bool {
	return slices.ContainsFunc(record.ActiveTasks, func(task wire.ActiveTask) bool {
		return task.Attempt == attempt && task.Machine == ""
	})
}

// expireGangHolds carries out the owner's next action for every attempt to start a gang in several
// shards: it drops attempts whose deadline has passed, and releases the capacity held for dropped
// ones.
func (n *Node) expireGangHolds(writer *writer) {
	for _, attempt := range n.gangs.Sorted() {
		switch attempt.OwnerAction(n.gangTransitionInput(attempt)) {
		case gang.Drop:
			writer.setGangState(attempt, wire.GangDropped)
		case gang.Release:
			attempt.HeldMachines = nil
		}
	}
}

// subtractHolds subtracts the capacity that is held for gangs from the slots.
func (n *Node) subtractHolds(slots *slotSet) {
	for _, attempt := range n.gangs.Sorted() {
		job := n.findJob(attempt.JobID)
		if job == nil || job.Record == nil || job.Record.Spec == nil {
			continue
		}
		for _, task := range slices.Sorted(maps.Keys(attempt.HeldMachines)) {
			if isPlaced(job.Record, task, attempt.Record.Attempt) {
				continue // already counted by its record
			}
			machine := n.machines[attempt.HeldMachines[task]]
			for _, slot := range slots.all {
				if slot.machine == machine {
					slot.allocate(job.Record.Spec)
				}
			}
		}
	}
}

// isPlaced reports whether a record has a machine for a task of an attempt.
func isPlaced(record *wire.Job, task int, attempt uint64) bool {
	return slices.ContainsFunc(record.ActiveTasks, func(active wire.ActiveTask) bool {
		return active.Task == task && active.Attempt == attempt && active.Machine != ""
	})
}

// placeGang places a gang whose tasks were all granted to one of this controller's shards. For a
// gang in several shards it carries out this owner's next step in the gang transaction.
func (n *Node) placeGang(writer *writer, job *job, slots *slotSet) {
	var ownTasks []wire.ActiveTask
	attemptNumber := uint64(0)
	for _, task := range job.Record.ActiveTasks {
		if task.Machine == "" && n.mayActAsOwner(n.shards[task.Shard]) {
			ownTasks = append(ownTasks, task)
			attemptNumber = task.Attempt
		}
	}
	if attempt := n.gangs.Find(job.ID, attemptNumber); attempt != nil {
		n.advanceOwnedGang(writer, job, attempt, ownTasks, slots)
		return
	}
	unplacedInOneShard := !slices.ContainsFunc(job.Record.ActiveTasks, func(task wire.ActiveTask) bool {
		return task.Shard != ownTasks[0].Shard || task.Machine != ""
	})
	key := taskKey{job.Index, ownTasks[0].Task, attemptNumber}
	if !unplacedInOneShard {
		// The replica does not show the attempt's record yet, or it has been removed already.
		if n.startOrCheckGrantTimeout(key) {
			if record := writer.recordToChange(job); record != nil {
				n.revokeUnplaced(writer, record)
				abandonGang(record, attemptNumber)
			}
		}
		return
	}
	chosen := chooseSlotsForAll(job, ownTasks, slots)
	if chosen == nil && !n.startOrCheckGrantTimeout(key) {
		return
	}
	record := writer.recordToChange(job)
	if record == nil {
		return
	}
	writer.ownedShards[ownTasks[0].Shard] = true
	if chosen == nil {
		n.revokeUnplaced(writer, record)
		return
	}
	for i := range ownTasks {
		chosen[i].allocate(job.Record.Spec)
		assignMachine(record, &ownTasks[i], chosen[i].machine)
	}
}

// chooseSlotsForAll chooses slots for all tasks, or returns nil if there aren't enough.
func chooseSlotsForAll(job *job, tasks []wire.ActiveTask, slots *slotSet) []*slot {
	var chosen []*slot
	spec := job.Record.Spec
	for _, task := range tasks {
		s := slots.best(job, func(s *slot) bool { return s.shard == task.Shard }, nil)
		if s == nil {
			break
		}
		s.allocate(spec)
		chosen = append(chosen, s)
	}
	for _, s := range chosen {
		s.release(spec, 1)
	}
	if len(chosen) < len(tasks) {
		return nil
	}
	return chosen
}

// advanceOwnedGang holds capacity for an attempt that is being tried, or places this controller's
// tasks of a confirmed one.
func (n *Node) advanceOwnedGang(writer *writer, job *job, attempt *gang.Attempt, ownTasks []wire.ActiveTask, slots *slotSet) {
	switch attempt.Record.State {
	case wire.GangTrying:
		if attempt.HeldMachines == nil {
			n.holdForGang(job, attempt, ownTasks, slots)
		}
	case wire.GangConfirmed:
		n.placeConfirmedGang(writer, job, attempt, ownTasks, slots)
	}
}

// holdForGang holds capacity for this controller's tasks of a gang, or denies it, and sends the
// answer to the leader at once.
func (n *Node) holdForGang(job *job, attempt *gang.Attempt, ownTasks []wire.ActiveTask, slots *slotSet) {
	chosen := chooseSlotsForAll(job, ownTasks, slots)
	if chosen == nil {
		if !attempt.Denied {
			attempt.Denied = true
			n.sendOrExpediteGossip(true)
		}
		return
	}
	attempt.HeldMachines = map[int]int{}
	attempt.Denied = false
	for i, slot := range chosen {
		slot.allocate(job.Record.Spec)
		attempt.HeldMachines[ownTasks[i].Task] = slot.machine.index
	}
	n.sendOrExpediteGossip(true)
}

// placeConfirmedGang places this controller's tasks of a confirmed gang on the machines that are
// held for it. It chooses others if a held machine no longer accepts tasks, or if the hold was
// lost with a previous owner.
func (n *Node) placeConfirmedGang(writer *writer, job *job, attempt *gang.Attempt, ownTasks []wire.ActiveTask, slots *slotSet) {
	machines := n.heldMachines(attempt, ownTasks)
	if machines == nil {
		attempt.HeldMachines = nil
		for _, slot := range chooseSlotsForAll(job, ownTasks, slots) {
			slot.allocate(job.Record.Spec)
			machines = append(machines, slot.machine)
		}
	}
	if machines == nil && !n.startOrCheckGrantTimeout(taskKey{job.Index, ownTasks[0].Task, attempt.Record.Attempt}) {
		return
	}
	record := writer.recordToChange(job)
	if record == nil {
		return
	}
	for _, task := range ownTasks {
		writer.ownedShards[task.Shard] = true
	}
	if machines == nil {
		n.revokeUnplaced(writer, record)
		abandonGang(record, attempt.Record.Attempt)
		return
	}
	for i := range ownTasks {
		assignMachine(record, &ownTasks[i], machines[i])
	}
}

// heldMachines returns the machines that are held for tasks, or nil if a hold is missing or a
// machine does not accept tasks.
func (s *site) heldMachines(attempt *gang.Attempt, ownTasks []wire.ActiveTask) []*machine {
	machines := make([]*machine, len(ownTasks))
	for i, task := range ownTasks {
		index, held := attempt.HeldMachines[task.Task]
		if !held || !s.acceptsTasks(s.machines[index]) {
			return nil
		}
		machines[i] = s.machines[index]
	}
	return machines
}
