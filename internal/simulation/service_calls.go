package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/kv"
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
func (c *controller) callService(call serviceCall) {
	sim := c.sim
	if refusal := call.refusal(); refusal != nil {
		c.deliver(sim.network.latency(), refusal)
		return
	}
	fate := call.fate()
	answered := fate.answered && fate.delay < requestTimeout
	incarnation := c.incarnation
	if fate.runs {
		sim.after(fate.delay, func() {
			answer := call.run()
			if answered && c.incarnation == incarnation {
				c.deliver(sim.network.latency(), answer)
			}
		})
	}
	if !answered {
		c.deliver(requestTimeout, call.lost)
	}
}

// refusedWith returns a function that gives the answer to a request if the state service
// refuses this controller now, and nil otherwise.
func (c *controller) refusedWith(refusal core.Input) func() core.Input {
	return func() core.Input {
		if c.sim.store.refuses(c) {
			return refusal
		}
		return nil
	}
}

// commit sends a transaction to the state service.
func (c *controller) commit(x core.Commit) {
	sim := c.sim
	writes := encodeRecordWrites(x.Writes)
	c.callService(serviceCall{
		refusal: c.refusedWith(core.Committed{ID: x.ID, Outcome: kv.Refused}),
		fate:    func() requestFate { return sim.store.commitFate(len(writes)) },
		run: func() core.Input {
			refused := sim.meter.refusedCommits
			outcome, revision, failed := sim.store.commit(c, x.Conditions, writes)
			return core.Committed{
				ID:       x.ID,
				Outcome:  outcome,
				Revision: revision,
				Failed:   failed,
				Limited:  sim.meter.refusedCommits > refused,
			}
		},
		lost: core.Committed{ID: x.ID, Outcome: kv.Unknown},
	})
}

// readJob reads the record of a job from the state service.
func (c *controller) readJob(x core.ReadJob) {
	c.callService(serviceCall{
		refusal: c.refusedWith(core.JobRead{ID: x.ID, Outcome: kv.Refused}),
		fate:    c.sim.store.fate,
		run: func() core.Input {
			answer := core.JobRead{ID: x.ID, Outcome: kv.NotFound}
			if record := c.sim.store.records[wire.JobKey(x.JobID)]; record != nil {
				answer.Outcome = kv.OK
				answer.Revision = record.revision
				answer.Job = new(wire.Job)
				must(wire.Decode(record.raw, answer.Job))
			}
			return answer
		},
		lost: core.JobRead{ID: x.ID, Outcome: kv.Unknown},
	})
}

// renewLease makes or renews a lease of the state service.
func (c *controller) renewLease(x core.RenewLease) {
	c.callService(serviceCall{
		refusal: c.refusedWith(core.LeaseAnswered{ID: x.ID, Outcome: kv.Refused}),
		fate:    c.sim.store.fate,
		run: func() core.Input {
			outcome, id := c.sim.store.renewLease(x.LeaseID, x.TTL)
			return core.LeaseAnswered{ID: x.ID, Outcome: outcome, LeaseID: id}
		},
		lost: core.LeaseAnswered{ID: x.ID, Outcome: kv.Unknown},
	})
}

// callCloud sends a call to the cloud.
func (c *controller) callCloud(x core.CallCloud) {
	sim := c.sim
	sim.leadership.checkCloudCall(c, x)
	c.callService(serviceCall{
		refusal: func() core.Input {
			if sim.network.isCut(c.endpoint(), cloudEndpoint) {
				return core.CloudAnswered{ID: x.ID, Outcome: kv.Unknown}
			}
			if sim.cloud.outage {
				return core.CloudAnswered{ID: x.ID, Outcome: kv.Refused}
			}
			return nil
		},
		fate: sim.network.fate,
		run:  func() core.Input { return sim.cloud.call(x) },
		lost: core.CloudAnswered{ID: x.ID, Outcome: kv.Unknown},
	})
}
