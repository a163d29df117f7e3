package core

import (
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// maxDirectStarts is the greatest number of direct starts that are sent to a worker in one epoch.
// Each leaves an exited task in the worker's heartbeats, which adds a kilobyte for all of them. Jobs
// of low priority have no direct starts, as they consist of large numbers of tiny tasks.
const maxDirectStarts = 16

// directStart is a start command that was sent to a worker's own address in its current epoch
// and the owner's current term. The worker may execute it, or a copy of it, at any time in that
// epoch and term. Therefore its task counts as active until they end and, once it has exited, is
// not cleared. See "Starts at a worker's own address" in docs/design.md.
type directStart struct {
	sentAt   Time
	reported bool // the worker has reported the attempt; as long as it keeps the attempt, copies have no effect
}

// mayStartTooLate reports whether a start that the worker has not reported might still be executed
// when more than cancel_s have passed since the cancellation of its job. A start can be executed as
// long as the worker's epoch lasts. From half a validity after the cancellation on, the machine's
// heartbeats are therefore no longer answered, so that the worker's lease expires and ends the epoch
// in time. The half validity counts from a time before the cancellation was recorded, as the replica
// may show the cancellation late. The start of a job that is not cancelled has no such deadline:
// replies repeat it until the worker has the attempt.
func (s *site) mayStartTooLate(job *job) bool {
	return job.Record.State == wire.JobCancelled && s.now-job.earliestCloseAt > s.cfg.OwnerValidity/2
}

// enforceDirectStartDeadline stops answering a machine, so that its worker's epoch ends, when a
// direct start of a task that must stop may still be in transit and might be executed too late. A
// machine that has not reported the task two leases after its start counts as unresponsive.
func (n *Node) enforceDirectStartDeadline(machine *machine, job *job, start directStart) {
	if n.mayStartTooLate(job) {
		machine.ignoredReplies, machine.leaseExpiring = ignoredRepliesThreshold, true
	} else if n.now-start.sentAt > 2*n.cfg.WorkerLease {
		machine.ignoredReplies = ignoredRepliesThreshold // it was sent a start and never reported the task
	}
}

// updateReportedStarts marks the direct starts whose attempts a heartbeat lists as reported. If it
// lacks one that an earlier heartbeat of the epoch has listed, the worker has restarted within the
// epoch and lost its tasks, and copies of its starts would be executed again. The shard is then
// claimed anew, and the machine is only answered under the new term, whose token makes the worker
// refuse the copies.
func (n *Node) updateReportedStarts(shard *shard, machine *machine, reported map[taskKey]bool) {
	for key, start := range machine.directStarts {
		switch {
		case reported[key] && !start.reported:
			start.reported = true
			machine.directStarts[key] = start
		case start.reported && !reported[key] && !machine.lostTasks:
			machine.lostTasks = true
			n.ownership.RequestNewTerm(shard.Shard)
			n.log(LogInfo, "worker has lost its tasks within an epoch", "machine", machine.name, "epoch", machine.epoch)
		}
	}
}

// addUnstartedMachine adds a machine that this controller owns to unstartedMachines when a task has
// been placed on it that it has not reported.
func (n *Node) addUnstartedMachine(machine *machine, key taskKey) {
	if machine.unstartedListed || machine.shard < 0 || !n.owns(n.shards[machine.shard]) {
		return
	}
	if _, reported := machine.reportedTasks[key]; !reported {
		machine.unstartedListed = true
		n.unstartedMachines = append(n.unstartedMachines, machine.index)
	}
}

// sendDirectStarts sends the starts of newly placed tasks to the workers' own addresses, except
// to machines that have a delayed reply, which will contain the starts.
func (n *Node) sendDirectStarts() {
	if len(n.unstartedMachines) == 0 {
		return
	}
	unstarted := n.unstartedMachines
	n.unstartedMachines = nil
	for _, index := range unstarted {
		machine := n.machines[index]
		machine.unstartedListed = false
		if machine.shard >= 0 && n.mayStartDirectly(machine) {
			n.sendDirectStartsTo(machine)
		}
	}
}

// mayStartDirectly reports whether starts may be sent directly to a machine's worker: it probably
// executes the commands of this controller as its owner, and no delayed reply will contain the
// starts.
func (s *site) mayStartDirectly(machine *machine) bool {
	shard := s.shards[machine.shard]
	if !s.mayActAsOwner(shard) || machine.term != shard.Term ||
		machine.deprovisioned || machine.reclaimAt != 0 ||
		machine.address == "" {
		return false
	}
	responsive := machine.tokenConfirmed && machine.ignoredReplies == 0 &&
		!machine.unresponsive &&
		s.now-machine.heartbeatAt < 2*s.cfg.HeartbeatInterval
	return responsive && machine.delayedReplyCount == 0
}

// directStartBatch is a set of direct starts sent to a machine whose outcome is pending.
type directStartBatch struct {
	machine     *machine
	term, epoch uint64 // of the shard and the worker when they were sent
	keys        []taskKey
}

// sendDirectStartsTo sends the direct starts that a machine needs.
func (n *Node) sendDirectStartsTo(machine *machine) {
	var commands []wire.Command
	var keys []taskKey
	for i := range machine.placements {
		placed := &machine.placements[i]
		key, job := placed.taskKey, n.jobs[placed.job]
		if len(machine.directStarts)+len(commands) >= maxDirectStarts ||
			job.Priority == 0 || !n.needsDirectStart(machine, placed) {
			continue
		}
		active := n.activeTask(key, machine.name)
		if active == nil || n.delaysGangStart(job, active) {
			continue
		}
		commands = append(commands, wire.Command{
			Op:      wire.CommandStart,
			Task:    wire.TaskName(job.ID, key.task),
			Attempt: key.attempt,
		})
		keys = append(keys, key)
	}
	if len(commands) == 0 {
		return
	}
	for _, key := range keys {
		machine.directStarts[key] = directStart{sentAt: n.now}
	}
	id := n.registerContinuation(directStartBatch{machine, machine.term, machine.epoch, keys})
	n.emit(SendCommands{
		ID:      id,
		Address: machine.address,
		Batch:   wire.CommandBatch{Token: machine.term, Epoch: machine.epoch, Commands: commands},
	})
}

// needsDirectStart reports whether a task is to run on a machine and no start of it has been
// sent in the worker's current epoch.
func (n *Node) needsDirectStart(machine *machine, placed *placement) bool {
	key := placed.taskKey
	if placed.epoch != machine.epoch || placed.stop != wire.StopNone ||
		n.jobs[placed.job].Record.State != wire.JobLive ||
		machine.startReplySequence[key] > 0 {
		return false
	}
	_, reported := machine.reportedTasks[key]
	_, ended := n.outcomes[key]
	_, sent := machine.directStarts[key]
	return !reported && !ended && !sent
}

// resume deletes the starts if the worker will never execute them. After any other outcome they
// remain.
func (b directStartBatch) resume(_ *Node, result Result) {
	if b.machine.term != b.term || b.machine.epoch != b.epoch {
		return
	}
	switch result.(CommandsAnswered).Outcome {
	case kv.Refused, kv.Conflict:
		// The worker has not executed the starts and never will, so replies to heartbeats
		// start the tasks.
		for _, key := range b.keys {
			delete(b.machine.directStarts, key)
		}
	}
}
