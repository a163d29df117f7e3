package simulation

import "time"

// randomFault injects a fault, which lasts for d unless its kind has a duration of its own.
// Faults of the network, the services, the workers and the users ignore the controller.
type randomFault func(sim *Simulation, ctrl *controller, d time.Duration)

// randomWorkerFault returns a randomFault that injects the fault into a random worker.
func randomWorkerFault(fault workerFault) randomFault {
	return func(sim *Simulation, _ *controller, d time.Duration) {
		if running := sim.fleet.running(); len(running) > 0 {
			sim.fleet.injectFault(fault, running[sim.rng.IntN(len(running))], d)
		}
	}
}

// randomFaults are the faults that injectRandomFaults draws from with equal probability; a
// fault listed twice is drawn twice as often. Changing the order changes which faults a seed
// gives.
var randomFaults = []randomFault{
	0: crashBriefly, 1: crashBriefly,
	2: func(sim *Simulation, ctrl *controller, _ time.Duration) { ctrl.crash(200 * time.Millisecond) },
	3: func(sim *Simulation, _ *controller, d time.Duration) { sim.store.startOutage(min(d, 25*time.Second)) },
	4: func(sim *Simulation, ctrl *controller, d time.Duration) { sim.store.refuseController(ctrl, d) },
	5: func(sim *Simulation, ctrl *controller, d time.Duration) {
		for _, zone := range sim.Zones {
			sim.network.cut(ctrl.label, "zone:"+zone, d, sim.rng.IntN(2) == 0)
		}
	},
	6: func(sim *Simulation, _ *controller, d time.Duration) {
		if len(sim.Zones) > 1 {
			sim.network.cut("zone:"+sim.Zones[0], "zone:"+sim.Zones[1], d, sim.rng.IntN(2) == 0)
		}
	},
	7: func(sim *Simulation, _ *controller, d time.Duration) { sim.network.setLossy(0.2, 0.1, d) },
	8: randomWorkerFault(faultHang), 9: randomWorkerFault(faultTerminate), 10: randomWorkerFault(faultReclaim), 11: randomWorkerFault(faultFailTasks),
	12: func(sim *Simulation, _ *controller, _ time.Duration) {
		for _, peer := range sim.controllers {
			peer.crash(time.Duration(200+sim.rng.IntN(6000)) * time.Millisecond)
		}
	},
	13: func(sim *Simulation, _ *controller, d time.Duration) { sim.network.setLossy(0.1, 0.3, d) },
	14: func(sim *Simulation, ctrl *controller, d time.Duration) { sim.store.hangWatch(ctrl, d) },
	15: randomWorkerFault(faultInboundCut), 16: randomWorkerFault(faultReset),
	17: func(sim *Simulation, _ *controller, d time.Duration) {
		sim.network.setDuplicating(d, 90*time.Second)
	},
	18: func(_ *Simulation, ctrl *controller, d time.Duration) { ctrl.freeze(d) },
	19: randomWorkerFault(faultOutboundCut),
	20: func(sim *Simulation, _ *controller, d time.Duration) {
		sim.setTimedValue(&sim.store.lateWrites, 0.3, d)
		sim.rules.extendFaultPeriod(d + 12*time.Second)
	},
	21: func(sim *Simulation, _ *controller, d time.Duration) {
		sim.setTimedValue(&sim.store.lostReplies, 0.3, d)
		sim.rules.extendFaultPeriod(d)
	},
	22: func(sim *Simulation, _ *controller, d time.Duration) {
		sim.users.cancelRunning(3, d, generatedIDPrefix)
	},
}

// crashBriefly crashes a controller for at most 10 s.
func crashBriefly(_ *Simulation, ctrl *controller, d time.Duration) {
	ctrl.crash(min(d, 10*time.Second))
}

// injectRandomFaults injects a random fault every few seconds until the given time.
func (s *Simulation) injectRandomFaults(until time.Duration) {
	if s.now >= until {
		return
	}
	ctrl := s.randomController()
	d := time.Duration(1+s.rng.IntN(40)) * time.Second
	fault := randomFaults[s.rng.IntN(len(randomFaults))]
	fault(s, ctrl, d)
	s.after(time.Duration(2+s.rng.IntN(15))*time.Second, func() { s.injectRandomFaults(until) })
}

// crashRepeatedly crashes random controllers, each for a fraction of a second, until the
// given time. A crash may happen during the election that the previous crash has caused.
func (s *Simulation) crashRepeatedly(until time.Duration) {
	if s.now >= until {
		return
	}
	s.randomController().crash(time.Duration(100+s.rng.IntN(400)) * time.Millisecond)
	s.after(time.Duration(200+s.rng.IntN(4000))*time.Millisecond, func() { s.crashRepeatedly(until) })
}
