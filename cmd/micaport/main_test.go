package main

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// validSettings is the settings file of a single controller whose services can't be reached.
const validSettings = `{"label":"n0","site":"a","bind":"127.0.0.1:0","cluster_listen":"127.0.0.1:1","peers":[],
"external":{"cloud":"127.0.0.1:2","state":"127.0.0.1:3"},
"deployment":{"zones":["a"],"teams":[{"name":"red","gpus":4,"gpus_max":8}],
"workers":{"report_s":3,"lease_s":30,"gang_wait_s":35,"gang_peer_s":8,"cancel_s":55},
"state":{"rps":250,"write_rps":20,"value_kb":8,"txn_ops":12},"cloud":{"rps":2,"list_lag_s":4}}}`

// writeFile writes a temporary file and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// All violations in the command line and the files are reported by the error of run.
func TestCommandLine(t *testing.T) {
	settings := writeFile(t, "settings.json", validSettings)
	bad := writeFile(t, "bad.json", strings.ReplaceAll(strings.Replace(validSettings, `"site":"a"`, `"site":"x"`, 1), `"gpus_max":8`, `"gpus_max":2`))
	operator := writeFile(t, "operator.ini", "[quota]\nadmission = guaranteed\n")
	badOperator := writeFile(t, "bad.ini", "[quota]\nadmission = always\nshare = 3\n[limits]\nx = 1\n")
	changes := writeFile(t, "changes.ini", "[red]\nversion = 0\ngpus_max = 10\n")
	badChanges := writeFile(t, "bad-changes.ini", "[red]\ngpus_max = many\nspeed = 3\n")
	shortLease := writeFile(t, "short.json", strings.Replace(validSettings, `"lease_s":30`, `"lease_s":9`, 1))
	cases := []struct {
		args       []string
		wantOutput string   // part of the output of a run that succeeds
		wantErrors []string // parts of the error of a run that fails
	}{
		{args: []string{"--config", settings, "--operator", operator, "--check"}, wantOutput: "settings are in order"},
		{args: []string{"--config", settings, "--set", "quota.admission=leaderless", "--check"}, wantOutput: "settings are in order"},
		{args: []string{"--config", settings, "--set", "quota.admission=x", "--set", "speed=1", "--check"}, wantErrors: []string{"admission must be", `"speed" is not SECTION.NAME`}},
		{args: []string{"--config", settings, "--set", "standby.takeover=early", "--check"}, wantOutput: "settings are in order"},
		{args: []string{"--config", settings, "--set", "standby.takeover=soon", "--check"}, wantErrors: []string{`takeover must be lease or early, not "soon"`}},
		{args: []string{"--config", shortLease, "--set", "standby.takeover=early", "--check"}, wantErrors: []string{"takeover = early needs workers.lease_s above 9.5s, not 9s"}},
		{args: []string{"--config", shortLease, "--check"}, wantOutput: "settings are in order"},
		{args: []string{"--config", settings, "standby", "show"}, wantOutput: "the last takeovers can't be read"},
		{args: []string{"--config", settings, "standby", "show", "--json"}, wantOutput: `"fault": "dial tcp`},
		{args: []string{"--check"}, wantErrors: []string{"--config FILE is required"}},
		{args: []string{"--config", settings + ".none", "--check"}, wantErrors: []string{"no such file"}},
		{args: []string{"--config", changes, "--check"}, wantErrors: []string{"invalid character"}},
		{args: []string{"--config", bad, "--operator", badOperator, "--check"},
			wantErrors: []string{`site "x"`, "guarantee exceeds the limit", "admission must be", "unknown setting share", "unknown section [limits]"}},
		{args: []string{"--unknown"}, wantErrors: []string{"unknown flag"}},
		{args: []string{"--config", settings, "limits", "apply", badChanges}, wantErrors: []string{"gpus_max", "unknown setting speed", "version is missing"}},
		{args: []string{"--config", settings, "limits", "apply", changes, "--check"}, wantErrors: []string{"state service can't be reached"}},
		{args: []string{"--config", settings, "limits", "show"}, wantErrors: []string{"state service can't be reached"}},
	}
	for _, test := range cases {
		var out bytes.Buffer
		err := run(t.Context(), test.args, &out)
		if len(test.wantErrors) == 0 {
			if err != nil || !strings.Contains(out.String(), test.wantOutput) {
				t.Errorf("%v: got %q, %v, want %q", test.args, out.String(), err, test.wantOutput)
			}
			continue
		}
		for _, want := range test.wantErrors {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v: error %v does not contain %q", test.args, err, want)
			}
		}
	}
}

// The command lines of the files under deploy are valid.
func TestDeployFiles(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("%v, %v", files, err)
	}
	line := regexp.MustCompile(`(?m)^run = "target/micaport (.*--config)"$`)
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		found := line.FindSubmatch(text)
		if found == nil {
			t.Errorf("%s: no run line", path)
			continue
		}
		args := append(strings.Fields(string(found[1])), writeFile(t, "settings.json", validSettings), "--check")
		if err := run(t.Context(), args, io.Discard); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}
