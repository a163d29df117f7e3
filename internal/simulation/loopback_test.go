package simulation

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	loopbackDuration = flag.Duration("loopback.for", 40*time.Second, "how long the test of controllers on loopback runs")
	loopbackWorkers  = flag.Int("loopback.workers", 40, "how many workers the controllers on loopback have")
)

// loopbackZones are the zones of the five controllers on loopback.
var loopbackZones = []string{"a", "b", "a", "b", "a"}

// buildProgram builds the micaport program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "micaport")
	if out, err := exec.Command("go", "build", "-o", binary, "micaport/cmd/micaport").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return binary
}

// operatorFile writes a file with operators' settings and returns its path.
func operatorFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startLoopback starts controllers on loopback with the operators' settings. They are closed
// when the test ends.
func startLoopback(t *testing.T, settings Settings, binary, operatorText string) *Loopback {
	t.Helper()
	loopback, err := NewLoopback(settings, binary, t.TempDir(), operatorFile(t, operatorText), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(loopback.Close)
	return loopback
}

// countCompletedJobs counts the jobs whose tasks have all completed.
func (u *userSet) countCompletedJobs() int {
	done := 0
	for _, user := range u.ordered {
		if user.allTasksDone() {
			done++
		}
	}
	return done
}

// contendedSettings returns settings of five controllers, with limits so low that teams
// compete for their shares all the time.
func contendedSettings(workers int) Settings {
	s := Defaults()
	s.ControllerZones = loopbackZones
	s.HeartbeatInterval, s.WorkerLease, s.CancelDeadline = time.Second, 12*time.Second, 24*time.Second
	s.BootTime, s.IdleTimeout = 300*time.Millisecond, time.Minute
	s.Capacity, s.WriteRPS = workers/4, 400
	limit := float64(workers) / 2 // a quarter of all GPUs
	s.Teams[0].GuaranteedGPUs, s.Teams[0].MaxGPUs = limit/2, limit
	s.Teams[1].GuaranteedGPUs, s.Teams[1].MaxGPUs = limit/4, limit/2
	return s
}

// maxTasksByTeam bounds the tasks of each job of a team. Team red is below its limit at times
// and then has shares, while blue is not.
var maxTasksByTeam = map[string]int{"red": 3, "blue": 8, "wide": 8}

// submitContending submits jobs of three teams, some of them gangs, until a time.
func (l *Loopback) submitContending(rng *rand.Rand, until time.Duration) {
	count := 0
	l.every(200*time.Millisecond, func() {
		if l.now > until {
			return
		}
		team := []string{"red", "blue", "wide"}[count%3]
		// With more workers, tasks run longer instead of jobs being more frequent, because the user of each job keeps polling.
		runtime := float64(1+rng.IntN(3)) * float64(*loopbackWorkers) / 40
		line := []string{
			fmt.Sprintf("wk-%06d", count), "team=" + team, "gb=0", fmt.Sprintf("frames=%d", 1+rng.IntN(maxTasksByTeam[team])),
			fmt.Sprintf("run=%.1f", runtime), fmt.Sprintf("cards=%d", 1+count%2),
		}
		if count%7 == 0 {
			line = append(line, "shape=gang", "one_zone")
		}
		must(l.users.submitLine(line))
		count++
	})
}

// injectProcessFaults kills, pauses or isolates a controller every 3 s, from 6 s on until a
// time. The first fault kills the leader.
func (l *Loopback) injectProcessFaults(rng *rand.Rand, until time.Duration) {
	faults := []func(ctrl, leader *controller, d time.Duration){
		func(_, leader *controller, d time.Duration) { l.Kill(leader, d) },
		func(_, leader *controller, d time.Duration) { l.Stop(leader, 2*d) },
		func(ctrl, _ *controller, d time.Duration) { l.Kill(ctrl, d) },
		func(ctrl, _ *controller, d time.Duration) { l.Stop(ctrl, d) },
		func(ctrl, _ *controller, d time.Duration) { l.Isolate(ctrl, true, linkUp, linkHeld, d) },
		func(ctrl, _ *controller, d time.Duration) { l.Isolate(ctrl, false, linkRefused, linkRefused, d) },
	}
	l.every(3*time.Second, func() {
		if l.now < 6*time.Second || l.now > until {
			return
		}
		ctrl, leader := l.controllers[rng.IntN(len(l.controllers))], l.controllerNamed("leader")
		d := time.Duration(200+rng.IntN(4000)) * time.Millisecond
		fault := faults[rng.IntN(len(faults))]
		if l.now < 8*time.Second {
			fault = faults[0]
		}
		fault(ctrl, leader, d)
	})
}

// TestLimitsHoldOnLoopback kills and pauses real controllers, and cuts them off from each
// other and from the state service, while jobs that exceed the teams' limits are submitted.
// No revision of the records may charge a team more than its limit, and no other rule may be
// violated.
func TestLimitsHoldOnLoopback(t *testing.T) {
	loopback := startLoopback(t, contendedSettings(*loopbackWorkers), buildProgram(t), "[quota]\nadmission = guaranteed\n[placement]\nidle_return_s = 60\n")
	rng := rand.New(rand.NewPCG(1, 2))
	faultsUntil := *loopbackDuration - 12*time.Second
	loopback.submitContending(rng, faultsUntil)
	loopback.injectProcessFaults(rng, faultsUntil)
	mostWorkers := 0
	loopback.every(time.Second, func() { mostWorkers = max(mostWorkers, len(loopback.fleet.running())) })
	loopback.RunInRealTime(*loopbackDuration)
	for _, violation := range loopback.rules.violations {
		t.Error(violation)
	}
	jobs, done := len(loopback.users.ordered), loopback.users.countCompletedJobs()
	admissions, claims := loopback.quota.admissions, loopback.store.leaderChanges
	t.Logf("%d workers at most, %d jobs, %d done, %d tasks admitted by owners, %d revisions, %d claims of leadership",
		mostWorkers, jobs, done, admissions, loopback.store.revision, claims)
	if admissions == 0 || claims < 2 {
		t.Errorf("got %d admissions by owners and %d claims of leadership, want 1 and 2 at least for a valid test", admissions, claims)
	}
	if jobs < 20 || done < jobs/2 {
		t.Errorf("got %d of %d jobs done, want half of at least 20", done, jobs)
	}
	if t.Failed() {
		t.Log(loopback.Logs(3000))
	}
}
