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

// sendGossip carries a message to a peer.
func (ctrl *controller) sendGossip(x core.SendGossip) {
	sim := ctrl.sim
	for _, peer := range sim.controllers {
		if peer.label != x.To || sim.network.isCut(ctrl.endpoint(), peer.endpoint()) {
			continue
		}
		if sim.network.loses(sim.rng) {
			continue
		}
		msg := *x.Message
		if raw, err := wire.Encode(x.Message); err == nil {
			sim.meter.gossipBytes += len(raw)
		}
		peer.deliver(sim.network.latency(), core.GossipReceived{Message: &msg})
	}
}

// sendHeartbeat carries a leader's heartbeat to a peer.
func (ctrl *controller) sendHeartbeat(x core.SendHeartbeat) {
	sim, watch := ctrl.sim, ctrl.sim.leadership
	watch.standby = x.Message.Standby
	watch.heartbeats++
	for _, peer := range sim.controllers {
		if peer.label != x.To || sim.network.isCut(ctrl.endpoint(), peer.endpoint()) || sim.network.loses(watch.rng) {
			continue
		}
		msg := *x.Message
		peer.deliver(time.Millisecond+time.Duration(watch.rng.IntN(6000))*time.Microsecond, core.HeartbeatReceived{Message: &msg})
	}
}

// sendDecisionLog carries a message of the decision log to the standby, and its answer back.
func (ctrl *controller) sendDecisionLog(x core.SendDecisionLog) {
	sim, watch := ctrl.sim, ctrl.sim.leadership
	delay := func() time.Duration { return time.Millisecond + time.Duration(watch.rng.IntN(6000))*time.Microsecond }
	lost := func(peer *controller) bool {
		return sim.network.isCut(ctrl.endpoint(), peer.endpoint()) || sim.network.loses(watch.rng)
	}
	for _, peer := range sim.controllers {
		if peer.label != x.To || lost(peer) {
			continue
		}
		watch.logBytes += len(x.Message.Facts)
		incarnation, sender := peer.incarnation, ctrl.incarnation
		sim.after(delay(), func() {
			if peer.incarnation != incarnation || !peer.running {
				return
			}
			peer.lastRequestID++
			peer.pendingReplies[peer.lastRequestID] = func(reply core.Reply) {
				if ctrl.incarnation == sender && !lost(peer) {
					ctrl.deliver(delay(), core.DecisionLogAcknowledged{Ack: reply.Body.(wire.DecisionLogAck)})
				}
			}
			peer.step(core.DecisionLogReceived{RequestID: peer.lastRequestID, Message: x.Message})
		})
	}
}

func (ctrl *controller) forward(x core.Forward) {
	sim := ctrl.sim
	for _, peer := range sim.controllers {
		if peer.label != x.To {
			continue
		}
		if !peer.running || sim.network.isCut(ctrl.endpoint(), peer.endpoint()) {
			break
		}
		incarnation := ctrl.incarnation
		peer.request(func(req uint64) core.Input {
			return core.UserRequest{RequestID: req, Kind: x.Call.Kind, JobID: x.Call.Ref, Body: x.Call.Body, Forwarded: true}
		}, func(reply core.Reply) {
			b, err := wire.Encode(reply.Body)
			must(err)
			if ctrl.incarnation == incarnation {
				ctrl.deliver(sim.network.latency(), core.ForwardAnswered{RequestID: x.RequestID, Answer: wire.UserAnswer{Status: reply.Status, Body: b}})
			}
		})
		return
	}
	ctrl.deliver(time.Second, core.ForwardAnswered{RequestID: x.RequestID})
}
