package simulation

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
)

// discardLog discards the controllers' log lines.
func discardLog(string, ...any) {}

// readScenario reads a scenario from a file.
func readScenario(t *testing.T, file string) *txtar.Archive {
	t.Helper()
	archive, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return archive
}

// TestScenarios runs every scenario. Each must have a comment that describes the failure
// that it guards against.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(scenarioDir, "*.txt"))
	if err != nil || len(files) < 10 {
		t.Fatalf("%d scenarios found, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(scenarioName(file), func(t *testing.T) {
			t.Parallel()
			archive := readScenario(t, file)
			if len(strings.TrimSpace(string(archive.Comment))) == 0 {
				t.Error("the scenario has no comment on the failure that it guards against")
			}
			logf := discardLog
			if testing.Verbose() {
				logf = t.Logf
			}
			for _, fault := range RunScenario(archive, logf) {
				t.Error(fault)
			}
		})
	}
}

// TestFaultCombinationsHaveScenarios checks the table of coinciding faults in the design
// document: it has a row for each of the operators' 25 combinations and one for bad input,
// and the scenarios that it names exist.
func TestFaultCombinationsHaveScenarios(t *testing.T) {
	const combinations = 26
	text, err := os.ReadFile("../../docs/design.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(text), "| meeting | scenarios |\n| --- | --- |\n")
	if !found {
		t.Fatal("the design document has no table of coinciding faults")
	}
	table, _, _ = strings.Cut(table, "\n\n")
	rows := strings.Split(strings.TrimSpace(table), "\n")
	if len(rows) != combinations {
		t.Errorf("got %d combinations, want %d", len(rows), combinations)
	}
	validName := regexp.MustCompile(`^[a-z-]+$`)
	for _, row := range rows {
		cells := strings.Split(strings.Trim(row, "| "), " | ")
		if len(cells) != 2 {
			t.Errorf("bad row %q", row)
			continue
		}
		for _, name := range strings.Split(cells[1], ", ") {
			if _, err := os.Stat(filepath.Join(scenarioDir, name+".txt")); !validName.MatchString(name) || err != nil {
				t.Errorf("%s: no scenario %q", cells[0], name)
			}
		}
	}
}

// TestOneTaskJobsAreAcceptedAtOnce checks that acceptances are written before other records
// while four one-task jobs are submitted per second and writes are scarce. When all writes
// were used for admissions and ended tasks, a submission waited for a second.
func TestOneTaskJobsAreAcceptedAtOnce(t *testing.T) {
	parsed, err := parseScenario(readScenario(t, filepath.Join(scenarioDir, "one-task-jobs.txt")))
	if err != nil {
		t.Fatal(err)
	}
	sim := New(parsed.settings, discardLog)
	slowest := time.Duration(0)
	sim.every(50*time.Millisecond, func() {
		for _, user := range sim.users.ordered {
			// The first machines boot until 30 s, and the leader crashes at 70 s.
			if !user.accepted && user.submittedAt > 30*time.Second && sim.now < 70*time.Second {
				slowest = max(slowest, sim.now-user.submittedAt)
			}
		}
	})
	if faults := sim.runScript(parsed.script); len(faults) > 0 {
		t.Fatal(faults)
	}
	if slowest > 500*time.Millisecond {
		t.Errorf("a job was accepted after %v, want 500 ms at most", slowest)
	}
}
