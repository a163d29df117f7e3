package simulation

import (
	"fmt"
	"net/http"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// Timing of irregular requests.
const (
	irregularInterval     = 300 * time.Millisecond
	rejectedJobCheckDelay = 8 * time.Second // after a rejected submission, until a check that the job was not stored
)

// sendIrregularRequests sends an irregular request every irregularInterval until a time.
func (u *userSet) sendIrregularRequests(until time.Duration) {
	if u.sim.now < until {
		u.sendIrregularRequest()
		u.sim.after(irregularInterval, func() { u.sendIrregularRequests(until) })
	}
}

// sendIrregularRequest repeats the submission of an unfinished job, cancels a job that is
// done, or makes an invalid submission.
func (u *userSet) sendIrregularRequest() {
	sim := u.sim
	var unfinished, done []*simUser
	for _, user := range u.ordered {
		switch {
		case user.lastStatus == wire.StatusDone:
			done = append(done, user)
		case user.accepted && !user.cancelRequested:
			unfinished = append(unfinished, user)
		}
	}
	switch kind := sim.rng.IntN(4); {
	case kind == 0 && len(unfinished) > 0:
		user := unfinished[sim.rng.IntN(len(unfinished))]
		user.requestAt(sim.randomController(), wire.RequestSubmit, user.submissionBody())
	case kind == 1 && len(done) > 0:
		user := done[sim.rng.IntN(len(done))]
		user.requestAt(sim.randomController(), wire.RequestCancel, nil)
	default:
		u.submitInvalid()
	}
}

// submitInvalid submits a job that can never run or that has an invalid field, and checks
// that it is rejected and not stored.
func (u *userSet) submitInvalid() {
	sim := u.sim
	u.irregularCount++
	user := &simUser{sim: sim, spec: wire.JobSpec{
		ID: fmt.Sprintf("wk-%06d", 700000+u.irregularCount), Class: "c", Team: "wide", Shape: wire.ShapeArray,
		Priority: "standard", TaskCount: 1, Cores: 4, GPUs: 1, MemoryGB: 16, Image: "img", ImageGB: 2, ExpectedS: 20,
	}}
	want := http.StatusUnprocessableEntity
	switch sim.rng.IntN(4) {
	case 0:
		user.spec.Cores = 1000 // fits no machine
	case 1:
		user.spec.Team = "red"
		user.spec.Shape = wire.ShapeGang
		user.spec.TaskCount = 9 // exceeds the team's limit
	case 2:
		user.spec.Team = "nobody"
	default:
		want = http.StatusBadRequest
	}
	body := user.submissionBody()
	if want == http.StatusBadRequest || sim.rng.IntN(4) == 0 { // some that can never run also have an invalid field
		want = http.StatusBadRequest
		body = withInvalidField(body, sim.rng.IntN(1<<20))
	}
	u.requestAt(sim.randomController(), wire.RequestSubmit, user.spec.ID, body, changeTimeout, func(reply core.Reply) {
		u.checkRejection(user.spec.ID, want, reply.Status)
	})
	sim.after(rejectedJobCheckDelay, func() {
		u.requestAt(sim.randomController(), wire.RequestStatus, user.spec.ID, nil, statusTimeout, func(reply core.Reply) {
			if reply.Status == http.StatusOK {
				sim.rules.reportViolation("invented", "%s has a status although it was rejected", user.spec.ID)
			}
		})
	})
}

// checkRejection checks the status code of the reply to a submission that must be rejected.
// Besides the wanted code, it allows 503, and 0 for a missing reply.
func (u *userSet) checkRejection(jobID string, want, status int) {
	switch status {
	case want, 0, http.StatusServiceUnavailable:
	default:
		u.sim.rules.reportViolation("accepted_wrongly", "%s: got %d, want %d", jobID, status, want)
	}
}

// requiredFields are the fields that a submission must have.
var requiredFields = []string{
	"job_class", "studio", "shape", "urgency", "frames", "cores", "cards", "memory_gb", "toolkit", "size_gb",
	"same_place", "spread", "loaner", "expected_s", "snapshot_every_s", "snapshot_s",
}

// withInvalidField returns a submission in which one required field is missing or has a
// wrong type. Pick selects the field and the kind of error.
func withInvalidField(body []byte, pick int) []byte {
	var fields map[string]any
	must(wire.Decode(body, &fields))
	name := requiredFields[pick%len(requiredFields)]
	if pick/len(requiredFields)%2 == 0 {
		delete(fields, name)
	} else {
		fields[name] = []int{1}
	}
	changed, err := wire.Encode(fields)
	must(err)
	return changed
}
