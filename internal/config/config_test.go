package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const sound = `{"label":"n0","site":"a","bind":"127.0.0.1:1","cluster_listen":"127.0.0.1:2",
 "peers":[{"label":"n1","site":"b","address":"127.0.0.1:3"}],
 "external":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"}, "new_field":true,
 "deployment":{"size":2,"zones":["a","b"],"teams":[{"name":"red","gpus":4,"gpus_max":8}],
  "workers":{"report_s":3,"lease_s":30,"gang_wait_s":35,"gang_peer_s":8,"cancel_s":55},
  "state":{"rps":250,"write_rps":20,"value_kb":8,"txn_ops":12},"cloud":{"rps":2,"list_lag_s":4},
  "limits":{"core_share":0.1,"mem_mb":125,"fd_limit":1200},"clock_error_ms":1000}}`

func write(t *testing.T, name, text string) string {
	t.Helper()
	p := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

func TestSoundSettings(t *testing.T) {
	s, err := Load(write(t, "s.json", sound))
	if err != nil {
		t.Fatal(err)
	}
	w := s.Deployment.Workers
	lease, cancel := Seconds(w.LeaseS), Seconds(w.CancelS)
	if v := s.Validity(); v <= 0 || v+lease+Margin(lease) >= cancel {
		t.Errorf("validity %v, a worker lease of %v and the margin reach cancel_s %v", v, lease, cancel)
	}
}

// All sockets together stay within the limit, and nearly all are for users and
// workers, as one controller may have to serve the workers of all.
func TestSockets(t *testing.T) {
	s, err := Load(write(t, "s.json", strings.Replace(sound, "1200", "3389", 1)))
	if err != nil {
		t.Fatal(err)
	}
	rest := s.PeerSockets() + CommandSockets + ownSockets + len(s.Peers)
	if public := s.PublicSockets(); public+rest > 3389 || public < 3200 {
		t.Errorf("%d sockets for users and workers, %d for the rest", public, rest)
	}
	// Few are a fault only when it can't serve at all.
	if _, err := Load(write(t, "s.json", strings.Replace(sound, "1200", "150", 1))); err != nil {
		t.Error(err)
	}
}

// Every fault is named at once, so that operators need not find them one by
// one.
func TestEveryFaultIsNamed(t *testing.T) {
	var m map[string]any
	if err := json.Unmarshal([]byte(sound), &m); err != nil {
		t.Fatal(err)
	}
	m["label"] = ""
	m["bind"] = "nowhere"
	d := m["deployment"].(map[string]any)
	d["size"] = 5
	d["zones"] = []string{"b"}
	d["workers"].(map[string]any)["cancel_s"] = 31
	d["teams"].([]any)[0].(map[string]any)["gpus"] = 9
	d["state"].(map[string]any)["rps"] = 0
	d["limits"] = map[string]any{"mem_mb": 8, "fd_limit": 40}
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	_, err = Load(write(t, "s.json", string(b)))
	if err == nil {
		t.Fatal("faulty settings were taken")
	}
	for _, want := range []string{"label is missing", "bind", "size is 5", `site "a"`, "cancel_s", "team red", "state.rps", "fd_limit", "mem_mb"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not named in:\n%v", want, err)
		}
	}
}

func TestOperatorSettings(t *testing.T) {
	op, err := LoadOperator(write(t, "o.ini", "[placement]\nidle_return_s = 90\npreempt = false\n"), nil)
	if err != nil || op.IdleReturnS != 90 || op.Preempt || op.SpareMachines != DefaultOperator().SpareMachines {
		t.Errorf("got %+v, %v", op, err)
	}
	for _, bad := range []string{"[placement]\nidle = 3\n", "[other]\nx = 1\n", "[placement]\nidle_return_s = soon\n", "[placement]\nspare_machines = -1\n"} {
		if op, err := LoadOperator(write(t, "o.ini", bad), nil); err == nil {
			t.Errorf("%q was taken as %+v", bad, op)
		}
	}
}

// The limits that hold at all times are the smaller of those now and those to come,
// each of which may be left out; faults in them are named.
func TestNextLimits(t *testing.T) {
	load := func(next string) (*Settings, error) {
		return Load(write(t, "s.json", strings.Replace(sound, `"txn_ops":12}`, `"txn_ops":12,"next":`+next+`}`, 1)))
	}
	for next, want := range map[string]Limits{
		`{}`:                             {250, 20, 8192, 12},
		`{"value_kb":2.0}`:               {250, 20, 2048, 12},
		`{"write_rps":15.0,"txn_ops":4}`: {250, 15, 8192, 4},
		`{"rps":300,"write_rps":30,"value_kb":16,"txn_ops":16}`: {250, 20, 8192, 12},
	} {
		s, err := load(next)
		if err != nil || s.Limits() != want {
			t.Errorf("%s: got %+v, %v", next, s.Limits(), err)
		}
	}
	for _, bad := range []string{`{"value_kb":0}`, `{"txn_ops":1}`, `{"write_rps":-1}`, `{"value_kb":0.5}`} {
		if _, err := load(bad); err == nil || !strings.Contains(err.Error(), "state") {
			t.Errorf("%s: %v", bad, err)
		}
	}
}
