package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// failoverSettings returns settings of five controllers in which the limit of team red fits
// all of its jobs.
func failoverSettings(workers int) Settings {
	s := contendedSettings(workers)
	s.Teams[0].GuaranteedGPUs, s.Teams[0].MaxGPUs = float64(workers), float64(workers)
	return s
}

// submitSteadily submits a job every interval between two times, a sixth of them gangs, and
// cancels a tenth of them.
func (l *Loopback) submitSteadily(interval, begin, end time.Duration, rng *rand.Rand) {
	count := 0
	l.every(interval, func() {
		if l.now < begin || l.now > end {
			return
		}
		jobID := fmt.Sprintf("wk-%06d", count)
		args := []string{jobID, "team=red", "gb=0", fmt.Sprintf("frames=%d", 1+rng.IntN(3)), fmt.Sprintf("run=%d", 1+rng.IntN(3))}
		if count%6 == 0 {
			args = append(args, "shape=gang", "one_zone")
		}
		must(l.users.submitLine(args))
		if rng.IntN(10) == 0 {
			l.after(time.Duration(rng.IntN(3000))*time.Millisecond, func() { l.users.cancel(jobID) })
		}
		count++
	})
}

// failoverTimes returns the distribution, in ms, of the times from the failure of a leader
// until the first decision of the next leader, and the number of takeovers that did not wait
// for the lease to expire.
func (l *Loopback) failoverTimes() (times *hdrhistogram.Histogram, early int) {
	times = hdrhistogram.New(1, 120_000, 3)
	for _, tenure := range l.leadership.tenures {
		if tenure.failedAt > 0 && tenure.firstDecisionAt > 0 {
			must(times.RecordValue(max(1, (tenure.firstDecisionAt - tenure.failedAt).Milliseconds())))
		}
	}
	return times, l.leadership.countEarlyTakeovers()
}

// countViolations counts the violations of a rule.
func (s *Simulation) countViolations(rule string) int {
	count := 0
	for _, violation := range s.rules.violations {
		var at, name string // the first two words, as written by reportViolation
		if _, err := fmt.Sscan(violation, &at, &name); err == nil && name == rule+":" {
			count++
		}
	}
	return count
}

// TestTakeoverOnLoopback kills leaders among real controllers, or pauses them with SIGSTOP, at
// random times determined by a seed, while jobs, gangs and cancellations are submitted. The
// leaders must be replaced, and no rule may be violated: no task runs twice or starts after its
// cancellation was confirmed, no job is lost, no limit is exceeded, and no controller decides
// under another's claim.
func TestTakeoverOnLoopback(t *testing.T) {
	const (
		length = 30 * time.Second
		begin  = 5 * time.Second
		end    = 24 * time.Second
	)
	loopback := startLoopback(t, failoverSettings(40), buildProgram(t), "[standby]\ntakeover = early\n[placement]\nidle_return_s = 60\n")
	rng := rand.New(rand.NewPCG(3, 5))
	loopback.submitSteadily(150*time.Millisecond, time.Second, end, rng)
	failures := 0
	loopback.every(5500*time.Millisecond, func() {
		if loopback.now < begin || loopback.now > end {
			return
		}
		loopback.after(time.Duration(rng.IntN(500))*time.Millisecond, func() {
			leader, downtime := loopback.controllerNamed("leader"), time.Duration(2500+rng.IntN(1500))*time.Millisecond
			if failures%2 == 0 {
				loopback.Kill(leader, downtime)
			} else {
				loopback.Stop(leader, downtime)
			}
			failures++
		})
	})
	loopback.RunInRealTime(length)
	for _, violation := range loopback.rules.violations {
		t.Error(violation)
	}
	times, early := loopback.failoverTimes()
	jobs, done := len(loopback.users.ordered), loopback.users.countCompletedJobs()
	t.Logf("takeovers %d, until the first decision p50 %d p99 %d max %d ms, ran twice %d, forgotten %d; %d before the lease expired, %d jobs",
		times.TotalCount(), times.ValueAtQuantile(50), times.ValueAtQuantile(99), times.Max(),
		loopback.countViolations("ran_twice"), loopback.countViolations("forgotten"), early, jobs)
	if failures < 3 || times.TotalCount() < 3 || early < 2 {
		t.Errorf("got %d failures, %d takeovers, %d of them early, want 3, 3 and 2 at least for a valid test", failures, times.TotalCount(), early)
	}
	if jobs < 50 || done < jobs*3/4 {
		t.Errorf("got %d of %d jobs done, want three quarters of at least 50", done, jobs)
	}
	if t.Failed() {
		t.Log(loopback.Logs(3000))
	}
}
