package simulation

import (
	"time"

	"micaport/internal/core"
)

// beginFailure gives a controller that is about to end or to stand still for d, or nil if it is
// not up.
func (sim *Simulation) beginFailure(ix int, d time.Duration) *controller {
	ctrl := sim.controllers[ix]
	if !ctrl.running {
		return nil
	}
	sim.rules.faultsLast(d)
	sim.leadership.recordFailure(ix)
	return ctrl
}

// crash ends a controller; it comes back after d.
func (sim *Simulation) crash(ix int, d time.Duration) {
	ctrl := sim.beginFailure(ix, d)
	if ctrl == nil {
		return
	}
	ctrl.running = false
	ctrl.pendingReplies = nil
	if sim.startController == nil && sim.EarlyTakeover {
		sim.notifyDisconnected(ctrl)
	}
	sim.after(d, ctrl.start)
}

// freeze makes a controller stand still while its clocks run on: between
// deciding and doing, at every second time.
func (sim *Simulation) freeze(ix int, d time.Duration) {
	ctrl := sim.beginFailure(ix, d)
	if ctrl == nil {
		return
	}
	ctrl.frozenUntil, ctrl.freezeBeforeEffects = sim.now+d, sim.rng.IntN(2) == 0
	incarnation := ctrl.incarnation
	sim.after(d, func() {
		if ctrl.incarnation != incarnation || !ctrl.running || sim.now < ctrl.frozenUntil {
			return
		}
		stuck, backlog := ctrl.heldEffects, ctrl.queuedInputs
		ctrl.heldEffects, ctrl.queuedInputs, ctrl.freezeBeforeEffects = nil, nil, false
		for _, e := range stuck {
			if call, is := e.(core.CallCloud); is && (call.Provision != nil || call.Deprovision != nil) && d > call.ValidFor {
				ctrl.step(core.CloudAnswered{ID: call.ID, Outcome: core.Refused}) // as the adapter does
				continue
			}
			ctrl.perform(e)
		}
		for _, in := range backlog {
			ctrl.step(in)
		}
	})
}

// notifyDisconnected tells the peers of a controller that has ended that their connections broke.
func (sim *Simulation) notifyDisconnected(ctrl *controller) {
	for _, peer := range sim.controllers {
		if peer != ctrl && !sim.network.isCut(ctrl.endpoint(), peer.endpoint()) {
			peer.deliver(sim.leadership.disconnectDelay, core.Disconnected{Peer: ctrl.label})
		}
	}
}
