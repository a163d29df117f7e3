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

func (user *simUser) requestAt(ctrl *controller, kind wire.RequestKind, body []byte) {
	asked := user.sim.now
	user.sim.users.requestAt(ctrl, kind, user.spec.ID, body, 2*time.Second, func(reply core.Reply) {
		switch reply.Status {
		case 200, 201:
			user.lastAnsweredAt = user.sim.now
			user.checkStatus(asked, reply)
		case 404, 400, 422:
			user.sim.rules.violated("forgotten", "%s: %s got %d after it was accepted", user.spec.ID, kind, reply.Status)
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

// allTasksDone tells whether all tasks of a job have completed.
func (user *simUser) allTasksDone() bool {
	for t := range user.spec.TaskCount {
		if !user.sim.users.completedTasks[wire.TaskName(user.spec.ID, t)] {
			return false
		}
	}
	return true
}

// eachActiveTask is that of World for the tasks of one job.
func (user *simUser) eachActiveTask(f func(worker *simWorker, task *simTask)) {
	for _, task := range user.tasks {
		if task.state != wire.TaskExited && !task.worker.terminated {
			f(task.worker, task)
		}
	}
}
