package core

import (
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// grant adds tasks of a job to the job's record as one attempt. Each task is assigned to the shard
// of its slot. grant returns false if the transaction is full.
func (p *schedulingPass) grant(job *job, tasks []int, slots []*slot) bool {
	n := p.node
	record := p.writer.recordToChange(job)
	if record == nil {
		p.countUnwrittenGrant()
		return false
	}
	previousAttempt := record.NextAttempt
	attempt := p.writer.attemptNumber(job, record)
	shards := map[int]bool{}
	assignMachines := true
	for _, slot := range slots {
		shards[slot.shard] = true
		assignMachines = assignMachines && n.mayAssignMachine(slot)
	}
	severalShards := len(shards) > 1 && record.Spec.Shape == wire.ShapeGang
	assignMachines = assignMachines && !severalShards
	for i, task := range tasks {
		p.addGrant(job, record, taskKey{job.Index, task, attempt}, slots[i], assignMachines)
	}
	if severalShards && !p.addGang(job, attempt, shards) {
		// Undo the grants, as the gang's record could not be added.
		record.ActiveTasks, record.NextAttempt = record.ActiveTasks[:len(record.ActiveTasks)-len(tasks)], previousAttempt
		delete(p.writer.attemptNumbers, job.Index)
		p.countUnwrittenGrant()
		return false
	}
	p.charge(job, len(tasks))
	p.addAccountCondition(job, slots)
	job.grantedAt = n.now
	n.log(LogDebug, "tasks granted",
		"job", job.ID, "attempt", attempt,
		"tasks", len(tasks), "shard", n.shards[slots[0].shard].Name)
	return true
}

// countUnwrittenGrant counts a grant that did not fit into the transaction.
func (p *schedulingPass) countUnwrittenGrant() {
	p.unwrittenGrants = min(p.unwrittenGrants+1, maxUnwrittenGrants)
}

// addGrant adds a task to a job's record. With assignMachine set the record names the machine of
// the slot. Otherwise the owner of the shard chooses a machine, and the leader stores the slot's
// machine as a hint of the capacity that the grant will use.
func (p *schedulingPass) addGrant(job *job, record *wire.Job, key taskKey, slot *slot, assignMachine bool) {
	n := p.node
	task := wire.ActiveTask{Task: key.task, Attempt: key.attempt, Shard: slot.shard, Admitted: p.admissionPass != nil}
	if assignMachine {
		task.Machine, task.Epoch = slot.machine.name, slot.machine.epoch
		p.writer.ownedShards[slot.shard] = true
		if p.admissionPass == nil {
			n.leader.pendingPlacements = append(n.leader.pendingPlacements, pendingPlacement{slot.machine, record.Spec})
		}
	} else {
		n.leader.grantHints[key] = slot.machine
	}
	record.ActiveTasks = append(record.ActiveTasks, task)
}

// addGang adds the record of a gang with tasks in several shards, whose owners place the gang
// together. It returns false if the transaction is full.
func (p *schedulingPass) addGang(job *job, attempt uint64, shards map[int]bool) bool {
	gang := &wire.Gang{Attempt: attempt}
	for index := range p.node.shards {
		if shards[index] {
			gang.Shards = append(gang.Shards, index)
		}
	}
	key := wire.GangKey(job.ID, attempt)
	return p.writer.addWrite(kv.Write{Key: key, Value: gang}, kv.Condition{Key: key, Revision: 0})
}

// mayAssignMachine reports whether a grant may name the machine, which saves the owner's write.
// This controller must own the machine's shard, and the transaction is then also conditional on the
// term of the shard. While a batch of this controller as an owner is being committed, no machine
// may be assigned, as the replica does not show the placements of that batch yet.
func (n *Node) mayAssignMachine(slot *slot) bool {
	return slot.machine != nil && n.mayActAsOwner(n.shards[slot.shard]) && !n.batch.active && n.acceptsTasks(slot.machine)
}
