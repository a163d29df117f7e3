package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

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
