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
	retryInterval    = time.Second     // until it tries the next controller after a failure
)

// newHeartbeat returns a heartbeat with the current state of the worker.
func (w *simWorker) newHeartbeat() *wire.WorkerHeartbeat {
	w.sequence++
	machine := w.machine
	heartbeat := &wire.WorkerHeartbeat{
		Machine: machine.Name, Addr: machine.Addr, MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot,
		Epoch: w.epoch, Sequence: w.sequence, Token: w.token,
	}
	if w.reclaimAt > 0 {
		remaining := (w.reclaimAt - w.sim.now).Seconds()
		heartbeat.ReclaimS = &remaining
	}
	for _, key := range sortedKeys(w.tasks) {
		heartbeat.Tasks = append(heartbeat.Tasks, w.tasks[key].status())
	}
	return heartbeat
}

// pendingHeartbeat is a heartbeat whose reply has not arrived yet.
type pendingHeartbeat struct {
	worker    *simWorker
	recipient *controller
	message   *wire.WorkerHeartbeat
	id        int    // simWorker.heartbeatID when it was sent
	epoch     uint64 // epoch of the worker when it was sent
	sentAt    time.Duration
}

// sendHeartbeat sends a heartbeat to the controller at controllerIndex.
func (w *simWorker) sendHeartbeat() {
	sim := w.sim
	w.awaitingReply = true
	w.heartbeatDue = false
	w.lastHeartbeatAt = sim.now
	sim.meter.heartbeats++
	w.heartbeatID++
	message := w.newHeartbeat()
	sim.rules.checkMessage(w, message, len(message.Tasks))
	pending := &pendingHeartbeat{
		worker: w, recipient: sim.controllers[w.controllerIndex], message: message,
		id: w.heartbeatID, epoch: w.epoch, sentAt: sim.now,
	}
	sim.after(heartbeatTimeout, func() {
		if w.heartbeatID == pending.id && w.awaitingReply {
			pending.tryNextController()
		}
	})
	switch {
	case sim.now < w.outboundCutUntil: // the heartbeat is lost
	case pending.isCut():
		if sim.network.isHeld(w.endpoint(), pending.recipient.endpoint()) {
			sim.after(time.Second, pending.deliverAfterCut)
		}
	case sim.network.drawLoss(sim.rng):
		// A lost heartbeat is delivered late instead, to a random controller, which may have
		// taken over in the meantime.
		sim.after(time.Duration(sim.rng.IntN(60000))*time.Millisecond, func() { sim.randomController().deliverHeartbeat(pending.message) })
	default:
		pending.deliver()
	}
}

// deliver delivers the heartbeat to its recipient. With the corresponding faults in effect,
// it also schedules the delivery of copies to random controllers.
func (p *pendingHeartbeat) deliver() {
	sim := p.worker.sim
	sim.replays.captureForReplay(p.message)
	if sim.now < sim.network.duplicateUntil {
		ctrl := sim.randomController()
		sim.after(sim.network.drawDuplicateDelay(), func() { ctrl.deliverHeartbeat(p.message) })
	}
	p.recipient.request(heartbeatInput(p.message), p.deliverReply)
}

// isCut reports whether a cut currently separates the worker from the recipient.
func (p *pendingHeartbeat) isCut() bool {
	return p.worker.sim.network.isCut(p.worker.endpoint(), p.recipient.endpoint())
}

// deliverAfterCut delivers the heartbeat when the cut has ended. The reply is ignored, since
// it would be too late.
func (p *pendingHeartbeat) deliverAfterCut() {
	if p.isCut() {
		p.worker.sim.after(time.Second, p.deliverAfterCut)
		return
	}
	p.recipient.deliverHeartbeat(p.message)
}

// redirect makes the worker send its next heartbeat to the given controller, after wait.
func (p *pendingHeartbeat) redirect(wait time.Duration, controllerIndex int) {
	worker := p.worker
	worker.controllerIndex = controllerIndex
	worker.sim.after(wait, func() {
		if worker.heartbeatID == p.id && !worker.terminated {
			worker.awaitingReply, worker.heartbeatDue = false, true
		}
	})
}

// tryNextController redirects the worker to the next controller in round-robin order.
func (p *pendingHeartbeat) tryNextController() {
	worker := p.worker
	p.redirect(retryInterval, (worker.controllerIndex+1)%len(worker.sim.controllers))
}

// deliverReply delivers the reply to the worker, unless the network loses it.
func (p *pendingHeartbeat) deliverReply(reply core.Reply) {
	sim := p.worker.sim
	if sim.now < p.worker.inboundCutUntil || p.isCut() || sim.network.drawLoss(sim.rng) {
		return
	}
	sim.after(sim.network.drawLatency(), func() { p.complete(reply) })
}

// complete processes a reply that has arrived, if the worker still waits for it.
func (p *pendingHeartbeat) complete(reply core.Reply) {
	worker, sim := p.worker, p.worker.sim
	if worker.terminated || worker.hung || worker.heartbeatID != p.id || !worker.awaitingReply || worker.epoch != p.epoch {
		return
	}
	switch reply.Status {
	case http.StatusOK:
		worker.awaitingReply = false
		worker.applyReply(reply.Body.(wire.HeartbeatReply), p.sentAt)
	case http.StatusMisdirectedRequest:
		owner := sim.controllerIndexOf(reply.Body.(wire.Redirect).Owner)
		if owner < 0 || owner == worker.controllerIndex {
			p.tryNextController()
			return
		}
		p.redirect(time.Duration(sim.rng.IntN(500))*time.Millisecond, owner)
	default:
		p.tryNextController()
	}
}

// applyReply applies the reply to an accepted heartbeat: it renews the lease as of the time
// when the heartbeat was sent and executes the commands. A reply with a lower fencing token
// than the highest received is ignored.
func (w *simWorker) applyReply(reply wire.HeartbeatReply, sentAt time.Duration) {
	if reply.Token < w.token {
		return
	}
	if reply.Token > w.token {
		w.token = reply.Token
		w.heartbeatDue = true
	}
	w.sim.rules.checkMessage(w, reply, len(reply.Commands))
	w.renewedAt = sentAt
	w.losesCommands = false
	for _, command := range reply.Commands {
		w.execute(command)
	}
}
