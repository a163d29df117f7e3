package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/kv"
)

// beginFailure records that the controller crashes or freezes now, for d. If the controller
// does not run, it records nothing and reports false.
func (c *controller) beginFailure(d time.Duration) bool {
	if !c.running {
		return false
	}
	c.sim.rules.extendFaultPeriod(d)
	c.sim.leadership.recordFailure(c)
	return true
}

// crash stops the controller and restarts it after d.
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

// freeze suspends the controller for d, during which its clock advances. With a probability
// of one half the controller executes one more step first, and freezes before it performs
// the effects of that step.
func (c *controller) freeze(d time.Duration) {
	if !c.beginFailure(d) {
		return
	}
	sim := c.sim
	c.frozenUntil, c.freezeBeforeEffects = sim.now+d, sim.rng.IntN(2) == 0
	incarnation := c.incarnation
	sim.after(d, func() {
		if c.isRunning(incarnation) && sim.now >= c.frozenUntil {
			c.resume(d)
		}
	})
}

// resume ends a freeze that lasted d. It performs the effects that were outstanding, and then
// passes the queued inputs to the core.
func (c *controller) resume(d time.Duration) {
	effects, inputs := c.pendingEffects, c.queuedInputs
	c.pendingEffects = nil
	c.queuedInputs = nil
	c.freezeBeforeEffects = false
	for _, effect := range effects {
		if call, ok := effect.(core.CallCloud); ok && (call.Provision != nil || call.Deprovision != nil) && d > call.ValidFor {
			c.step(core.CloudAnswered{ID: call.ID, Outcome: kv.Refused}) // the cloud client refuses a call that is no longer valid
			continue
		}
		c.perform(effect)
	}
	for _, in := range inputs {
		c.step(in)
	}
}

// notifyDisconnected notifies the peers of a crashed controller that the connection to it
// was closed.
func (c *controller) notifyDisconnected() {
	for _, peer := range c.sim.controllers {
		if peer != c && !c.sim.network.isCut(c.endpoint(), peer.endpoint()) {
			peer.deliver(c.sim.leadership.disconnectDelay, core.Disconnected{Peer: c.label})
		}
	}
}
