package simulation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"micaport/internal/config"
	"micaport/internal/core"
	"micaport/internal/ownership"
)

// controller is a controller of the simulation: its core, its clock and its pending requests.
// With real processes the core is nil, and only the state of the process is tracked here.
type controller struct {
	sim            *Simulation
	index          int // position in Simulation.controllers
	label          string
	zone           string
	core           *core.Node
	running        bool
	oldVersion     bool // it runs the previous version, which supports formats up to Settings.OldFormat
	incarnation    int  // number of starts so far
	startedAt      time.Duration
	clockRate      float64 // rate of its clock relative to that of the simulation
	pendingReplies map[uint64]func(core.Reply)
	lastRequestID  uint64

	frozenUntil         time.Duration
	queuedInputs        []core.Input  // inputs that arrived while it was frozen
	pendingEffects      []core.Effect // effects of its last step before it froze, not performed yet
	freezeBeforeEffects bool          // set when a freeze begins: the next step still runs, but its effects wait for the end of the freeze
}

// Timing and limits of a controller.
const (
	tickInterval       = 50 * time.Millisecond
	tickStagger        = 7 * time.Millisecond // between the first ticks of successive controllers
	leaderLease        = 5 * time.Second
	cloudListLag       = 4 * time.Second // time after which the cloud lists a new machine
	maxLargeArrayTasks = 600
	coreCloudRPS       = 2
	coreStateRPS       = 250
	spareMachines      = 1
)

func (c *controller) endpoint() endpoint { return endpoint{c.label, c.zone} }

// start starts a new incarnation of the controller.
func (c *controller) start() {
	sim := c.sim
	c.running, c.startedAt = true, sim.now
	c.incarnation++
	c.frozenUntil = 0
	c.freezeBeforeEffects = false
	c.pendingEffects = nil
	c.queuedInputs = nil
	c.pendingReplies = map[uint64]func(core.Reply){}
	if sim.startController != nil {
		sim.store.watchPositions[c.label] = watchNotStarted // the process watches the state service through its protocol
		sim.startController(c)
		return
	}
	c.core = core.New(c.coreConfig())
	incarnation := c.incarnation
	sim.store.sendSnapshot(c, incarnation)
	var tick func()
	tick = func() {
		if c.isRunning(incarnation) {
			c.step(core.Tick{})
			sim.after(tickInterval, tick)
		}
	}
	sim.after(time.Duration(c.index)*tickStagger, tick)
}

// isRunning reports whether the given incarnation of the controller still runs.
func (c *controller) isRunning(incarnation int) bool {
	return c.incarnation == incarnation && c.running
}

// coreConfig returns the configuration of the controller's core.
func (c *controller) coreConfig() core.Config {
	sim := c.sim
	cfg := core.Config{
		Self: c.label, Zone: c.zone, Incarnation: fmt.Sprintf("%s-%d", c.label, c.incarnation),
		Zones: sim.Zones, Teams: sim.Teams, Admission: sim.Admission, EarlyFailover: sim.EarlyTakeover,
		HeartbeatInterval: sim.HeartbeatInterval, WorkerLease: sim.WorkerLease, GangWait: sim.GangWait,
		OwnerValidity: config.Validity(sim.WorkerLease, sim.CancelDeadline), LeaderLease: leaderLease,
		MaxTransactionOps: sim.MaxTransactionOps, MaxValueBytes: sim.MaxValueBytes,
		MaxLargeArrayTasks: maxLargeArrayTasks, MaxBatchWrites: sim.maxBatchWrites(),
		CloudListLag: cloudListLag, CloudRPS: coreCloudRPS, StateRPS: coreStateRPS, WriteRPS: sim.WriteRPS,
		IdleTimeout: sim.IdleTimeout, SpareMachines: spareMachines, Preempt: true,
		WallClockMS: func() int64 { return sim.now.Milliseconds() },
	}
	if c.oldVersion {
		cfg.Format = sim.OldFormat
	}
	if cfg.Format != 1 { // format 1 does not support limits that apply later
		cfg.CurrentValueBytes, cfg.MaxValueBytes = cfg.MaxValueBytes, lowerLimit(cfg.MaxValueBytes, sim.NextMaxValueBytes)
		cfg.MaxTransactionOps, cfg.NextWriteRPS = lowerLimit(cfg.MaxTransactionOps, sim.NextMaxTransactionOps), sim.NextWriteRPS
	}
	for _, peer := range sim.controllers {
		cfg.Members = append(cfg.Members, ownership.Member{Name: peer.label, Zone: peer.zone})
	}
	return cfg
}

// lowerLimit returns the lower of the current limit and the next one, or the current one if
// next is 0.
func lowerLimit(current, next int) int {
	if next > 0 {
		return min(current, next)
	}
	return current
}

// step runs a step of the core with an input and performs its effects. A frozen controller
// queues its inputs instead, except ticks, which it ignores; see also freezeBeforeEffects.
func (c *controller) step(in core.Input) {
	sim := c.sim
	if !c.running {
		return
	}
	if sim.now < c.frozenUntil && !c.freezeBeforeEffects {
		if _, tick := in.(core.Tick); !tick {
			c.queuedInputs = append(c.queuedInputs, in)
		}
		return
	}
	local := time.Duration(float64(sim.now-c.startedAt) * c.clockRate)
	effects := c.core.Step(local, in)
	if sim.observe != nil {
		sim.observe(sim.now, c.label, effects)
	}
	if c.freezeBeforeEffects {
		c.freezeBeforeEffects, c.pendingEffects = false, effects
		return
	}
	for _, effect := range effects {
		c.perform(effect)
	}
}

// deliver passes an input to the controller after a delay, unless the controller has been
// restarted by then.
func (c *controller) deliver(d time.Duration, in core.Input) {
	incarnation := c.incarnation
	c.sim.after(d, func() {
		if c.incarnation == incarnation {
			c.step(in)
		}
	})
}

// request sends a request to the controller. Reply receives the reply and is called at most
// once.
func (c *controller) request(input func(requestID uint64) core.Input, reply func(core.Reply)) {
	if c.sim.sendRequest != nil {
		c.sim.sendRequest(c, input(0), reply)
		return
	}
	incarnation := c.incarnation
	c.sim.after(c.sim.network.drawLatency(), func() {
		if c.isRunning(incarnation) {
			c.stepRequest(input, reply)
		}
	})
}

// stepRequest passes a request to the core and registers the function that receives the
// reply.
func (c *controller) stepRequest(input func(requestID uint64) core.Input, reply func(core.Reply)) {
	c.lastRequestID++
	c.pendingReplies[c.lastRequestID] = reply
	c.step(input(c.lastRequestID))
}

// randomController returns a controller drawn at random.
func (s *Simulation) randomController() *controller {
	return s.controllers[s.rng.IntN(len(s.controllers))]
}

// controllerIndexOf returns the index of the controller with the given label, or -1.
func (s *Simulation) controllerIndexOf(label string) int {
	return slices.IndexFunc(s.controllers, func(ctrl *controller) bool { return ctrl.label == label })
}

// controllerNamed returns the controller that a script refers to by its index, its role
// ("leader", "standby", or "other" for the one after the leader), or the shard that it owns
// ("owner:SHARD"). If no controller has the role or owns the shard, the first one counts as
// the leader, the standby or the owner.
func (s *Simulation) controllerNamed(name string) *controller {
	leader := 0
	if claim := s.store.leader(); claim != nil {
		leader = s.controllerIndexOf(claim.Controller)
	}
	if shard, ok := strings.CutPrefix(name, "owner:"); ok {
		return s.controllers[max(0, s.controllerIndexOf(s.store.shardOwner(shard)))]
	}
	switch name {
	case "leader":
		return s.controllers[leader]
	case "standby":
		return s.controllers[max(0, s.controllerIndexOf(s.leadership.standby))]
	case "other":
		return s.controllers[(leader+1)%len(s.controllers)]
	}
	index, _ := strconv.Atoi(name)
	return s.controllers[index]
}

// reachablePeer returns the controller with the given label, or nil if it does not exist or
// a cut separates the two.
func (c *controller) reachablePeer(label string) *controller {
	index := c.sim.controllerIndexOf(label)
	if index < 0 || c.sim.network.isCut(c.endpoint(), c.sim.controllers[index].endpoint()) {
		return nil
	}
	return c.sim.controllers[index]
}
