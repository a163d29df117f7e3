package core

import "micaport/internal/wire"

// grant writes tasks of a job to the shards of the slots, task by task, as one attempt. It reports
// false if there is no write left for the job.
func (pass *schedulingPass) grant(job *job, tasks []int, slots []*slot) bool {
	n := pass.node
	record := pass.writer.job(job)
	if record == nil {
		pass.noteUnwritten()
		return false
	}
	previousAttempt := record.NextAttempt
	attempt := pass.writer.attempt(job, record)
	shards := map[int]bool{}
	assignMachines := true
	for _, slot := range slots {
		shards[slot.shard] = true
		assignMachines = assignMachines && n.mayAssignMachine(slot)
	}
	severalShards := len(shards) > 1 && record.Spec.Shape == wire.ShapeGang
	assignMachines = assignMachines && !severalShards
	for i, task := range tasks {
		pass.addGrant(job, record, taskKey{job.Index, task, attempt}, slots[i], assignMachines)
	}
	if severalShards && !pass.addGang(job, attempt, shards) {
		record.ActiveTasks, record.NextAttempt = record.ActiveTasks[:len(record.ActiveTasks)-len(tasks)], previousAttempt
		delete(pass.writer.attempts, job.Index)
		pass.noteUnwritten()
		return false
	}
	pass.charge(job, len(tasks))
	pass.addAccountCondition(job, slots)
	job.grantedAt = n.now
	n.log(LogDebug, "tasks granted", "job", job.ID, "attempt", attempt, "tasks", len(tasks), "shard", n.shards[slots[0].shard].Name)
	return true
}

// noteUnwritten counts a grant that found no write left.
func (pass *schedulingPass) noteUnwritten() {
	pass.unwrittenGrants = min(pass.unwrittenGrants+1, maxUnwrittenGrants)
}

// addGrant adds a task to a job's record, with its machine if we may assign it as its owner;
// otherwise the machine is remembered as a hint of what the grant will use.
func (pass *schedulingPass) addGrant(job *job, record *wire.Job, key taskKey, slot *slot, assignMachine bool) {
	n := pass.node
	task := wire.ActiveTask{Task: key.task, Attempt: key.attempt, Shard: slot.shard, Admitted: pass.admission != nil}
	if assignMachine {
		task.Machine, task.Epoch = slot.machine.name, slot.machine.epoch
		pass.writer.shards[slot.shard] = true
		if pass.admission == nil {
			n.leader.pendingPlacements = append(n.leader.pendingPlacements, pendingPlacement{slot.machine, record.Spec})
		}
	} else {
		n.leader.grantHints[key] = slot.machine
	}
	record.ActiveTasks = append(record.ActiveTasks, task)
}

// addGang adds the record of a gang in several shards, whose owners place it together. It reports
// false if there is no write left for it.
func (pass *schedulingPass) addGang(job *job, attempt uint64, shards map[int]bool) bool {
	gang := &wire.Gang{Attempt: attempt}
	for index := range pass.node.shards {
		if shards[index] {
			gang.Shards = append(gang.Shards, index)
		}
	}
	key := wire.GangKey(job.ID, attempt)
	return pass.writer.addWrite(Write{Key: key, Value: gang}, Condition{Key: key, Revision: 0})
}

// mayAssignMachine reports whether the leader may choose the machine in the grant, since it owns
// the shard as well: one write does for both. The commit is then conditional on both keys. While
// our own batch as an owner is under way, what that places is not known here yet.
func (n *Node) mayAssignMachine(slot *slot) bool {
	return slot.machine != nil && n.mayActAsOwner(n.shards[slot.shard]) && !n.batch.active && n.acceptsTasks(slot.machine)
}
