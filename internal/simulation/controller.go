package simulation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"micaport/internal/config"
	"micaport/internal/core"
)

// controller is a controller: a core, its clock and what waits for it. With real processes
// it has no core, and only its state is tracked here.
type controller struct {
	sim            *Simulation
	index          int // in Simulation.controllers
	label          string
	zone           string
	core           *core.Node
	running        bool
	oldVersion     bool // it runs the version before, which reads Settings.OldFormat
	incarnation    int  // how often it was started
	startedAt      time.Duration
	clockRate      float64 // of its clock, by the simulation's
	pendingReplies map[uint64]func(core.Reply)
	lastRequestID  uint64

	frozenUntil         time.Duration
	queuedInputs        []core.Input  // that arrived while it was frozen
	heldEffects         []core.Effect // decided on when it froze, and not performed yet
	freezeBeforeEffects bool          // it takes one more step, and freezes before its effects
}

// Timing of a controller.
const (
	tickInterval  = 50 * time.Millisecond
	tickStagger   = 7 * time.Millisecond // between the first ticks of two controllers
	leaderLease   = 5 * time.Second
	cloudListLag  = 4 * time.Second // a new machine is listed after it
	maxBulkTasks  = 600
	coreCloudRPS  = 2
	coreStateRPS  = 250
	spareMachines = 1
)

// endpoint returns the controller as a party of the network.
func (ctrl *controller) endpoint() endpoint { return endpoint{ctrl.label, ctrl.zone} }

// start starts a new incarnation of the controller.
func (ctrl *controller) start() {
	sim := ctrl.sim
	ctrl.running, ctrl.startedAt = true, sim.now
	ctrl.incarnation++
	ctrl.frozenUntil, ctrl.freezeBeforeEffects, ctrl.heldEffects, ctrl.queuedInputs = 0, false, nil, nil
	ctrl.pendingReplies = map[uint64]func(core.Reply){}
	if sim.startController != nil {
		sim.store.watchPositions[ctrl.label] = watchNotStarted // it watches over its protocol
		sim.startController(ctrl)
		return
	}
	ctrl.core = core.New(ctrl.coreConfig())
	incarnation := ctrl.incarnation
	sim.store.sendSnapshot(ctrl, incarnation)
	var tick func()
	tick = func() {
		if ctrl.isRunning(incarnation) {
			ctrl.step(core.Tick{})
			sim.after(tickInterval, tick)
		}
	}
	sim.after(time.Duration(ctrl.index)*tickStagger, tick)
}

// isRunning reports whether an incarnation of the controller still runs.
func (ctrl *controller) isRunning(incarnation int) bool {
	return ctrl.incarnation == incarnation && ctrl.running
}

// coreConfig returns the configuration of the controller's core.
func (ctrl *controller) coreConfig() core.Config {
	sim := ctrl.sim
	cfg := core.Config{
		Self: ctrl.label, Zone: ctrl.zone, Incarnation: fmt.Sprintf("%s-%d", ctrl.label, ctrl.incarnation),
		Zones: sim.Zones, Teams: sim.Teams, Admission: sim.Admission, EarlyTakeover: sim.EarlyTakeover,
		HeartbeatInterval: sim.HeartbeatInterval, WorkerLease: sim.WorkerLease, GangWait: sim.GangWait,
		OwnerValidity: config.Validity(sim.WorkerLease, sim.CancelDeadline), LeaderLease: leaderLease,
		MaxTransactionOps: sim.MaxTransactionOps, MaxValueBytes: sim.MaxValueBytes,
		MaxBulkTasks: maxBulkTasks, MaxBatchWrites: sim.maxBatchWrites(),
		CloudListLag: cloudListLag, CloudRPS: coreCloudRPS, StateRPS: coreStateRPS, WriteRPS: sim.WriteRPS,
		IdleTimeout: sim.IdleTimeout, SpareMachines: spareMachines, Preempt: true,
		WallClockMS: func() int64 { return sim.now.Milliseconds() },
	}
	if ctrl.oldVersion {
		cfg.Format = sim.OldFormat
	}
	if cfg.Format != 1 { // format 1 knows no limits that are to come
		cfg.CurrentValueBytes, cfg.MaxValueBytes = cfg.MaxValueBytes, lowerLimit(cfg.MaxValueBytes, sim.NextMaxValueBytes)
		cfg.MaxTransactionOps, cfg.NextWriteRPS = lowerLimit(cfg.MaxTransactionOps, sim.NextMaxTransactionOps), sim.NextWriteRPS
	}
	for _, peer := range sim.controllers {
		cfg.Members = append(cfg.Members, core.Member{Name: peer.label, Zone: peer.zone})
	}
	return cfg
}

// lowerLimit returns the lower of a limit and the next one, of which 0 is none.
func lowerLimit(now, next int) int {
	if next > 0 {
		return min(now, next)
	}
	return now
}

// step gives an input to the core and performs the effects, unless the controller is frozen.
func (ctrl *controller) step(in core.Input) {
	sim := ctrl.sim
	if !ctrl.running {
		return
	}
	if sim.now < ctrl.frozenUntil && !ctrl.freezeBeforeEffects {
		if _, tick := in.(core.Tick); !tick {
			ctrl.queuedInputs = append(ctrl.queuedInputs, in)
		}
		return
	}
	local := time.Duration(float64(sim.now-ctrl.startedAt) * ctrl.clockRate)
	effects := ctrl.core.Step(local, in)
	if sim.observe != nil {
		sim.observe(sim.now, ctrl.label, effects)
	}
	if ctrl.freezeBeforeEffects {
		ctrl.freezeBeforeEffects, ctrl.heldEffects = false, effects
		return
	}
	for _, effect := range effects {
		ctrl.perform(effect)
	}
}

// deliver gives an input to the present incarnation of the controller after a delay.
func (ctrl *controller) deliver(d time.Duration, in core.Input) {
	incarnation := ctrl.incarnation
	ctrl.sim.after(d, func() {
		if ctrl.incarnation == incarnation {
			ctrl.step(in)
		}
	})
}

// request sends a request to the controller; reply is called at most once.
func (ctrl *controller) request(input func(requestID uint64) core.Input, reply func(core.Reply)) {
	if ctrl.sim.sendRequest != nil {
		ctrl.sim.sendRequest(ctrl, input(0), reply)
		return
	}
	incarnation := ctrl.incarnation
	ctrl.sim.after(ctrl.sim.network.latency(), func() {
		if ctrl.isRunning(incarnation) {
			ctrl.stepRequest(input, reply)
		}
	})
}

// stepRequest gives a request to the core, whose reply goes to a function.
func (ctrl *controller) stepRequest(input func(requestID uint64) core.Input, reply func(core.Reply)) {
	ctrl.lastRequestID++
	ctrl.pendingReplies[ctrl.lastRequestID] = reply
	ctrl.step(input(ctrl.lastRequestID))
}

// randomController returns a controller drawn at random.
func (sim *Simulation) randomController() *controller {
	return sim.controllers[sim.rng.IntN(len(sim.controllers))]
}

// labelled returns the index of the controller with a label, or -1.
func (sim *Simulation) labelled(label string) int {
	return slices.IndexFunc(sim.controllers, func(ctrl *controller) bool { return ctrl.label == label })
}

// controllerNamed finds a controller by the name that scripts use: its index, its role
// ("leader", "standby", or "other" for the one after the leader), or the shard that it owns
// ("owner:SHARD"). Who has no holder is the first controller.
func (sim *Simulation) controllerNamed(name string) *controller {
	leader := 0
	if claim := sim.store.leader(); claim != nil {
		leader = sim.labelled(claim.Controller)
	}
	if shard, ok := strings.CutPrefix(name, "owner:"); ok {
		return sim.controllers[max(0, sim.labelled(sim.store.shardOwner(shard)))]
	}
	switch name {
	case "leader":
		return sim.controllers[leader]
	case "standby":
		return sim.controllers[max(0, sim.labelled(sim.leadership.standby))]
	case "other":
		return sim.controllers[(leader+1)%len(sim.controllers)]
	}
	index, _ := strconv.Atoi(name)
	return sim.controllers[index]
}

// reachablePeer returns the peer with a label that the controller can reach, or nil.
func (ctrl *controller) reachablePeer(label string) *controller {
	index := ctrl.sim.labelled(label)
	if index < 0 || ctrl.sim.network.isCut(ctrl.endpoint(), ctrl.sim.controllers[index].endpoint()) {
		return nil
	}
	return ctrl.sim.controllers[index]
}
