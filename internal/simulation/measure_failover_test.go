//go:build measure

package simulation

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"micaport/internal/wire"
)

var (
	takeoverDeployments = flag.Int("takeover.sites", 8, "how many deployments of five controllers are measured at once")
	takeoverFailures    = flag.Int("takeover.failures", 13, "how many leaders of each deployment fail")
	takeoverWorkers     = flag.Int("takeover.workers", 40, "how many workers each deployment has, 400 at most")
)

// failureSpacing is the time between two failures of a deployment's leader. It is long enough
// for the new leader to count as stable, which ends its streak of early takeovers, so that the
// next takeover can be early again.
const failureSpacing = 18 * time.Second

// stageNames are the names of the stages of wire.Takeover, in the order of StagesMS.
var stageNames = []string{"suspected", "claimed", "seen", "caught up", "decided"}

// failoverSample collects the results of all deployments with one kind of failure and one
// takeover setting.
type failoverSample struct {
	mu         sync.Mutex
	total      waitHistogram            // from the failure to the first decision
	stages     map[string]waitHistogram // from the last heartbeat until each stage, of early takeovers
	early      int                      // takeovers before the lease expired
	workersUp  []int                    // workers that ran at the end, one value for each deployment
	violations []string
}

// newFailoverSample returns an empty sample.
func newFailoverSample() *failoverSample {
	s := &failoverSample{total: newWaitHistogram(), stages: map[string]waitHistogram{}}
	for _, name := range stageNames {
		s.stages[name] = newWaitHistogram()
	}
	return s
}

// add adds the results of a deployment. Takeovers are the recorded ones.
func (s *failoverSample) add(loopback *Loopback, takeovers map[uint64]wire.Takeover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times, early := loopback.failoverTimes()
	s.total.Merge(times)
	s.early += early
	s.workersUp = append(s.workersUp, len(loopback.fleet.running()))
	s.violations = append(s.violations, loopback.rules.violations...)
	for _, takeover := range takeovers {
		for i, ms := range takeover.StagesMS {
			must(s.stages[stageNames[i]].RecordValue(max(1, ms)))
		}
	}
}

// TestMeasureTakeover measures the time from the failure of a leader until the first decision
// of the next, with real controllers on loopback, for each kind of failure and each takeover
// setting.
func TestMeasureTakeover(t *testing.T) {
	binary := buildProgram(t)
	for _, failure := range []string{"kill", "freeze"} {
		for _, takeover := range []string{"lease", "early"} {
			sample := newFailoverSample()
			var wait sync.WaitGroup
			for deployment := range *takeoverDeployments {
				wait.Go(func() { measureDeployment(t, binary, failure, takeover, uint64(deployment), sample) })
			}
			wait.Wait()
			t.Logf("%s, %s: %v; %d early; %d deployments of 5 controllers at once, workers up at each %v", failure, takeover, sample.total, sample.early, *takeoverDeployments, sample.workersUp)
			for _, name := range stageNames {
				if sample.stages[name].TotalCount() > 0 {
					t.Logf("  %s: %v", name, sample.stages[name])
				}
			}
			if len(sample.violations) > 0 {
				t.Errorf("%s, %s: %v", failure, takeover, sample.violations)
			}
		}
	}
}

// measureDeployment runs one deployment of five controllers whose leaders fail.
func measureDeployment(t *testing.T, binary, failure, takeover string, seed uint64, sample *failoverSample) {
	const begin = 12 * time.Second
	end := begin + time.Duration(*takeoverFailures)*failureSpacing
	operator := operatorFile(t, "[standby]\ntakeover = "+takeover+"\n[placement]\nidle_return_s = 600\n")
	settings := failoverSettings(*takeoverWorkers)
	settings.Seed = seed + 1
	loopback, err := NewLoopback(settings, binary, t.TempDir(), operator, discardLog)
	if err != nil {
		t.Error(err)
		return
	}
	defer loopback.Close()
	rng := rand.New(rand.NewPCG(seed, 5))
	loopback.after(time.Second, func() { // all workers boot, and idle ones stay until the end
		must(loopback.users.submitLine([]string{"wk-999999", "team=wide", fmt.Sprintf("frames=%d", *takeoverWorkers), "run=8", "cards=2", "gb=0"}))
	})
	loopback.submitSteadily(200*time.Millisecond, time.Second, end, rng)
	for i := range *takeoverFailures {
		loopback.after(begin+time.Duration(i)*failureSpacing+time.Duration(rng.IntN(1000))*time.Millisecond, func() {
			if failure == "kill" {
				loopback.Kill(loopback.controllerNamed("leader"), 5*time.Second)
			} else {
				loopback.Stop(loopback.controllerNamed("leader"), 8*time.Second)
			}
		})
	}
	takeovers := map[uint64]wire.Takeover{} // by Replaced; the record may not retain all of them
	loopback.every(2*time.Second, func() {
		if record := loopback.store.records[wire.TakeoversKey]; record != nil {
			for _, x := range mustDecodeRecord(wire.TakeoversKey, record.raw).(*wire.Takeovers).List {
				takeovers[x.Replaced] = x
			}
		}
	})
	loopback.RunInRealTime(end + 10*time.Second)
	sample.add(loopback, takeovers)
}

// TestMeasureFollowing measures the cost of following the leader in the absence of faults:
// bytes between controllers and processor time.
func TestMeasureFollowing(t *testing.T) {
	const length = 60 * time.Second
	binary := buildProgram(t)
	for _, takeover := range []string{"lease", "early", "lease", "early"} {
		operatorText := "[standby]\ntakeover = " + takeover + "\n[placement]\nidle_return_s = 300\n"
		loopback := startLoopback(t, failoverSettings(*takeoverWorkers), binary, operatorText)
		loopback.submitSteadily(200*time.Millisecond, time.Second, length, rand.New(rand.NewPCG(1, 5)))
		loopback.RunInRealTime(length)
		relayed := int64(0)
		for _, proc := range loopback.processes {
			for _, link := range proc.peerProxies {
				relayed += link.relayedBytes.Load()
			}
		}
		if len(loopback.rules.violations) > 0 {
			t.Error(loopback.rules.violations)
		}
		loopback.Close()
		var processor []string
		for _, proc := range loopback.processes {
			for range 100 { // the process was killed by Close, and is waited for by startProcess
				if proc.command.ProcessState != nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			used := proc.command.ProcessState.UserTime() + proc.command.ProcessState.SystemTime()
			processor = append(processor, fmt.Sprintf("%.1f", float64(used.Milliseconds())/length.Seconds()))
		}
		t.Logf("%s: %.0f bytes a second between 5 controllers, processor time of each %s ms a second, %d workers, %d jobs", takeover,
			float64(relayed)/length.Seconds(), strings.Join(processor, " "), len(loopback.fleet.running()), len(loopback.users.ordered))
	}
}
