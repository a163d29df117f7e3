package simulation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"micaport/internal/config"
	"micaport/internal/core"
	"micaport/internal/wire"
)

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

// randomController is a controller chosen at random.
func (sim *Simulation) randomController() *controller {
	return sim.controllers[sim.rng.IntN(len(sim.controllers))]
}

// controllerIndex finds one by its number, as the one that leads now ("leader"), as the
// next after that ("other") or as the one whose claim of a shard stands ("owner:PART").
func (sim *Simulation) controllerIndex(arg string) int {
	leader := 0
	if record := sim.store.records[wire.LeaderKey]; record != nil {
		label := mustDecodeRecord(wire.LeaderKey, record.raw).(*wire.Leader).Controller
		leader = slices.IndexFunc(sim.controllers, func(ctrl *controller) bool { return ctrl.label == label })
	}
	switch {
	case arg == "leader":
		return leader
	case arg == "standby":
		return max(0, slices.IndexFunc(sim.controllers, func(ctrl *controller) bool { return ctrl.label == sim.leadership.standby }))
	case arg == "other":
		return (leader + 1) % len(sim.controllers)
	case strings.HasPrefix(arg, "owner:"):
		label := sim.store.shardOwner(strings.TrimPrefix(arg, "owner:"))
		return max(0, slices.IndexFunc(sim.controllers, func(ctrl *controller) bool { return ctrl.label == label }))
	}
	ix, _ := strconv.Atoi(arg)
	return ix
}
