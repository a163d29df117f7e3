package simulation

import (
	"time"
)

// randomFault is one of the troubles of a storm: to a controller, for a while.
type randomFault func(sim *Simulation, controller int, d time.Duration)

// randomWorkerFault is a trouble of a machine chosen at random.
func randomWorkerFault(trouble string) randomFault {
	return func(sim *Simulation, _ int, d time.Duration) {
		if up := sim.fleet.running(); len(up) > 0 {
			sim.fleet.injectFault(trouble, up[sim.rng.IntN(len(up))], d)
		}
	}
}

// randomFaults are drawn evenly; some stand there twice. Their places are those that the
// seeds of scenarios have always drawn.
var randomFaults = []randomFault{
	0: crashBriefly, 1: crashBriefly,
	2: func(sim *Simulation, n int, _ time.Duration) { sim.crash(n, 200*time.Millisecond) },
	3: func(sim *Simulation, _ int, d time.Duration) { sim.store.startOutage(min(d, 25*time.Second)) },
	4: func(sim *Simulation, index int, d time.Duration) { sim.store.refuseController(index, d) },
	5: func(sim *Simulation, n int, d time.Duration) {
		for _, z := range sim.Zones {
			sim.network.cut(sim.controllers[n].label, "zone:"+z, d, sim.rng.IntN(2) == 0)
		}
	},
	6: func(sim *Simulation, _ int, d time.Duration) {
		if len(sim.Zones) > 1 {
			sim.network.cut("zone:"+sim.Zones[0], "zone:"+sim.Zones[1], d, sim.rng.IntN(2) == 0)
		}
	},
	7: func(sim *Simulation, _ int, d time.Duration) { sim.network.setLossy(0.2, 0.1, d) },
	8: randomWorkerFault("hang"), 9: randomWorkerFault("take"), 10: randomWorkerFault("recall"), 11: randomWorkerFault("sick"),
	12: func(sim *Simulation, _ int, _ time.Duration) {
		for i := range sim.controllers {
			sim.crash(i, time.Duration(200+sim.rng.IntN(6000))*time.Millisecond)
		}
	},
	13: func(sim *Simulation, _ int, d time.Duration) { sim.network.setLossy(0.1, 0.3, d) },
	14: func(sim *Simulation, index int, d time.Duration) { sim.store.hangWatch(index, d) },
	15: randomWorkerFault("deaf"), 16: randomWorkerFault("reset"),
	17: func(sim *Simulation, _ int, d time.Duration) {
		sim.network.setDuplicating(d, 90*time.Second)
	},
	18: (*Simulation).freeze,
	19: randomWorkerFault("mute"),
	20: func(sim *Simulation, _ int, d time.Duration) {
		sim.setFor(&sim.store.lateWrites, 0.3, d)
		sim.rules.faultsLast(d + 12*time.Second)
	},
	21: func(sim *Simulation, _ int, d time.Duration) {
		sim.setFor(&sim.store.lostReplies, 0.3, d)
		sim.rules.faultsLast(d)
	},
	22: func(sim *Simulation, _ int, d time.Duration) { sim.users.cancelRunning(3, d, bulkIDPrefix) },
}

func crashBriefly(sim *Simulation, n int, d time.Duration) { sim.crash(n, min(d, 10*time.Second)) }

// injectRandomFaults brings random troubles until the given time.
func (sim *Simulation) injectRandomFaults(until time.Duration) {
	if sim.now >= until {
		return
	}
	n := sim.rng.IntN(len(sim.controllers))
	d := time.Duration(1+sim.rng.IntN(40)) * time.Second
	randomFaults[sim.rng.IntN(len(randomFaults))](sim, n, d)
	sim.after(time.Duration(2+sim.rng.IntN(15))*time.Second, func() { sim.injectRandomFaults(until) })
}

// crashRepeatedly ends controllers that are back within a fraction of a second, also in
// an election that the end of the last one has caused.
func (sim *Simulation) crashRepeatedly(until time.Duration) {
	if sim.now >= until {
		return
	}
	sim.crash(sim.rng.IntN(len(sim.controllers)), time.Duration(100+sim.rng.IntN(400))*time.Millisecond)
	sim.after(time.Duration(200+sim.rng.IntN(4000))*time.Millisecond, func() { sim.crashRepeatedly(until) })
}
