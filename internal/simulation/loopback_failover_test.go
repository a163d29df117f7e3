package simulation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// operatorFile writes operators' settings.
func operatorFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// failoverSettings has five controllers and room for all that comes.
func failoverSettings(workers int) Settings {
	s := contendedSettings(workers)
	s.Teams[0].GuaranteedGPUs, s.Teams[0].MaxGPUs = float64(workers), float64(workers)
	return s
}

// submitSteadily has jobs and gangs come, a tenth of them cancelled, between two times.
func (loopback *Loopback) submitSteadily(every, begin, end time.Duration, rng *rand.Rand) {
	count := 0
	loopback.every(every, func() {
		if loopback.now < begin || loopback.now > end {
			return
		}
		jobID := fmt.Sprintf("wk-%06d", count)
		args := []string{jobID, "team=red", "gb=0", fmt.Sprintf("frames=%d", 1+rng.IntN(3)), fmt.Sprintf("run=%d", 1+rng.IntN(3))}
		if count%6 == 0 {
			args = append(args, "shape=gang", "one_zone")
		}
		must(loopback.users.submitLine(args))
		if rng.IntN(10) == 0 {
			loopback.after(time.Duration(rng.IntN(3000))*time.Millisecond, func() { loopback.users.cancel(jobID) })
		}
		count++
	})
}

// failoverTimes are the times from the failure of each leader until the next one's first
// decision, in ms, and how many of the takeovers did not wait for the lease.
func (loopback *Loopback) failoverTimes() (times *hdrhistogram.Histogram, early int) {
	times = hdrhistogram.New(1, 120_000, 3)
	for _, tenure := range loopback.leadership.tenures {
		if tenure.failedAt > 0 && tenure.decidedAt > 0 {
			must(times.RecordValue(max(1, (tenure.decidedAt - tenure.failedAt).Milliseconds())))
		}
	}
	return times, loopback.leadership.countEarly()
}

// countViolations counts broken rules by name.
func (sim *Simulation) countViolations(rule string) int {
	count := 0
	for _, fault := range sim.rules.violations {
		var at, name string
		if _, err := fmt.Sscan(fault, &at, &name); err == nil && name == rule+":" {
			count++
		}
	}
	return count
}

// Real controllers on loopback: leaders are killed and stopped at seeded moments while jobs,
// gangs and cancellations come. Each is replaced, no task is placed twice, none that was
// confirmed as cancelled starts, none is forgotten, no limit is exceeded, and no controller
// decides under another's claim.
func TestTakeoverOnLoopback(t *testing.T) {
	const (
		length = 30 * time.Second
		begin  = 5 * time.Second
		end    = 24 * time.Second
	)
	operator := operatorFile(t, "[standby]\ntakeover = early\n[placement]\nidle_return_s = 60\n")
	loopback, err := NewLoopback(failoverSettings(40), buildProgram(t), t.TempDir(), operator, func(string, ...any) {})
	if err != nil {
		t.Fatal(err)
	}
	defer loopback.Close()
	rng := rand.New(rand.NewPCG(3, 5))
	loopback.submitSteadily(150*time.Millisecond, time.Second, end, rng)
	failures := 0
	loopback.every(5500*time.Millisecond, func() {
		if loopback.now < begin || loopback.now > end {
			return
		}
		loopback.after(time.Duration(rng.IntN(500))*time.Millisecond, func() {
			leader, away := loopback.controllerIndex("leader"), time.Duration(2500+rng.IntN(1500))*time.Millisecond
			if failures%2 == 0 {
				loopback.Kill(leader, away)
			} else {
				loopback.Stop(leader, away)
			}
			failures++
		})
	})
	loopback.Play(length)
	for _, fault := range loopback.rules.violations {
		t.Error(fault)
	}
	times, early := loopback.failoverTimes()
	t.Logf("takeovers %d, to the first decision p50 %d p99 %d most %d ms, placed twice %d, forgotten %d; %d before the lease ended, %d jobs",
		times.TotalCount(), times.ValueAtQuantile(50), times.ValueAtQuantile(99), times.Max(), loopback.countViolations("ran_twice"), loopback.countViolations("forgotten"), early, len(loopback.users.ordered))
	if failures < 3 || times.TotalCount() < 3 || early < 2 {
		t.Errorf("%d failures, %d takeovers, %d of them early: too little was tried", failures, times.TotalCount(), early)
	}
	done := 0
	for _, user := range loopback.users.ordered {
		if user.allTasksDone() {
			done++
		}
	}
	if len(loopback.users.ordered) < 50 || done < len(loopback.users.ordered)*3/4 {
		t.Errorf("%d of %d jobs are over", done, len(loopback.users.ordered))
	}
	if t.Failed() {
		t.Log(loopback.Logs(3000))
	}
}
