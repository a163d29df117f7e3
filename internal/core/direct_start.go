package core

import (
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// A start that was sent to a worker's own address may be carried out at any time
// while the worker's epoch and the owner's term last, and so may a copy of it. Until
// then its task counts as active and, once it has ended, is not cleared. See
// "Starts at a worker's own address" in docs/design.md.

// maxDirectStarts bounds the starts of an epoch that go to a worker's own
// address, as each leaves an ended task in its heartbeats: a kilobyte in all. Work
// of low priority gets none of them, as it comes in large numbers of tiny tasks.
const maxDirectStarts = 16

// directStart is a start sent to a worker's own address in its present epoch
// and the owner's term.
type directStart struct {
	sentAt       Time
	acknowledged bool // the worker has confirmed it: it knows the attempt, and no copy has an effect
}

// mayStartTooLate reports whether a start that no one has seen carried out might still be
// when its job has been cancelled for cancel_s: it can be as long as the epoch
// lasts. A machine that goes on reporting is therefore no longer answered from
// half a validity after the cancellation on, counted from before it was recorded, as
// the replica may show it late, and its lease ends the epoch in time. A job that is not
// cancelled doesn't need this: answers repeat the start, after which the worker knows the
// attempt.
func (s *site) mayStartTooLate(job *job, start directStart) bool {
	return !start.acknowledged && job.Record.State == wire.JobCancelled && s.now-job.closedAt > s.cfg.OwnerValidity/2
}

// awaitDirectStart has a machine end its epoch where a direct start may be on its way that
// must not be carried out any more.
func (n *Node) awaitDirectStart(machine *machine, job *job, start directStart) {
	if n.mayStartTooLate(job, start) {
		machine.ignoredReplies, machine.leaseExpiring = maxIgnoredReplies, true
	} else if n.now-start.sentAt > 2*n.cfg.WorkerLease {
		machine.ignoredReplies = maxIgnoredReplies // it took a start and never showed it
	}
}

// noteUnstarted lists a machine of this controller on which a task has been placed.
func (n *Node) noteUnstarted(machine *machine, key taskKey) {
	if machine.unstartedListed || machine.shard < 0 || !n.owns(n.shards[machine.shard]) {
		return
	}
	if _, reported := machine.reportedTasks[key]; !reported {
		machine.unstartedListed = true
		n.unstarted = append(n.unstarted, machine.index)
	}
}

// sendDirectStarts sends the starts of tasks that have just been placed to machines that
// no answer to a heartbeat is about to reach.
func (n *Node) sendDirectStarts() {
	if len(n.unstarted) == 0 {
		return
	}
	unstarted := n.unstarted
	n.unstarted = nil
	for _, index := range unstarted {
		machine := n.machines[index]
		machine.unstartedListed = false
		if machine.shard >= 0 && n.acceptsCommands(machine) {
			n.sendStartsTo(machine)
		}
	}
}

// acceptsCommands reports whether a worker carries out the present owner's commands, and
// none of its heartbeats waits for an answer.
func (s *site) acceptsCommands(machine *machine) bool {
	shard := s.shards[machine.shard]
	if !s.mayActAsOwner(shard) || machine.term != shard.Term ||
		machine.returned || machine.reclaimAt != 0 ||
		machine.address == "" {
		return false
	}
	responsive := machine.tokenConfirmed && machine.ignoredReplies == 0 &&
		!machine.unresponsive &&
		s.now-machine.heartbeatAt < 2*s.cfg.HeartbeatInterval
	return responsive && machine.delayedReplies == 0
}

// directStartBatch is a number of direct starts under way to a machine.
type directStartBatch struct {
	machine     *machine
	term, epoch uint64 // of the shard and the worker when they were sent
	keys        []taskKey
}

// sendStartsTo sends the starts of a machine's tasks to its worker's own address.
func (n *Node) sendStartsTo(machine *machine) {
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
	id := n.continueWith(directStartBatch{machine, machine.term, machine.epoch, keys})
	n.emit(SendCommands{
		ID:      id,
		Address: machine.address,
		Batch:   wire.CommandBatch{Token: machine.term, Epoch: machine.epoch, Commands: commands},
	})
}

// needsDirectStart reports whether a task is to run on a machine, and no start of it has
// been sent.
func (n *Node) needsDirectStart(machine *machine, placed *placement) bool {
	key := placed.taskKey
	if placed.epoch != machine.epoch || placed.stop != wire.StopNone ||
		n.jobs[placed.job].Record.State != wire.JobLive ||
		machine.startSentAt[key] > 0 {
		return false
	}
	_, reported := machine.reportedTasks[key]
	_, ended := n.outcomes[key]
	_, sent := machine.directStarts[key]
	return !reported && !ended && !sent
}

// resume notes which of the starts the worker has carried out or never will.
func (b directStartBatch) resume(_ *Node, result Result) {
	if b.machine.term != b.term || b.machine.epoch != b.epoch {
		return
	}
	switch result.(CommandsAnswered).Outcome {
	case kv.OK:
		for _, key := range b.keys {
			if start, sent := b.machine.directStarts[key]; sent {
				start.acknowledged = true
				b.machine.directStarts[key] = start
			}
		}
	case kv.Refused, kv.Conflict:
		// Certainly not carried out, now or later: the answers to heartbeats start them.
		for _, key := range b.keys {
			delete(b.machine.directStarts, key)
		}
	}
}
