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
	alwaysFails bool          // each task fails: the job was submitted with a mistake
	pinnedTo    int           // index of the controller that the user asks; -1: any

	submittedAt     time.Duration // for the first time
	accepted        bool
	cancelRequested bool          // the user has asked to cancel the job
	cancelledAt     time.Duration // when that was confirmed; 0: it was not
	startedAt       time.Duration // when all of a gang, or the first of other tasks, ran; 0: not yet
	tasks           []*simTask    // on machines, in the order in which they came

	lastReply      wire.JobStatus
	lastStatus     string        // the last status that was checked
	lastStatusAt   time.Duration // when it was
	lastCode       int           // the status code of the last poll
	lastAnsweredAt time.Duration
	submitCodes    []int // the status codes of all submissions

	idleCapacitySince time.Duration // since when the job waits though there is capacity; 0: it does not
}

// submissionBody returns the body of the job's submission.
func (user *simUser) submissionBody() []byte {
	spec := &user.spec
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

// submit submits the job, repeatedly until it is accepted.
func (user *simUser) submit() { user.sendSubmission(user.sim.now, user.submissionBody()) }

// sendSubmission submits a body, repeatedly until it is accepted, refused for good, or was
// first sent too long ago.
func (user *simUser) sendSubmission(firstAt time.Duration, body []byte) {
	askedAt := user.sim.now
	user.sim.users.request(wire.RequestSubmit, user.spec.ID, body, changeTimeout, func(reply core.Reply) {
		user.submitCodes = append(user.submitCodes, reply.Status)
		switch reply.Status {
		case http.StatusOK, http.StatusCreated:
			user.accepted = true
			user.lastAnsweredAt = user.sim.now
			user.checkStatus(askedAt, reply)
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			if user.accepted {
				user.sim.rules.violated("forgotten", "%s: repeat got %d", user.spec.ID, reply.Status)
			}
		default:
			if user.sim.now-firstAt < submitAttempts {
				user.sim.after(retryDelay, func() { user.sendSubmission(firstAt, body) })
			}
		}
	})
}

// poll asks for the job's status, once the job is accepted.
func (user *simUser) poll() {
	if !user.accepted {
		return
	}
	askedAt := user.sim.now
	user.sim.users.request(wire.RequestStatus, user.spec.ID, nil, statusTimeout, func(reply core.Reply) {
		user.lastCode = reply.Status
		switch reply.Status {
		case http.StatusOK:
			user.lastAnsweredAt = user.sim.now
			user.checkStatus(askedAt, reply)
		case http.StatusNotFound:
			user.sim.rules.violated("forgotten", "%s: 404 after it was accepted", user.spec.ID)
		}
	})
}

// requestAt sends a request about the accepted job to a controller.
func (user *simUser) requestAt(ctrl *controller, kind wire.RequestKind, body []byte) {
	askedAt := user.sim.now
	user.sim.users.requestAt(ctrl, kind, user.spec.ID, body, statusTimeout, func(reply core.Reply) {
		switch reply.Status {
		case http.StatusOK, http.StatusCreated:
			user.lastAnsweredAt = user.sim.now
			user.checkStatus(askedAt, reply)
		case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
			user.sim.rules.violated("forgotten", "%s: %s got %d after it was accepted", user.spec.ID, kind, reply.Status)
		}
	})
}

// isFinal reports whether a job with a status is over.
func isFinal(status string) bool {
	return status == wire.StatusDone || status == wire.StatusCancelled
}

// checkStatus checks an answer against what the user was told before. One that was asked
// for before the last one came may be older, and is ignored.
func (user *simUser) checkStatus(askedAt time.Duration, reply core.Reply) {
	var answer wire.JobStatus
	switch body := reply.Body.(type) {
	case wire.JobStatus:
		answer = body
	case []byte:
		must(wire.Decode(body, &answer))
	}
	if askedAt < user.lastStatusAt {
		return
	}
	user.lastReply = answer
	status, last := answer.Status, user.lastStatus
	if last == "" || isFinal(status) && status != last {
		defer user.pollClosely()
	}
	if isFinal(last) && status != last {
		user.sim.rules.violated("went_back", "%s: %s after %s", user.spec.ID, status, last)
	}
	switch status {
	case wire.StatusCancelled:
		requested := func(dependency *simUser) bool { return dependency.cancelRequested }
		if !user.cancelRequested && user.findDependency(requested) == nil {
			user.sim.rules.violated("went_back", "%s: cancelled without a request", user.spec.ID)
		}
	case wire.StatusDone:
		if !user.allTasksDone() {
			user.sim.rules.violated("not_done", "%s: called done, and not all of its tasks are", user.spec.ID)
		}
	default:
		user.checkOrphaned(askedAt, status)
	}
	user.lastStatus, user.lastStatusAt = status, user.sim.now
}

// checkOrphaned checks that no dependency of an unfinished job was cancelled too long ago.
func (user *simUser) checkOrphaned(askedAt time.Duration, status string) {
	dependency := user.findDependency(func(dependency *simUser) bool {
		return dependency.cancelledAt > 0 && askedAt-dependency.cancelledAt > user.sim.CancelDeadline
	})
	if dependency != nil {
		user.sim.rules.violated("orphaned", "%s: %s, though %s was cancelled %v ago", user.spec.ID, status, dependency.spec.ID, user.sim.now-dependency.cancelledAt)
	}
}

// allTasksDone reports whether all tasks of the job have done their work.
func (user *simUser) allTasksDone() bool {
	for i := range user.spec.TaskCount {
		if !user.sim.users.completedTasks[wire.TaskName(user.spec.ID, i)] {
			return false
		}
	}
	return true
}

// eachActiveTask calls a function for each task that is on a machine and has not exited.
func (user *simUser) eachActiveTask(visit func(worker *simWorker, task *simTask)) {
	for _, task := range user.tasks {
		if task.state != wire.TaskExited && !task.worker.terminated {
			visit(task.worker, task)
		}
	}
}
