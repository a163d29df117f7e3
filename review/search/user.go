//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"micaport/review/standin"
)

// user submits one job, asks for it, and may cancel it or submit it again.
type user struct {
	job         *standin.Job
	body        standin.Map
	waitsOn     []*user
	rng         *rand.Rand
	cancelAfter time.Duration // 0: never

	cancelledAt atomic.Pointer[time.Time] // when the cancellation was confirmed as withdrawn

	mu         sync.Mutex
	accepted   bool
	asked      bool   // it has asked to cancel
	settled    bool   // its cancellation was answered for good
	final      string // the final status that it was told
	answeredAt time.Time
}

// newUser returns the user of a new job, which may wait on some of the last ones.
func (s *search) newUser(count int, before []*user) *user {
	rng := s.rng
	ref := fmt.Sprintf("wk-%06d", 1000+count)
	job := &standin.Job{Ref: ref, Shape: "array", Team: []string{"candi", "menara", "pesisir"}[rng.IntN(3)],
		Frames: 1 + rng.IntN(5), Cores: 8, Cards: float64(1 + rng.IntN(2)), MemoryGB: 20, SizeGB: 0.3,
		Toolkit: fmt.Sprintf("img-%d", rng.IntN(3)), Run: time.Duration(2+rng.IntN(20)) * time.Second, Loaner: true}
	switch kind := rng.IntN(10); {
	case s.gangs && rng.IntN(2) == 0:
		job.Shape, job.Team, job.Frames, job.Cards = "gang", "pesisir", 2+rng.IntN(6), 2
		job.SamePlace = rng.IntN(3) == 0
		job.Spread = !job.SamePlace && rng.IntN(4) == 0
	case kind < 4:
		job.Shape, job.Frames, job.SamePlace = "gang", 1+rng.IntN(3), rng.IntN(2) == 0
	case kind < 5:
		job.Shape, job.Frames, job.Spread, job.Loaner = "daemon", 1+rng.IntN(3), true, false
	case kind < 7:
		job.Hall = []string{"bandung", "surabaya"}[rng.IntN(2)]
	}
	if job.Shape != "daemon" && rng.IntN(2) == 0 {
		job.SnapshotEveryS, job.SnapshotS = 5, 2
	}
	u := &user{job: job, rng: rand.New(rand.NewPCG(s.seed, uint64(1000+count)))}
	if rng.IntN(4) == 0 || job.Shape == "daemon" {
		u.cancelAfter = time.Duration(1+rng.IntN(30000)) * time.Millisecond
	}
	u.body = s.Submission(ref, job.Team, job.Frames, job.Cores, job.Cards, job.MemoryGB, job.Run.Seconds(), job.Run)
	s.Fleet.AddJob(job)
	u.body["shape"], u.body["toolkit"] = job.Shape, job.Toolkit
	u.body["same_place"], u.body["spread"], u.body["loaner"] = job.SamePlace, job.Spread, job.Loaner
	u.body["snapshot_every_s"], u.body["snapshot_s"] = job.SnapshotEveryS, job.SnapshotS
	u.body["urgency"] = []string{"critical", "high", "standard", "low"}[rng.IntN(4)]
	if job.Hall != "" {
		u.body["hall"] = job.Hall
	}
	if job.Shape == "daemon" {
		u.body["expected_s"] = 0.0
	} else if len(before) > 0 && rng.IntN(2) == 0 {
		u.waitOn(before[max(0, len(before)-1-rng.IntN(8)):])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.users[ref] = u
	return u
}

// waitOn makes the job wait on up to three of the given ones that are accepted.
func (u *user) waitOn(others []*user) {
	var refs []string
	for _, other := range others[:min(3, len(others))] {
		other.mu.Lock()
		if other.accepted {
			u.waitsOn = append(u.waitsOn, other)
			refs = append(refs, other.job.Ref)
		}
		other.mu.Unlock()
	}
	if refs != nil {
		u.body["waits_on"] = refs
	}
}

// live does what the user does until the end of the run.
func (u *user) live(s *search) {
	ref, from := u.job.Ref, time.Now()
	answer := s.Submit(u.body, u.rng.IntN(len(s.Nodes)))
	switch answer.Status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		s.report("the submission of %s got %v", ref, answer)
		return
	case http.StatusOK, http.StatusCreated:
	default:
		return // it gave up
	}
	u.mu.Lock()
	u.accepted, u.answeredAt = true, time.Now()
	u.mu.Unlock()
	for time.Now().Before(s.end) {
		time.Sleep(time.Duration(300+u.rng.IntN(2000)) * time.Millisecond)
		if u.cancelAfter > 0 && time.Since(from) > u.cancelAfter {
			u.cancel(s)
		}
		node := s.Nodes[u.rng.IntN(len(s.Nodes))]
		if u.rng.IntN(8) == 0 {
			u.see(s, s.SubmitTo(node, ref, standin.Encode(u.body)))
		}
		u.see(s, s.Poll(node, ref))
		if u.isOver() && time.Since(from) > time.Minute {
			time.Sleep(10 * time.Second) // it asks less often
		}
	}
}

func (u *user) isOver() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.final != ""
}

// cancel asks to cancel the job, until it gets an answer for good.
func (u *user) cancel(s *search) {
	u.mu.Lock()
	settled := u.settled
	u.asked = true
	u.mu.Unlock()
	if settled {
		return
	}
	answer := s.Withdraw(s.Nodes[u.rng.IntN(len(s.Nodes))], u.job.Ref)
	if answer.Status == http.StatusOK {
		if now := time.Now(); answer.Text("status") == "withdrawn" {
			u.cancelledAt.Store(&now)
		}
		u.mu.Lock()
		u.settled = true
		u.mu.Unlock()
	}
	u.see(s, answer)
}

// see checks an answer about the job.
func (u *user) see(s *search, answer standin.Answer) {
	ref := u.job.Ref
	switch answer.Status {
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		s.report("forgotten: %s got %v", ref, answer)
		return
	case http.StatusOK, http.StatusCreated:
	default:
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answeredAt = time.Now()
	status := answer.Text("status")
	if u.final != "" && status != u.final {
		s.report("went_back: %s was %s and is %s", ref, u.final, status)
	}
	switch status {
	case "done":
		u.final = status
		for i := range u.job.Frames {
			if !s.Fleet.Finished(ref + "/" + strconv.Itoa(i)) {
				s.report("not_done: %s/%d", ref, i)
			}
		}
	case "withdrawn":
		u.final = status
		if !u.asked && len(u.waitsOn) == 0 {
			s.report("went_back: %s is withdrawn, but nobody cancelled it", ref)
		}
	default:
		for _, before := range u.waitsOn {
			at := before.cancelledAt.Load()
			if at != nil && time.Since(*at) > s.Site.Times.Cancel+standin.PollTimeout {
				s.report("orphaned: %s is %s %.0f s after %s was cancelled", ref, status, time.Since(*at).Seconds(), before.job.Ref)
			}
		}
	}
}
