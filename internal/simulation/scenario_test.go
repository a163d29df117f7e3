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

// discardLog takes the controllers' log lines where a test does not want them.
func discardLog(string, ...any) {}

// readScenario reads a scenario by its file.
func readScenario(t *testing.T, file string) *txtar.Archive {
	t.Helper()
	archive, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return archive
}

// TestScenarios runs every scenario, each of which says what it guards against.
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
				t.Error("the scenario does not say what it guards against")
			}
			logf := discardLog
			if testing.Verbose() {
				logf = t.Logf
			}
			for _, fault := range Play(archive, logf) {
				t.Error(fault)
			}
		})
	}
}

// TestFaultCombinationsHaveScenarios: the design's table of faults that coincide names
// scenarios that exist, and lists each of the operators' 25 combinations and bad input.
func TestFaultCombinationsHaveScenarios(t *testing.T) {
	const combinations = 26
	text, err := os.ReadFile("../../docs/design.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(text), "| meeting | scenarios |\n| --- | --- |\n")
	if !found {
		t.Fatal("the design has no table of meetings")
	}
	table, _, _ = strings.Cut(table, "\n\n")
	rows := strings.Split(strings.TrimSpace(table), "\n")
	if len(rows) != combinations {
		t.Errorf("%d combinations are listed, not %d", len(rows), combinations)
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

// TestOneTaskJobsAreAcceptedAtOnce: while one-task jobs are submitted four a second and
// writes are few, acceptances are written first. With all writes for admissions and ends a
// submission waited for a second.
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
