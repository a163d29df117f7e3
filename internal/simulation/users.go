package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// userSim is a user with one job.
type userSim struct {
	w         *World
	spec      wire.JobSpec
	run       time.Duration
	fails     bool // a job submitted with a mistake
	accepted  bool
	told      string        // the last status heard
	toldAt    time.Duration // when
	withdrawn time.Duration // when told; 0 if not
	asked     bool          // the user has asked to cancel
	status    wire.JobStatus
	lastCode  int
	lastOK    time.Duration
	codes     []int
	only      int           // the controller it asks; -1: any
	since     time.Duration // when it first submitted
	begun     time.Duration // when all of a gang, or the first of other tasks, ran; 0: not yet
	on        []*taskSim    // its tasks on machines, in the order in which they came

	besideRoom time.Duration // since when it waits though there is room; 0: it does not
}

// Submit has a user submit a job, repeatedly until it is accepted.
func (w *World) Submit(s wire.JobSpec, run time.Duration, only int) {
	u := &userSim{w: w, spec: s, run: run, only: only, since: w.now}
	w.users[s.ID] = u
	w.order = append(w.order, u)
	u.submit(w.now)
	w.every(5*time.Second, u.poll)
}

func (u *userSim) body() []byte {
	s := u.spec
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

// at asks some controller that is up; code 0 means that no answer came.
func (w *World) at(kind wire.RequestKind, ref string, body []byte, patience time.Duration, f func(core.Reply)) {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if u := w.users[ref]; u != nil && u.only >= 0 {
		n = w.nodes[u.only]
	}
	w.askOf(n, kind, ref, body, patience, f)
}

// askOf is at for one controller.
func (w *World) askOf(n *node, kind wire.RequestKind, ref string, body []byte, patience time.Duration, f func(core.Reply)) {
	answered := false
	get := func(r core.Reply) {
		if !answered {
			answered = true
			f(r)
		}
	}
	w.after(patience, func() { get(core.Reply{}) })
	if n.up {
		n.ask(func(req uint64) core.Input {
			return core.UserRequest{RequestID: req, Kind: kind, JobID: ref, Body: body}
		}, get)
	}
}

func (u *userSim) submit(first time.Duration) { u.send(first, u.body()) }

func (u *userSim) send(first time.Duration, body []byte) {
	asked := u.w.now
	u.w.at(wire.RequestSubmit, u.spec.ID, body, 5*time.Second, func(r core.Reply) {
		u.codes = append(u.codes, r.Status)
		switch {
		case r.Status == 200 || r.Status == 201:
			u.accepted = true
			u.lastOK = u.w.now
			u.hear(asked, r)
		case r.Status == 400 || r.Status == 422:
			if u.accepted {
				u.w.broke("forgotten", "%s: repeat got %d", u.spec.ID, r.Status)
			}
		case u.w.now-first < 60*time.Second:
			u.w.after(time.Second, func() { u.send(first, body) })
		}
	})
}

func (u *userSim) poll() {
	if !u.accepted {
		return
	}
	asked := u.w.now
	u.w.at(wire.RequestStatus, u.spec.ID, nil, 2*time.Second, func(r core.Reply) {
		u.lastCode = r.Status
		switch r.Status {
		case 200:
			u.lastOK = u.w.now
			u.hear(asked, r)
		case 404:
			u.w.broke("forgotten", "%s: 404 after it was accepted", u.spec.ID)
		}
	})
}

// hear checks an answer against what the user was told before.
func (u *userSim) hear(asked time.Duration, r core.Reply) {
	var s wire.JobStatus
	switch b := r.Body.(type) {
	case wire.JobStatus:
		s = b
	case []byte:
		must(wire.Decode(b, &s))
	}
	if asked < u.toldAt {
		return // asked before the last answer came; may be older
	}
	u.status = s
	if final := s.Status == wire.StatusDone || s.Status == wire.StatusCancelled; u.told == "" || final && s.Status != u.told {
		defer u.lookClosely()
	}
	if (u.told == wire.StatusDone || u.told == wire.StatusCancelled) && s.Status != u.told {
		u.w.broke("went_back", "%s: %s after %s", u.spec.ID, s.Status, u.told)
	}
	if s.Status == wire.StatusCancelled && !u.asked && u.above(func(a *userSim) bool { return a.asked }) == nil {
		u.w.broke("went_back", "%s: withdrawn unasked", u.spec.ID)
	}
	if s.Status != wire.StatusDone && s.Status != wire.StatusCancelled {
		if a := u.above(func(a *userSim) bool { return a.withdrawn > 0 && asked-a.withdrawn > u.w.Cancel }); a != nil {
			u.w.broke("orphaned", "%s: %s, though %s was withdrawn %v ago", u.spec.ID, s.Status, a.spec.ID, u.w.now-a.withdrawn)
		}
	}
	if s.Status == wire.StatusDone {
		for t := range u.spec.TaskCount {
			if !u.w.done[wire.TaskName(u.spec.ID, t)] {
				u.w.broke("not_done", "%s: called done, task %d is not", u.spec.ID, t)
				break
			}
		}
	}
	u.told, u.toldAt = s.Status, u.w.now
}

// Withdraw has a job's user cancel it, repeatedly until told so.
func (w *World) Withdraw(ref string) {
	u := w.users[ref]
	u.asked = true
	asked := w.now
	w.at(wire.RequestCancel, ref, nil, 5*time.Second, func(r core.Reply) {
		if r.Status != 200 {
			w.after(time.Second, func() { w.Withdraw(ref) })
			return
		}
		u.hear(asked, r)
		if u.told == wire.StatusCancelled && u.withdrawn == 0 {
			u.withdrawn = w.now
		}
	})
}
