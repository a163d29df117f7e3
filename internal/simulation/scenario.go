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
		if err := s.read(world); err != nil {
			return []string{"world: " + err.Error()}
		}
		w := newWorld(s, trace)
		if observe != nil {
			w.observe = observe(seed)
		}
		w.begin()
		if faults := w.script(script); len(faults) > 0 {
			return append([]string{fmt.Sprintf("seed %d:", seed)}, faults...)
		}
	}
	return nil
}

// numbers maps the names of settings to the numbers that they set.
func (s *Settings) numbers() map[string]func(float64) {
	whole := func(field *int) func(float64) { return func(x float64) { *field = int(x) } }
	decimal := func(field *float64) func(float64) { return func(x float64) { *field = x } }
	duration := func(field *time.Duration) func(float64) { return func(x float64) { *field = secs(x) } }
	return map[string]func(float64){
		"capacity":         whole(&s.Capacity),
		"write_rps":        decimal(&s.WriteRPS),
		"boot_s":           duration(&s.Boot),
		"report_s":         duration(&s.Report),
		"lease_s":          duration(&s.Lease),
		"cancel_s":         duration(&s.Cancel),
		"idle_s":           duration(&s.Idle),
		"txn_ops":          whole(&s.TxnOps),
		"value_bytes":      whole(&s.ValueBytes),
		"next_write_rps":   decimal(&s.NextWriteRPS),
		"next_txn_ops":     whole(&s.NextTxnOps),
		"next_value_bytes": whole(&s.NextValueBytes),
		"old_format":       whole(&s.OldFormat),
		"admission":        whole((*int)(&s.Admission)),
		"early_takeover":   func(x float64) { s.EarlyTakeover = x > 0 },
	}
}

// read takes the settings of a scenario.
func (s *Settings) read(text string) error {
	numbers := s.numbers()
	for _, line := range lines(text) {
		f := strings.Fields(line)
		if len(f) < 2 {
			return fmt.Errorf("bad line %q", line)
		}
		switch name := f[0]; {
		case name == "nodes":
			s.Nodes = f[1:]
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

func secs(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

func lines(text string) []string {
	var out []string
	for _, l := range strings.Split(text, "\n") {
		if l = strings.TrimSpace(l); l != "" && !strings.HasPrefix(l, "#") {
			out = append(out, l)
		}
	}
	return out
}

// script plays the lines and collects failed expectations and broken rules.
func (w *World) script(text string) []string {
	var faults []string
	last := time.Duration(0)
	for _, line := range lines(text) {
		f := strings.Fields(line)
		if len(f) < 3 || f[0] != "at" {
			return []string{fmt.Sprintf("bad line %q", line)}
		}
		at, err := strconv.ParseFloat(f[1], 64)
		if err != nil {
			return []string{fmt.Sprintf("bad time in %q", line)}
		}
		last = max(last, secs(at))
		w.after(secs(at), func() {
			if err := w.command(f[2], f[3:]); err != nil {
				faults = append(faults, fmt.Sprintf("%s: %v", line, err))
			}
		})
	}
	w.Run(last + time.Millisecond)
	if len(w.Broken) == 0 {
		faults = append(faults, w.served()...)
	}
	return append(faults, w.Broken...)
}

// expect checks "JOB WHAT..." or something about the world as a whole.
func (w *World) expect(args []string) error {
	if what, known, err := w.expectWorld(args[0]); known {
		if err != nil {
			return fmt.Errorf("want %s: %w", what, err)
		}
		return nil
	}
	u := w.users[args[0]]
	if u == nil {
		return fmt.Errorf("no such job")
	}
	for _, what := range args[1:] {
		if err := w.expectOne(u, what); err != nil {
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
func (w *World) counts() map[string]int {
	seconds := max(1, int((w.now - w.meter.since).Seconds()))
	return map[string]int{
		"machines":         len(w.up()),
		"returned":         w.cloud.returns,
		"waiting":          w.cloud.booting(),
		"leaders":          w.store.leaders,
		"claims":           w.store.claims,
		"refused":          w.meter.refused,
		"looks_per_report": int(w.work()-w.meter.work) / max(1, w.meter.reports),
		"bytes_per_s":      w.meter.bytes / seconds,
		"late_starts":      w.lateStarts,
		"more_keys":        w.store.moreKeys(),
		"admitted":         w.accounting.admissions,
		"shares":           w.accounting.openShares(),
		"early":            w.takeovers.early(),
		"takeover_ms":      int(w.takeovers.slowest().Milliseconds()),
		"heartbeats":       w.takeovers.heartbeats,
	}
}

// bounded checks NAME<=N and NAME>=N. It tells whether there is such a count.
func (w *World) bounded(what string) (known bool, err error) {
	name, limit, atMost := strings.Cut(what, "<=")
	if !atMost {
		name, limit, known = strings.Cut(what, ">=")
		if !known {
			return false, nil
		}
	}
	got, known := w.counts()[name]
	if !known {
		return false, nil
	}
	bound, err := strconv.Atoi(limit)
	if err == nil && (atMost && got > bound || !atMost && got < bound) {
		err = fmt.Errorf("got %d", got)
	}
	return true, err
}

// expectWorld checks counts, unhealthy=0 and unresponsive=0 machines, and
// owner=PART:CONTROLLER|CONTROLLER.
func (w *World) expectWorld(what string) (string, bool, error) {
	if known, err := w.bounded(what); known {
		return what, true, err
	}
	holds, got := false, any(nil)
	if v, ok := strings.CutPrefix(what, "owner="); ok {
		part, owner, _ := strings.Cut(v, ":")
		holds, got = slices.Contains(strings.Split(owner, "|"), w.owner(part)), w.owner(part)
	} else if what == "deaf=0" {
		deaf := w.countUp(func(k *workerSim) bool { return k.deafTo > w.now })
		holds, got = deaf == 0, deaf
	} else if what == "sick=0" {
		sick := w.countUp(func(k *workerSim) bool { return k.sick })
		holds, got = sick == 0, sick
	} else {
		return what, false, nil
	}
	if !holds {
		return what, true, fmt.Errorf("got %v", got)
	}
	return what, true, nil
}

// countUp counts the machines that are up and like this.
func (w *World) countUp(like func(*workerSim) bool) int {
	count := 0
	for _, k := range w.up() {
		if like(k) {
			count++
		}
	}
	return count
}

// owner names the controller whose claim of a shard stands.
func (w *World) owner(part string) string {
	k := w.store.keys[wire.ShardKey(part)]
	if k == nil {
		return ""
	}
	return decode(wire.ShardKey(part), k.raw).(*wire.Shard).Owner
}

func (w *World) expectOne(u *userSim, what string) error {
	count := 0
	zones, hosts := map[string]bool{}, map[string]bool{}
	w.present(func(k *workerSim, t *taskSim) {
		if t.u == u {
			zones[k.m.Zone], hosts[k.m.Name] = true, true
			if t.state == wire.TaskRunning {
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
		if k == "starts" && w.Starts[u.spec.ID] > number(v) {
			return bad(w.Starts[u.spec.ID])
		}
		if k == "begun" && (u.begun == 0 || u.begun > secs(float64(number(v)))) {
			return bad(u.begun)
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
		if len(u.codes) == 0 || u.codes[len(u.codes)-1] != number(v) {
			return bad(u.codes)
		}
	case pair:
		return fmt.Errorf("unknown expectation")
	default:
		if u.status.Status != what {
			return bad(u.status.Status)
		}
	}
	return nil
}
