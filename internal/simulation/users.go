package simulation

import (
	"fmt"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// userSet is all users, each with one job.
type userSet struct {
	sim            *Simulation
	byJob          map[string]*simUser
	ordered        []*simUser      // in the order in which they came
	completedTasks map[string]bool // by name
	bulkCount      int             // jobs that were named by nextBulkID and its like
	irregularCount int             // irregular requests that named jobs of their own

	cancelAtEnd       timedValue    // share of jobs that are cancelled at the moment of their end
	closePollingUntil time.Duration // until when users poll all controllers after each change
}

// bulkIDPrefix is how the ids of jobs begin that "bulk" and "stream" submit.
const bulkIDPrefix = "wk-9"

// nextBulkID names one of many jobs.
func (users *userSet) nextBulkID() string {
	jobID := fmt.Sprintf("wk-%06d", 900000+users.bulkCount)
	users.bulkCount++
	return jobID
}

// submit has a user submit a job, repeatedly until it is accepted.
func (users *userSet) submit(s wire.JobSpec, run time.Duration, only int) {
	user := &simUser{sim: users.sim, spec: s, runtime: run, pinnedTo: only, submittedAt: users.sim.now}
	users.byJob[s.ID] = user
	users.ordered = append(users.ordered, user)
	user.submit(users.sim.now)
	users.sim.every(5*time.Second, user.poll)
}

// cancel has a job's user cancel it, repeatedly until told so.
func (users *userSet) cancel(jobID string) {
	user := users.byJob[jobID]
	user.cancelRequested = true
	asked := users.sim.now
	users.request(wire.RequestCancel, jobID, nil, 5*time.Second, func(reply core.Reply) {
		if reply.Status != 200 {
			users.sim.after(time.Second, func() { users.cancel(jobID) })
			return
		}
		user.checkStatus(asked, reply)
		if user.lastStatus == wire.StatusCancelled && user.cancelledAt == 0 {
			user.cancelledAt = users.sim.now
		}
	})
}

// request asks some controller that is up; code 0 means that no answer came.
func (users *userSet) request(kind wire.RequestKind, jobID string, body []byte, patience time.Duration, f func(core.Reply)) {
	ctrl := users.sim.controllers[users.sim.rng.IntN(len(users.sim.controllers))]
	if user := users.byJob[jobID]; user != nil && user.pinnedTo >= 0 {
		ctrl = users.sim.controllers[user.pinnedTo]
	}
	users.requestAt(ctrl, kind, jobID, body, patience, f)
}

// requestAt is at for one controller.
func (users *userSet) requestAt(ctrl *controller, kind wire.RequestKind, jobID string, body []byte, patience time.Duration, f func(core.Reply)) {
	answered := false
	get := func(reply core.Reply) {
		if !answered {
			answered = true
			f(reply)
		}
	}
	users.sim.after(patience, func() { get(core.Reply{}) })
	if ctrl.running {
		ctrl.request(func(req uint64) core.Input {
			return core.UserRequest{RequestID: req, Kind: kind, JobID: jobID, Body: body}
		}, get)
	}
}

// eachActiveTask walks over the tasks that are on machines, in a fixed order. Tasks
// that still fetch their image count, which is stricter than the protocol.
func (users *userSet) eachActiveTask(f func(worker *simWorker, task *simTask)) {
	for _, user := range users.ordered {
		user.eachActiveTask(f)
	}
}
