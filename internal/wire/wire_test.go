package wire

import (
	"reflect"
	"testing"
)

func body(t *testing.T, change func(map[string]any)) []byte {
	t.Helper()
	m := map[string]any{
		"ref": "wk-000412", "job_class": "train", "studio": "vision", "shape": "gang", "urgency": "high", "frames": 16,
		"cores": 8.0, "cards": 1.0, "memory_gb": 64.0, "toolkit": "img-07", "size_gb": 6.2, "rigs": []string{"g8"},
		"hall": nil, "same_place": true, "spread": false, "loaner": true, "expected_s": 240.0,
		"snapshot_every_s": 30.0, "snapshot_s": 4.0, "due_s": 900.0, "unknown": "ignored",
	}
	change(m)
	b, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestParseSpec(t *testing.T) {
	ref, s, err := ParseJobSpec(body(t, func(map[string]any) {}))
	if err != nil || ref != "wk-000412" || s.TaskCount != 16 || s.Cores != 8 || !s.SameZone || s.MachineTypes[0] != "g8" || s.DeadlineS != 900 {
		t.Errorf("got %q, %+v, %v", ref, s, err)
	}
	// What may be null may be left out.
	if _, s, err = ParseJobSpec(body(t, func(m map[string]any) { delete(m, "rigs"); delete(m, "hall"); m["due_s"] = nil })); err != nil || s.MachineTypes != nil {
		t.Errorf("got %+v, %v", s, err)
	}
}

// The jobs that one waits on may be left out, and each counts once.
func TestParseWaitsOn(t *testing.T) {
	for _, c := range []struct {
		given any
		want  []string
	}{{nil, nil}, {[]string{}, nil}, {[]string{"wk-000009", "wk-000003", "wk-000009"}, []string{"wk-000003", "wk-000009"}}} {
		_, s, err := ParseJobSpec(body(t, func(m map[string]any) { m["waits_on"] = c.given }))
		if err != nil || !reflect.DeepEqual(s.Dependencies, c.want) {
			t.Errorf("%v: got %+v, %v", c.given, s, err)
		}
	}
}

func TestParseSpecRefuses(t *testing.T) {
	for name, change := range map[string]func(map[string]any){
		"waits on text":   func(m map[string]any) { m["waits_on"] = "wk-000003" },
		"waits on number": func(m map[string]any) { m["waits_on"] = []any{"wk-000003", 7} },
		"waits on no id":  func(m map[string]any) { m["waits_on"] = []string{"wk-3", "job-4"} },
		"no frames":       func(m map[string]any) { delete(m, "frames") },
		"frames 0":        func(m map[string]any) { m["frames"] = 0 },
		"frames too many": func(m map[string]any) { m["frames"] = 100001 },
		"frames text":     func(m map[string]any) { m["frames"] = "3" },
		"frames decimal":  func(m map[string]any) { m["frames"] = 2.5 },
		"negative cores":  func(m map[string]any) { m["cores"] = -1.0 },
		"shape":           func(m map[string]any) { m["shape"] = "heap" },
		"urgency":         func(m map[string]any) { m["urgency"] = nil },
		"spread":          func(m map[string]any) { m["spread"] = "no" },
		"rigs text":       func(m map[string]any) { m["rigs"] = "g8" },
		"rigs of numbers": func(m map[string]any) { m["rigs"] = []int{8} },
		"hall":            func(m map[string]any) { m["hall"] = 3 },
	} {
		// The reference is still read: a known job is answered first.
		if ref, s, err := ParseJobSpec(body(t, change)); err == nil || s != nil || ref != "wk-000412" {
			t.Errorf("%s: got %q, %+v, %v", name, ref, s, err)
		}
	}
	for name, b := range map[string][]byte{
		"empty": {}, "a list": {0x91, 0x01}, "a broken map": {0x8f, 0xa3}, "null": {0xc0},
		"a bad ref": body(t, func(m map[string]any) { m["ref"] = "wk-" }),
		"no ref":    body(t, func(m map[string]any) { delete(m, "ref") }),
	} {
		if ref, _, err := ParseJobSpec(b); err == nil || ref != "" {
			t.Errorf("%s: got %q, %v", name, ref, err)
		}
	}
}

func TestRecordsSurviveEncoding(t *testing.T) {
	j := Job{Spec: &JobSpec{ID: "wk-1", TaskCount: 9}, TaskCount: 9, NextAttempt: 4, DoneTasks: TaskSet{{First: 0, End: 2}, {First: 5, End: 6}},
		ActiveTasks: []ActiveTask{{Task: 3, Attempt: 2, Shard: 1, Machine: "vm-1", Epoch: 4, Stop: StopPreempt}, {Task: 4, Attempt: 3}}}
	b, err := Encode(&j)
	if err != nil {
		t.Fatal(err)
	}
	var back Job
	if err := Decode(b, &back); err != nil || !reflect.DeepEqual(j, back) {
		t.Errorf("got %+v, %v", back, err)
	}
}

func TestSplitTask(t *testing.T) {
	if ref, n, err := SplitTaskName("wk-000412/3"); ref != "wk-000412" || n != 3 || err != nil {
		t.Errorf("got %q %d %v", ref, n, err)
	}
	for _, s := range []string{"wk-1", "wk-1/", "wk-1/x", "wk-1/-2"} {
		if _, _, err := SplitTaskName(s); err == nil {
			t.Errorf("%q was taken", s)
		}
	}
}
