package simulation

import (
	"fmt"
	"net/http"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// Timing of users.
const (
	pollInterval   = 5 * time.Second // between the questions of a user for the job's status
	retryDelay     = time.Second     // until a request that was not accepted is repeated
	statusTimeout  = 2 * time.Second // how long a user waits for a status
	changeTimeout  = 5 * time.Second // how long a user waits for the answer to a submission or cancellation
	submitAttempts = time.Minute     // how long a user repeats a submission
)

// userSet is all users, each with one job.
type userSet struct {
	sim            *Simulation
	byJob          map[string]*simUser
	ordered        []*simUser      // in the order in which they came
	completedTasks map[string]bool // by name
	generatedJobs  int             // jobs named by the simulation: of the commands bulk, pipelines and the like
	irregularCount int             // irregular requests with a job id of their own

	cancelAtEnd       timedValue    // share of jobs that are cancelled at the moment of their end
	closePollingUntil time.Duration // until when users poll all controllers after each change
}

// generatedIDPrefix begins the ids of jobs that nextGeneratedID names.
const generatedIDPrefix = "wk-9"

// nextGeneratedID returns a new id for one of many jobs.
func (u *userSet) nextGeneratedID() string {
	jobID := fmt.Sprintf("wk-%06d", 900000+u.generatedJobs)
	u.generatedJobs++
	return jobID
}

// submit makes a user submit a job, repeatedly until it is accepted, and ask for its status
// from then on.
func (u *userSet) submit(job *submission) {
	user := &simUser{
		sim:         u.sim,
		spec:        job.spec,
		runtime:     job.runtime,
		alwaysFails: job.alwaysFails,
		pinnedTo:    job.pinnedTo,
		submittedAt: u.sim.now,
	}
	u.byJob[job.spec.ID] = user
	u.ordered = append(u.ordered, user)
	user.submit()
	u.sim.every(pollInterval, user.poll)
}

// cancel makes a job's user cancel it, repeatedly until that is confirmed.
func (u *userSet) cancel(jobID string) {
	user := u.byJob[jobID]
	user.cancelRequested = true
	askedAt := u.sim.now
	u.request(wire.RequestCancel, jobID, nil, changeTimeout, func(reply core.Reply) {
		if reply.Status != http.StatusOK {
			u.sim.after(retryDelay, func() { u.cancel(jobID) })
			return
		}
		user.checkStatus(askedAt, reply)
		if user.lastStatus == wire.StatusCancelled && user.cancelledAt == 0 {
			user.cancelledAt = u.sim.now
		}
	})
}

// pollAll makes every user ask for the job's status a number of times within a second.
func (u *userSet) pollAll(count int) {
	for i := range count {
		for _, user := range u.ordered {
			u.sim.after(time.Duration(i)*time.Second/time.Duration(count), user.poll)
		}
	}
}

// request sends a request to the controller that the job's user is pinned to, or to any.
// Receive is called once, with status 0 if no answer comes in time.
func (u *userSet) request(kind wire.RequestKind, jobID string, body []byte, timeout time.Duration, receive func(core.Reply)) {
	ctrl := u.sim.randomController()
	if user := u.byJob[jobID]; user != nil && user.pinnedTo >= 0 {
		ctrl = u.sim.controllers[user.pinnedTo]
	}
	u.requestAt(ctrl, kind, jobID, body, timeout, receive)
}

// requestAt is request for a controller.
func (u *userSet) requestAt(ctrl *controller, kind wire.RequestKind, jobID string, body []byte, timeout time.Duration, receive func(core.Reply)) {
	answered := false
	receiveOnce := func(reply core.Reply) {
		if !answered {
			answered = true
			receive(reply)
		}
	}
	u.sim.after(timeout, func() { receiveOnce(core.Reply{}) })
	if ctrl.running {
		ctrl.request(func(requestID uint64) core.Input {
			return core.UserRequest{RequestID: requestID, Kind: kind, JobID: jobID, Body: body}
		}, receiveOnce)
	}
}

// eachActiveTask calls a function for each task that is on a machine and has not exited, in
// a fixed order. Tasks that still fetch their image count, which is stricter than the
// protocol.
func (u *userSet) eachActiveTask(visit func(worker *simWorker, task *simTask)) {
	for _, user := range u.ordered {
		user.eachActiveTask(visit)
	}
}
