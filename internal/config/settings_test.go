package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// validSettings is a settings file without violations. "new_field" is a field that Settings
// does not have.
const validSettings = `{"label":"n0","site":"a","bind":"127.0.0.1:1","cluster_listen":"127.0.0.1:2",
 "peers":[{"label":"n1","site":"b","address":"127.0.0.1:3"}],
 "external":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"}, "new_field":true,
 "deployment":{"size":2,"zones":["a","b"],"teams":[{"name":"red","gpus":4,"gpus_max":8}],
  "workers":{"report_s":3,"lease_s":30,"gang_wait_s":35,"gang_peer_s":8,"cancel_s":55},
  "state":{"rps":250,"write_rps":20,"value_kb":8,"txn_ops":12},"cloud":{"rps":2,"list_lag_s":4},
  "limits":{"core_share":0.1,"mem_mb":125,"fd_limit":1200},"clock_error_ms":1000}}`

// writeFile writes a temporary file and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatalf("write %s: %v", name, err)
	}
	return path
}

// loadSettings loads settings from a file with the given text.
func loadSettings(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	return Load(writeFile(t, "settings.json", text))
}

func TestValidSettings(t *testing.T) {
	settings, err := loadSettings(t, validSettings)
	if err != nil {
		t.Fatal(err)
	}
	workers := &settings.Deployment.Workers
	lease, cancel := Seconds(workers.LeaseS), Seconds(workers.CancelS)
	if validity := settings.Validity(); validity <= 0 || validity+lease+ClockMargin(lease) >= cancel {
		t.Errorf("validity %v, a worker lease of %v and the margin reach cancel_s %v", validity, lease, cancel)
	}
}

// StateLimits returns the smaller of the current and the next limits. Each next limit may be
// absent; an invalid one is reported.
func TestNextStateLimits(t *testing.T) {
	load := func(next string) (*Settings, error) {
		t.Helper()
		return loadSettings(t, strings.Replace(validSettings, `"txn_ops":12}`, `"txn_ops":12,"next":`+next+`}`, 1))
	}
	for next, want := range map[string]StateLimits{
		`{}`:                             {250, 20, 8192, 12},
		`{"value_kb":2.0}`:               {250, 20, 2048, 12},
		`{"write_rps":15.0,"txn_ops":4}`: {250, 15, 8192, 4},
		`{"rps":300,"write_rps":30,"value_kb":16,"txn_ops":16}`: {250, 20, 8192, 12},
	} {
		settings, err := load(next)
		if err != nil {
			t.Errorf("next limits %s: %v", next, err)
			continue
		}
		if got := settings.StateLimits(); got != want {
			t.Errorf("next limits %s: got %+v, want %+v", next, got, want)
		}
	}
	for _, bad := range []string{`{"value_kb":0}`, `{"txn_ops":1}`, `{"write_rps":-1}`, `{"value_kb":0.5}`} {
		if _, err := load(bad); err == nil || !strings.Contains(err.Error(), "state") {
			t.Errorf("next limits %s: error %v does not name the state service", bad, err)
		}
	}
}
