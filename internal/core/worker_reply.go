package core

import (
	"net/http"
	"slices"
	"time"

	"micaport/internal/wire"
)

// Answers to the heartbeats of workers: at once, or after a delay where a command is
// likely to follow. The worker's next heartbeat is seconds away.

const (
	// replyDelay is how long an answer may wait for the records to be written
	// that follow from the heartbeat. Commands that miss this answer leave the machine
	// idle until the next.
	replyDelay = 600 * time.Millisecond
	// idleReplyDelay is how long the answer to a machine without tasks waits for
	// something to start. The worker would wait 4 s; it has nothing else to report,
	// and a start that is decided meanwhile reaches it at once instead of with its next
	// heartbeat.
	idleReplyDelay = 2500 * time.Millisecond
	// delayedRepliesInterval is the time between two looks at the delayed answers.
	delayedRepliesInterval = 40 * time.Millisecond
)

// delayedReply is a heartbeat whose answer is delayed.
type delayedReply struct {
	WorkerReported
	shard   *shard
	machine *machine
	term    uint64 // of the shard when the heartbeat came
	until   Time   // when it is answered at the latest
}

// delayedReplies are the heartbeats whose answers are delayed.
type delayedReplies struct {
	waiting []delayedReply
	checkAt Time // when they are next looked at
}

// answerWorker answers a worker's heartbeat.
func (n *Node) answerWorker(requestID uint64, shard *shard, machine *machine, commands []wire.Command) {
	machine.answeredAt = n.now
	n.emit(Reply{RequestID: requestID, Status: http.StatusOK, Body: wire.HeartbeatReply{Token: shard.Term, Commands: commands}})
}

// replyDelayFor decides how long an answer waits for further commands: when tasks have
// just ended, when the machine is new, and when it is idle. 0 answers at once.
func (n *Node) replyDelayFor(machine *machine, heartbeat *wire.WorkerHeartbeat, commands []wire.Command) Time {
	if !machine.tokenConfirmed && !machine.newlyBooted {
		return 0 // the worker has to get the token first
	}
	for i := range commands {
		if commands[i].Op != wire.CommandClear {
			return 0 // it has something to do at once
		}
	}
	idle := len(machine.placements) == 0 && len(heartbeat.Tasks) == machine.unclearedTasks
	switch {
	case idle && !n.acceptsTasks(machine):
		return 0
	case idle && machine.tokenConfirmed && machine.heartbeats > 1:
		return idleReplyDelay
	case idle || n.hasPendingOutcomes(machine):
		return replyDelay
	}
	return 0
}

// hasPendingOutcomes reports whether the end of a task on the machine still has to
// be written to its record.
func (n *Node) hasPendingOutcomes(machine *machine) bool {
	for i := range machine.placements {
		if _, ended := n.outcomes[machine.placements[i].taskKey]; ended {
			return true
		}
	}
	return false
}

// startsWaiting reports whether a task is placed on the machine that the machine has not
// reported.
func (s *site) startsWaiting(machine *machine) bool {
	for i := range machine.placements {
		if _, reported := machine.reportedTasks[machine.placements[i].taskKey]; !reported {
			return true
		}
	}
	return false
}

// delayReply answers a heartbeat after a delay at the latest.
func (n *Node) delayReply(in WorkerReported, shard *shard, machine *machine, delay Time) {
	n.replies.waiting = append(n.replies.waiting, delayedReply{
		WorkerReported: in,
		shard:          shard,
		machine:        machine,
		term:           shard.Term,
		until:          n.now + delay,
	})
	machine.delayedReplies++
}

// sendDelayedReplies answers the heartbeats whose delay is over.
func (n *Node) sendDelayedReplies() {
	replies := &n.replies
	if len(replies.waiting) == 0 || n.now < replies.checkAt {
		return
	}
	replies.checkAt = n.now + delayedRepliesInterval
	replies.waiting = slices.DeleteFunc(replies.waiting, n.sendDelayedReply)
}

// sendDelayedReply answers a heartbeat unless it has to wait on, and reports whether it did.
func (n *Node) sendDelayedReply(reply delayedReply) bool {
	shard, machine := reply.shard, reply.machine
	if shard.Term != reply.term || !n.mayActAsOwner(shard) ||
		machine.epoch != reply.Heartbeat.Epoch ||
		machine.sequence != reply.Heartbeat.Sequence {
		machine.delayedReplies--
		n.redirect(reply.RequestID, shard, machine, false)
		return true
	}
	if n.now < reply.until && (n.hasPendingOutcomes(machine) || !n.startsWaiting(machine)) && !machine.draining {
		return false
	}
	machine.delayedReplies--
	if commands := n.reconcile(shard, machine, reply.Heartbeat); !machine.leaseExpiring {
		n.answerWorker(reply.RequestID, shard, machine, commands)
	} else {
		n.redirect(reply.RequestID, shard, machine, true)
	}
	return true
}
