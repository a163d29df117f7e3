package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"golang.org/x/tools/txtar"
)

// scenario is a parsed scenario. Its file is a txtar archive with a comment that describes
// the failure that the scenario guards against, and the sections
//
//	-- world --   settings, one "NAME VALUE..." per line
//	-- script --  "at SECONDS COMMAND ARGUMENTS" lines, in any order
//	-- seeds --   the number of seeds to run the scenario with; 1 if absent
//
// commandGroups returns the commands of scripts.
type scenario struct {
	settings Settings
	script   string
	seeds    int
}

// parseScenario parses the sections of a scenario.
func parseScenario(archive *txtar.Archive) (*scenario, error) {
	parsed := &scenario{settings: Defaults(), seeds: 1}
	for _, section := range archive.Files {
		var err error
		switch section.Name {
		case "world":
			err = parsed.settings.parse(string(section.Data))
		case "script":
			parsed.script = string(section.Data)
		case "seeds":
			parsed.seeds, err = strconv.Atoi(strings.TrimSpace(string(section.Data)))
		default:
			return nil, fmt.Errorf("unknown section %s", section.Name)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", section.Name, err)
		}
	}
	return parsed, nil
}

// RunScenario runs a scenario with each of its seeds and returns the faults of the first seed
// that has any: failed expectations and violated rules. Logf receives the controllers' log
// lines.
func RunScenario(archive *txtar.Archive, logf func(format string, args ...any)) []string {
	return runScenario(archive, logf, nil)
}

// runScenario implements RunScenario. If observe is not nil, it returns the observer for a
// seed.
func runScenario(archive *txtar.Archive, logf func(format string, args ...any), observe func(seed int) effectObserver) []string {
	parsed, err := parseScenario(archive)
	if err != nil {
		return []string{err.Error()}
	}
	for seed := 1; seed <= parsed.seeds; seed++ {
		settings := parsed.settings
		settings.Seed = uint64(seed)
		sim := newSimulation(settings, logf)
		if observe != nil {
			sim.observe = observe(seed)
		}
		sim.start()
		if faults := sim.runScript(parsed.script); len(faults) > 0 {
			return append([]string{fmt.Sprintf("seed %d:", seed)}, faults...)
		}
	}
	return nil
}

// numericSettings returns the setters of the settings with a numeric value, by their name
// in scenarios.
func (s *Settings) numericSettings() map[string]func(float64) {
	integer := func(field *int) func(float64) { return func(x float64) { *field = int(x) } }
	decimal := func(field *float64) func(float64) { return func(x float64) { *field = x } }
	duration := func(field *time.Duration) func(float64) { return func(x float64) { *field = seconds(x) } }
	return map[string]func(float64){
		"capacity":         integer(&s.Capacity),
		"machine_types":    integer(&s.MachineTypes),
		"write_rps":        decimal(&s.WriteRPS),
		"boot_s":           duration(&s.BootTime),
		"report_s":         duration(&s.HeartbeatInterval),
		"lease_s":          duration(&s.WorkerLease),
		"cancel_s":         duration(&s.CancelDeadline),
		"idle_s":           duration(&s.IdleTimeout),
		"txn_ops":          integer(&s.MaxTransactionOps),
		"value_bytes":      integer(&s.MaxValueBytes),
		"next_write_rps":   decimal(&s.NextWriteRPS),
		"next_txn_ops":     integer(&s.NextMaxTransactionOps),
		"next_value_bytes": integer(&s.NextMaxValueBytes),
		"old_format":       integer(&s.OldFormat),
		"admission":        integer((*int)(&s.Admission)),
		"early_takeover":   func(x float64) { s.EarlyTakeover = x > 0 },
	}
}

// parse applies the settings of a scenario's world section.
func (s *Settings) parse(text string) error {
	numeric := s.numericSettings()
	for _, line := range scriptLines(text) {
		words := strings.Fields(line)
		if len(words) < 2 {
			return fmt.Errorf("bad line %q", line)
		}
		name, values := words[0], words[1:]
		switch set := numeric[name]; {
		case name == "nodes":
			s.ControllerZones = values
		case name == "zones":
			s.Zones = values
		case set != nil:
			x, err := strconv.ParseFloat(values[0], 64)
			if err != nil {
				return fmt.Errorf("bad number in %q: %w", line, err)
			}
			set(x)
		default:
			return fmt.Errorf("unknown setting %s", name)
		}
	}
	return nil
}
