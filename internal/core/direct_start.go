package core

import "micaport/internal/wire"

// A start that was sent to a worker's own address may be carried out at any time
// while the worker's epoch and our term last, and so may a copy of it. Until
// then its task counts as there and, once it has ended, is not cleared. See
// "Starts at a worker's own address" in docs/design.md.

// maxDirectStarts bounds the starts of a machine's epoch that go to its own
// address, as each leaves an ended task in its reports: a kilobyte in all. Work
// of low urgency has none of them, as it comes in swarms of tiny tasks.
const maxDirectStarts = 16

// directStart is a start sent to a machine's own address in its present epoch
// and our term.
type directStart struct {
	sentAt       Time
	acknowledged bool // the worker has said so: it knows the attempt, and no copy has an effect
}

// mayStartTooLate tells whether a start that nobody has seen obeyed might still be
// when its job has been cancelled for cancel_s: it can be as long as the epoch
// lasts. A machine that goes on reporting is therefore answered no more from
// half a validity after the cancellation on, reckoned from before it was recorded, as
// the replica may show it late, and its lease ends the epoch in time. For a job that is not cancelled there is no need of it: answers repeat
// the start, after which the worker knows the attempt.
func (n *Node) mayStartTooLate(job *job, s directStart) bool {
	return !s.acknowledged && job.Record.State == wire.JobCancelled && n.now-job.closedAt > n.cfg.OwnerValidity/2
}

// noteUnstarted remembers a machine of ours on which a task has been placed.
func (n *Node) noteUnstarted(machine *machine, key taskKey) {
	if machine.unstartedListed || machine.shard < 0 || !n.owns(n.shards[machine.shard]) {
		return
	}
	if _, there := machine.reportedTasks[key]; !there {
		machine.unstartedListed = true
		n.unstarted = append(n.unstarted, machine.index)
	}
}

// sendDirectStarts tells machines of tasks that have just been placed on them,
// where no answer to a report is about to.
func (n *Node) sendDirectStarts() {
	if len(n.unstarted) == 0 {
		return
	}
	list := n.unstarted
	n.unstarted = nil
	for _, index := range list {
		machine := n.machines[index]
		machine.unstartedListed = false
		if machine.shard >= 0 && n.acceptsCommands(machine) {
			n.sendStartsTo(machine)
		}
	}
}

// acceptsCommands tells whether a machine does what the present owner says, and none
// of its reports waits for an answer.
func (n *Node) acceptsCommands(machine *machine) bool {
	shard := n.shards[machine.shard]
	return n.mayActAsOwner(shard) && machine.term == shard.Term && machine.tokenConfirmed && machine.heldReplies == 0 && machine.ignoredReplies == 0 && !machine.unresponsive && !machine.returned &&
		machine.reclaimAt == 0 && machine.address != "" && n.now-machine.heartbeatAt < 2*n.cfg.HeartbeatInterval
}

func (n *Node) sendStartsTo(machine *machine) {
	var orders []wire.Command
	var keys []taskKey
	for i := range machine.placements {
		x := &machine.placements[i]
		key, job := x.taskKey, n.jobs[x.job]
		_, there := machine.reportedTasks[key]
		_, over := n.outcomes[key]
		_, sent := machine.directStarts[key]
		if there || over || sent || machine.startSentAt[key] > 0 || x.epoch != machine.epoch || x.stop != wire.StopNone ||
			job.Record.State != wire.JobLive || job.Priority == 0 || len(machine.directStarts)+len(orders) >= maxDirectStarts {
			continue
		}
		task := n.activeTask(key, machine.name)
		if task == nil || n.delaysGangStart(job, task) {
			continue
		}
		orders = append(orders, wire.Command{Op: wire.CommandStart, Task: wire.TaskName(job.ID, key.task), Attempt: key.attempt})
		keys = append(keys, key)
	}
	if len(orders) == 0 {
		return
	}
	for _, key := range keys {
		machine.directStarts[key] = directStart{sentAt: n.now}
	}
	term, session := machine.term, machine.epoch
	id := n.onResult(func(in Result) {
		if machine.term != term || machine.epoch != session {
			return
		}
		for _, key := range keys {
			switch s, there := machine.directStarts[key]; in.(CommandsAnswered).Outcome {
			case OK:
				if there {
					s.acknowledged = true
					machine.directStarts[key] = s
				}
			case Refused, Conflict:
				// Certainly not carried out, now or later: its reports will do.
				delete(machine.directStarts, key)
			}
		}
	})
	n.emit(SendCommands{ID: id, Address: machine.address, Batch: wire.CommandBatch{Token: term, Epoch: session, Commands: orders}})
}
