package simulation

import (
	"time"

	"micaport/internal/core"
)

// beginFailure records that the controller ends or freezes now, for d. It reports false if
// the controller does not run.
func (ctrl *controller) beginFailure(d time.Duration) bool {
	if !ctrl.running {
		return false
	}
	ctrl.sim.rules.faultsLast(d)
	ctrl.sim.leadership.recordFailure(ctrl)
	return true
}

// crash ends the controller and starts it again after d.
func (ctrl *controller) crash(d time.Duration) {
	if !ctrl.beginFailure(d) {
		return
	}
	ctrl.running = false
	ctrl.pendingReplies = nil
	if ctrl.sim.startController == nil && ctrl.sim.EarlyTakeover {
		ctrl.notifyDisconnected()
	}
	ctrl.sim.after(d, ctrl.start)
}

// freeze makes the controller stand still for d while its clock goes on: at once, or, every
// second time, after its next step and before the effects of that.
func (ctrl *controller) freeze(d time.Duration) {
	if !ctrl.beginFailure(d) {
		return
	}
	sim := ctrl.sim
	ctrl.frozenUntil, ctrl.freezeBeforeEffects = sim.now+d, sim.rng.IntN(2) == 0
	incarnation := ctrl.incarnation
	sim.after(d, func() {
		if ctrl.isRunning(incarnation) && sim.now >= ctrl.frozenUntil {
			ctrl.thaw(d)
		}
	})
}

// thaw performs what the controller had decided on before it was frozen for d, and gives it
// the inputs that arrived meanwhile.
func (ctrl *controller) thaw(d time.Duration) {
	effects, inputs := ctrl.heldEffects, ctrl.queuedInputs
	ctrl.heldEffects, ctrl.queuedInputs, ctrl.freezeBeforeEffects = nil, nil, false
	for _, effect := range effects {
		if call, is := effect.(core.CallCloud); is && (call.Provision != nil || call.Deprovision != nil) && d > call.ValidFor {
			ctrl.step(core.CloudAnswered{ID: call.ID, Outcome: core.Refused}) // as the cloud client does
			continue
		}
		ctrl.perform(effect)
	}
	for _, in := range inputs {
		ctrl.step(in)
	}
}

// notifyDisconnected tells the peers of a crashed controller that their connections broke.
func (ctrl *controller) notifyDisconnected() {
	for _, peer := range ctrl.sim.controllers {
		if peer != ctrl && !ctrl.sim.network.isCut(ctrl.endpoint(), peer.endpoint()) {
			peer.deliver(ctrl.sim.leadership.disconnectDelay, core.Disconnected{Peer: ctrl.label})
		}
	}
}
