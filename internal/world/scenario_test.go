package world

import (
	"path/filepath"
	"strings"
	"testing"

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
