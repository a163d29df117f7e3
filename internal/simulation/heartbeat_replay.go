package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// heartbeatReplays delivers copies of workers' heartbeats late.
type heartbeatReplays struct {
	sim       *Simulation
	delayed   timedValue // share of heartbeats of which a copy comes again, up to one and a half worker leases later
	retention timedValue // share of heartbeats of which a copy is retained for the next leader
	retained  []*wire.WorkerHeartbeat
	stashed   *wire.WorkerHeartbeat // that a script delivers
}

// observe lets a copy of a report come again.
func (replays *heartbeatReplays) observe(heartbeat *wire.WorkerHeartbeat) {
	if replays.sim.draw(replays.delayed) {
		peer := replays.sim.randomController()
		replays.sim.after(2*time.Second+time.Duration(replays.sim.rng.Int64N(int64(replays.sim.WorkerLease*3/2))), func() { peer.deliverHeartbeat(heartbeat) })
	}
	if len(replays.retained) < 400 && replays.sim.draw(replays.retention) {
		replays.retained = append(replays.retained, heartbeat)
	}
}

// deliverRetained gives what was kept for the next leader to every controller, just
// as that begins.
func (replays *heartbeatReplays) deliverRetained() {
	kept := replays.retained
	replays.retained = nil
	for _, heartbeat := range kept {
		for _, ctrl := range replays.sim.controllers {
			replays.sim.after(time.Duration(replays.sim.rng.IntN(400))*time.Millisecond, func() { ctrl.deliverHeartbeat(heartbeat) })
		}
	}
}

func (ctrl *controller) deliverHeartbeat(heartbeat *wire.WorkerHeartbeat) {
	ctrl.request(func(req uint64) core.Input { return core.WorkerReported{RequestID: req, Heartbeat: heartbeat} }, func(core.Reply) {})
}
