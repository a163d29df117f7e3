package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// requestTimeout is how long a controller waits for a reply of the state service or the
// cloud.
const requestTimeout = 1500 * time.Millisecond

// serviceCall is a request of a controller to a service. Each of its functions is called at
// most once.
type serviceCall struct {
	refusal       func() core.Input      // returns the answer if the service refuses the request immediately, nil otherwise
	drawDelivery  func() requestDelivery // draws how the network treats a request that is not refused
	run           func() core.Input      // executes the request and returns the answer
	timeoutAnswer core.Input             // delivered to the controller if no answer arrives before requestTimeout
}

// callService executes a request of the controller to a service and delivers the answer to
// the controller.
func (c *controller) callService(call serviceCall) {
	sim := c.sim
	if refusal := call.refusal(); refusal != nil {
		c.deliver(sim.network.drawLatency(), refusal)
		return
	}
	delivery := call.drawDelivery()
	answered := delivery.answered && delivery.delay < requestTimeout
	incarnation := c.incarnation
	if delivery.executed {
		sim.after(delivery.delay, func() {
			answer := call.run()
			if answered && c.incarnation == incarnation {
				c.deliver(sim.network.drawLatency(), answer)
			}
		})
	}
	if !answered {
		c.deliver(requestTimeout, call.timeoutAnswer)
	}
}

// answerIfRefused returns a function that returns the given answer if the state service
// refuses requests of this controller at the time of the call, and nil otherwise.
func (c *controller) answerIfRefused(refusal core.Input) func() core.Input {
	return func() core.Input {
		if c.sim.store.refuses(c) {
			return refusal
		}
		return nil
	}
}

// commit sends a transaction to the state service.
func (c *controller) commit(effect core.Commit) {
	sim := c.sim
	writes := encodeRecordWrites(effect.Writes)
	c.callService(serviceCall{
		refusal:      c.answerIfRefused(core.Committed{ID: effect.ID, Outcome: kv.Refused}),
		drawDelivery: func() requestDelivery { return sim.store.drawCommitDelivery(len(writes)) },
		run: func() core.Input {
			refusedBefore := sim.meter.refusedCommits
			outcome, revision, failed := sim.store.commit(c, effect.Conditions, writes)
			return core.Committed{
				ID:          effect.ID,
				Outcome:     outcome,
				Revision:    revision,
				FailedKeys:  failed,
				RateLimited: sim.meter.refusedCommits > refusedBefore,
			}
		},
		timeoutAnswer: core.Committed{ID: effect.ID, Outcome: kv.Unknown},
	})
}

// readJob reads the record of a job from the state service.
func (c *controller) readJob(effect core.ReadJob) {
	c.callService(serviceCall{
		refusal:      c.answerIfRefused(core.JobRead{ID: effect.ID, Outcome: kv.Refused}),
		drawDelivery: c.sim.store.drawDelivery,
		run: func() core.Input {
			answer := core.JobRead{ID: effect.ID, Outcome: kv.NotFound}
			if record := c.sim.store.records[wire.JobKey(effect.JobID)]; record != nil {
				answer.Outcome = kv.OK
				answer.Revision = record.revision
				answer.Job = new(wire.Job)
				must(wire.Decode(record.raw, answer.Job))
			}
			return answer
		},
		timeoutAnswer: core.JobRead{ID: effect.ID, Outcome: kv.Unknown},
	})
}

// renewLease creates or renews a lease of the state service.
func (c *controller) renewLease(effect core.RenewLease) {
	c.callService(serviceCall{
		refusal:      c.answerIfRefused(core.LeaseAnswered{ID: effect.ID, Outcome: kv.Refused}),
		drawDelivery: c.sim.store.drawDelivery,
		run: func() core.Input {
			outcome, id := c.sim.store.renewLease(effect.LeaseID, effect.TTL)
			return core.LeaseAnswered{ID: effect.ID, Outcome: outcome, LeaseID: id}
		},
		timeoutAnswer: core.LeaseAnswered{ID: effect.ID, Outcome: kv.Unknown},
	})
}

// callCloud sends a call to the cloud.
func (c *controller) callCloud(effect core.CallCloud) {
	sim := c.sim
	sim.leadership.checkCloudCall(c, effect)
	c.callService(serviceCall{
		refusal: func() core.Input {
			if sim.network.isCut(c.endpoint(), cloudEndpoint) {
				return core.CloudAnswered{ID: effect.ID, Outcome: kv.Unknown}
			}
			if sim.cloud.outage {
				return core.CloudAnswered{ID: effect.ID, Outcome: kv.Refused}
			}
			return nil
		},
		drawDelivery:  sim.network.drawDelivery,
		run:           func() core.Input { return sim.cloud.call(effect) },
		timeoutAnswer: core.CloudAnswered{ID: effect.ID, Outcome: kv.Unknown},
	})
}
