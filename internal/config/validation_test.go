package config

import (
	"encoding/json"
	"strings"
	"testing"
)

// One error reports all violations, so that operators can fix them at once.
func TestEveryViolationIsReported(t *testing.T) {
	var settings map[string]any
	if err := json.Unmarshal([]byte(validSettings), &settings); err != nil {
		t.Fatal(err)
	}
	settings["label"] = ""
	settings["bind"] = "nowhere"
	deployment := settings["deployment"].(map[string]any)
	deployment["size"] = 5
	deployment["zones"] = []string{"b"}
	deployment["workers"].(map[string]any)["cancel_s"] = 31
	deployment["teams"].([]any)[0].(map[string]any)["gpus"] = 9
	deployment["state"].(map[string]any)["rps"] = 0
	deployment["limits"] = map[string]any{"mem_mb": 8, "fd_limit": 40}
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	_, err = loadSettings(t, string(text))
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, want := range []string{"label is missing", "bind", "size is 5", `site "a"`, "cancel_s", "team red", "state.rps", "fd_limit", "mem_mb"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not reported in:\n%v", want, err)
		}
	}
}
