package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// perform carries out an effect of the core.
func (ctrl *controller) perform(effect core.Effect) {
	switch x := effect.(type) {
	case core.Commit:
		ctrl.commit(x)
	case core.ReadJob:
		ctrl.readJob(x)
	case core.RenewLease:
		ctrl.renewLease(x)
	case core.CallCloud:
		ctrl.callCloud(x)
	case core.SendCommands:
		ctrl.sendCommands(x)
	case core.SendGossip:
		ctrl.sendGossip(x)
	case core.SendHeartbeat:
		ctrl.sendHeartbeat(x)
	case core.SendDecisionLog:
		ctrl.sendDecisionLog(x)
	case core.Forward:
		ctrl.forward(x)
	case core.Log:
		ctrl.sim.logf("%8.3f %s %s %v", ctrl.sim.now.Seconds(), ctrl.label, x.Text, x.Args)
	case core.Reply:
		if receive := ctrl.pendingReplies[x.RequestID]; receive != nil {
			delete(ctrl.pendingReplies, x.RequestID)
			receive(x)
		}
	}
}

// sendGossip delivers a message to a peer.
func (ctrl *controller) sendGossip(x core.SendGossip) {
	sim := ctrl.sim
	peer := ctrl.reachablePeer(x.To)
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
func (ctrl *controller) sendHeartbeat(x core.SendHeartbeat) {
	watch := ctrl.sim.leadership
	watch.standby = x.Message.Standby
	watch.heartbeats++
	peer := ctrl.reachablePeer(x.To)
	if peer == nil || ctrl.sim.network.loses(watch.rng) {
		return
	}
	message := *x.Message
	peer.deliver(watch.latency(), core.HeartbeatReceived{Message: &message})
}

// sendDecisionLog delivers a message of the decision log to the standby, and returns its
// acknowledgement.
func (ctrl *controller) sendDecisionLog(x core.SendDecisionLog) {
	sim, watch := ctrl.sim, ctrl.sim.leadership
	peer := ctrl.reachablePeer(x.To)
	if peer == nil || sim.network.loses(watch.rng) {
		return
	}
	incarnation, sender := peer.incarnation, ctrl.incarnation
	acknowledge := func(reply core.Reply) {
		if ctrl.incarnation == sender && ctrl.reachablePeer(x.To) != nil && !sim.network.loses(watch.rng) {
			ctrl.deliver(watch.latency(), core.DecisionLogAcknowledged{Ack: reply.Body.(wire.DecisionLogAck)})
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
func (ctrl *controller) forward(x core.Forward) {
	sim := ctrl.sim
	peer := ctrl.reachablePeer(x.To)
	if peer == nil || !peer.running {
		ctrl.deliver(time.Second, core.ForwardAnswered{RequestID: x.RequestID})
		return
	}
	incarnation := ctrl.incarnation
	peer.request(func(requestID uint64) core.Input {
		return core.UserRequest{RequestID: requestID, Kind: x.Call.Kind, JobID: x.Call.Ref, Body: x.Call.Body, Forwarded: true}
	}, func(reply core.Reply) {
		body, err := wire.Encode(reply.Body)
		must(err)
		if ctrl.incarnation == incarnation {
			answer := wire.UserAnswer{Status: reply.Status, Body: body}
			ctrl.deliver(sim.network.latency(), core.ForwardAnswered{RequestID: x.RequestID, Answer: answer})
		}
	})
}
