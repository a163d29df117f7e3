package simulation

import (
	"net/http"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// simUser is a user with one job.
type simUser struct {
	sim         *Simulation
	spec        wire.JobSpec
	runtime     time.Duration // of each task
	alwaysFails bool          // each task fails, as if the job was submitted with an error
	pinnedTo    int           // index of the only controller that the user sends requests to; -1: any

	submittedAt     time.Duration // when the job was first submitted
	accepted        bool
	cancelRequested bool          // the user has requested a cancellation
	cancelledAt     time.Duration // when the cancellation was confirmed; 0: not yet
	startedAt       time.Duration // when all tasks of a gang, or the first task of another job, ran; 0: not yet
	tasks           []*simTask    // on machines, in the order in which they were placed

	lastReply      wire.JobStatus
	lastStatus     string        // the last status that was checked
	lastStatusAt   time.Duration // when lastStatus was checked
	lastCode       int           // the status code of the last poll
	lastAnsweredAt time.Duration // when the last successful reply arrived, other than one received by userSet.cancel
	submitCodes    []int         // the status codes of all submissions

	idleCapacitySince time.Duration // since when the job has waited despite free capacity; 0: it does not
}

// submissionBody returns the body of the job's submission.
func (u *simUser) submissionBody() []byte {
	spec := &u.spec
	fields := map[string]any{
		"ref": spec.ID, "job_class": spec.Class, "studio": spec.Team, "shape": spec.Shape, "urgency": spec.Priority,
		"frames": spec.TaskCount, "cores": spec.Cores, "cards": spec.GPUs, "memory_gb": spec.MemoryGB, "toolkit": spec.Image,
		"size_gb": spec.ImageGB, "rigs": nil, "hall": nil, "same_place": spec.SameZone, "spread": spec.Spread,
		"loaner": spec.AllowSpot, "expected_s": spec.ExpectedS, "snapshot_every_s": spec.CheckpointIntervalS, "snapshot_s": spec.CheckpointTimeS,
	}
	if spec.Zone != "" {
		fields["hall"] = spec.Zone
	}
	if spec.MachineTypes != nil {
		fields["rigs"] = spec.MachineTypes
	}
	if spec.Dependencies != nil {
		fields["waits_on"] = spec.Dependencies
	}
	if spec.DeadlineS > 0 {
		fields["due_s"] = spec.DeadlineS
	}
	body, err := wire.Encode(fields)
	must(err)
	return body
}

// submit submits the job and retries until it is accepted.
func (u *simUser) submit() { u.sendSubmission(u.sim.now, u.submissionBody()) }

// sendSubmission submits a body, which was first sent at firstAt. It retries until the
// submission is accepted or rejected with a permanent error, for submitRetryPeriod at most.
func (u *simUser) sendSubmission(firstAt time.Duration, body []byte) {
	sentAt := u.sim.now
	u.sim.users.request(wire.RequestSubmit, u.spec.ID, body, changeTimeout, func(reply core.Reply) {
		u.submitCodes = append(u.submitCodes, reply.Status)
		switch reply.Status {
		case http.StatusOK, http.StatusCreated:
			u.accepted = true
			u.lastAnsweredAt = u.sim.now
			u.checkStatus(sentAt, reply)
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			if u.accepted {
				u.sim.rules.reportViolation("forgotten", "%s: repeated submission got %d", u.spec.ID, reply.Status)
			} else if reply.Status == http.StatusUnprocessableEntity {
				u.sim.rules.checkRejected(u, sentAt)
			}
		default:
			if u.sim.now-firstAt < submitRetryPeriod {
				u.sim.after(retryDelay, func() { u.sendSubmission(firstAt, body) })
			}
		}
	})
}

// poll requests the job's status if the job has been accepted.
func (u *simUser) poll() {
	if !u.accepted {
		return
	}
	sentAt := u.sim.now
	u.sim.users.request(wire.RequestStatus, u.spec.ID, nil, statusTimeout, func(reply core.Reply) {
		u.lastCode = reply.Status
		switch reply.Status {
		case http.StatusOK:
			u.lastAnsweredAt = u.sim.now
			u.checkStatus(sentAt, reply)
		case http.StatusNotFound:
			u.sim.rules.reportViolation("forgotten", "%s: got 404 after the job was accepted", u.spec.ID)
		}
	})
}

// requestAt sends a request about the accepted job to the given controller.
func (u *simUser) requestAt(ctrl *controller, kind wire.RequestKind, body []byte) {
	sentAt := u.sim.now
	u.sim.users.requestAt(ctrl, kind, u.spec.ID, body, statusTimeout, func(reply core.Reply) {
		switch reply.Status {
		case http.StatusOK, http.StatusCreated:
			u.lastAnsweredAt = u.sim.now
			u.checkStatus(sentAt, reply)
		case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
			u.sim.rules.reportViolation("forgotten", "%s: %s got %d after the job was accepted", u.spec.ID, kind, reply.Status)
		}
	})
}

// isFinalStatus reports whether a status is final: the job is done or cancelled.
func isFinalStatus(status string) bool {
	return status == wire.StatusDone || status == wire.StatusCancelled
}

// checkStatus checks a reply to a request sent at sentAt against the replies that the user
// received before. It ignores the reply if the request was sent before the last checked reply
// arrived, because its status may then be older than the one checked last.
func (u *simUser) checkStatus(sentAt time.Duration, reply core.Reply) {
	var received wire.JobStatus
	switch body := reply.Body.(type) {
	case wire.JobStatus:
		received = body
	case []byte:
		must(wire.Decode(body, &received))
	}
	if sentAt < u.lastStatusAt {
		return
	}
	u.lastReply = received
	status, last := received.Status, u.lastStatus
	if last == "" || isFinalStatus(status) && status != last {
		defer u.startPollBurst() // after lastStatus is set
	}
	if isFinalStatus(last) && status != last {
		u.sim.rules.reportViolation("went_back", "%s: %s after %s", u.spec.ID, status, last)
	}
	switch status {
	case wire.StatusCancelled:
		requested := func(dependency *simUser) bool { return dependency.cancelRequested }
		if !u.cancelRequested && u.findDependency(requested) == nil {
			u.sim.rules.reportViolation("went_back", "%s: cancelled without a request", u.spec.ID)
		}
	case wire.StatusDone:
		if !u.allTasksDone() {
			u.sim.rules.reportViolation("not_done", "%s: reported as done before all of its tasks are", u.spec.ID)
		}
	default:
		u.checkOrphaned(sentAt, status)
	}
	u.lastStatus, u.lastStatusAt = status, u.sim.now
}

// checkOrphaned reports a violation if the cancellation of a dependency had been confirmed for
// longer than CancelDeadline when the user requested the status, which is not a final one.
func (u *simUser) checkOrphaned(sentAt time.Duration, status string) {
	dependency := u.findDependency(func(dependency *simUser) bool {
		return dependency.cancelledAt > 0 && sentAt-dependency.cancelledAt > u.sim.CancelDeadline
	})
	if dependency != nil {
		u.sim.rules.reportViolation("orphaned", "%s: %s, though %s was cancelled %v ago", u.spec.ID, status, dependency.spec.ID, u.sim.now-dependency.cancelledAt)
	}
}

// allTasksDone reports whether all tasks of the job have completed.
func (u *simUser) allTasksDone() bool {
	for i := range u.spec.TaskCount {
		if !u.sim.users.completedTasks[wire.TaskName(u.spec.ID, i)] {
			return false
		}
	}
	return true
}

// eachActiveTask calls visit for each task that is on a machine and has not exited.
func (u *simUser) eachActiveTask(visit func(worker *simWorker, task *simTask)) {
	for _, task := range u.tasks {
		if task.state != wire.TaskExited && !task.worker.terminated {
			visit(task.worker, task)
		}
	}
}
