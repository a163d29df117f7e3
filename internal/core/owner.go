package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"micaport/internal/wire"
)

// noteTaskExit notes the end of a task for its record and what it says of the
// machine.
func (n *Node) noteTaskExit(machine *machine, key taskKey, t *wire.TaskStatus) {
	if _, known := n.outcomes[key]; known {
		return
	}
	n.outcomes[key] = taskOutcome{machine.name, t.ExitCause, n.now, machine.shardTerm(n)}
	job := n.jobs[key.job]
	switch t.ExitCause {
	case wire.CauseDone:
		machine.failedJobs, machine.unhealthy = nil, false
		machine.images.Add(job.Image)
	case wire.CauseError:
		if machine.failedJobs == nil {
			machine.failedJobs = map[int]bool{}
		}
		if job.Record.ConsecutiveErrors < 3 {
			machine.failedJobs[key.job] = true
		}
		// Two jobs failing here, or one that runs elsewhere, speak against
		// the machine rather than the job.
		if n.failedJobCount(machine) >= 2 || job.Record.DoneTasks.Count() > 0 {
			machine.unhealthy = true
		}
		n.ownViewAt = 0 // before more is granted to it
	case wire.CauseNoCapacity:
		machine.noCapacityUntil = n.now + 2*n.cfg.HeartbeatInterval
	}
	n.log(LogDebug, "task exited", "job", job.ID, "task", key.task, "attempt", key.attempt, "machine", machine.name, "cause", t.ExitCause)
}

// failedJobCount counts the jobs that failed on a machine since something last succeeded
// there. A job that has failed on three machines and never succeeded says nothing
// against them: a few such jobs once put one sound machine after the other under
// quarantine, until their users withdrew them.
func (n *Node) failedJobCount(machine *machine) int {
	c := 0
	for index := range machine.failedJobs {
		c += boolToInt(!n.jobs[index].suspect)
	}
	return c
}

// acceptsTasks tells whether an owner may place tasks on a machine of its own.
func (n *Node) acceptsTasks(machine *machine) bool {
	if machine.shard < 0 {
		return false
	}
	shard := n.shards[machine.shard]
	return machine.term == shard.Term && (machine.tokenConfirmed || machine.newlyBooted) && machine.ignoredReplies == 0 && n.now-machine.heartbeatAt < 3*n.cfg.HeartbeatInterval && machine.reclaimAt == 0 &&
		!machine.unhealthy && !machine.draining && !machine.returned && n.now >= machine.noCapacityUntil
}

// runOwner writes what has become of tasks, and places granted ones.
func (n *Node) runOwner() {
	if n.now < n.placementAt {
		return
	}
	n.placementAt = n.now + 60*time.Millisecond + Time(len(n.replica.Live()))*20*time.Microsecond
	anyValid := false
	for _, shard := range n.shards {
		if n.mayActAsOwner(shard) {
			anyValid = true
			n.expireSilentMachines(shard)
		}
	}
	if !anyValid {
		n.batch.drop()
		return
	}
	if !n.batch.ready(n) {
		return
	}
	writer := newWriter(n)
	var room lazySlots
	n.applyOutcomes(writer, &room, true)
	n.stopReclaimedGangs(writer)
	n.settleOwnedGangs(writer)
	n.placeGranted(writer, &room)
	n.applyOutcomes(writer, &room, false)
	n.admitWork(writer, &room)
	writer.send(&n.batch)
}

// expireSilentMachines gives up the tasks of machines whose lease must have run out.
func (n *Node) expireSilentMachines(shard *shard) {
	limit := n.cfg.WorkerLease + n.cfg.WorkerLease/1000 + second
	for _, machine := range shard.machines {
		if len(machine.placements) == 0 {
			continue
		}
		last := shard.OwnedSince
		if machine.term == shard.Term {
			last = max(last, machine.answeredAt)
		}
		if !machine.returned && n.now-last <= limit {
			continue
		}
		for i := range machine.placements {
			key := machine.placements[i].taskKey
			if _, known := n.outcomes[key]; !known && machine.placements[i].shard == shard.Index {
				n.outcomes[key] = taskOutcome{machine.name, causeLost, n.now, machine.shardTerm(n)}
				n.log(LogInfo, "task lost", "job", n.jobs[key.job].ID, "task", key.task, "machine", machine.name)
			}
		}
	}
}

// forgetMachines lets go of machines that are gone, so that nothing is spent on
// what has been.
func (n *Node) forgetMachines() {
	if n.now < n.cleanupAt {
		return
	}
	n.cleanupAt = n.now + 5*second
	n.forgetPlacedGrants()
	for _, shard := range n.shards {
		for i := len(shard.machines) - 1; i >= 0; i-- {
			machine := shard.machines[i]
			silent := n.mayActAsOwner(shard) && machine.term == shard.Term && n.now-machine.heartbeatAt > 3*n.cfg.WorkerLease
			if len(machine.placements) == 0 && (machine.returned || silent || machine.view.unreachable && !n.owns(shard) && n.now-shard.ChangedAt > 3*n.cfg.WorkerLease) {
				n.setShard(machine, -1)
				machine.view, machine.reportedTasks, machine.startSentAt, machine.directStarts, machine.failedJobs, machine.images = machineView{}, nil, nil, nil, nil, nil
				machine.term = 0 // if it reports again, it is learnt anew
			}
		}
	}
}

// isUrgentOutcome tells whether others wait for the end of a task to be written: a
// daemon or gang that is to start anew, a user who waits for the end of a job.
// The end of one task of an array among others can wait behind placings; by
// the time its turn comes, one put often serves several.
func (n *Node) isUrgentOutcome(key taskKey, outcome taskOutcome) bool {
	job := n.jobs[key.job]
	if job.Record == nil || job.Record.State != wire.JobLive {
		return false
	}
	return job.Record.Spec.Shape != wire.ShapeArray || outcome.cause != wire.CauseDone || len(job.Record.ActiveTasks) == 1
}

// applyOutcomes writes what became of tasks, either what presses or the rest.
func (n *Node) applyOutcomes(writer *writer, room *lazySlots, pressing bool) {
	keys := n.sortedOutcomes()
	oldest := map[int]Time{}
	for _, key := range keys {
		if at, seen := oldest[key.job]; !seen || n.outcomes[key].at < at {
			oldest[key.job] = n.outcomes[key].at
		}
	}
	slack := newRecordRoom(n, writer)
	for _, key := range keys {
		outcome := n.outcomes[key]
		if writer.exitedTasks[key] || n.isUrgentOutcome(key, outcome) != pressing && writer.records[key.job] == nil || n.leader.batch.changes(n.jobs[key.job]) {
			continue
		}
		if n.awaitsNewEpoch(outcome) || n.now-oldest[key.job] < n.outcomeDelayFor(n.jobs[key.job]) {
			continue
		}
		task := n.activeTask(key, outcome.machine)
		if task == nil || !n.mayActAsOwner(n.shards[task.Shard]) || n.shards[task.Shard].Term != outcome.term {
			delete(n.outcomes, key) // written, or found out in a term that is over
			continue
		}
		if !slack.mayRemove(key, outcome.machine) {
			continue
		}
		record := writer.job(n.jobs[key.job])
		if record == nil {
			return
		}
		// Once: an end that is applied twice would count an error twice and
		// put two tasks where one was.
		writer.exitedTasks[key] = true
		writer.shards[task.Shard] = true
		was := *task
		removeExitedTask(record, key, slack.recordable(n.jobs[key.job], record, key, outcome))
		if slack.mayAdd(n.jobs[key.job]) {
			n.replaceLostTask(writer, record, was, outcome, room)
		}
	}
}

// sortedOutcomes lists the tasks of which we know what became of them, in a fixed order.
func (n *Node) sortedOutcomes() []taskKey {
	return slices.SortedFunc(maps.Keys(n.outcomes), func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
	})
}

// awaitsNewEpoch tells whether a lost task should wait a moment for its machine: one
// that has lost its epoch is the best place for the same task, as it has the image,
// once it has shown that it knows our term.
func (n *Node) awaitsNewEpoch(outcome taskOutcome) bool {
	machine := n.machineNamed(outcome.machine)
	return outcome.cause == causeLost && machine.shard >= 0 && n.now-outcome.at < epochDelay && machine.term == n.shards[machine.shard].Term &&
		!machine.tokenConfirmed && n.now-machine.heartbeatAt < epochDelay
}

// replaceLostTask gives a task that its machine has lost another machine of the same
// shard: the grant stands, only the choice of the machine is the owner's. It
// saves two puts, and when a whole zone has lost its tasks that is most of the
// time it takes to have them back.
func (n *Node) replaceLostTask(writer *writer, record *wire.Job, was wire.ActiveTask, outcome taskOutcome, room *lazySlots) {
	if record.State != wire.JobLive || record.Spec.Shape == wire.ShapeGang || was.Stop != wire.StopNone ||
		outcome.cause != causeLost && outcome.cause != wire.CauseStopped {
		return
	}
	job := n.jobNamed(record.Spec.ID)
	s := room.slots(n).best(job, func(s *slot) bool { return s.shard == was.Shard }, nil)
	if s == nil || s.machine.name == was.Machine && s.machine.epoch <= was.Epoch {
		return
	}
	s.take(record.Spec)
	record.ActiveTasks = append(record.ActiveTasks, wire.ActiveTask{Task: was.Task, Attempt: writer.attempt(job, record), Shard: was.Shard, Machine: s.machine.name, Epoch: s.machine.epoch, Admitted: was.Admitted})
	n.log(LogDebug, "task replaced", "job", job.ID, "task", was.Task, "machine", s.machine.name)
}

// removeExitedTask takes a task that is gone out of its record.
func removeExitedTask(record *wire.Job, key taskKey, outcome taskOutcome) {
	record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool {
		return task.Task == key.task && task.Attempt == key.attempt && task.Machine == outcome.machine
	})
	gang := record.Spec.Shape == wire.ShapeGang
	switch {
	case outcome.cause == wire.CauseDone && record.State == wire.JobLive:
		record.ConsecutiveErrors, record.FailedMachines = 0, nil
		if gang {
			// The tasks of a gang complete together.
			record.DoneTasks = wire.Range(0, record.TaskCount)
		} else if record.Spec.Shape == wire.ShapeArray {
			record.DoneTasks = record.DoneTasks.With(key.task)
		}
		return
	case outcome.cause == wire.CauseError:
		record.ConsecutiveErrors++
		if !slices.Contains(record.FailedMachines, outcome.machine) {
			record.FailedMachines = append(record.FailedMachines, outcome.machine)
		}
		if len(record.FailedMachines) > 4 {
			record.FailedMachines = record.FailedMachines[1:]
		}
	}
	if gang && record.State == wire.JobLive {
		abandonGang(record, key.attempt)
	}
}

// abandonGang stops what is left of a gang's attempt. Tasks that are saving on
// order go on; those not yet placed are given up at once.
func abandonGang(record *wire.Job, attempt uint64) {
	record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool {
		return task.Attempt == attempt && task.Machine == ""
	})
	for i := range record.ActiveTasks {
		if task := &record.ActiveTasks[i]; task.Attempt == attempt && task.Stop == wire.StopNone {
			task.Stop = wire.StopAbandon
		}
	}
}

// stopReclaimedGangs marks gangs that have to leave a machine for an orderly stop.
func (n *Node) stopReclaimedGangs(writer *writer) {
	var list []int
	for index := range n.gangsToStop {
		list = append(list, index)
	}
	slices.Sort(list)
	for _, index := range list {
		job := n.jobs[index]
		if job.Record == nil || job.Record.State != wire.JobLive || !slices.ContainsFunc(job.Record.ActiveTasks, func(task wire.ActiveTask) bool { return task.Stop == wire.StopNone }) {
			delete(n.gangsToStop, index)
			continue
		}
		record := writer.job(job)
		if record == nil {
			return
		}
		preemptAll(record)
	}
}

// preemptAll asks every task of a job to save and exit.
func preemptAll(record *wire.Job) {
	record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool { return task.Machine == "" })
	for i := range record.ActiveTasks {
		if record.ActiveTasks[i].Stop == wire.StopNone {
			record.ActiveTasks[i].Stop = wire.StopPreempt
		}
	}
}

// lazySlots is the room on our machines, worked out when it is first needed.
type lazySlots struct{ set *slotSet }

func (r *lazySlots) slots(n *Node) *slotSet {
	if r.set == nil {
		r.set = n.ownedSlots()
	}
	return r.set
}

// ownedSlots lists the room on the machines that we own, less what is held.
func (n *Node) ownedSlots() *slotSet {
	slots := newSlotSet(n)
	for _, shard := range n.shards {
		if !n.mayActAsOwner(shard) {
			continue
		}
		for _, h := range shard.machines {
			n.workCount++
			if n.acceptsTasks(h) {
				if slot := n.slotOf(h); slot != nil {
					if j, kept := n.reservedMachines[h.index]; kept && n.now-n.reservedMachinesAt < 5*second {
						slot.reservedFor = j + 1
					}
					// What is proven gone leaves its room, though its record
					// still shows it; the new placing goes into the same put.
					for i := range h.placements {
						if _, over := n.outcomes[h.placements[i].taskKey]; over && n.jobs[h.placements[i].job].Record.Spec != nil {
							slot.release(n.jobs[h.placements[i].job].Record.Spec, 1)
						}
					}
					slots.add(slot)
				}
			}
		}
	}
	n.subtractHolds(slots)
	if n.leader.batch.active {
		taken := map[*machine][]*wire.JobSpec{}
		for _, x := range n.leader.pendingPlacements {
			taken[x.machine] = append(taken[x.machine], x.spec)
		}
		for _, slot := range slots.all {
			for _, spec := range taken[slot.machine] {
				slot.take(spec)
			}
		}
	}
	return slots
}

// placeGranted chooses machines for the tasks granted to our shards.
func (n *Node) placeGranted(writer *writer, room *lazySlots) {
	for _, index := range n.replica.Live() {
		job := n.jobs[index]
		if job.Unplaced == 0 || n.leader.batch.changes(job) || !slices.ContainsFunc(job.Record.ActiveTasks, func(task wire.ActiveTask) bool {
			return task.Machine == "" && n.mayActAsOwner(n.shards[task.Shard])
		}) {
			continue
		}
		n.placeJob(writer, job, room.slots(n))
	}
}

// grantTimeout is how long an owner looks for room for a grant before it
// gives it back.
const grantTimeout = 2500 * time.Millisecond

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
	slack := newRecordRoom(n, writer)
	var s *slot
	for i := range job.Record.ActiveTasks {
		task := &job.Record.ActiveTasks[i]
		if task.Machine != "" || !n.mayActAsOwner(n.shards[task.Shard]) {
			continue
		}
		if !job.LargeArray || s == nil || s.shard != task.Shard || !s.fits(spec) {
			if s = slots.best(job, func(s *slot) bool { return s.shard == task.Shard }, nil); s != nil && !slack.mayAdd(job) {
				s = nil
			}
		}
		key := taskKey{job.Index, task.Task, task.Attempt}
		if s == nil && !n.grantTimedOut(key) {
			continue
		}
		record := writer.job(job)
		if record == nil {
			return
		}
		writer.shards[task.Shard] = true
		if s == nil {
			record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(other wire.ActiveTask) bool {
				return other.Task == task.Task && other.Attempt == task.Attempt && other.Machine == ""
			})
			continue
		}
		s.take(spec)
		assignMachine(record, task, s.machine)
	}
}

func assignMachine(record *wire.Job, task *wire.ActiveTask, machine *machine) {
	for i := range record.ActiveTasks {
		if other := &record.ActiveTasks[i]; other.Task == task.Task && other.Attempt == task.Attempt {
			other.Machine, other.Epoch = machine.name, machine.epoch
			return
		}
	}
}

// revokeUnplaced removes the grants to our shards that were never placed.
func (n *Node) revokeUnplaced(writer *writer, record *wire.Job) {
	record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool {
		mine := task.Machine == "" && n.mayActAsOwner(n.shards[task.Shard])
		if mine {
			writer.shards[task.Shard] = true
		}
		return mine
	})
}

// forgetPlacedGrants drops what is remembered of grants that have been placed or given
// back. It is called now and then; the memory is bounded by the grants that wait. A bound
// on their number would be one on the site: when it was reached everything was forgotten,
// so that with more grants waiting than it no grant ever ran out of timeout.
func (n *Node) forgetPlacedGrants() {
	for key := range n.grantSeenAt {
		if !n.jobs[key.job].awaitsPlacement(key) {
			delete(n.grantSeenAt, key)
		}
	}
}

// awaitsPlacement tells whether the record holds a grant that has no machine yet.
func (job *job) awaitsPlacement(key taskKey) bool {
	return job.Record != nil && job.Unplaced > 0 && slices.ContainsFunc(job.Record.ActiveTasks, func(task wire.ActiveTask) bool {
		return task.Task == key.task && task.Attempt == key.attempt && task.Machine == ""
	})
}

// grantTimedOut tells whether a grant has waited too long for room.
func (n *Node) grantTimedOut(key taskKey) bool {
	at, seen := n.grantSeenAt[key]
	if !seen {
		n.grantSeenAt[key] = n.now
		return false
	}
	return n.now-at > grantTimeout
}
