package simulation

import (
	"net/http"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// Timing of a worker's heartbeats.
const (
	heartbeatTimeout = 4 * time.Second // how long a worker waits for the reply
	retryInterval    = time.Second     // until it tries the next controller
)

// newHeartbeat returns a heartbeat of the worker as it is now.
func (worker *simWorker) newHeartbeat() *wire.WorkerHeartbeat {
	worker.sequence++
	machine := worker.machine
	heartbeat := &wire.WorkerHeartbeat{
		Machine: machine.Name, Addr: machine.Addr, MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot,
		Epoch: worker.epoch, Sequence: worker.sequence, Token: worker.token,
	}
	if worker.reclaimAt > 0 {
		left := (worker.reclaimAt - worker.sim.now).Seconds()
		heartbeat.ReclaimS = &left
	}
	for _, key := range sortedKeys(worker.tasks) {
		heartbeat.Tasks = append(heartbeat.Tasks, worker.tasks[key].status())
	}
	return heartbeat
}

// pendingHeartbeat is a heartbeat that waits for its reply.
type pendingHeartbeat struct {
	worker    *simWorker
	recipient *controller
	message   *wire.WorkerHeartbeat
	id        int    // simWorker.heartbeatID when it was sent
	epoch     uint64 // of the worker then
	sentAt    time.Duration
}

// sendHeartbeat sends a heartbeat to the worker's controller.
func (worker *simWorker) sendHeartbeat() {
	sim := worker.sim
	worker.awaitingReply, worker.heartbeatDue, worker.lastHeartbeatAt = true, false, sim.now
	sim.meter.heartbeats++
	worker.heartbeatID++
	pending := &pendingHeartbeat{
		worker: worker, recipient: sim.controllers[worker.controllerIndex], message: worker.newHeartbeat(),
		id: worker.heartbeatID, epoch: worker.epoch, sentAt: sim.now,
	}
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
		// It may be held back instead, and reach a controller that has taken over meanwhile.
		sim.after(time.Duration(sim.rng.IntN(60000))*time.Millisecond, func() { sim.randomController().deliverHeartbeat(pending.message) })
	default:
		pending.deliver()
	}
}

// deliver delivers the heartbeat, and perhaps copies of it to any controller.
func (pending *pendingHeartbeat) deliver() {
	sim := pending.worker.sim
	sim.replays.observe(pending.message)
	if sim.now < sim.network.duplicateUntil {
		ctrl := sim.randomController()
		sim.after(sim.network.duplicateAfter(), func() { ctrl.deliverHeartbeat(pending.message) })
	}
	pending.recipient.request(heartbeatInput(pending.message), pending.receiveReply)
}

// isCut reports whether the worker and the controller can't reach each other now.
func (pending *pendingHeartbeat) isCut() bool {
	return pending.worker.sim.network.isCut(pending.worker.endpoint(), pending.recipient.endpoint())
}

// deliverAfterCut delivers the heartbeat once the cut is over, when its reply would be too
// late.
func (pending *pendingHeartbeat) deliverAfterCut() {
	if pending.isCut() {
		pending.worker.sim.after(time.Second, pending.deliverAfterCut)
		return
	}
	pending.recipient.deliverHeartbeat(pending.message)
}

// redirect makes the worker send its next heartbeat to another controller after a while.
func (pending *pendingHeartbeat) redirect(wait time.Duration, controllerIndex int) {
	worker := pending.worker
	worker.controllerIndex = controllerIndex
	worker.sim.after(wait, func() {
		if worker.heartbeatID == pending.id && !worker.terminated {
			worker.awaitingReply, worker.heartbeatDue = false, true
		}
	})
}

// tryNextController redirects the worker to the next controller in turn.
func (pending *pendingHeartbeat) tryNextController() {
	worker := pending.worker
	pending.redirect(retryInterval, (worker.controllerIndex+1)%len(worker.sim.controllers))
}

// receiveReply delivers the reply to the worker, unless it is lost.
func (pending *pendingHeartbeat) receiveReply(reply core.Reply) {
	sim := pending.worker.sim
	if sim.now < pending.worker.inboundCutUntil || pending.isCut() || sim.network.loses(sim.rng) {
		return
	}
	sim.after(sim.network.latency(), func() { pending.handleReply(reply) })
}

// handleReply carries out a reply that has arrived, if the worker still waits for it.
func (pending *pendingHeartbeat) handleReply(reply core.Reply) {
	worker, sim := pending.worker, pending.worker.sim
	if worker.terminated || worker.hung || worker.heartbeatID != pending.id || !worker.awaitingReply || worker.epoch != pending.epoch {
		return
	}
	switch reply.Status {
	case http.StatusOK:
		worker.awaitingReply = false
		worker.applyReply(reply.Body.(wire.HeartbeatReply), pending.sentAt)
	case http.StatusMisdirectedRequest:
		owner := sim.labelled(reply.Body.(wire.Redirect).Owner)
		if owner < 0 || owner == worker.controllerIndex {
			pending.tryNextController()
			return
		}
		pending.redirect(time.Duration(sim.rng.IntN(500))*time.Millisecond, owner)
	default:
		pending.tryNextController()
	}
}

// applyReply carries out the reply to an accepted heartbeat, which renews the lease from
// when that was sent. A reply under a lower fencing token than the highest seen is ignored.
func (worker *simWorker) applyReply(reply wire.HeartbeatReply, sentAt time.Duration) {
	if reply.Token < worker.token {
		return
	}
	if reply.Token > worker.token {
		worker.token = reply.Token
		worker.heartbeatDue = true
	}
	worker.renewedAt = sentAt
	for _, command := range reply.Commands {
		worker.execute(command)
	}
}
