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
func (n *Node) mayStartTooLate(j *job, s directStart) bool {
	return !s.acknowledged && j.Record.State == wire.JobCancelled && n.now-j.closedAt > n.cfg.OwnerValidity/2
}

// noteUnstarted remembers a machine of ours on which a task has been placed.
func (n *Node) noteUnstarted(h *machine, k taskKey) {
	if h.unstartedListed || h.shard < 0 || !n.owns(n.shards[h.shard]) {
		return
	}
	if _, there := h.reportedTasks[k]; !there {
		h.unstartedListed = true
		n.unstarted = append(n.unstarted, h.index)
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
	for _, ix := range list {
		h := n.machines[ix]
		h.unstartedListed = false
		if h.shard >= 0 && n.acceptsCommands(h) {
			n.sendStartsTo(h)
		}
	}
}

// acceptsCommands tells whether a machine does what the present owner says, and none
// of its reports waits for an answer.
func (n *Node) acceptsCommands(h *machine) bool {
	p := n.shards[h.shard]
	return n.mayActAsOwner(p) && h.term == p.Term && h.tokenConfirmed && h.heldReplies == 0 && h.ignoredReplies == 0 && !h.unresponsive && !h.returned &&
		h.reclaimAt == 0 && h.address != "" && n.now-h.heartbeatAt < 2*n.cfg.HeartbeatInterval
}

func (n *Node) sendStartsTo(h *machine) {
	var orders []wire.Command
	var keys []taskKey
	for i := range h.placements {
		x := &h.placements[i]
		k, j := x.taskKey, n.jobs[x.job]
		_, there := h.reportedTasks[k]
		_, over := n.outcomes[k]
		_, sent := h.directStarts[k]
		if there || over || sent || h.startSentAt[k] > 0 || x.epoch != h.epoch || x.stop != wire.StopNone ||
			j.Record.State != wire.JobLive || j.Priority == 0 || len(h.directStarts)+len(orders) >= maxDirectStarts {
			continue
		}
		a := n.activeTask(k, h.name)
		if a == nil || n.delaysGangStart(j, a) {
			continue
		}
		orders = append(orders, wire.Command{Op: wire.CommandStart, Task: wire.TaskName(j.ID, k.task), Attempt: k.attempt})
		keys = append(keys, k)
	}
	if len(orders) == 0 {
		return
	}
	for _, k := range keys {
		h.directStarts[k] = directStart{sentAt: n.now}
	}
	term, session := h.term, h.epoch
	id := n.onResult(func(in Result) {
		if h.term != term || h.epoch != session {
			return
		}
		for _, k := range keys {
			switch s, there := h.directStarts[k]; in.(CommandsAnswered).Outcome {
			case OK:
				if there {
					s.acknowledged = true
					h.directStarts[k] = s
				}
			case Refused, Conflict:
				// Certainly not carried out, now or later: its reports will do.
				delete(h.directStarts, k)
			}
		}
	})
	n.emit(SendCommands{ID: id, Address: h.address, Batch: wire.CommandBatch{Token: term, Epoch: session, Commands: orders}})
}
