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
func (replays *heartbeatReplays) observe(heartbeat *wire.WorkerHeartbeat) {
	sim := replays.sim
	if sim.draw(replays.delayed) {
		ctrl := sim.randomController()
		delay := 2*time.Second + time.Duration(sim.rng.Int64N(int64(sim.WorkerLease*3/2)))
		sim.after(delay, func() { ctrl.deliverHeartbeat(heartbeat) })
	}
	if len(replays.retained) < maxRetainedHeartbeats && sim.draw(replays.retention) {
		replays.retained = append(replays.retained, heartbeat)
	}
}

// deliverRetained delivers the retained heartbeats to every controller when a leader begins.
func (replays *heartbeatReplays) deliverRetained() {
	sim, retained := replays.sim, replays.retained
	replays.retained = nil
	for _, heartbeat := range retained {
		for _, ctrl := range sim.controllers {
			sim.after(time.Duration(sim.rng.IntN(400))*time.Millisecond, func() { ctrl.deliverHeartbeat(heartbeat) })
		}
	}
}

// deliverHeartbeat delivers a copy of a worker's heartbeat, whose reply nobody reads.
func (ctrl *controller) deliverHeartbeat(heartbeat *wire.WorkerHeartbeat) {
	ctrl.request(heartbeatInput(heartbeat), func(core.Reply) {})
}

// heartbeatInput returns the input of a core for a worker's heartbeat.
func heartbeatInput(heartbeat *wire.WorkerHeartbeat) func(requestID uint64) core.Input {
	return func(requestID uint64) core.Input {
		return core.WorkerReported{RequestID: requestID, Heartbeat: heartbeat}
	}
}
