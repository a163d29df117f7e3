package simulation

import "time"

// fate draws how a request to the state service is treated.
func (s *stateService) fate() requestFate {
	fate := s.sim.network.fate()
	if s.sim.now < s.slowdown.until {
		fate.delay = time.Duration(float64(fate.delay) * s.slowdown.value * (0.5 + s.sim.rng.Float64()))
	}
	return fate
}

// commitFate draws how a transaction with the given number of writes is treated. One without
// writes only checks conditions, and is treated like any other request.
func (s *stateService) commitFate(writes int) requestFate {
	switch {
	case writes > 0 && s.sim.draw(s.lostReplies):
		return requestFate{delay: s.sim.network.latency(), runs: true}
	case writes > 0 && s.sim.draw(s.lateWrites):
		return requestFate{delay: 2*time.Second + time.Duration(s.sim.rng.IntN(10000))*time.Millisecond, runs: true}
	}
	return s.fate()
}

// startOutage makes the service unavailable for d. Every lease is extended by its full TTL
// when the outage ends.
func (s *stateService) startOutage(d time.Duration) {
	s.sim.rules.faultsLast(d)
	s.outage = true
	s.sim.after(d, func() {
		s.outage = false
		for _, lease := range s.leases {
			lease.expiresAt = s.sim.now + lease.ttl
		}
		s.notifyWatches()
	})
}

// refuseController makes the service refuse the requests of a controller for d.
func (s *stateService) refuseController(ctrl *controller, d time.Duration) {
	s.countFault(s.refused, ctrl, d)
}

// hangWatch makes the watch of a controller hang for d.
func (s *stateService) hangWatch(ctrl *controller, d time.Duration) {
	s.countFault(s.hungWatches, ctrl, d)
}

// countFault increments a controller's count of faults for d, since faults may overlap.
func (s *stateService) countFault(faults map[string]int, ctrl *controller, d time.Duration) {
	s.sim.rules.faultsLast(d)
	faults[ctrl.label]++
	s.sim.after(d, func() { faults[ctrl.label]--; s.notifyWatches() })
}
