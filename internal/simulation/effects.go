package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// What a controller wants done, carried out against the models: lost, late or refused.

// requestTimeout is how long a controller waits for the state service or the cloud.
const requestTimeout = 1500 * time.Millisecond

// serviceCall is a request of a controller to a service. Each function is called at most
// once.
type serviceCall struct {
	refusal func() core.Input  // returns the answer of a service that refuses at once, or nil
	fate    func() requestFate // draws what happens to the request otherwise
	run     func() core.Input  // carries the request out and returns its answer
	lost    core.Input         // the answer if none arrives in time
}

// callService runs a request of a controller against a service.
func (ctrl *controller) callService(call serviceCall) {
	sim := ctrl.sim
	if refusal := call.refusal(); refusal != nil {
		ctrl.deliver(sim.network.latency(), refusal)
		return
	}
	fate := call.fate()
	answered := fate.answered && fate.delay < requestTimeout
	incarnation := ctrl.incarnation
	if fate.runs {
		sim.after(fate.delay, func() {
			answer := call.run()
			if answered && ctrl.incarnation == incarnation {
				ctrl.deliver(sim.network.latency(), answer)
			}
		})
	}
	if !answered {
		ctrl.deliver(requestTimeout, call.lost)
	}
}

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

// refusedWith returns a function that gives the answer to a request if the state service
// refuses this controller now, and nil otherwise.
func (ctrl *controller) refusedWith(refusal core.Input) func() core.Input {
	return func() core.Input {
		if ctrl.sim.store.refuses(ctrl) {
			return refusal
		}
		return nil
	}
}

// commit sends a transaction to the state service.
func (ctrl *controller) commit(x core.Commit) {
	sim := ctrl.sim
	writes := encodeRecordWrites(x.Writes)
	ctrl.callService(serviceCall{
		refusal: ctrl.refusedWith(core.Committed{ID: x.ID, Outcome: core.Refused}),
		fate:    func() requestFate { return sim.store.commitFate(len(writes)) },
		run: func() core.Input {
			refused := sim.meter.refusedCommits
			outcome, revision, failed := sim.store.commit(ctrl, x.Conditions, writes)
			return core.Committed{ID: x.ID, Outcome: outcome, Revision: revision, Failed: failed, Limited: sim.meter.refusedCommits > refused}
		},
		lost: core.Committed{ID: x.ID, Outcome: core.Unknown},
	})
}

// readJob reads the record of a job from the state service.
func (ctrl *controller) readJob(x core.ReadJob) {
	ctrl.callService(serviceCall{
		refusal: ctrl.refusedWith(core.JobRead{ID: x.ID, Outcome: core.Refused}),
		fate:    ctrl.sim.store.fate,
		run: func() core.Input {
			answer := core.JobRead{ID: x.ID, Outcome: core.NotFound}
			if record := ctrl.sim.store.records[wire.JobKey(x.JobID)]; record != nil {
				answer.Outcome, answer.Revision, answer.Job = core.OK, record.revision, new(wire.Job)
				must(wire.Decode(record.raw, answer.Job))
			}
			return answer
		},
		lost: core.JobRead{ID: x.ID, Outcome: core.Unknown},
	})
}

// renewLease makes or renews a lease of the state service.
func (ctrl *controller) renewLease(x core.RenewLease) {
	ctrl.callService(serviceCall{
		refusal: ctrl.refusedWith(core.LeaseAnswered{ID: x.ID, Outcome: core.Refused}),
		fate:    ctrl.sim.store.fate,
		run: func() core.Input {
			outcome, id := ctrl.sim.store.renewLease(x.LeaseID, x.TTL)
			return core.LeaseAnswered{ID: x.ID, Outcome: outcome, LeaseID: id}
		},
		lost: core.LeaseAnswered{ID: x.ID, Outcome: core.Unknown},
	})
}

// callCloud sends a call to the cloud.
func (ctrl *controller) callCloud(x core.CallCloud) {
	sim := ctrl.sim
	sim.leadership.checkCloudCall(ctrl, x)
	ctrl.callService(serviceCall{
		refusal: func() core.Input {
			if sim.network.isCut(ctrl.endpoint(), cloudEndpoint) {
				return core.CloudAnswered{ID: x.ID, Outcome: core.Unknown}
			}
			if sim.cloud.outage {
				return core.CloudAnswered{ID: x.ID, Outcome: core.Refused}
			}
			return nil
		},
		fate: sim.network.fate,
		run:  func() core.Input { return sim.cloud.call(x) },
		lost: core.CloudAnswered{ID: x.ID, Outcome: core.Unknown},
	})
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

// sendCommands carries orders to a worker's own address. What is held back or comes
// late may be obeyed long after the sender has given up, and twice.
func (ctrl *controller) sendCommands(x core.SendCommands) {
	sim := ctrl.sim
	var worker *simWorker
	for _, y := range sim.fleet.workers {
		if y.machine.Addr == x.Address {
			worker = y
		}
	}
	says := func(d time.Duration, outcome core.Outcome) {
		ctrl.deliver(d, core.CommandsAnswered{ID: x.ID, Outcome: outcome})
	}
	if worker == nil || worker.terminated || sim.now < worker.inboundCutUntil {
		says(700*time.Millisecond, core.Refused)
		return
	}
	if sim.network.isCut(worker.endpoint(), ctrl.endpoint()) {
		if !sim.network.isHeld(worker.endpoint(), ctrl.endpoint()) || sim.rng.IntN(2) == 0 {
			says(700*time.Millisecond, core.Refused)
			return
		}
		// The connection stood already when the cut began.
		says(3*time.Second, core.Unknown)
		worker.acceptCommands(x.Batch, func() bool { return sim.network.isCut(worker.endpoint(), ctrl.endpoint()) }, func(core.Outcome) {})
		return
	}
	fate := sim.network.fate()
	incarnation, told := ctrl.incarnation, false
	tell := func(outcome core.Outcome) {
		if fate.answered && !told && ctrl.incarnation == incarnation {
			told = true
			says(sim.network.latency(), outcome)
		}
	}
	if fate.runs {
		sim.after(fate.delay, func() { worker.acceptCommands(x.Batch, nil, tell) })
	}
	if sim.now < sim.network.duplicateUntil {
		sim.after(sim.network.duplicateAfter(), func() { worker.acceptCommands(x.Batch, nil, func(core.Outcome) {}) })
	}
	sim.after(3*time.Second, func() {
		if !told && ctrl.incarnation == incarnation {
			told = true
			says(0, core.Unknown)
		}
	})
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
