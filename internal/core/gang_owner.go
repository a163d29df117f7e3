package core

import (
	"maps"
	"slices"

	"micaport/internal/gang"
	"micaport/internal/wire"
)

// The owner's side of gang transactions; see package gang.

// gangSituation is what the next step of an attempt depends on.
func (s *site) gangSituation(attempt *gang.Attempt) gang.Situation {
	job := s.jobNamed(attempt.JobID)
	known := job != nil && job.Record != nil
	return gang.Situation{
		Age: s.now - attempt.SeenAt, HeartbeatInterval: s.cfg.HeartbeatInterval,
		Unplaced: known && hasUnplacedTask(job.Record, attempt.Record.Attempt),
		JobLive:  known && job.Record.State == wire.JobLive,
		Owner:    slices.ContainsFunc(attempt.Record.Shards, s.mayActInShard),
	}
}

// mayActInShard tells whether this controller may act as the owner of a shard, by index.
func (s *site) mayActInShard(shard int) bool { return s.mayActAsOwner(s.shards[shard]) }

// hasUnplacedTask tells whether a record has a task of an attempt without a machine.
func hasUnplacedTask(record *wire.Job, attempt uint64) bool {
	return slices.ContainsFunc(record.ActiveTasks, func(task wire.ActiveTask) bool {
		return task.Attempt == attempt && task.Machine == ""
	})
}

// settleOwnedGangs drops attempts whose hold has reached its deadline, and releases what is
// held for dropped ones.
func (n *Node) settleOwnedGangs(writer *writer) {
	for _, attempt := range n.gangs.Sorted() {
		switch attempt.OwnerAction(n.gangSituation(attempt)) {
		case gang.Drop:
			writer.setGangState(attempt, wire.GangDropped)
		case gang.Release:
			attempt.Held = nil
		}
	}
}

// subtractHolds subtracts the capacity that is held for gangs.
func (n *Node) subtractHolds(slots *slotSet) {
	for _, attempt := range n.gangs.Sorted() {
		job := n.jobNamed(attempt.JobID)
		if job == nil || job.Record == nil || job.Record.Spec == nil {
			continue
		}
		for _, task := range slices.Sorted(maps.Keys(attempt.Held)) {
			if isPlaced(job.Record, task, attempt.Record.Attempt) {
				continue // its record counts it
			}
			machine := n.machines[attempt.Held[task]]
			for _, slot := range slots.all {
				if slot.machine == machine {
					slot.allocate(job.Record.Spec)
				}
			}
		}
	}
}

// isPlaced tells whether a record has a machine for a task of an attempt.
func isPlaced(record *wire.Job, task int, attempt uint64) bool {
	return slices.ContainsFunc(record.ActiveTasks, func(active wire.ActiveTask) bool {
		return active.Task == task && active.Attempt == attempt && active.Machine != ""
	})
}

// placeGang places a gang that fits this shard as a whole, and holds room for
// our share of a larger one.
func (n *Node) placeGang(writer *writer, job *job, slots *slotSet) {
	var mine []wire.ActiveTask
	attempt := uint64(0)
	for _, task := range job.Record.ActiveTasks {
		if task.Machine == "" && n.mayActAsOwner(n.shards[task.Shard]) {
			mine = append(mine, task)
			attempt = task.Attempt
		}
	}
	if trial := n.gangs.Find(job.ID, attempt); trial != nil {
		n.advanceOwnedGang(writer, job, trial, mine, slots)
		return
	}
	whole := !slices.ContainsFunc(job.Record.ActiveTasks, func(task wire.ActiveTask) bool { return task.Shard != mine[0].Shard || task.Machine != "" })
	key := taskKey{job.Index, mine[0].Task, attempt}
	if !whole {
		// Its record is not known here yet, or has been settled and removed.
		if n.grantTimedOut(key) {
			if record := writer.job(job); record != nil {
				n.revokeUnplaced(writer, record)
				abandonGang(record, attempt)
			}
		}
		return
	}
	chosen := chooseAll(job, mine, slots)
	if chosen == nil && !n.grantTimedOut(key) {
		return
	}
	record := writer.job(job)
	if record == nil {
		return
	}
	writer.shards[mine[0].Shard] = true
	if chosen == nil {
		n.revokeUnplaced(writer, record)
		return
	}
	for i := range mine {
		chosen[i].allocate(job.Record.Spec)
		assignMachine(record, &mine[i], chosen[i].machine)
	}
}

// chooseAll finds machines for all the tasks or for none.
func chooseAll(job *job, tasks []wire.ActiveTask, slots *slotSet) []*slot {
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

// advanceOwnedGang holds capacity for an attempt that is being tried, or places the tasks of
// a confirmed one.
func (n *Node) advanceOwnedGang(writer *writer, job *job, attempt *gang.Attempt, mine []wire.ActiveTask, slots *slotSet) {
	switch attempt.Record.State {
	case wire.GangTrying:
		if attempt.Held == nil {
			n.holdForGang(job, attempt, mine, slots)
		}
	case wire.GangConfirmed:
		n.placeConfirmedGang(writer, job, attempt, mine, slots)
	}
}

// holdForGang holds capacity for our tasks of a gang, or denies it, and tells the leader at
// once.
func (n *Node) holdForGang(job *job, attempt *gang.Attempt, mine []wire.ActiveTask, slots *slotSet) {
	chosen := chooseAll(job, mine, slots)
	if chosen == nil {
		if !attempt.Denied {
			attempt.Denied = true
			n.sendGossip(true)
		}
		return
	}
	attempt.Held = map[int]int{}
	attempt.Denied = false
	for i, slot := range chosen {
		slot.allocate(job.Record.Spec)
		attempt.Held[mine[i].Task] = slot.machine.index
	}
	n.sendGossip(true)
}

// placeConfirmedGang places our tasks of a confirmed gang on the machines that are held for
// it, or on others where a hold went with its machine or its owner.
func (n *Node) placeConfirmedGang(writer *writer, job *job, attempt *gang.Attempt, mine []wire.ActiveTask, slots *slotSet) {
	machines := n.heldMachines(attempt, mine)
	if machines == nil {
		attempt.Held = nil
		for _, slot := range chooseAll(job, mine, slots) {
			slot.allocate(job.Record.Spec)
			machines = append(machines, slot.machine)
		}
	}
	if machines == nil && !n.grantTimedOut(taskKey{job.Index, mine[0].Task, attempt.Record.Attempt}) {
		return
	}
	record := writer.job(job)
	if record == nil {
		return
	}
	for _, task := range mine {
		writer.shards[task.Shard] = true
	}
	if machines == nil {
		n.revokeUnplaced(writer, record)
		abandonGang(record, attempt.Record.Attempt)
		return
	}
	for i := range mine {
		assignMachine(record, &mine[i], machines[i])
	}
}

// heldMachines gives the machines that are held for tasks, or nil unless all accept tasks.
func (s *site) heldMachines(attempt *gang.Attempt, mine []wire.ActiveTask) []*machine {
	machines := make([]*machine, len(mine))
	for i, task := range mine {
		index, held := attempt.Held[task.Task]
		if !held || !s.acceptsTasks(s.machines[index]) {
			return nil
		}
		machines[i] = s.machines[index]
	}
	return machines
}
