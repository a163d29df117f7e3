package core

import (
	"slices"
	"time"

	"micaport/internal/wire"
)

// Grants: active tasks that the leader has assigned to a shard. Its owner chooses their
// machines.

// grantTimeout is how long an owner looks for room for a grant before it
// gives it back.
const grantTimeout = 2500 * time.Millisecond

// grantTimes are the times at which an owner first looked for room for grants.
type grantTimes map[taskKey]Time

// timedOut reports whether a grant has waited too long for room. It counts from the
// first call for the grant.
func (g grantTimes) timedOut(key taskKey, now Time) bool {
	at, seen := g[key]
	if !seen {
		g[key] = now
		return false
	}
	return now-at > grantTimeout
}

// placeGranted chooses machines for the tasks granted to this controller's shards.
func (n *Node) placeGranted(writer *writer, room *lazySlots) {
	for _, index := range n.replica.Live() {
		job := n.jobs[index]
		if job.Unplaced == 0 || n.leader.batch.changes(job) || !slices.ContainsFunc(job.Record.ActiveTasks, n.isOwnGrant) {
			continue
		}
		n.placeJob(writer, job, room.slots(n))
	}
}

// isOwnGrant reports whether a task has been granted to a shard of this controller and has
// no machine yet.
func (s *site) isOwnGrant(task wire.ActiveTask) bool {
	return task.Machine == "" && s.mayActAsOwner(s.shards[task.Shard])
}

func (n *Node) placeJob(writer *writer, job *job, slots *slotSet) {
	spec := job.Record.Spec
	if job.Record.State != wire.JobLive {
		if record := writer.job(job); record != nil {
			n.revokeUnplaced(writer, record)
		}
		return
	}
	if spec.Shape == wire.ShapeGang {
		n.placeGang(writer, job, slots)
		return
	}
	room := newRecordCapacity(n, writer)
	var chosen *slot
	for i := range job.Record.ActiveTasks {
		task := &job.Record.ActiveTasks[i]
		if !n.isOwnGrant(*task) {
			continue
		}
		// Neighbours among the tasks of a large array go to one machine, so that its
		// record holds them as a run.
		if !job.LargeArray || chosen == nil || chosen.shard != task.Shard || !chosen.fits(spec) {
			chosen = slots.best(job, func(candidate *slot) bool { return candidate.shard == task.Shard }, nil)
			if chosen != nil && !room.mayAdd(job) {
				chosen = nil
			}
		}
		if chosen == nil && !n.grantTimedOut(taskKey{job.Index, task.Task, task.Attempt}) {
			continue
		}
		record := writer.job(job)
		if record == nil {
			return
		}
		writer.shards[task.Shard] = true
		if chosen == nil {
			revokeGrant(record, task)
			continue
		}
		chosen.allocate(spec)
		assignMachine(record, task, chosen.machine)
	}
}

// assignMachine puts a granted task on a machine.
func assignMachine(record *wire.Job, task *wire.ActiveTask, machine *machine) {
	for i := range record.ActiveTasks {
		if other := &record.ActiveTasks[i]; other.Task == task.Task && other.Attempt == task.Attempt {
			other.Machine, other.Epoch = machine.name, machine.epoch
			return
		}
	}
}

// revokeGrant removes a grant that was never placed.
func revokeGrant(record *wire.Job, task *wire.ActiveTask) {
	record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(other wire.ActiveTask) bool {
		return other.Task == task.Task && other.Attempt == task.Attempt && other.Machine == ""
	})
}

// revokeUnplaced removes the grants to this controller's shards that were never placed.
func (n *Node) revokeUnplaced(writer *writer, record *wire.Job) {
	record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool {
		own := n.isOwnGrant(task)
		if own {
			writer.shards[task.Shard] = true
		}
		return own
	})
}

// forgetPlacedGrants drops the times of grants that have been placed or given
// back. It is called at intervals; the memory is bounded by the grants that wait. A limit
// on their number would limit the site: when it was reached all times were dropped,
// so that with more grants waiting than it none ever timed out.
func (n *Node) forgetPlacedGrants() {
	for key := range n.grantSeenAt {
		if !n.jobs[key.job].awaitsPlacement(key) {
			delete(n.grantSeenAt, key)
		}
	}
}

// awaitsPlacement reports whether the record holds a grant that has no machine yet.
func (j *job) awaitsPlacement(key taskKey) bool {
	return j.Record != nil && j.Unplaced > 0 && slices.ContainsFunc(j.Record.ActiveTasks, func(task wire.ActiveTask) bool {
		return task.Task == key.task && task.Attempt == key.attempt && task.Machine == ""
	})
}

// grantTimedOut reports whether a grant has waited too long for room.
func (n *Node) grantTimedOut(key taskKey) bool { return n.grantSeenAt.timedOut(key, n.now) }
