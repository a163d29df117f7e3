package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/kv"
)

// beginFailure records that the controller ends or freezes now, for d. It reports false if
// the controller does not run.
func (c *controller) beginFailure(d time.Duration) bool {
	if !c.running {
		return false
	}
	c.sim.rules.faultsLast(d)
	c.sim.leadership.recordFailure(c)
	return true
}

// crash ends the controller and starts it again after d.
func (c *controller) crash(d time.Duration) {
	if !c.beginFailure(d) {
		return
	}
	c.running = false
	c.pendingReplies = nil
	if c.sim.startController == nil && c.sim.EarlyTakeover {
		c.notifyDisconnected()
	}
	c.sim.after(d, c.start)
}

// freeze makes the controller stand still for d while its clock goes on: at once, or, every
// second time, after its next step and before the effects of that.
func (c *controller) freeze(d time.Duration) {
	if !c.beginFailure(d) {
		return
	}
	sim := c.sim
	c.frozenUntil, c.freezeBeforeEffects = sim.now+d, sim.rng.IntN(2) == 0
	incarnation := c.incarnation
	sim.after(d, func() {
		if c.isRunning(incarnation) && sim.now >= c.frozenUntil {
			c.thaw(d)
		}
	})
}

// thaw performs what the controller had decided on before it was frozen for d, and gives it
// the inputs that arrived meanwhile.
func (c *controller) thaw(d time.Duration) {
	effects, inputs := c.heldEffects, c.queuedInputs
	c.heldEffects = nil
	c.queuedInputs = nil
	c.freezeBeforeEffects = false
	for _, effect := range effects {
		if call, is := effect.(core.CallCloud); is && (call.Provision != nil || call.Deprovision != nil) && d > call.ValidFor {
			c.step(core.CloudAnswered{ID: call.ID, Outcome: kv.Refused}) // as the cloud client does
			continue
		}
		c.perform(effect)
	}
	for _, in := range inputs {
		c.step(in)
	}
}

// notifyDisconnected tells the peers of a crashed controller that their connections broke.
func (c *controller) notifyDisconnected() {
	for _, peer := range c.sim.controllers {
		if peer != c && !c.sim.network.isCut(c.endpoint(), peer.endpoint()) {
			peer.deliver(c.sim.leadership.disconnectDelay, core.Disconnected{Peer: c.label})
		}
	}
}
