package simulation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/tools/txtar"

	"micaport/internal/wire"
)

// A scenario is a text file: a comment that says what is guarded against,
// then the sections
//
//	-- world --   settings, one "name value..." a line
//	-- script --  "at SECONDS VERB ARGUMENTS" lines, in any order
//	-- seeds --   how many seeds to play it with; 1 if absent
//
// The commands are those of scriptCommands.

// Play runs a scenario with every seed and reports what went wrong.
func Play(a *txtar.Archive, trace func(string, ...any)) []string {
	return play(a, trace, nil)
}

// play is Play with a function that is given the effects of every step of every
// controller, in order; nil for none.
func play(a *txtar.Archive, trace func(string, ...any), observe func(seed int) effectObserver) []string {
	seeds := 1
	var world, script string
	for _, f := range a.Files {
		switch f.Name {
		case "world":
			world = string(f.Data)
		case "script":
			script = string(f.Data)
		case "seeds":
			n, err := strconv.Atoi(strings.TrimSpace(string(f.Data)))
			if err != nil {
				return []string{"seeds: " + err.Error()}
			}
			seeds = n
		default:
			return []string{"unknown section " + f.Name}
		}
	}
	for seed := 1; seed <= seeds; seed++ {
		s := Defaults()
		s.Seed = uint64(seed)
		if err := s.parse(world); err != nil {
			return []string{"world: " + err.Error()}
		}
		sim := newSimulation(s, trace)
		if observe != nil {
			sim.observe = observe(seed)
		}
		sim.start()
		if faults := sim.runScript(script); len(faults) > 0 {
			return append([]string{fmt.Sprintf("seed %d:", seed)}, faults...)
		}
	}
	return nil
}

// numericSettings maps the names of settings to the numbers that they set.
func (s *Settings) numericSettings() map[string]func(float64) {
	whole := func(field *int) func(float64) { return func(x float64) { *field = int(x) } }
	decimal := func(field *float64) func(float64) { return func(x float64) { *field = x } }
	duration := func(field *time.Duration) func(float64) { return func(x float64) { *field = seconds(x) } }
	return map[string]func(float64){
		"capacity":         whole(&s.Capacity),
		"write_rps":        decimal(&s.WriteRPS),
		"boot_s":           duration(&s.BootTime),
		"report_s":         duration(&s.HeartbeatInterval),
		"lease_s":          duration(&s.WorkerLease),
		"cancel_s":         duration(&s.CancelDeadline),
		"idle_s":           duration(&s.IdleTimeout),
		"txn_ops":          whole(&s.MaxTransactionOps),
		"value_bytes":      whole(&s.MaxValueBytes),
		"next_write_rps":   decimal(&s.NextWriteRPS),
		"next_txn_ops":     whole(&s.NextMaxTransactionOps),
		"next_value_bytes": whole(&s.NextMaxValueBytes),
		"old_format":       whole(&s.OldFormat),
		"admission":        whole((*int)(&s.Admission)),
		"early_takeover":   func(x float64) { s.EarlyTakeover = x > 0 },
	}
}

// parse takes the settings of a scenario.
func (s *Settings) parse(text string) error {
	numbers := s.numericSettings()
	for _, line := range scriptLines(text) {
		f := strings.Fields(line)
		if len(f) < 2 {
			return fmt.Errorf("bad line %q", line)
		}
		switch name := f[0]; {
		case name == "nodes":
			s.ControllerZones = f[1:]
		case name == "zones":
			s.Zones = f[1:]
		case numbers[name] != nil:
			x, err := strconv.ParseFloat(f[1], 64)
			if err != nil {
				return fmt.Errorf("bad number in %q", line)
			}
			numbers[name](x)
		default:
			return fmt.Errorf("unknown setting %s", name)
		}
	}
	return nil
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

func scriptLines(text string) []string {
	var out []string
	for _, l := range strings.Split(text, "\n") {
		if l = strings.TrimSpace(l); l != "" && !strings.HasPrefix(l, "#") {
			out = append(out, l)
		}
	}
	return out
}

// runScript plays the lines and collects failed expectations and broken rules.
func (sim *Simulation) runScript(text string) []string {
	var faults []string
	last := time.Duration(0)
	for _, line := range scriptLines(text) {
		f := strings.Fields(line)
		if len(f) < 3 || f[0] != "at" {
			return []string{fmt.Sprintf("bad line %q", line)}
		}
		at, err := strconv.ParseFloat(f[1], 64)
		if err != nil {
			return []string{fmt.Sprintf("bad time in %q", line)}
		}
		last = max(last, seconds(at))
		sim.after(seconds(at), func() {
			if err := sim.runCommand(f[2], f[3:]); err != nil {
				faults = append(faults, fmt.Sprintf("%s: %v", line, err))
			}
		})
	}
	sim.Run(last + time.Millisecond)
	if len(sim.rules.violations) == 0 {
		faults = append(faults, sim.rules.underserved()...)
	}
	return append(faults, sim.rules.violations...)
}

// expect checks "JOB WHAT..." or something about the world as a whole.
func (sim *Simulation) expect(args []string) error {
	if what, known, err := sim.expectCondition(args[0]); known {
		if err != nil {
			return fmt.Errorf("want %s: %w", what, err)
		}
		return nil
	}
	user := sim.users.byJob[args[0]]
	if user == nil {
		return fmt.Errorf("no such job")
	}
	for _, what := range args[1:] {
		if err := sim.expectJob(user, what); err != nil {
			return err
		}
	}
	return nil
}

// counts are the numbers that a script can bound with NAME<=N and NAME>=N: machines,
// returned and waiting ones, leaders and claims of shards so far, tasks that owners have
// admitted, shares that are distributed, overflow keys of records, starts that workers carried
// out after the user was told that the job is cancelled (late_starts), leaders replaced
// before their lease ended (early), the time from a failure until the slowest of these
// decided (takeover_ms), heartbeats of leaders; and since the last "meter": refused
// commits, looks at machines by all controllers for each report, and bytes a second
// between controllers.
func (sim *Simulation) counts() map[string]int {
	seconds := max(1, int((sim.now - sim.meter.since).Seconds()))
	return map[string]int{
		"machines":         len(sim.fleet.running()),
		"returned":         sim.cloud.deprovisioned,
		"waiting":          sim.cloud.countBooting(),
		"leaders":          sim.store.leaderChanges,
		"claims":           sim.store.shardClaims,
		"refused":          sim.meter.refusedCommits,
		"looks_per_report": int(sim.coreWork()-sim.meter.coreWork) / max(1, sim.meter.heartbeats),
		"bytes_per_s":      sim.meter.gossipBytes / seconds,
		"late_starts":      sim.rules.lateStarts,
		"more_keys":        sim.store.countOverflowKeys(),
		"admitted":         sim.quota.admissions,
		"shares":           sim.quota.countShares(),
		"early":            sim.leadership.countEarly(),
		"takeover_ms":      int(sim.leadership.slowestTakeover().Milliseconds()),
		"heartbeats":       sim.leadership.heartbeats,
	}
}

// expectBound checks NAME<=N and NAME>=N. It tells whether there is such a count.
func (sim *Simulation) expectBound(what string) (known bool, err error) {
	name, limit, atMost := strings.Cut(what, "<=")
	if !atMost {
		name, limit, known = strings.Cut(what, ">=")
		if !known {
			return false, nil
		}
	}
	got, known := sim.counts()[name]
	if !known {
		return false, nil
	}
	bound, err := strconv.Atoi(limit)
	if err == nil && (atMost && got > bound || !atMost && got < bound) {
		err = fmt.Errorf("got %d", got)
	}
	return true, err
}

// expectCondition checks counts, unhealthy=0 and unresponsive=0 machines, and
// owner=PART:CONTROLLER|CONTROLLER.
func (sim *Simulation) expectCondition(what string) (string, bool, error) {
	if known, err := sim.expectBound(what); known {
		return what, true, err
	}
	holds, got := false, any(nil)
	if v, ok := strings.CutPrefix(what, "owner="); ok {
		shard, owner, _ := strings.Cut(v, ":")
		holds, got = slices.Contains(strings.Split(owner, "|"), sim.store.shardOwner(shard)), sim.store.shardOwner(shard)
	} else if what == "deaf=0" {
		deaf := sim.fleet.countRunning(func(worker *simWorker) bool { return worker.inboundCutUntil > sim.now })
		holds, got = deaf == 0, deaf
	} else if what == "sick=0" {
		sick := sim.fleet.countRunning(func(worker *simWorker) bool { return worker.failsTasks })
		holds, got = sick == 0, sick
	} else {
		return what, false, nil
	}
	if !holds {
		return what, true, fmt.Errorf("got %v", got)
	}
	return what, true, nil
}

// countRunning counts the machines that are up and like this.
func (fleet *workerFleet) countRunning(like func(*simWorker) bool) int {
	count := 0
	for _, worker := range fleet.running() {
		if like(worker) {
			count++
		}
	}
	return count
}

// shardOwner names the controller whose claim of a shard stands.
func (store *stateService) shardOwner(shard string) string {
	record := store.records[wire.ShardKey(shard)]
	if record == nil {
		return ""
	}
	return mustDecodeRecord(wire.ShardKey(shard), record.raw).(*wire.Shard).Owner
}

func (sim *Simulation) expectJob(user *simUser, what string) error {
	count := 0
	zones, hosts := map[string]bool{}, map[string]bool{}
	sim.users.eachActiveTask(func(worker *simWorker, task *simTask) {
		if task.user == user {
			zones[worker.machine.Zone], hosts[worker.machine.Name] = true, true
			if task.state == wire.TaskRunning {
				count++
			}
		}
	})
	number := func(v string) int {
		x, _ := strconv.Atoi(v)
		return x
	}
	bad := func(got any) error { return fmt.Errorf("want %s, got %v", what, got) }
	if k, v, ok := strings.Cut(what, "<="); ok {
		if k == "starts" && sim.rules.starts[user.spec.ID] > number(v) {
			return bad(sim.rules.starts[user.spec.ID])
		}
		if k == "begun" && (user.startedAt == 0 || user.startedAt > seconds(float64(number(v)))) {
			return bad(user.startedAt)
		}
		return nil
	}
	k, v, pair := strings.Cut(what, "=")
	switch {
	case pair && k == "running":
		if count != number(v) {
			return bad(count)
		}
	case pair && k == "zones":
		if len(zones) != number(v) {
			return bad(len(zones))
		}
	case pair && k == "hosts":
		if len(hosts) != number(v) {
			return bad(len(hosts))
		}
	case pair && k == "code":
		if len(user.submitCodes) == 0 || user.submitCodes[len(user.submitCodes)-1] != number(v) {
			return bad(user.submitCodes)
		}
	case pair:
		return fmt.Errorf("unknown expectation")
	default:
		if user.lastReply.Status != what {
			return bad(user.lastReply.Status)
		}
	}
	return nil
}
