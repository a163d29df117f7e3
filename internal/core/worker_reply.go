package core

import (
	"slices"
	"time"

	"micaport/internal/wire"
)

// Answers to workers: at once, held for a moment, or to another controller.

func (n *Node) answerWorker(req uint64, shard *shard, machine *machine, orders []wire.Command) {
	machine.answeredAt = n.now
	n.emit(Reply{RequestID: req, Status: 200, Body: wire.HeartbeatReply{Token: shard.Term, Commands: orders}})
}

// replyDelay is how long an answer may wait for the records to be written
// that follow from the report. The worker's next report is seconds away, so
// orders that miss this answer leave the machine idle for as long.
const replyDelay = 600 * time.Millisecond

// idleReplyDelay is how long the answer to a machine without tasks waits for
// something to start. The worker would wait 4 s; it has nothing else to tell,
// and a start that comes meanwhile reaches it at once instead of with its next
// report.
const idleReplyDelay = 2500 * time.Millisecond

// heldReply is a report whose answer waits.
type heldReply struct {
	WorkerReported
	shard   *shard
	machine *machine
	term    uint64
	until   Time
}

// replyDelayFor tells how long orders may be waited for: when tasks have just
// ended, when the machine is new, and when it is idle.
func (n *Node) replyDelayFor(machine *machine, heartbeat *wire.WorkerHeartbeat, orders []wire.Command) Time {
	if !machine.tokenConfirmed && !machine.newlyBooted {
		return 0 // it is to learn our term first
	}
	for _, o := range orders {
		if o.Op != wire.CommandClear {
			return 0 // has something to do at once
		}
	}
	if len(machine.placements) == 0 && len(heartbeat.Tasks) == machine.unclearedTasks {
		switch {
		case !n.acceptsTasks(machine):
			return 0
		case machine.tokenConfirmed && machine.heartbeats > 1:
			return idleReplyDelay
		}
		return replyDelay
	}
	if n.hasPendingOutcomes(machine) {
		return replyDelay
	}
	return 0
}

// hasPendingOutcomes tells whether the end of a task on the machine still has to
// be written to its record.
func (n *Node) hasPendingOutcomes(machine *machine) bool {
	for i := range machine.placements {
		if _, ended := n.outcomes[machine.placements[i].taskKey]; ended {
			return true
		}
	}
	return false
}

// sendHeldReplies answers reports that have waited for their records.
func (n *Node) sendHeldReplies() {
	if len(n.heldReplies) == 0 || n.now < n.heldRepliesAt {
		return
	}
	n.heldRepliesAt = n.now + 40*time.Millisecond
	n.heldReplies = slices.DeleteFunc(n.heldReplies, func(q heldReply) bool {
		shard, machine := q.shard, q.machine
		if shard.Term != q.term || !n.mayActAsOwner(shard) || machine.epoch != q.Heartbeat.Epoch || machine.sequence != q.Heartbeat.Sequence {
			machine.heldReplies--
			n.redirect(q.RequestID, shard, machine, false)
			return true
		}
		if n.now < q.until && (n.hasPendingOutcomes(machine) || !n.startsWaiting(machine)) && !machine.draining {
			return false
		}
		machine.heldReplies--
		if orders := n.reconcile(shard, machine, q.Heartbeat); !machine.leaseExpiring {
			n.answerWorker(q.RequestID, shard, machine, orders)
		} else {
			n.redirect(q.RequestID, shard, machine, true)
		}
		return true
	})
}

// startsWaiting tells whether a placed task has not reached the machine.
func (n *Node) startsWaiting(machine *machine) bool {
	for i := range machine.placements {
		if _, there := machine.reportedTasks[machine.placements[i].taskKey]; !there {
			return true
		}
	}
	return false
}

func (n *Node) redirect(req uint64, shard *shard, machine *machine, late bool) {
	if n.replica.Loaded() && shard.Record != nil && shard.Record.Owner != n.cfg.Self {
		// It was sent to its owner and is back, or its owner has told us that
		// it hears nothing from it: it can't reach its owner.
		back := n.now - machine.redirectedAt
		bounced := machine.redirectedAt > 0 && back > second*7/10 && back < 15*second
		unheard := n.ownerMissesMachine(shard, machine)
		if n.storeOK && !late && (bounced || unheard) && !n.ownerHearsMachine(shard, machine) {
			if machine.bouncedAt == 0 || n.now-machine.bouncedAt > 12*second {
				machine.bouncingSince = n.now
			}
			machine.bouncedAt = n.now
		}
		if !late {
			machine.redirectedAt = n.now
		}
		if !machine.strayListed {
			machine.strayListed = true
			n.strayMachines = append(n.strayMachines, machine.index)
		}
		n.emit(Reply{RequestID: req, Status: 421, Body: wire.Redirect{Owner: shard.Record.Owner}})
		return
	}
	n.emit(Reply{RequestID: req, Status: 503, Body: wire.Error{Error: "no owner"}})
}

// ownerHearsMachine tells whether an owner that can be heard says that it hears a
// machine: then what comes here in its name is a late copy, or the machine is
// unreachable for the answers. When copies counted, two controllers took shards from
// each other for as long as they came.
func (n *Node) ownerHearsMachine(shard *shard, machine *machine) bool {
	owner := n.peers[shard.Record.Owner]
	if owner == nil || n.now-owner.heardAt > 3*second {
		return false
	}
	if machine.viewTerm != shard.Term {
		return n.now-shard.ChangedAt < 3*n.cfg.HeartbeatInterval // it has not had the time to hear it
	}
	return machine.view.missedHeartbeats == 0
}

// ownerMissesMachine tells whether an owner that has been up for a while says that it
// hears nothing of a machine. One that has just come back does not know of it
// yet, which proves nothing.
func (n *Node) ownerMissesMachine(shard *shard, machine *machine) bool {
	owner := n.peers[shard.Record.Owner]
	return owner != nil && n.now-owner.heardAt < 3*second && owner.message.UpS >= 4*n.cfg.HeartbeatInterval.Seconds() &&
		machine.viewTerm == shard.Term && machine.view.missedHeartbeats > 0
}
