package core

import (
	"net/http"
	"slices"
	"time"

	"micaport/internal/wire"
)

const (
	// replyDelay is how long a reply waits at most until the changes of records that follow from
	// the heartbeat have been written. Commands that are not in this reply reach the machine
	// only after its next heartbeat, seconds later, and it is idle until then.
	replyDelay = 600 * time.Millisecond
	// idleReplyDelay is how long the reply to a machine without tasks waits at most for a task
	// to start. The worker waits 4 s for a reply and has nothing else to report. A start that is
	// decided during the delay reaches it at once instead of after its next heartbeat.
	idleReplyDelay = 2500 * time.Millisecond
	// delayedRepliesInterval is the time between two checks of the delayed replies.
	delayedRepliesInterval = 40 * time.Millisecond
	// newTermTimeout is how long a heartbeat waits for a new term of its shard. The worker waits 4 s
	// for the reply.
	newTermTimeout = 3 * second
)

// delayedReply is a heartbeat whose reply is delayed because commands are likely to follow.
type delayedReply struct {
	WorkerReported
	shard    *shard
	machine  *machine
	term     uint64 // of the shard when the heartbeat arrived
	deadline Time   // latest time of the reply
}

// delayedReplies holds the heartbeats whose replies are delayed.
type delayedReplies struct {
	waiting        []delayedReply
	nextCheckAt    Time           // when the next check of them is due
	waitingForTerm []delayedReply // until their shard has a new term
}

// answerWorker answers a worker's heartbeat with the token and commands.
func (n *Node) answerWorker(requestID uint64, shard *shard, machine *machine, commands []wire.Command) {
	machine.answeredAt = n.now
	n.emit(Reply{RequestID: requestID, Status: http.StatusOK, Body: wire.HeartbeatReply{Token: shard.Term, Commands: commands}})
}

// replyDelayFor returns how long a reply waits for further commands at most; 0 if it is sent at
// once. It waits when tasks have just ended, and when the machine is idle and accepts tasks.
func (n *Node) replyDelayFor(machine *machine, heartbeat *wire.WorkerHeartbeat, commands []wire.Command) Time {
	if !machine.tokenConfirmed && !machine.newlyBooted {
		return 0 // the worker must receive the token first
	}
	for i := range commands {
		if commands[i].Op != wire.CommandClear {
			return 0 // the worker must receive this command at once
		}
	}
	idle := len(machine.placements) == 0 && len(heartbeat.Tasks) == machine.unclearedTasks
	switch {
	case idle && !n.acceptsTasks(machine):
		return 0
	case idle && machine.tokenConfirmed && machine.heartbeatCount > 1:
		return idleReplyDelay
	case idle || n.hasPendingOutcomes(machine):
		return replyDelay
	}
	return 0
}

// hasPendingOutcomes reports whether the outcome of a task on the machine has not been written
// to its record yet.
func (n *Node) hasPendingOutcomes(machine *machine) bool {
	for i := range machine.placements {
		if _, ended := n.outcomes[machine.placements[i].taskKey]; ended {
			return true
		}
	}
	return false
}

// hasUnreportedTask reports whether the records place a task on the machine that its heartbeats
// have not listed.
func (s *site) hasUnreportedTask(machine *machine) bool {
	for i := range machine.placements {
		if _, reported := machine.reportedTasks[machine.placements[i].taskKey]; !reported {
			return true
		}
	}
	return false
}

// newDelayedReply returns the entry for a heartbeat that waits for its reply for the delay at most.
func (n *Node) newDelayedReply(in WorkerReported, shard *shard, machine *machine, delay Time) delayedReply {
	return delayedReply{WorkerReported: in, shard: shard, machine: machine, term: shard.Term, deadline: n.now + delay}
}

// delayReply queues a heartbeat that is answered after the delay at the latest.
func (n *Node) delayReply(in WorkerReported, shard *shard, machine *machine, delay Time) {
	n.replies.waiting = append(n.replies.waiting, n.newDelayedReply(in, shard, machine, delay))
	machine.delayedReplyCount++
}

// answerInNewTerm queues a heartbeat that is processed again once its shard has a new term.
func (n *Node) answerInNewTerm(in WorkerReported, shard *shard, machine *machine) {
	n.replies.waitingForTerm = append(n.replies.waitingForTerm, n.newDelayedReply(in, shard, machine, newTermTimeout))
}

// processInNewTerm processes the heartbeats that have waited for a new term of their shard, and
// refuses those for which it does not come in time.
func (n *Node) processInNewTerm() {
	waiting := n.replies.waitingForTerm
	n.replies.waitingForTerm = nil
	for _, reply := range waiting {
		machine, heartbeat := reply.machine, reply.Heartbeat
		switch isLast := machine.epoch == heartbeat.Epoch && machine.sequence == heartbeat.Sequence; {
		case !isLast || n.now >= reply.deadline:
			n.refuseHeartbeat(reply.RequestID, "its worker has lost its tasks")
		case reply.shard.Term > reply.term && n.mayActAsOwner(reply.shard):
			n.processOwnedHeartbeat(reply.WorkerReported, reply.shard, machine)
		default:
			n.replies.waitingForTerm = append(n.replies.waitingForTerm, reply)
		}
	}
}

// sendDelayedReplies sends the delayed replies that are due.
func (n *Node) sendDelayedReplies() {
	replies := &n.replies
	if len(replies.waiting) == 0 || n.now < replies.nextCheckAt {
		return
	}
	replies.nextCheckAt = n.now + delayedRepliesInterval
	replies.waiting = slices.DeleteFunc(replies.waiting, n.sendDelayedReply)
}

// sendDelayedReply answers a heartbeat unless its reply must be delayed further, and reports
// whether it did. A heartbeat that is no longer the machine's last, or whose shard has a new term
// or another owner, is redirected or refused.
func (n *Node) sendDelayedReply(reply delayedReply) bool {
	shard, machine := reply.shard, reply.machine
	if shard.Term != reply.term || !n.mayActAsOwner(shard) ||
		machine.epoch != reply.Heartbeat.Epoch ||
		machine.sequence != reply.Heartbeat.Sequence {
		machine.delayedReplyCount--
		n.redirect(reply.RequestID, shard, machine, false)
		return true
	}
	// The reply waits while an outcome is not written or no new task has been placed. No task is
	// placed on a draining machine.
	if n.now < reply.deadline && (n.hasPendingOutcomes(machine) || !n.hasUnreportedTask(machine)) && !machine.draining {
		return false
	}
	machine.delayedReplyCount--
	if commands := n.reconcile(shard, machine, reply.Heartbeat); !machine.leaseExpiring {
		n.answerWorker(reply.RequestID, shard, machine, commands)
	} else {
		n.redirect(reply.RequestID, shard, machine, true) // refuses the heartbeat, as this controller is the owner
	}
	return true
}
