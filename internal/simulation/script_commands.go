package simulation

import (
	"strings"
	"time"
)

// lateWriteAftermath is how much later a late write may be carried out.
const lateWriteAftermath = 12 * time.Second

// controllerCommands are faults of controllers. CONTROLLER is a name of controllerNamed.
var controllerCommands = map[string]scriptCommand{
	// watch-hangs CONTROLLER SECONDS: its watch hangs.
	"watch-hangs": infallible(func(sim *Simulation, args arguments) {
		sim.store.hangWatch(sim.controllerNamed(args.word(0)), args.duration(1))
	}),
	// crash CONTROLLER SECONDS: it ends, and starts again after SECONDS.
	"crash": infallible(func(sim *Simulation, args arguments) {
		sim.controllerNamed(args.word(0)).crash(args.duration(1))
	}),
	// crash-claimant SECONDS: the next controller that claims the leadership ends at once, for SECONDS.
	"crash-claimant": infallible(func(sim *Simulation, args arguments) {
		sim.leadership.crashNextClaimant = args.duration(0)
	}),
	// freeze CONTROLLER SECONDS: it stands still.
	"freeze": infallible(func(sim *Simulation, args arguments) {
		sim.controllerNamed(args.word(0)).freeze(args.duration(1))
	}),
	// refuse CONTROLLER SECONDS: the state service refuses it.
	"refuse": infallible(func(sim *Simulation, args arguments) {
		sim.store.refuseController(sim.controllerNamed(args.word(0)), args.duration(1))
	}),
	// blink SECONDS: controllers end again and again, each for half a second at most.
	"blink": infallible(func(sim *Simulation, args arguments) { sim.crashRepeatedly(sim.now + args.duration(0)) }),
	// roll INTERVAL SECONDS: controllers are upgraded one after the other, each away for SECONDS.
	"roll": infallible(func(sim *Simulation, args arguments) {
		for i, ctrl := range sim.controllers {
			sim.after(time.Duration(i)*args.duration(0), func() {
				ctrl.oldVersion = false
				ctrl.crash(args.duration(1))
			})
		}
	}),
}

// serviceCommands are faults of the state service and the cloud.
var serviceCommands = map[string]scriptCommand{
	// outage SECONDS: the state service is out.
	"outage": infallible(func(sim *Simulation, args arguments) { sim.store.startOutage(args.duration(0)) }),
	// cloud-outage SECONDS: the cloud is out.
	"cloud-outage": infallible(func(sim *Simulation, args arguments) {
		sim.cloud.outage = true
		sim.after(args.duration(0), func() { sim.cloud.outage = false })
	}),
	// no-capacity SECONDS: the cloud has no machines to give.
	"no-capacity": infallible(func(sim *Simulation, args arguments) {
		sim.cloud.outOfCapacity = true
		sim.after(args.duration(0), func() { sim.cloud.outOfCapacity = false })
	}),
	// boots FACTOR SHARE SECONDS: boots take FACTOR times as long, and SHARE of them never end.
	"boots": infallible(func(sim *Simulation, args arguments) {
		sim.setFor(&sim.cloud.slowBoot, args.number(0), args.duration(2))
		sim.cloud.neverBootShare = args.number(1)
		sim.rules.faultsLast(args.duration(2))
	}),
	// limits: the state service's next limits hold from now on.
	"limits": infallible(func(sim *Simulation, _ arguments) {
		sim.WriteRPS = sim.NextWriteRPS
		sim.MaxTransactionOps = sim.NextMaxTransactionOps
		sim.MaxValueBytes = sim.NextMaxValueBytes
	}),
	// late-writes SHARE SECONDS: transactions are carried out late and not answered.
	"late-writes": timedShare(func(sim *Simulation) *timedValue { return &sim.store.lateWrites },
		func(*Simulation) time.Duration { return lateWriteAftermath }),
	// answers-lost SHARE SECONDS: transactions are carried out and not answered.
	"answers-lost": timedShare(func(sim *Simulation) *timedValue { return &sim.store.lostReplies }, noAftermath),
	// slow-store FACTOR SECONDS: the state service is slower.
	"slow-store": timedShare(func(sim *Simulation) *timedValue { return &sim.store.slowdown }, noAftermath),
}

// networkCommands are faults of the network.
var networkCommands = map[string]scriptCommand{
	// cut ENDPOINT ENDPOINT SECONDS [hold]: neither reaches the other; with hold, what they send arrives afterwards.
	"cut": func(sim *Simulation, args arguments) error {
		from, err := sim.cutEndpoint(args.word(0))
		if err != nil {
			return err
		}
		sim.network.cut(from, args.word(1), args.duration(2), args.word(3) == "hold")
		return nil
	},
	// lossy SHARE SHARE SECONDS: shares of the requests are lost, and are late.
	"lossy": infallible(func(sim *Simulation, args arguments) {
		sim.network.setLossy(args.number(0), args.number(1), args.duration(2))
		sim.rules.faultsLast(args.duration(2))
	}),
	// slow-links FACTOR SECONDS: all messages take longer.
	"slow-links": timedShare(func(sim *Simulation) *timedValue { return &sim.network.slowdown }, noAftermath),
	// copies SECONDS DELAY: heartbeats and commands are delivered twice, the second time up to DELAY seconds later.
	"copies": infallible(func(sim *Simulation, args arguments) {
		sim.network.setDuplicating(args.duration(0), args.duration(1))
	}),
	// late-reports SHARE SECONDS: copies of heartbeats are delivered late.
	"late-reports": timedShare(func(sim *Simulation) *timedValue { return &sim.replays.delayed },
		func(sim *Simulation) time.Duration { return 2 * sim.WorkerLease }),
	// reports-for-next-leader SHARE SECONDS: copies of heartbeats are delivered when a leader begins.
	"reports-for-next-leader": timedShare(func(sim *Simulation) *timedValue { return &sim.replays.retention }, noAftermath),
}

// cutEndpoint returns the endpoint of a cut that a script names: the machine that has a
// task ("host:TASK"), a controller by its role, or an endpoint as network.cut takes it.
func (s *Simulation) cutEndpoint(name string) (string, error) {
	if task, ok := strings.CutPrefix(name, "host:"); ok {
		worker := s.fleet.hosting(task)
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

// workerCommands are faults of workers, and of their heartbeats.
var workerCommands = map[string]scriptCommand{
	// stash TASK|any: a heartbeat of a worker is kept as it is now, for deliver.
	"stash": func(sim *Simulation, args arguments) error {
		worker := sim.fleet.hosting(args.word(0))
		if args.word(0) == "any" {
			worker = sim.fleet.running()[0]
		}
		if worker == nil {
			return errNoSuchWorker
		}
		sim.replays.stashed = worker.newHeartbeat()
		return nil
	},
	// deliver INDEX: the stashed heartbeat reaches a controller.
	"deliver": infallible(func(sim *Simulation, args arguments) {
		sim.controllers[int(args.number(0))].deliverHeartbeat(sim.replays.stashed)
	}),
	// many COUNT FAULT SECONDS: a fault of COUNT workers drawn at random.
	"many": infallible(func(sim *Simulation, args arguments) {
		workers := sim.fleet.running()
		sim.rng.Shuffle(len(workers), func(i, k int) { workers[i], workers[k] = workers[k], workers[i] })
		for _, worker := range workers[:min(len(workers), int(args.number(0)))] {
			sim.fleet.injectFault(workerFault(args.word(1)), worker, args.duration(2))
		}
	}),
	// FAULT TASK|any [SECONDS]: a fault of the worker that has a task, or of one drawn at random.
	string(faultHang):        workerFaultCommand(faultHang),
	string(faultTerminate):   workerFaultCommand(faultTerminate),
	string(faultFailTasks):   workerFaultCommand(faultFailTasks),
	string(faultReclaim):     workerFaultCommand(faultReclaim),
	string(faultInboundCut):  workerFaultCommand(faultInboundCut),
	string(faultOutboundCut): workerFaultCommand(faultOutboundCut),
	string(faultReset):       workerFaultCommand(faultReset),
}

// defaultFaultDuration is how long a worker's fault lasts if a script doesn't say.
const defaultFaultDuration = 10 * time.Second

// workerFaultCommand makes the command for a fault of a worker.
func workerFaultCommand(fault workerFault) scriptCommand {
	return func(sim *Simulation, args arguments) error {
		var worker *simWorker
		if running := sim.fleet.running(); args.word(0) != "any" {
			worker = sim.fleet.hosting(args.word(0))
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
	// storm SECONDS: random faults.
	"storm": infallible(func(sim *Simulation, args arguments) { sim.injectRandomFaults(sim.now + args.duration(0)) }),
	// meter: costs are counted from now on.
	"meter": infallible(func(sim *Simulation, _ arguments) { sim.meter = meter{since: sim.now, coreWork: sim.coreWork()} }),
	// expect: see Simulation.expect.
	"expect": func(sim *Simulation, args arguments) error { return sim.expect(args) },
}
