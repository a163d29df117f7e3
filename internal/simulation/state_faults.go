package simulation

import "time"

// drawDelivery draws how the network and the service treat a request to the service.
func (s *stateService) drawDelivery() requestDelivery {
	delivery := s.sim.network.drawDelivery()
	if s.sim.now < s.slowdown.until {
		delivery.delay = time.Duration(float64(delivery.delay) * s.slowdown.value * (0.5 + s.sim.rng.Float64()))
	}
	return delivery
}

// drawCommitDelivery draws how the network and the service treat a transaction with the given
// number of writes. A transaction without writes only checks conditions and is treated like
// any other request.
func (s *stateService) drawCommitDelivery(writes int) requestDelivery {
	switch {
	case writes > 0 && s.sim.draw(s.lostReplies):
		return requestDelivery{delay: s.sim.network.drawLatency(), executed: true}
	case writes > 0 && s.sim.draw(s.lateWrites):
		return requestDelivery{delay: 2*time.Second + time.Duration(s.sim.rng.IntN(10000))*time.Millisecond, executed: true}
	}
	return s.drawDelivery()
}

// startOutage makes the service unavailable for d. Every lease is extended by its full TTL
// when the outage ends.
func (s *stateService) startOutage(d time.Duration) {
	s.sim.rules.extendFaultPeriod(d)
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
	s.addFault(s.refusalFaults, ctrl, d)
}

// hangWatch makes the watch of a controller hang for d.
func (s *stateService) hangWatch(ctrl *controller, d time.Duration) {
	s.addFault(s.watchFaults, ctrl, d)
}

// addFault increments a controller's count of faults, and decrements it after d. Faults of one
// controller may overlap.
func (s *stateService) addFault(faults map[string]int, ctrl *controller, d time.Duration) {
	s.sim.rules.extendFaultPeriod(d)
	faults[ctrl.label]++
	s.sim.after(d, func() { faults[ctrl.label]--; s.notifyWatches() })
}
