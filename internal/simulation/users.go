package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// simUser is a user with one job.
type simUser struct {
	sim             *Simulation
	spec            wire.JobSpec
	runtime         time.Duration
	alwaysFails     bool // a job submitted with a mistake
	accepted        bool
	lastStatus      string        // the last status heard
	lastStatusAt    time.Duration // when
	cancelledAt     time.Duration // when told; 0 if not
	cancelRequested bool          // the user has asked to cancel
	lastReply       wire.JobStatus
	lastCode        int
	lastAnsweredAt  time.Duration
	submitCodes     []int
	pinnedTo        int           // the controller it asks; -1: any
	submittedAt     time.Duration // when it first submitted
	startedAt       time.Duration // when all of a gang, or the first of other tasks, ran; 0: not yet
	tasks           []*simTask    // its tasks on machines, in the order in which they came

	idleCapacitySince time.Duration // since when it waits though there is room; 0: it does not
}

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

// submit has a user submit a job, repeatedly until it is accepted.
func (users *userSet) submit(s wire.JobSpec, run time.Duration, only int) {
	user := &simUser{sim: users.sim, spec: s, runtime: run, pinnedTo: only, submittedAt: users.sim.now}
	users.byJob[s.ID] = user
	users.ordered = append(users.ordered, user)
	user.submit(users.sim.now)
	users.sim.every(5*time.Second, user.poll)
}

func (user *simUser) submissionBody() []byte {
	s := user.spec
	m := map[string]any{
		"ref": s.ID, "job_class": s.Class, "studio": s.Team, "shape": s.Shape, "urgency": s.Priority,
		"frames": s.TaskCount, "cores": s.Cores, "cards": s.GPUs, "memory_gb": s.MemoryGB, "toolkit": s.Image,
		"size_gb": s.ImageGB, "rigs": nil, "hall": nil, "same_place": s.SameZone, "spread": s.Spread,
		"loaner": s.AllowSpot, "expected_s": s.ExpectedS, "snapshot_every_s": s.CheckpointIntervalS, "snapshot_s": s.CheckpointTimeS,
	}
	if s.Zone != "" {
		m["hall"] = s.Zone
	}
	if s.MachineTypes != nil {
		m["rigs"] = s.MachineTypes
	}
	if s.Dependencies != nil {
		m["waits_on"] = s.Dependencies
	}
	if s.DeadlineS > 0 {
		m["due_s"] = s.DeadlineS
	}
	b, err := wire.Encode(m)
	must(err)
	return b
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

func (user *simUser) submit(first time.Duration) { user.sendSubmission(first, user.submissionBody()) }

func (user *simUser) sendSubmission(first time.Duration, body []byte) {
	asked := user.sim.now
	user.sim.users.request(wire.RequestSubmit, user.spec.ID, body, 5*time.Second, func(reply core.Reply) {
		user.submitCodes = append(user.submitCodes, reply.Status)
		switch {
		case reply.Status == 200 || reply.Status == 201:
			user.accepted = true
			user.lastAnsweredAt = user.sim.now
			user.checkStatus(asked, reply)
		case reply.Status == 400 || reply.Status == 422:
			if user.accepted {
				user.sim.rules.violated("forgotten", "%s: repeat got %d", user.spec.ID, reply.Status)
			}
		case user.sim.now-first < 60*time.Second:
			user.sim.after(time.Second, func() { user.sendSubmission(first, body) })
		}
	})
}

func (user *simUser) poll() {
	if !user.accepted {
		return
	}
	asked := user.sim.now
	user.sim.users.request(wire.RequestStatus, user.spec.ID, nil, 2*time.Second, func(reply core.Reply) {
		user.lastCode = reply.Status
		switch reply.Status {
		case 200:
			user.lastAnsweredAt = user.sim.now
			user.checkStatus(asked, reply)
		case 404:
			user.sim.rules.violated("forgotten", "%s: 404 after it was accepted", user.spec.ID)
		}
	})
}

// checkStatus checks an answer against what the user was told before.
func (user *simUser) checkStatus(asked time.Duration, reply core.Reply) {
	var s wire.JobStatus
	switch b := reply.Body.(type) {
	case wire.JobStatus:
		s = b
	case []byte:
		must(wire.Decode(b, &s))
	}
	if asked < user.lastStatusAt {
		return // asked before the last answer came; may be older
	}
	user.lastReply = s
	if final := s.Status == wire.StatusDone || s.Status == wire.StatusCancelled; user.lastStatus == "" || final && s.Status != user.lastStatus {
		defer user.pollClosely()
	}
	if (user.lastStatus == wire.StatusDone || user.lastStatus == wire.StatusCancelled) && s.Status != user.lastStatus {
		user.sim.rules.violated("went_back", "%s: %s after %s", user.spec.ID, s.Status, user.lastStatus)
	}
	if s.Status == wire.StatusCancelled && !user.cancelRequested && user.findDependency(func(dependency *simUser) bool { return dependency.cancelRequested }) == nil {
		user.sim.rules.violated("went_back", "%s: withdrawn unasked", user.spec.ID)
	}
	if s.Status != wire.StatusDone && s.Status != wire.StatusCancelled {
		if dependency := user.findDependency(func(dependency *simUser) bool {
			return dependency.cancelledAt > 0 && asked-dependency.cancelledAt > user.sim.CancelDeadline
		}); dependency != nil {
			user.sim.rules.violated("orphaned", "%s: %s, though %s was withdrawn %v ago", user.spec.ID, s.Status, dependency.spec.ID, user.sim.now-dependency.cancelledAt)
		}
	}
	if s.Status == wire.StatusDone {
		for t := range user.spec.TaskCount {
			if !user.sim.users.completedTasks[wire.TaskName(user.spec.ID, t)] {
				user.sim.rules.violated("not_done", "%s: called done, task %d is not", user.spec.ID, t)
				break
			}
		}
	}
	user.lastStatus, user.lastStatusAt = s.Status, user.sim.now
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
