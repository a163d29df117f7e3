package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// maxRetainedHeartbeats bounds the heartbeats that are retained for the next leader.
const maxRetainedHeartbeats = 400

// heartbeatReplays delivers copies of workers' heartbeats late.
type heartbeatReplays struct {
	sim       *Simulation
	delayed   timedValue // share of heartbeats delivered again, up to one and a half worker leases later
	retention timedValue // share of heartbeats retained for the next leader
	retained  []*wire.WorkerHeartbeat
	stashed   *wire.WorkerHeartbeat // that a script delivers
}

// observe is given each heartbeat that the network delivers.
func (r *heartbeatReplays) observe(heartbeat *wire.WorkerHeartbeat) {
	sim := r.sim
	if sim.draw(r.delayed) {
		ctrl := sim.randomController()
		delay := 2*time.Second + time.Duration(sim.rng.Int64N(int64(sim.WorkerLease*3/2)))
		sim.after(delay, func() { ctrl.deliverHeartbeat(heartbeat) })
	}
	if len(r.retained) < maxRetainedHeartbeats && sim.draw(r.retention) {
		r.retained = append(r.retained, heartbeat)
	}
}

// deliverRetained delivers the retained heartbeats to every controller when a leader begins.
func (r *heartbeatReplays) deliverRetained() {
	sim, retained := r.sim, r.retained
	r.retained = nil
	for _, heartbeat := range retained {
		for _, ctrl := range sim.controllers {
			sim.after(time.Duration(sim.rng.IntN(400))*time.Millisecond, func() { ctrl.deliverHeartbeat(heartbeat) })
		}
	}
}

// deliverHeartbeat delivers a copy of a worker's heartbeat, whose reply nobody reads.
func (c *controller) deliverHeartbeat(heartbeat *wire.WorkerHeartbeat) {
	c.request(heartbeatInput(heartbeat), func(core.Reply) {})
}

// heartbeatInput returns the input of a core for a worker's heartbeat.
func heartbeatInput(heartbeat *wire.WorkerHeartbeat) func(requestID uint64) core.Input {
	return func(requestID uint64) core.Input {
		return core.WorkerReported{RequestID: requestID, Heartbeat: heartbeat}
	}
}
