package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// heartbeatTimeout is how long a worker waits for an answer.
const heartbeatTimeout = 4 * time.Second

func (worker *simWorker) newHeartbeat() *wire.WorkerHeartbeat {
	worker.sequence++
	heartbeat := &wire.WorkerHeartbeat{Machine: worker.machine.Name, Addr: worker.machine.Addr, MachineType: worker.machine.MachineType, Zone: worker.machine.Zone, Spot: worker.machine.Spot,
		Epoch: worker.epoch, Sequence: worker.sequence, Token: worker.token}
	if worker.reclaimAt > 0 {
		left := (worker.reclaimAt - worker.sim.now).Seconds()
		heartbeat.ReclaimS = &left
	}
	for _, name := range sortedKeys(worker.tasks) {
		task := worker.tasks[name]
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: wire.TaskName(task.jobID, task.index), Attempt: task.attempt, State: task.state, ExitCause: task.exitCause, CheckpointSaved: task.checkpointSaved})
	}
	return heartbeat
}

// pendingHeartbeat is a report that waits for its answer.
type pendingHeartbeat struct {
	worker    *simWorker
	recipient *controller
	message   *wire.WorkerHeartbeat
	id        int
	epoch     uint64
	sentAt    time.Duration
}

// sendHeartbeat sends a report to the controller that the worker keeps to.
func (worker *simWorker) sendHeartbeat() {
	sim := worker.sim
	worker.awaitingReply, worker.heartbeatDue, worker.lastHeartbeatAt = true, false, sim.now
	sim.meter.heartbeats++
	worker.heartbeatID++
	pending := &pendingHeartbeat{worker: worker, id: worker.heartbeatID, epoch: worker.epoch, sentAt: sim.now, message: worker.newHeartbeat(), recipient: sim.controllers[worker.controllerIndex]}
	sim.after(heartbeatTimeout, func() {
		if worker.heartbeatID == pending.id && worker.awaitingReply {
			pending.tryNextController()
		}
	})
	switch {
	case sim.now < worker.outboundCutUntil:
	case pending.isCut():
		if sim.network.isHeld(worker.endpoint(), pending.recipient.endpoint()) {
			sim.after(time.Second, pending.deliverAfterCut)
		}
	case sim.network.loses(sim.rng):
		// Lost, or held back and delivered much later, to a controller that
		// may have taken over meanwhile.
		sim.after(time.Duration(sim.rng.IntN(60000))*time.Millisecond, func() { sim.randomController().deliverHeartbeat(pending.message) })
	default:
		sim.replays.observe(pending.message)
		if sim.now < sim.network.duplicateUntil {
			// The network delivers it a second time, to whom it will.
			peer := sim.randomController()
			sim.after(sim.network.duplicateAfter(), func() { peer.deliverHeartbeat(pending.message) })
		}
		pending.recipient.request(func(req uint64) core.Input { return core.WorkerReported{RequestID: req, Heartbeat: pending.message} }, pending.receiveReply)
	}
}

func (pending *pendingHeartbeat) isCut() bool {
	return pending.worker.sim.network.isCut(pending.worker.endpoint(), pending.recipient.endpoint())
}

// deliverAfterCut delivers the report once the cut is over; the answer comes far too late.
func (pending *pendingHeartbeat) deliverAfterCut() {
	if pending.isCut() {
		pending.worker.sim.after(time.Second, pending.deliverAfterCut)
		return
	}
	pending.recipient.deliverHeartbeat(pending.message)
}

// redirect has the worker report to a controller after a while.
func (pending *pendingHeartbeat) redirect(wait time.Duration, node int) {
	worker := pending.worker
	worker.controllerIndex = node
	worker.sim.after(wait, func() {
		if worker.heartbeatID == pending.id && !worker.terminated {
			worker.awaitingReply, worker.heartbeatDue = false, true
		}
	})
}

// tryNextController has the worker try the next controller.
func (pending *pendingHeartbeat) tryNextController() {
	pending.redirect(time.Second, (pending.worker.controllerIndex+1)%len(pending.worker.sim.controllers))
}

// receiveReply carries the answer back, unless it is lost.
func (pending *pendingHeartbeat) receiveReply(a core.Reply) {
	sim := pending.worker.sim
	if sim.now < pending.worker.inboundCutUntil || pending.isCut() || sim.network.loses(sim.rng) {
		return
	}
	sim.after(sim.network.latency(), func() { pending.handleReply(a) })
}

// handleReply obeys an answer that has arrived.
func (pending *pendingHeartbeat) handleReply(a core.Reply) {
	worker, sim := pending.worker, pending.worker.sim
	if worker.terminated || worker.hung || worker.heartbeatID != pending.id || !worker.awaitingReply || worker.epoch != pending.epoch {
		return
	}
	switch a.Status {
	case 200:
		worker.awaitingReply = false
		worker.applyReply(a.Body.(wire.HeartbeatReply), pending.sentAt)
	case 421:
		owner := a.Body.(wire.Redirect).Owner
		for i, peer := range sim.controllers {
			if peer.label == owner && i != worker.controllerIndex {
				pending.redirect(time.Duration(sim.rng.IntN(500))*time.Millisecond, i)
				return
			}
		}
		pending.tryNextController()
	default:
		pending.tryNextController()
	}
}

// applyReply carries out an accepted answer to a report sent at a time, which renews the lease.
func (worker *simWorker) applyReply(answer wire.HeartbeatReply, sent time.Duration) {
	if answer.Token < worker.token {
		return
	}
	if answer.Token > worker.token {
		worker.token = answer.Token
		worker.heartbeatDue = true
	}
	worker.renewedAt = sent
	for _, command := range answer.Commands {
		worker.execute(command)
	}
}
