package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// perform carries out an effect of the core.
func (c *controller) perform(effect core.Effect) {
	switch x := effect.(type) {
	case core.Commit:
		c.commit(x)
	case core.ReadJob:
		c.readJob(x)
	case core.RenewLease:
		c.renewLease(x)
	case core.CallCloud:
		c.callCloud(x)
	case core.SendCommands:
		c.sendCommands(x)
	case core.SendGossip:
		c.sendGossip(x)
	case core.SendHeartbeat:
		c.sendHeartbeat(x)
	case core.SendDecisionLog:
		c.sendDecisionLog(x)
	case core.Forward:
		c.forward(x)
	case core.Log:
		c.sim.logf("%8.3f %s %s %v", c.sim.now.Seconds(), c.label, x.Text, x.Args)
	case core.Reply:
		if receive := c.pendingReplies[x.RequestID]; receive != nil {
			delete(c.pendingReplies, x.RequestID)
			receive(x)
		}
	}
}

// sendGossip delivers a message to a peer.
func (c *controller) sendGossip(x core.SendGossip) {
	sim := c.sim
	peer := c.reachablePeer(x.To)
	if peer == nil || sim.network.loses(sim.rng) {
		return
	}
	message := *x.Message
	if raw, err := wire.Encode(x.Message); err == nil {
		sim.meter.gossipBytes += len(raw)
	}
	peer.deliver(sim.network.latency(), core.GossipReceived{Message: &message})
}

// sendHeartbeat delivers a leader's heartbeat to a peer.
func (c *controller) sendHeartbeat(x core.SendHeartbeat) {
	watch := c.sim.leadership
	watch.standby = x.Message.Standby
	watch.heartbeats++
	peer := c.reachablePeer(x.To)
	if peer == nil || c.sim.network.loses(watch.rng) {
		return
	}
	message := *x.Message
	peer.deliver(watch.latency(), core.HeartbeatReceived{Message: &message})
}

// sendDecisionLog delivers a message of the decision log to the standby, and returns its
// acknowledgement.
func (c *controller) sendDecisionLog(x core.SendDecisionLog) {
	sim, watch := c.sim, c.sim.leadership
	peer := c.reachablePeer(x.To)
	if peer == nil || sim.network.loses(watch.rng) {
		return
	}
	incarnation, sender := peer.incarnation, c.incarnation
	acknowledge := func(reply core.Reply) {
		if c.incarnation == sender && c.reachablePeer(x.To) != nil && !sim.network.loses(watch.rng) {
			c.deliver(watch.latency(), core.DecisionLogAcknowledged{Ack: reply.Body.(wire.DecisionLogAck)})
		}
	}
	sim.after(watch.latency(), func() {
		if peer.isRunning(incarnation) {
			peer.stepRequest(func(requestID uint64) core.Input {
				return core.DecisionLogReceived{RequestID: requestID, Message: x.Message}
			}, acknowledge)
		}
	})
}

// forward passes a user's request on to a peer. No answer is one with status 0.
func (c *controller) forward(x core.Forward) {
	sim := c.sim
	peer := c.reachablePeer(x.To)
	if peer == nil || !peer.running {
		c.deliver(time.Second, core.ForwardAnswered{RequestID: x.RequestID})
		return
	}
	incarnation := c.incarnation
	peer.request(func(requestID uint64) core.Input {
		return core.UserRequest{RequestID: requestID, Kind: x.Call.Kind, JobID: x.Call.Ref, Body: x.Call.Body, Forwarded: true}
	}, func(reply core.Reply) {
		body, err := wire.Encode(reply.Body)
		must(err)
		if c.incarnation == incarnation {
			answer := wire.UserAnswer{Status: reply.Status, Body: body}
			c.deliver(sim.network.latency(), core.ForwardAnswered{RequestID: x.RequestID, Answer: answer})
		}
	})
}
