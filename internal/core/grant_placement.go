package core

import (
	"slices"
	"time"

	"micaport/internal/wire"
)

// grantTimeout is how long an owner tries to place a grant before it revokes it.
const grantTimeout = 2500 * time.Millisecond

// grantWaitStarts holds, for each grant that this controller has failed to place so far, the time
// of the first failure.
type grantWaitStarts map[taskKey]Time

// startOrCheckTimeout reports whether a grant has waited for capacity for longer than grantTimeout.
// The first call for a grant records now as the start of its wait.
func (g grantWaitStarts) startOrCheckTimeout(key taskKey, now Time) bool {
	since, seen := g[key]
	if !seen {
		g[key] = now
		return false
	}
	return now-since > grantTimeout
}

// placeGranted chooses machines for the grants of this controller's shards. A grant is an active
// task that the leader has assigned to a shard; the owner of the shard chooses the machine.
func (n *Node) placeGranted(writer *writer, ownSlots *lazySlots) {
	for _, index := range n.replica.Live() {
		job := n.jobs[index]
		if job.Unplaced == 0 || n.leader.batch.changes(job) || !slices.ContainsFunc(job.Record.ActiveTasks, n.isOwnGrant) {
			continue
		}
		n.placeJob(writer, job, ownSlots.slots(n))
	}
}

// isOwnGrant reports whether a task has been granted to a shard of this controller and has
// no machine yet.
func (s *site) isOwnGrant(task wire.ActiveTask) bool {
	return task.Machine == "" && s.mayActAsOwner(s.shards[task.Shard])
}

// placeJob chooses machines for the grants of one job. It revokes grants that have timed out, and
// all of them if the job is no longer live.
func (n *Node) placeJob(writer *writer, job *job, slots *slotSet) {
	spec := job.Record.Spec
	if job.Record.State != wire.JobLive {
		if record := writer.recordToChange(job); record != nil {
			n.revokeUnplaced(writer, record)
		}
		return
	}
	if spec.Shape == wire.ShapeGang {
		n.placeGang(writer, job, slots)
		return
	}
	capacity := newRecordCapacity(n, writer)
	var chosen *slot
	for i := range job.Record.ActiveTasks {
		task := &job.Record.ActiveTasks[i]
		if !n.isOwnGrant(*task) {
			continue
		}
		// Consecutive tasks of a large array are placed on the same machine while they
		// fit, so that the record stores them as one run.
		if !job.LargeArray || chosen == nil || chosen.shard != task.Shard || !chosen.fits(spec) {
			chosen = slots.best(job, func(candidate *slot) bool { return candidate.shard == task.Shard }, nil)
			if chosen != nil && !capacity.reserveRun(job) {
				chosen = nil
			}
		}
		if chosen == nil && !n.startOrCheckGrantTimeout(taskKey{job.Index, task.Task, task.Attempt}) {
			continue
		}
		record := writer.recordToChange(job)
		if record == nil {
			return
		}
		writer.ownedShards[task.Shard] = true
		if chosen == nil {
			revokeGrant(record, task)
			continue
		}
		chosen.allocate(spec)
		assignMachine(record, task, chosen.machine)
	}
}

// assignMachine sets the machine of a granted task in the record.
func assignMachine(record *wire.Job, task *wire.ActiveTask, machine *machine) {
	for i := range record.ActiveTasks {
		if other := &record.ActiveTasks[i]; other.Task == task.Task && other.Attempt == task.Attempt {
			other.Machine, other.Epoch = machine.name, machine.epoch
			return
		}
	}
}

// revokeGrant removes a grant that has no machine from the record.
func revokeGrant(record *wire.Job, task *wire.ActiveTask) {
	record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(other wire.ActiveTask) bool {
		return other.Task == task.Task && other.Attempt == task.Attempt && other.Machine == ""
	})
}

// revokeUnplaced removes from the record all grants of this controller's shards that have no
// machine.
func (n *Node) revokeUnplaced(writer *writer, record *wire.Job) {
	record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool {
		own := n.isOwnGrant(task)
		if own {
			writer.ownedShards[task.Shard] = true
		}
		return own
	})
}

// removeEndedGrantWaits deletes from firstPlacementFailureAt the grants that have been placed or
// revoked. It is called periodically, so the number of waiting grants bounds the memory. A fixed
// limit on the number of entries would restrict the size of the site: clearing the map at such a
// limit would restart all waits, so no grant would time out while more grants than the limit are
// waiting.
func (n *Node) removeEndedGrantWaits() {
	for key := range n.firstPlacementFailureAt {
		if !n.jobs[key.job].awaitsPlacement(key) {
			delete(n.firstPlacementFailureAt, key)
		}
	}
}

// awaitsPlacement reports whether the job's record contains the grant with a key, still without a
// machine.
func (j *job) awaitsPlacement(key taskKey) bool {
	return j.Record != nil && j.Unplaced > 0 && slices.ContainsFunc(j.Record.ActiveTasks, func(task wire.ActiveTask) bool {
		return task.Task == key.task && task.Attempt == key.attempt && task.Machine == ""
	})
}

// startOrCheckGrantTimeout reports whether a grant has waited for capacity for longer than
// grantTimeout. The first call for a grant starts its wait.
func (n *Node) startOrCheckGrantTimeout(key taskKey) bool {
	return n.firstPlacementFailureAt.startOrCheckTimeout(key, n.now)
}
