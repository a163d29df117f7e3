package simulation

import (
	"fmt"
	"time"

	"micaport/internal/config"
	"micaport/internal/core"
)

// Controllers of the simulated world: how they start, end, stand still and are given inputs.

type controller struct {
	sim            *Simulation
	index          int
	label          string
	zone           string
	core           *core.Node
	running        bool
	oldVersion     bool // it plays the version before
	incarnation    int
	startedAt      time.Duration
	clockRate      float64
	pendingReplies map[uint64]func(core.Reply)
	lastRequestID  uint64

	frozenUntil         time.Duration // until when it stands still
	queuedInputs        []core.Input  // what has come meanwhile
	heldEffects         []core.Effect // effects that it had decided on when it stopped
	freezeBeforeEffects bool          // before the effects of its next step
}

// endpoint returns the controller as a party of the network.
func (ctrl *controller) endpoint() endpoint { return endpoint{ctrl.label, ctrl.zone} }

func (ctrl *controller) start() {
	sim := ctrl.sim
	ctrl.running, ctrl.startedAt = true, sim.now
	ctrl.incarnation++
	ctrl.frozenUntil, ctrl.freezeBeforeEffects, ctrl.heldEffects, ctrl.queuedInputs = 0, false, nil, nil
	ctrl.pendingReplies = map[uint64]func(core.Reply){}
	if sim.startController != nil {
		sim.store.watchPositions[ctrl.label] = -1 // it watches by itself
		sim.startController(ctrl)
		return
	}
	cfg := core.Config{
		Self: ctrl.label, Zone: ctrl.zone, Incarnation: fmt.Sprintf("%s-%d", ctrl.label, ctrl.incarnation), Zones: sim.Zones, Teams: sim.Teams,
		HeartbeatInterval: sim.HeartbeatInterval, WorkerLease: sim.WorkerLease, GangWait: sim.GangWait,
		OwnerValidity: config.Validity(sim.WorkerLease, sim.CancelDeadline), LeaderLease: 5 * time.Second, MaxTransactionOps: sim.MaxTransactionOps, MaxValueBytes: sim.MaxValueBytes,
		MaxBulkTasks: 600,
		CloudListLag: 4 * time.Second, MaxBatchWrites: sim.maxBatchWrites(), CloudRPS: 2, StateRPS: 250, WriteRPS: sim.WriteRPS, IdleTimeout: sim.IdleTimeout, SpareMachines: 1, Preempt: true,
		WallClockMS: func() int64 { return sim.now.Milliseconds() },
	}
	least := func(now, next int) int {
		if next > 0 {
			return min(now, next)
		}
		return now
	}
	cfg.Admission, cfg.EarlyTakeover = sim.Admission, sim.EarlyTakeover
	if ctrl.oldVersion {
		cfg.Format = sim.OldFormat
	}
	if cfg.Format != 1 { // format 1 knows of no limits to come
		cfg.CurrentValueBytes, cfg.MaxValueBytes = cfg.MaxValueBytes, least(cfg.MaxValueBytes, sim.NextMaxValueBytes)
		cfg.MaxTransactionOps, cfg.NextWriteRPS = least(cfg.MaxTransactionOps, sim.NextMaxTransactionOps), sim.NextWriteRPS
	}
	for _, peer := range sim.controllers {
		cfg.Members = append(cfg.Members, core.Member{Name: peer.label, Zone: peer.zone})
	}
	ctrl.core = core.New(cfg)
	incarnation := ctrl.incarnation
	sim.store.sendSnapshot(ctrl, incarnation)
	var tick func()
	tick = func() {
		if ctrl.incarnation != incarnation || !ctrl.running {
			return
		}
		ctrl.step(core.Tick{})
		sim.after(50*time.Millisecond, tick)
	}
	sim.after(time.Duration(ctrl.index)*7*time.Millisecond, tick)
}

// beginFailure gives a controller that is about to end or to stand still for d, or nil if it is
// not up.
func (sim *Simulation) beginFailure(ix int, d time.Duration) *controller {
	ctrl := sim.controllers[ix]
	if !ctrl.running {
		return nil
	}
	sim.rules.faultsLast(d)
	sim.leadership.recordFailure(ix)
	return ctrl
}

// crash ends a controller; it comes back after d.
func (sim *Simulation) crash(ix int, d time.Duration) {
	ctrl := sim.beginFailure(ix, d)
	if ctrl == nil {
		return
	}
	ctrl.running = false
	ctrl.pendingReplies = nil
	if sim.startController == nil && sim.EarlyTakeover {
		sim.notifyDisconnected(ctrl)
	}
	sim.after(d, ctrl.start)
}

func (ctrl *controller) step(in core.Input) {
	if !ctrl.running {
		return
	}
	if ctrl.sim.now < ctrl.frozenUntil && !ctrl.freezeBeforeEffects {
		if _, tick := in.(core.Tick); !tick {
			ctrl.queuedInputs = append(ctrl.queuedInputs, in)
		}
		return
	}
	local := time.Duration(float64(ctrl.sim.now-ctrl.startedAt) * ctrl.clockRate)
	out := ctrl.core.Step(local, in)
	if ctrl.sim.observe != nil {
		ctrl.sim.observe(ctrl.sim.now, ctrl.label, out)
	}
	if ctrl.freezeBeforeEffects {
		ctrl.freezeBeforeEffects, ctrl.heldEffects = false, out
		return
	}
	for _, e := range out {
		ctrl.perform(e)
	}
}

// freeze makes a controller stand still while its clocks run on: between
// deciding and doing, at every second time.
func (sim *Simulation) freeze(ix int, d time.Duration) {
	ctrl := sim.beginFailure(ix, d)
	if ctrl == nil {
		return
	}
	ctrl.frozenUntil, ctrl.freezeBeforeEffects = sim.now+d, sim.rng.IntN(2) == 0
	incarnation := ctrl.incarnation
	sim.after(d, func() {
		if ctrl.incarnation != incarnation || !ctrl.running || sim.now < ctrl.frozenUntil {
			return
		}
		stuck, backlog := ctrl.heldEffects, ctrl.queuedInputs
		ctrl.heldEffects, ctrl.queuedInputs, ctrl.freezeBeforeEffects = nil, nil, false
		for _, e := range stuck {
			if call, is := e.(core.CallCloud); is && (call.Provision != nil || call.Deprovision != nil) && d > call.ValidFor {
				ctrl.step(core.CloudAnswered{ID: call.ID, Outcome: core.Refused}) // as the adapter does
				continue
			}
			ctrl.perform(e)
		}
		for _, in := range backlog {
			ctrl.step(in)
		}
	})
}

// deliver gives an input to the same incarnation of the controller after a delay.
func (ctrl *controller) deliver(d time.Duration, in core.Input) {
	incarnation := ctrl.incarnation
	ctrl.sim.after(d, func() {
		if ctrl.incarnation == incarnation {
			ctrl.step(in)
		}
	})
}

// request gives a request to a controller; reply is called at most once.
func (ctrl *controller) request(input func(req uint64) core.Input, reply func(core.Reply)) {
	if ctrl.sim.Settings.sendRequest != nil {
		ctrl.sim.Settings.sendRequest(ctrl, input(0), reply)
		return
	}
	incarnation := ctrl.incarnation
	ctrl.sim.after(ctrl.sim.network.latency(), func() {
		if ctrl.incarnation != incarnation || !ctrl.running {
			return
		}
		ctrl.lastRequestID++
		ctrl.pendingReplies[ctrl.lastRequestID] = reply
		ctrl.step(input(ctrl.lastRequestID))
	})
}
