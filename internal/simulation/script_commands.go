package simulation

import (
	"strings"
	"time"
)

// controllerCommands are what becomes of controllers.
var controllerCommands = map[string]func(*Simulation, arguments) error{
	// controller, seconds for which its watch hangs
	"watch-hangs": infallible(func(sim *Simulation, a arguments) { sim.store.hangWatch(sim.controllerIndex(a.word(0)), a.duration(1)) }),
	// controller, seconds until it is back
	"crash": infallible(func(sim *Simulation, a arguments) { sim.crash(sim.controllerIndex(a.word(0)), a.duration(1)) }),
	// seconds for which the next controller that claims the leadership ends at once
	"crash-claimant": infallible(func(sim *Simulation, a arguments) { sim.leadership.crashNextClaimant = a.duration(0) }),
	// controller, seconds for which it stands still
	"freeze": infallible(func(sim *Simulation, a arguments) { sim.freeze(sim.controllerIndex(a.word(0)), a.duration(1)) }),
	// controller, seconds for which the state service refuses it
	"refuse": infallible(func(sim *Simulation, a arguments) {
		sim.store.refuseController(sim.controllerIndex(a.word(0)), a.duration(1))
	}),
	// seconds for which controllers end and are back within half a second
	"blink": infallible(func(sim *Simulation, a arguments) { sim.crashRepeatedly(sim.now + a.duration(0)) }),
	// controllers end one after the other, SECONDS apart, and come back with the new version after SECONDS
	"roll": infallible(func(sim *Simulation, a arguments) {
		for i, n := range sim.controllers {
			sim.after(time.Duration(i)*a.duration(0), func() {
				n.oldVersion = false
				sim.crash(n.index, a.duration(1))
			})
		}
	}),
}

// serviceCommands are what becomes of the state service, the cloud and the network.
var serviceCommands = map[string]func(*Simulation, arguments) error{
	"outage": infallible(func(sim *Simulation, a arguments) { sim.store.startOutage(a.duration(0)) }),
	// two ends, seconds, perhaps "hold"
	"cut": func(sim *Simulation, a arguments) error {
		from, err := sim.cutEndpoint(a.word(0))
		if err == nil {
			sim.network.cut(from, a.word(1), a.duration(2), a.word(3) == "hold")
		}
		return err
	},
	"cloud-outage": infallible(func(sim *Simulation, a arguments) {
		sim.cloud.outage = true
		sim.after(a.duration(0), func() { sim.cloud.outage = false })
	}),
	"no-capacity": infallible(func(sim *Simulation, a arguments) {
		sim.cloud.outOfCapacity = true
		sim.after(a.duration(0), func() { sim.cloud.outOfCapacity = false })
	}),
	// times as long, share that never comes, seconds
	"boots": infallible(func(sim *Simulation, a arguments) {
		sim.cloud.slowBootFactor, sim.cloud.neverBootShare, sim.cloud.slowBootUntil = a.number(0), a.number(1), sim.now+a.duration(2)
		sim.rules.faultsLast(a.duration(2))
	}),
	// share lost, share late, seconds
	"lossy": infallible(func(sim *Simulation, a arguments) {
		sim.network.setLossy(a.number(0), a.number(1), a.duration(2))
		sim.rules.faultsLast(a.duration(2))
	}),
	// the state service's next limits hold from now on
	"limits": infallible(func(sim *Simulation, _ arguments) {
		sim.WriteRPS, sim.MaxTransactionOps, sim.MaxValueBytes = sim.NextWriteRPS, sim.NextMaxTransactionOps, sim.NextMaxValueBytes
	}),
	"late-writes": timedShare(func(sim *Simulation) *timedValue { return &sim.store.lateWrites },
		func(*Simulation) time.Duration { return 12 * time.Second }),
	"answers-lost": timedShare(func(sim *Simulation) *timedValue { return &sim.store.lostReplies }, noAftermath),
	"slow-store":   timedShare(func(sim *Simulation) *timedValue { return &sim.store.slowdown }, noAftermath),
	"slow-links":   timedShare(func(sim *Simulation) *timedValue { return &sim.network.slowdown }, noAftermath),
}

// cutEndpoint names an end of a cut: a machine by a task on it, a controller by its role, or as is.
func (sim *Simulation) cutEndpoint(name string) (string, error) {
	if task, ok := strings.CutPrefix(name, "host:"); ok {
		worker := sim.fleet.hosting(task)
		if worker == nil {
			return "", errNoSuchMachine
		}
		return worker.machine.Name, nil
	}
	if name == "leader" || name == "standby" || name == "other" {
		return sim.controllers[sim.controllerIndex(name)].label, nil
	}
	return name, nil
}

// workerCommands are what becomes of machines and their reports.
var workerCommands = map[string]func(*Simulation, arguments) error{
	// keep a machine's report as it is now, to be delivered late
	"stash": func(sim *Simulation, a arguments) error {
		k := sim.fleet.hosting(a.word(0))
		if a.word(0) == "any" {
			k = sim.fleet.running()[0]
		}
		if k == nil {
			return errNoSuchMachine
		}
		sim.replays.stashed = k.newHeartbeat()
		return nil
	},
	// the kept report, to a controller
	"deliver": infallible(func(sim *Simulation, a arguments) {
		sim.controllers[int(a.number(0))].deliverHeartbeat(sim.replays.stashed)
	}),
	// seconds for which every report comes twice, up to SECONDS late
	"copies": infallible(func(sim *Simulation, a arguments) {
		sim.network.setDuplicating(a.duration(0), a.duration(1))
	}),
	"late-reports": timedShare(func(sim *Simulation) *timedValue { return &sim.replays.delayed },
		func(sim *Simulation) time.Duration { return 2 * sim.WorkerLease }),
	"reports-for-next-leader": timedShare(func(sim *Simulation) *timedValue { return &sim.replays.retention }, noAftermath),
	// COUNT of the machines that are up, a machine's trouble, seconds
	"many": infallible(func(sim *Simulation, a arguments) {
		up := sim.fleet.running()
		sim.rng.Shuffle(len(up), func(i, k int) { up[i], up[k] = up[k], up[i] })
		for _, k := range up[:min(len(up), int(a.number(0)))] {
			sim.fleet.injectFault(a.word(1), k, a.duration(2))
		}
	}),
	"hang": workerFaultCommand("hang"), "take": workerFaultCommand("take"), "sick": workerFaultCommand("sick"), "recall": workerFaultCommand("recall"),
	"deaf": workerFaultCommand("deaf"), "mute": workerFaultCommand("mute"), "reset": workerFaultCommand("reset"),
}

// workerFaultCommand does something to the machine that has a task, or to some machine:
// TASK|any, seconds.
func workerFaultCommand(trouble string) func(*Simulation, arguments) error {
	return func(sim *Simulation, a arguments) error {
		var found *simWorker
		if up := sim.fleet.running(); a.word(0) != "any" {
			found = sim.fleet.hosting(a.word(0))
		} else if len(up) > 0 {
			found = up[sim.rng.IntN(len(up))]
		}
		if found == nil {
			return errNoSuchMachine
		}
		d := 10 * time.Second
		if len(a) > 1 {
			d = a.duration(1)
		}
		sim.fleet.injectFault(trouble, found, d)
		return nil
	}
}

// generalCommands are about the world as a whole.
var generalCommands = map[string]func(*Simulation, arguments) error{
	// seconds
	"storm": infallible(func(sim *Simulation, a arguments) { sim.injectRandomFaults(sim.now + a.duration(0)) }),
	// count from here on
	"meter":  infallible(func(sim *Simulation, _ arguments) { sim.meter = meter{since: sim.now, coreWork: sim.coreWork()} }),
	"expect": func(sim *Simulation, a arguments) error { return sim.expect(a) },
}
