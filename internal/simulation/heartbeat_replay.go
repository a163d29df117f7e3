package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// maxRetainedHeartbeats limits the number of heartbeats retained for the next leader.
const maxRetainedHeartbeats = 400

// heartbeatReplays delivers late copies of workers' heartbeats.
type heartbeatReplays struct {
	sim           *Simulation
	delayedShare  timedValue              // share of heartbeats delivered again, after 2 s plus at most 1.5 times the worker lease
	retainedShare timedValue              // share of heartbeats retained for the next leader
	retained      []*wire.WorkerHeartbeat // for the next leader
	stashed       *wire.WorkerHeartbeat   // delivered by the script's command "deliver"
}

// captureForReplay draws whether a heartbeat that is being delivered is delivered again
// later, and whether it is retained for the next leader.
func (r *heartbeatReplays) captureForReplay(heartbeat *wire.WorkerHeartbeat) {
	sim := r.sim
	if sim.draw(r.delayedShare) {
		ctrl := sim.randomController()
		delay := 2*time.Second + time.Duration(sim.rng.Int64N(int64(sim.WorkerLease*3/2)))
		sim.after(delay, func() { ctrl.deliverHeartbeat(heartbeat) })
	}
	if len(r.retained) < maxRetainedHeartbeats && sim.draw(r.retainedShare) {
		r.retained = append(r.retained, heartbeat)
	}
}

// deliverRetained delivers the retained heartbeats to every controller. It is called when a
// new leader has claimed the leadership.
func (r *heartbeatReplays) deliverRetained() {
	sim, retained := r.sim, r.retained
	r.retained = nil
	for _, heartbeat := range retained {
		for _, ctrl := range sim.controllers {
			sim.after(time.Duration(sim.rng.IntN(400))*time.Millisecond, func() { ctrl.deliverHeartbeat(heartbeat) })
		}
	}
}

// deliverHeartbeat delivers a worker's heartbeat to the controller and ignores the reply.
func (c *controller) deliverHeartbeat(heartbeat *wire.WorkerHeartbeat) {
	c.request(heartbeatInput(heartbeat), func(core.Reply) {})
}

// heartbeatInput returns a function that makes the core's input for a worker's heartbeat.
func heartbeatInput(heartbeat *wire.WorkerHeartbeat) func(requestID uint64) core.Input {
	return func(requestID uint64) core.Input {
		return core.WorkerReported{RequestID: requestID, Heartbeat: heartbeat}
	}
}
