//go:build review

// Command search runs a site under random faults and checks the rules with the checks of the
// stand-ins. It is no case; REPORT.md says with which seeds it was run.
//
//	SEED=1 FOR=420s LOAD=low GANGS=1 target/review/search record.txt
//
// NEXT=1 lowers the limits of the state service after a minute, LOAD=low submits fewer jobs, GANGS=1
// makes half of them gangs of up to seven machines, and TROUBLE=0 leaves out the faults.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"micaport/review/standin"
)

const (
	quietStart  = 10 * time.Second  // before the first fault
	quietEnd    = 100 * time.Second // after the last fault
	lastSubmit  = 130 * time.Second // before the end
	cancelSlack = 300 * time.Millisecond
	// unanswered is from the rules: "a job about which no question is answered for 75 s".
	unanswered = 75 * time.Second
)

// limits are the limits of the teams in GPUs.
var limits = map[string]float64{"candi": 6, "menara": 8, "pesisir": 12}

// search is the state of a run.
type search struct {
	*standin.Deployment
	rng   *rand.Rand // of the main loop
	seed  uint64
	end   time.Time
	gangs bool

	mu     sync.Mutex
	users  map[string]*user
	broken []string

	faults faults
}

func main() {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	duration, err := time.ParseDuration(os.Getenv("FOR"))
	if err != nil {
		duration = 5 * time.Minute
	}
	gangs := os.Getenv("GANGS") != ""
	if gangs {
		limits["pesisir"] = 18
	}
	site := standin.Small()
	site.Times = standin.Times{Report: 2 * time.Second, Lease: 14 * time.Second, GangWait: 16 * time.Second, GangPeer: 4 * time.Second, Cancel: 26 * time.Second}
	site.Teams = nil
	for _, team := range []string{"candi", "menara", "pesisir"} {
		site.Teams = append(site.Teams, standin.Map{"name": team, "cpus": 0.0, "cpus_max": 0.0, "gpus": limits[team] / 2, "gpus_max": limits[team]})
	}
	if os.Getenv("NEXT") != "" {
		site.Next = &standin.StateLimits{RPS: 250, WriteRPS: 18, ValueKB: 2, TxnOps: 5}
	}
	standin.Main(os.Args[1], site, func(d *standin.Deployment, trouble bool) int {
		s := &search{Deployment: d, rng: rand.New(rand.NewPCG(seed, 5)), seed: seed, end: time.Now().Add(duration), gangs: gangs, users: map[string]*user{}}
		return s.run(trouble)
	})
}

// report notes a broken rule.
func (s *search) report(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.Record.Logf("BROKEN %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, text)
}

// user returns the user of a job, or nil.
func (s *search) user(ref string) *user {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.users[ref]
}

// run submits jobs and injects faults until the end, and returns the exit code.
func (s *search) run(trouble bool) int {
	s.Fleet.Arrived = s.checkArrival
	s.faults.install(s)
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	go s.watchCancelled(stop)
	if s.Site.Next != nil {
		time.AfterFunc(time.Minute, func() {
			s.Record.Logf("the limits of the state service fall")
			s.State.SetLimits(*s.Site.Next)
		})
	}
	var users sync.WaitGroup
	var accepted []*user // those that later jobs may wait on
	nextFault := time.Now().Add(quietStart)
	for count := 0; time.Now().Before(s.end); {
		time.Sleep(time.Duration(300+s.rng.IntN(1500)) * time.Millisecond)
		busy := os.Getenv("LOAD") != "low" || s.rng.IntN(4) == 0
		if busy && time.Until(s.end) > lastSubmit {
			u := s.newUser(count, accepted)
			count++
			if u.job.Shape != "daemon" {
				accepted = append(accepted, u)
			}
			users.Go(func() { u.live(s) })
		}
		if trouble && time.Now().After(nextFault) && time.Until(s.end) > quietEnd {
			nextFault = time.Now().Add(time.Duration(1000+s.rng.IntN(7000)) * time.Millisecond)
			s.faults.inject(s)
		}
	}
	users.Wait()
	close(stop)
	return s.verdict()
}

// verdict checks what can be checked at the end only.
func (s *search) verdict() int {
	open := 0
	for ref, u := range s.users {
		u.mu.Lock()
		if u.accepted && u.final == "" {
			open++
			if since := time.Since(u.answeredAt); since > unanswered {
				s.report("forgotten: %s was not answered for %.0f s", ref, since.Seconds())
			}
		}
		u.mu.Unlock()
	}
	for _, node := range s.Nodes {
		for _, end := range node.EndedByItself() {
			s.report("node_restarts: %s: %s", node.Label, end)
		}
	}
	broken := append(s.Fleet.Broken(), s.broken...)
	fmt.Printf("seed %d: %d jobs, %d not over, broken: %v\n", s.seed, len(s.users), open, broken)
	if len(broken) > 0 {
		return standin.Broken
	}
	return standin.Held
}

// checkArrival checks the rules that the start of a task can break. The fleet's mutex is held.
func (s *search) checkArrival(task standin.Placed, all []standin.Placed) {
	used, inHall := map[string]float64{}, map[string]int{}
	for _, other := range all {
		used[other.Job.Team] += other.Job.Cards
		if other.Job == task.Job {
			inHall[other.Hall]++
		}
	}
	const slack = 1e-6
	for team, cards := range used {
		if cards > limits[team]+slack {
			s.Fleet.Break(fmt.Sprintf("quota: %s uses %v", team, cards))
		}
	}
	job := task.Job
	if job.SamePlace && len(inHall) > 1 || job.Hall != "" && job.Hall != task.Hall || task.Spot && !job.Loaner ||
		job.Spread && inHall[task.Hall] > (job.Frames+1)/2 {
		s.Fleet.Break(fmt.Sprintf("wrong_place: %s on %s in %s, %v", task.Task, task.Machine, task.Hall, inHall))
	}
	u := s.user(job.Ref)
	for _, before := range u.waitsOn {
		if !s.Fleet.AllFinished(before.job.Ref) {
			s.Fleet.Break("too_early: " + task.Task + " before " + before.job.Ref)
		}
	}
	if at := u.cancelledAt.Load(); at != nil && time.Since(*at) > s.Site.Times.Cancel {
		s.Fleet.Break("ran_cancelled: start of " + task.Task)
	}
}

// watchCancelled reports tasks that are on machines for too long after the cancellation was
// confirmed.
func (s *search) watchCancelled(stop <-chan struct{}) {
	seen := map[string]bool{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		for _, task := range s.Fleet.Placed() {
			at := s.user(task.Job.Ref).cancelledAt.Load()
			if at != nil && time.Since(*at) > s.Site.Times.Cancel+cancelSlack && !seen[task.Task] {
				seen[task.Task] = true
				s.report("ran_cancelled: %s on %s after %.1f s", task.Task, task.Machine, time.Since(*at).Seconds())
			}
		}
	}
}
