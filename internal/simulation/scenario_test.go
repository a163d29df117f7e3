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

// TestScenarios plays every scenario.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("../../testdata/scenarios/*.txt")
	if err != nil || len(files) < 10 {
		t.Fatalf("%d scenarios found, %v", len(files), err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			a, err := txtar.ParseFile(f)
			if err != nil {
				t.Fatal(err)
			}
			if len(strings.TrimSpace(string(a.Comment))) == 0 {
				t.Error("the scenario does not say what it guards against")
			}
			trace := func(string, ...any) {}
			if testing.Verbose() {
				trace = t.Logf
			}
			for _, fault := range Play(a, trace) {
				t.Error(fault)
			}
		})
	}
}

// TestEachMeetingHasItsScenario: the table of meetings of troubles in the design
// names scenarios that are there, and each of the operators' 25 meetings, and bad
// input, has one.
func TestEachMeetingHasItsScenario(t *testing.T) {
	text, err := os.ReadFile("../../docs/design.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(text), "| meeting | scenarios |\n| --- | --- |\n")
	if !found {
		t.Fatal("the design has no table of meetings")
	}
	table, _, _ = strings.Cut(table, "\n\n")
	name := regexp.MustCompile(`^[a-z-]+$`)
	rows := strings.Split(strings.TrimSpace(table), "\n")
	if len(rows) != 26 {
		t.Errorf("%d meetings are listed, not 26", len(rows))
	}
	for _, row := range rows {
		cells := strings.Split(strings.Trim(row, "| "), " | ")
		if len(cells) != 2 {
			t.Errorf("bad row %q", row)
			continue
		}
		for _, s := range strings.Split(cells[1], ", ") {
			if _, err := os.Stat("../../testdata/scenarios/" + s + ".txt"); !name.MatchString(s) || err != nil {
				t.Errorf("%s: no scenario %q", cells[0], s)
			}
		}
	}
}

// While one-task jobs come four a second and puts are few, acceptances get theirs
// first: with all puts for grants and ends a submission waited for a second.
func TestOneTaskJobsAreAcceptedAtOnce(t *testing.T) {
	a, err := txtar.ParseFile("../../testdata/scenarios/one-task-jobs.txt")
	if err != nil {
		t.Fatal(err)
	}
	s := Defaults()
	script := ""
	for _, f := range a.Files {
		switch f.Name {
		case "world":
			if err := s.parse(string(f.Data)); err != nil {
				t.Fatal(err)
			}
		case "script":
			script = string(f.Data)
		}
	}
	sim := New(s, func(string, ...any) {})
	slowest := time.Duration(0)
	sim.every(50*time.Millisecond, func() {
		for _, user := range sim.users.ordered {
			// Until the leader ends, at 70 s; the first machines boot until 30 s.
			if !user.accepted && user.submittedAt > 30*time.Second && sim.now < 70*time.Second {
				slowest = max(slowest, sim.now-user.submittedAt)
			}
		}
	})
	if faults := sim.runScript(script); len(faults) > 0 {
		t.Fatal(faults)
	}
	if slowest > 500*time.Millisecond {
		t.Errorf("a job was accepted after %v", slowest)
	}
}
