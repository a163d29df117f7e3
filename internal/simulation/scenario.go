package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"golang.org/x/tools/txtar"
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
