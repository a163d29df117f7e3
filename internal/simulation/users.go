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
	pollInterval      = 5 * time.Second // between two status requests of a user
	retryDelay        = time.Second     // before a failed request is retried
	statusTimeout     = 2 * time.Second // for the reply to a status request
	changeTimeout     = 5 * time.Second // for the reply to a submission or cancellation
	submitRetryPeriod = time.Minute     // how long a user retries a submission
)

// userSet holds the simulated users. Each of them has one job.
type userSet struct {
	sim            *Simulation
	byJob          map[string]*simUser
	ordered        []*simUser      // in the order of their first submission
	completedTasks map[string]bool // by name
	generatedJobs  int             // jobs whose ids the simulation has generated, for commands such as bulk and pipelines
	irregularCount int             // invalid submissions that were sent, each with a new job id

	cancelAtEnd     timedValue    // share of jobs that are cancelled when their last task ends
	pollBurstsUntil time.Duration // until then, users poll all controllers at the first and at a final status of their job
}

// generatedIDPrefix is the prefix of the ids that nextGeneratedID returns.
const generatedIDPrefix = "wk-9"

// nextGeneratedID returns an unused job id for commands that submit many jobs.
func (u *userSet) nextGeneratedID() string {
	jobID := fmt.Sprintf("wk-%06d", 900000+u.generatedJobs)
	u.generatedJobs++
	return jobID
}

// submit adds a user who submits a job, retries until it is accepted, and polls its status
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

// cancel makes a job's user cancel it and retry until the cancellation is confirmed.
func (u *userSet) cancel(jobID string) {
	user := u.byJob[jobID]
	user.cancelRequested = true
	sentAt := u.sim.now
	u.request(wire.RequestCancel, jobID, nil, changeTimeout, func(reply core.Reply) {
		if reply.Status != http.StatusOK {
			u.sim.after(retryDelay, func() { u.cancel(jobID) })
			return
		}
		user.checkStatus(sentAt, reply)
		if user.lastStatus == wire.StatusCancelled && user.cancelledAt == 0 {
			user.cancelledAt = u.sim.now
		}
	})
}

// pollAll makes every user request the job's status count times within a second.
func (u *userSet) pollAll(count int) {
	for i := range count {
		for _, user := range u.ordered {
			u.sim.after(time.Duration(i)*time.Second/time.Duration(count), user.poll)
		}
	}
}

// request sends a request to the controller that the job's user is pinned to, or else to a
// random one. Receive is called once, with status 0 if no reply arrives before the timeout.
func (u *userSet) request(kind wire.RequestKind, jobID string, body []byte, timeout time.Duration, receive func(core.Reply)) {
	ctrl := u.sim.randomController()
	if user := u.byJob[jobID]; user != nil && user.pinnedTo >= 0 {
		ctrl = u.sim.controllers[user.pinnedTo]
	}
	u.requestAt(ctrl, kind, jobID, body, timeout, receive)
}

// requestAt sends a request to the given controller. Receive is called as by request.
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

// eachActiveTask calls visit for each task that is on a machine and has not exited, in a
// fixed order. It includes tasks that are still fetching their image, which makes the checks
// stricter than the protocol.
func (u *userSet) eachActiveTask(visit func(worker *simWorker, task *simTask)) {
	for _, user := range u.ordered {
		user.eachActiveTask(visit)
	}
}
