package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// perform executes an effect of the core.
func (c *controller) perform(effect core.Effect) {
	switch effect := effect.(type) {
	case core.Commit:
		c.commit(effect)
	case core.ReadJob:
		c.readJob(effect)
	case core.RenewLease:
		c.renewLease(effect)
	case core.CallCloud:
		c.callCloud(effect)
	case core.SendCommands:
		c.sendCommands(effect)
	case core.SendGossip:
		c.sendGossip(effect)
	case core.SendHeartbeat:
		c.sendHeartbeat(effect)
	case core.SendDecisionLog:
		c.sendDecisionLog(effect)
	case core.Forward:
		c.forward(effect)
	case core.Log:
		c.sim.logf("%8.3f %s %s %v", c.sim.now.Seconds(), c.label, effect.Text, effect.Args)
	case core.Reply:
		if receive := c.pendingReplies[effect.RequestID]; receive != nil {
			delete(c.pendingReplies, effect.RequestID)
			receive(effect)
		}
	}
}

// sendGossip sends a gossip message to a peer.
func (c *controller) sendGossip(effect core.SendGossip) {
	sim := c.sim
	peer := c.reachablePeer(effect.To)
	if peer == nil || sim.network.drawLoss(sim.rng) {
		return
	}
	message := *effect.Message
	if raw, err := wire.Encode(effect.Message); err == nil {
		sim.meter.gossipBytes += len(raw)
	}
	peer.deliver(sim.network.drawLatency(), core.GossipReceived{Message: &message})
}

// sendHeartbeat sends a leader's heartbeat to a peer.
func (c *controller) sendHeartbeat(effect core.SendHeartbeat) {
	monitor := c.sim.leadership
	monitor.standby = effect.Message.Standby
	monitor.heartbeats++
	peer := c.reachablePeer(effect.To)
	if peer == nil || c.sim.network.drawLoss(monitor.rng) {
		return
	}
	message := *effect.Message
	peer.deliver(monitor.drawLatency(), core.HeartbeatReceived{Message: &message})
}

// sendDecisionLog sends a message of the decision log to the standby, and delivers its
// acknowledgement to the sender.
func (c *controller) sendDecisionLog(effect core.SendDecisionLog) {
	sim, monitor := c.sim, c.sim.leadership
	peer := c.reachablePeer(effect.To)
	if peer == nil || sim.network.drawLoss(monitor.rng) {
		return
	}
	peerIncarnation, senderIncarnation := peer.incarnation, c.incarnation
	acknowledge := func(reply core.Reply) {
		if c.incarnation == senderIncarnation && c.reachablePeer(effect.To) != nil && !sim.network.drawLoss(monitor.rng) {
			c.deliver(monitor.drawLatency(), core.DecisionLogAcknowledged{Ack: reply.Body.(wire.DecisionLogAck)})
		}
	}
	sim.after(monitor.drawLatency(), func() {
		if peer.isRunning(peerIncarnation) {
			peer.stepRequest(func(requestID uint64) core.Input {
				return core.DecisionLogReceived{RequestID: requestID, Message: effect.Message}
			}, acknowledge)
		}
	})
}

// forward forwards a user's request to a peer. If the peer can't be reached or does not run,
// the answer has status 0.
func (c *controller) forward(effect core.Forward) {
	sim := c.sim
	peer := c.reachablePeer(effect.To)
	if peer == nil || !peer.running {
		c.deliver(time.Second, core.ForwardAnswered{RequestID: effect.RequestID})
		return
	}
	incarnation := c.incarnation
	peer.request(func(requestID uint64) core.Input {
		return core.UserRequest{RequestID: requestID, Kind: effect.Call.Kind, JobID: effect.Call.Ref, Body: effect.Call.Body, Forwarded: true}
	}, func(reply core.Reply) {
		body, err := wire.Encode(reply.Body)
		must(err)
		if c.incarnation == incarnation {
			answer := wire.UserAnswer{Status: reply.Status, Body: body}
			c.deliver(sim.network.drawLatency(), core.ForwardAnswered{RequestID: effect.RequestID, Answer: answer})
		}
	})
}
