package simulation

import (
	"strings"
	"time"

	"micaport/internal/wire"
)

// maxLateWriteDelay is the longest delay of a late write.
const maxLateWriteDelay = 12 * time.Second

// controllerCommands are the commands for faults of controllers. CONTROLLER is a label or a
// role, see controllerNamed.
var controllerCommands = map[string]scriptCommand{
	// watch-hangs CONTROLLER SECONDS: the controller's watch of the state service hangs.
	"watch-hangs": infallible(func(sim *Simulation, args arguments) {
		sim.store.hangWatch(sim.controllerNamed(args.word(0)), args.duration(1))
	}),
	// crash CONTROLLER SECONDS: the controller crashes and restarts after SECONDS.
	"crash": infallible(func(sim *Simulation, args arguments) {
		sim.controllerNamed(args.word(0)).crash(args.duration(1))
	}),
	// crash-claimant SECONDS: the next controller that claims the leadership crashes immediately, for SECONDS.
	"crash-claimant": infallible(func(sim *Simulation, args arguments) {
		sim.leadership.nextClaimantDowntime = args.duration(0)
	}),
	// freeze CONTROLLER SECONDS: the controller's process is paused.
	"freeze": infallible(func(sim *Simulation, args arguments) {
		sim.controllerNamed(args.word(0)).freeze(args.duration(1))
	}),
	// refuse CONTROLLER SECONDS: the state service refuses the controller's requests.
	"refuse": infallible(func(sim *Simulation, args arguments) {
		sim.store.refuseController(sim.controllerNamed(args.word(0)), args.duration(1))
	}),
	// blink SECONDS: controllers crash repeatedly, each time for half a second at most.
	"blink": infallible(func(sim *Simulation, args arguments) { sim.crashRepeatedly(sim.now + args.duration(0)) }),
	// roll INTERVAL SECONDS: a rolling upgrade, one controller every INTERVAL, each down for SECONDS.
	"roll": infallible(func(sim *Simulation, args arguments) {
		for i, ctrl := range sim.controllers {
			sim.after(time.Duration(i)*args.duration(0), func() {
				ctrl.oldVersion = false
				ctrl.crash(args.duration(1))
			})
		}
	}),
}

// serviceCommands are the commands for faults of the state service and the cloud.
var serviceCommands = map[string]scriptCommand{
	// outage SECONDS: the state service is unavailable.
	"outage": infallible(func(sim *Simulation, args arguments) { sim.store.startOutage(args.duration(0)) }),
	// cloud-outage SECONDS: the cloud is unavailable.
	"cloud-outage": infallible(func(sim *Simulation, args arguments) {
		sim.cloud.outage = true
		sim.after(args.duration(0), func() { sim.cloud.outage = false })
	}),
	// no-capacity SECONDS: the cloud has no capacity for new machines.
	"no-capacity": infallible(func(sim *Simulation, args arguments) {
		sim.cloud.outOfCapacity = true
		sim.after(args.duration(0), func() { sim.cloud.outOfCapacity = false })
	}),
	// offer FIRST LAST: from now on the cloud offers its machine types with the numbers from FIRST to LAST.
	"offer": infallible(func(sim *Simulation, args arguments) { sim.cloud.offer(int(args.number(0)), int(args.number(1))) }),
	// old-types COUNT: a controller of an earlier version stores the machine types, cut to the first COUNT.
	"old-types": func(sim *Simulation, args arguments) error {
		record := &wire.MachineTypeCache{Types: sim.cloud.listTypes()[:int(args.number(0))]}
		raw, err := wire.Encode(record)
		if err != nil {
			return err
		}
		sim.store.overwrite(wire.MachineTypesKey, raw)
		return nil
	},
	// boots FACTOR SHARE SECONDS: boots take FACTOR times as long, and a share SHARE of them never completes.
	"boots": infallible(func(sim *Simulation, args arguments) {
		sim.setTimedValue(&sim.cloud.slowBoot, args.number(0), args.duration(2))
		sim.cloud.neverBootShare = args.number(1)
		sim.rules.extendFaultPeriod(args.duration(2))
	}),
	// limits: the next_ limits of the settings apply to the state service from now on.
	"limits": infallible(func(sim *Simulation, _ arguments) {
		sim.WriteRPS = sim.NextWriteRPS
		sim.MaxTransactionOps = sim.NextMaxTransactionOps
		sim.MaxValueBytes = sim.NextMaxValueBytes
	}),
	// late-writes SHARE SECONDS: a share of the transactions is applied late and not answered.
	"late-writes": timedValueCommand(func(sim *Simulation) *timedValue { return &sim.store.lateWrites },
		func(*Simulation) time.Duration { return maxLateWriteDelay }),
	// answers-lost SHARE SECONDS: a share of the transactions is applied and not answered.
	"answers-lost": timedValueCommand(func(sim *Simulation) *timedValue { return &sim.store.lostReplies }, noDelayedEffects),
	// slow-store FACTOR SECONDS: the state service takes FACTOR times as long.
	"slow-store": timedValueCommand(func(sim *Simulation) *timedValue { return &sim.store.slowdown }, noDelayedEffects),
}

// networkCommands are the commands for faults of the network.
var networkCommands = map[string]scriptCommand{
	// cut ENDPOINT ENDPOINT SECONDS [hold]: the endpoints can't reach each other; with hold, their messages are
	// delivered afterwards instead of lost.
	"cut": func(sim *Simulation, args arguments) error {
		from, err := sim.cutEndpoint(args.word(0))
		if err != nil {
			return err
		}
		sim.network.cut(from, args.word(1), args.duration(2), args.word(3) == "hold")
		return nil
	},
	// lossy SHARE SHARE SECONDS: the first share of the requests is lost, the second is late.
	"lossy": infallible(func(sim *Simulation, args arguments) {
		sim.network.setLossy(args.number(0), args.number(1), args.duration(2))
		sim.rules.extendFaultPeriod(args.duration(2))
	}),
	// slow-links FACTOR SECONDS: all messages take FACTOR times as long.
	"slow-links": timedValueCommand(func(sim *Simulation) *timedValue { return &sim.network.slowdown }, noDelayedEffects),
	// copies SECONDS DELAY: heartbeats and commands are delivered twice, the second time up to DELAY seconds later.
	"copies": infallible(func(sim *Simulation, args arguments) {
		sim.network.setDuplicating(args.duration(0), args.duration(1))
	}),
	// command-copies SECONDS DELAY: commands to workers are delivered two more times, up to DELAY seconds later.
	"command-copies": infallible(func(sim *Simulation, args arguments) {
		sim.network.copyCommands(args.duration(0), args.duration(1))
	}),
	// late-commands SHARE SECONDS DELAY: a share of the commands to workers is executed up to DELAY seconds late and not
	// answered.
	"late-commands": infallible(func(sim *Simulation, args arguments) {
		sim.network.delayCommands(args.number(0), args.duration(1), args.duration(2))
	}),
	// late-reports SHARE SECONDS: a share of the heartbeats is delivered a second time, late.
	"late-reports": timedValueCommand(func(sim *Simulation) *timedValue { return &sim.replays.delayedShare },
		func(sim *Simulation) time.Duration { return 2 * sim.WorkerLease }),
	// reports-for-next-leader SHARE SECONDS: a share of the heartbeats is delivered again when the next leader begins.
	"reports-for-next-leader": timedValueCommand(func(sim *Simulation) *timedValue { return &sim.replays.retainedShare }, noDelayedEffects),
}

// cutEndpoint returns the network endpoint for a name in a script: "host:TASK" for the
// machine that has a task, the role of a controller, or an endpoint of network.cut.
func (s *Simulation) cutEndpoint(name string) (string, error) {
	if task, ok := strings.CutPrefix(name, "host:"); ok {
		worker := s.fleet.findByTask(task)
		if worker == nil {
			return "", errNoSuchWorker
		}
		return worker.machine.Name, nil
	}
	switch name {
	case "leader", "standby", "other":
		return s.controllerNamed(name).label, nil
	}
	return name, nil
}

// workerCommands are the commands for faults of workers and of their heartbeats.
var workerCommands = map[string]scriptCommand{
	// stash TASK|any: the present heartbeat of the worker that has a task, or of any worker, is stored for deliver.
	"stash": func(sim *Simulation, args arguments) error {
		worker := sim.fleet.findByTask(args.word(0))
		if args.word(0) == "any" {
			worker = sim.fleet.running()[0]
		}
		if worker == nil {
			return errNoSuchWorker
		}
		sim.replays.stashed = worker.newHeartbeat()
		return nil
	},
	// deliver INDEX: the stashed heartbeat is delivered to the controller with that index.
	"deliver": infallible(func(sim *Simulation, args arguments) {
		sim.controllers[int(args.number(0))].deliverHeartbeat(sim.replays.stashed)
	}),
	// many COUNT FAULT SECONDS: COUNT random workers have a fault.
	"many": infallible(func(sim *Simulation, args arguments) {
		workers := sim.fleet.running()
		sim.rng.Shuffle(len(workers), func(i, k int) { workers[i], workers[k] = workers[k], workers[i] })
		for _, worker := range workers[:min(len(workers), int(args.number(0)))] {
			sim.fleet.injectFault(workerFault(args.word(1)), worker, args.duration(2))
		}
	}),
	// FAULT TASK|any [SECONDS]: the worker that has a task, or a random one, has a fault.
	string(faultHang):        workerFaultCommand(faultHang),
	string(faultTerminate):   workerFaultCommand(faultTerminate),
	string(faultFailTasks):   workerFaultCommand(faultFailTasks),
	string(faultReclaim):     workerFaultCommand(faultReclaim),
	string(faultInboundCut):  workerFaultCommand(faultInboundCut),
	string(faultOutboundCut): workerFaultCommand(faultOutboundCut),
	string(faultReset):       workerFaultCommand(faultReset),
	string(faultRestart):     workerFaultCommand(faultRestart),
}

// defaultFaultDuration is the duration of a worker's fault if a script gives none.
const defaultFaultDuration = 10 * time.Second

// workerFaultCommand returns the command for a fault of a worker.
func workerFaultCommand(fault workerFault) scriptCommand {
	return func(sim *Simulation, args arguments) error {
		var worker *simWorker
		if running := sim.fleet.running(); args.word(0) != "any" {
			worker = sim.fleet.findByTask(args.word(0))
		} else if len(running) > 0 {
			worker = running[sim.rng.IntN(len(running))]
		}
		if worker == nil {
			return errNoSuchWorker
		}
		d := defaultFaultDuration
		if len(args) > 1 {
			d = args.duration(1)
		}
		sim.fleet.injectFault(fault, worker, d)
		return nil
	}
}

// generalCommands concern the simulation as a whole.
var generalCommands = map[string]scriptCommand{
	// storm SECONDS: random faults are injected.
	"storm": infallible(func(sim *Simulation, args arguments) { sim.injectRandomFaults(sim.now + args.duration(0)) }),
	// meter: the counts of costs restart at 0.
	"meter": infallible(func(sim *Simulation, _ arguments) { sim.meter = meter{since: sim.now, coreWork: sim.coreWork()} }),
	// expect: see Simulation.expect.
	"expect": func(sim *Simulation, args arguments) error { return sim.expect(args) },
}
