package simulation

import "time"

// fate draws what happens to a request to the state service.
func (store *stateService) fate() requestFate {
	fate := store.sim.network.fate()
	if store.sim.now < store.slowdown.until {
		fate.delay = time.Duration(float64(fate.delay) * store.slowdown.value * (0.5 + store.sim.rng.Float64()))
	}
	return fate
}

// commitFate draws what happens to a transaction with a number of writes. One without
// writes only compares, and is a request as any other.
func (store *stateService) commitFate(writes int) requestFate {
	switch {
	case writes > 0 && store.sim.draw(store.lostReplies):
		return requestFate{delay: store.sim.network.latency(), runs: true}
	case writes > 0 && store.sim.draw(store.lateWrites):
		return requestFate{delay: 2*time.Second + time.Duration(store.sim.rng.IntN(10000))*time.Millisecond, runs: true}
	}
	return store.fate()
}

// startOutage stops the service for d. Every lease has its full time afterwards.
func (store *stateService) startOutage(d time.Duration) {
	store.sim.rules.faultsLast(d)
	store.outage = true
	store.sim.after(d, func() {
		store.outage = false
		for _, lease := range store.leases {
			lease.expiresAt = store.sim.now + lease.ttl
		}
		store.notifyWatches()
	})
}

// refuseController makes the service refuse a controller for d.
func (store *stateService) refuseController(ctrl *controller, d time.Duration) {
	store.countFault(store.refused, ctrl, d)
}

// hangWatch makes the watch of a controller hang for d.
func (store *stateService) hangWatch(ctrl *controller, d time.Duration) {
	store.countFault(store.hungWatches, ctrl, d)
}

// countFault counts a fault of a controller for d. Faults may overlap.
func (store *stateService) countFault(faults map[string]int, ctrl *controller, d time.Duration) {
	store.sim.rules.faultsLast(d)
	faults[ctrl.label]++
	store.sim.after(d, func() { faults[ctrl.label]--; store.notifyWatches() })
}
