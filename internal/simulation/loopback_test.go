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
	loopbackFor     = flag.Duration("loopback.for", 40*time.Second, "how long the controllers on loopback are hammered")
	loopbackWorkers = flag.Int("loopback.workers", 40, "how many workers they have")
)

// buildProgram builds the program as it is deployed.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "micaport")
	if out, err := exec.Command("go", "build", "-o", binary, "micaport/cmd/micaport").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// contendedSettings has five controllers and one team of which more is asked than its limit
// allows, so that its shares are contended all the time.
func contendedSettings(workers int) Settings {
	s := Defaults()
	s.ControllerZones = []string{"a", "b", "a", "b", "a"}
	s.HeartbeatInterval, s.WorkerLease, s.CancelDeadline = time.Second, 12*time.Second, 24*time.Second
	s.BootTime, s.IdleTimeout = 300*time.Millisecond, time.Minute
	s.Capacity, s.WriteRPS = workers/4, 400
	limit := float64(workers) / 2 // a quarter of the GPUs that there are
	s.Teams[0].GuaranteedGPUs, s.Teams[0].MaxGPUs = limit/2, limit
	s.Teams[1].GuaranteedGPUs, s.Teams[1].MaxGPUs = limit/4, limit/2
	return s
}

// maxTasksByTeam bounds the tasks of a team's jobs: red stays below its limit at times,
// so that it has shares, blue does not.
var maxTasksByTeam = map[string]int{"red": 3, "blue": 8, "wide": 8}

// Real controllers on loopback are killed, stopped and cut from each other and from the
// state service while work beyond the teams' limits comes. No revision of the records
// charges a team more than its limit, and no rule is broken.
func TestLimitsHoldOnLoopback(t *testing.T) {
	operator := filepath.Join(t.TempDir(), "operator.ini")
	if err := os.WriteFile(operator, []byte("[quota]\nadmission = guaranteed\n[placement]\nidle_return_s = 60\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	loopback, err := NewLoopback(contendedSettings(*loopbackWorkers), buildProgram(t), t.TempDir(), operator, func(string, ...any) {})
	if err != nil {
		t.Fatal(err)
	}
	defer loopback.Close()
	rng := rand.New(rand.NewPCG(1, 2))
	count := 0
	hammerTo := *loopbackFor - 12*time.Second
	loopback.every(200*time.Millisecond, func() {
		if loopback.now > hammerTo {
			return
		}
		team := []string{"red", "blue", "wide"}[count%3]
		// Longer tasks, not more jobs, keep more workers busy: each job's user goes on asking.
		run := float64(1+rng.IntN(3)) * float64(*loopbackWorkers) / 40
		args := []string{fmt.Sprintf("wk-%06d", count), "team=" + team, "gb=0", fmt.Sprintf("frames=%d", 1+rng.IntN(maxTasksByTeam[team])),
			fmt.Sprintf("run=%.1f", run), fmt.Sprintf("cards=%d", 1+count%2)}
		if count%7 == 0 {
			args = append(args, "shape=gang", "one_zone")
		}
		must(loopback.users.submitLine(args))
		count++
	})
	loopback.every(3*time.Second, func() {
		if loopback.now < 6*time.Second || loopback.now > hammerTo {
			return
		}
		ix, leader := rng.IntN(len(loopback.controllers)), loopback.controllerIndex("leader")
		d := time.Duration(200+rng.IntN(4000)) * time.Millisecond
		trouble := rng.IntN(6)
		if loopback.now < 8*time.Second {
			trouble = 0
		}
		switch trouble {
		case 0:
			loopback.Kill(leader, d)
		case 1:
			loopback.Stop(leader, 2*d)
		case 2:
			loopback.Kill(ix, d)
		case 3:
			loopback.Stop(ix, d)
		case 4:
			loopback.Isolate(ix, true, linkUp, linkHeld, d)
		case 5:
			loopback.Isolate(ix, false, linkRefused, linkRefused, d)
		}
	})
	most := 0
	loopback.every(time.Second, func() { most = max(most, len(loopback.fleet.running())) })
	loopback.Play(*loopbackFor)
	for _, fault := range loopback.rules.violations {
		t.Error(fault)
	}
	done := 0
	for _, user := range loopback.users.ordered {
		if user.allTasksDone() {
			done++
		}
	}
	t.Logf("%d workers at most, %d jobs, %d done, %d tasks admitted by owners, %d revisions, %d claims of leadership", most, len(loopback.users.ordered), done, loopback.quota.admissions, loopback.store.revision, loopback.store.leaderChanges)
	if loopback.quota.admissions == 0 || loopback.store.leaderChanges < 2 {
		t.Error("no owner admitted anything, or no leader was replaced: nothing was tried")
	}
	if len(loopback.users.ordered) < 20 || done < len(loopback.users.ordered)/2 {
		t.Errorf("%d of %d jobs are done", done, len(loopback.users.ordered))
	}
	if t.Failed() {
		t.Log(loopback.Logs(3000))
	}
}
