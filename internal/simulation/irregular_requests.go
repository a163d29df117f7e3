package simulation

import (
	"fmt"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// sendIrregularRequests has users send odd requests until a time.
func (users *userSet) sendIrregularRequests(until time.Duration) {
	if users.sim.now < until {
		users.sendIrregularRequest()
		users.sim.after(300*time.Millisecond, func() { users.sendIrregularRequests(until) })
	}
}

// sendIrregularRequest repeats the submission of an unfinished job, cancels a job that is
// done, or sends one that can't run or lacks a field.
func (users *userSet) sendIrregularRequest() {
	var unfinished, done []*simUser
	for _, user := range users.ordered {
		switch {
		case user.lastStatus == wire.StatusDone:
			done = append(done, user)
		case user.accepted && !user.cancelRequested:
			unfinished = append(unfinished, user)
		}
	}
	kind := users.sim.rng.IntN(4)
	if kind == 0 && len(unfinished) > 0 {
		user := unfinished[users.sim.rng.IntN(len(unfinished))]
		user.requestAt(users.sim.controllers[users.sim.rng.IntN(len(users.sim.controllers))], wire.RequestSubmit, user.submissionBody())
		return
	}
	if kind == 1 && len(done) > 0 {
		user := done[users.sim.rng.IntN(len(done))]
		user.requestAt(users.sim.controllers[users.sim.rng.IntN(len(users.sim.controllers))], wire.RequestCancel, nil)
		return
	}
	users.irregularCount++
	user := &simUser{sim: users.sim, spec: wire.JobSpec{ID: fmt.Sprintf("wk-%06d", 700000+users.irregularCount), Class: "c", Team: "wide", Shape: wire.ShapeArray,
		Priority: "standard", TaskCount: 1, Cores: 4, GPUs: 1, MemoryGB: 16, Image: "img", ImageGB: 2, ExpectedS: 20}}
	want := 422
	switch users.sim.rng.IntN(4) {
	case 0:
		user.spec.Cores = 1000 // fits no machine
	case 1:
		user.spec.Team, user.spec.Shape, user.spec.TaskCount = "red", wire.ShapeGang, 9 // over the team's limit
	case 2:
		user.spec.Team = "nobody"
	default:
		want = 400
	}
	body := user.submissionBody()
	if want == 400 || users.sim.rng.IntN(4) == 0 { // also where two faults meet
		want = 400
		body = withInvalidField(body, users.sim.rng.IntN(1<<20))
	}
	users.requestAt(users.sim.controllers[users.sim.rng.IntN(len(users.sim.controllers))], wire.RequestSubmit, user.spec.ID, body, 5*time.Second, func(reply core.Reply) {
		users.checkRejection(user.spec.ID, want, reply.Status)
	})
	users.sim.after(8*time.Second, func() {
		users.requestAt(users.sim.controllers[users.sim.rng.IntN(len(users.sim.controllers))], wire.RequestStatus, user.spec.ID, nil, 2*time.Second, func(reply core.Reply) {
			if reply.Status == 200 {
				users.sim.rules.violated("invented", "%s is known though it was refused", user.spec.ID)
			}
		})
	})
}

// checkRejection checks the answer to a job that may not be accepted.
func (users *userSet) checkRejection(jobID string, want, status int) {
	switch status {
	case want, 0, 503:
	default:
		users.sim.rules.violated("accepted_wrongly", "%s got %d, not %d", jobID, status, want)
	}
}

// withInvalidField takes one of the fields that must be there out of a submission, or
// gives it a wrong type.
func withInvalidField(body []byte, pick int) []byte {
	var m map[string]any
	must(wire.Decode(body, &m))
	fields := []string{"job_class", "studio", "shape", "urgency", "frames", "cores", "cards", "memory_gb", "toolkit", "size_gb",
		"same_place", "spread", "loaner", "expected_s", "snapshot_every_s", "snapshot_s"}
	f := fields[pick%len(fields)]
	if pick/len(fields)%2 == 0 {
		delete(m, f)
	} else {
		m[f] = []int{1}
	}
	b, err := wire.Encode(m)
	must(err)
	return b
}
