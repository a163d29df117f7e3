package wire

import (
	"errors"
	"reflect"
	"testing"
)

// submission returns the body of a valid submission in which some fields have other values.
func submission(t *testing.T, changes map[string]any) []byte {
	t.Helper()
	fields := map[string]any{
		"ref": "wk-000412", "job_class": "train", "studio": "vision", "shape": "gang", "urgency": "high", "frames": 16,
		"cores": 8.0, "cards": 1.0, "memory_gb": 64.0, "toolkit": "img-07", "size_gb": 6.2, "rigs": []string{"g8"},
		"hall": nil, "same_place": true, "spread": false, "loaner": true, "expected_s": 240.0,
		"snapshot_every_s": 30.0, "snapshot_s": 4.0, "due_s": 900.0, "unknown": "ignored",
	}
	for name, value := range changes {
		if fields[name] = value; value == absent {
			delete(fields, name)
		}
	}
	return mustEncode(t, fields)
}

// absent marks a field that is omitted from a submission.
const absent = "(absent)"

func mustEncode(t *testing.T, v any) []byte {
	t.Helper()
	raw, err := Encode(v)
	if err != nil {
		t.Fatalf("encode %T: %v", v, err)
	}
	return raw
}

func TestParseJobSpec(t *testing.T) {
	jobID, spec, err := ParseJobSpec(submission(t, nil))
	if err != nil {
		t.Fatalf("a valid submission is refused: %v", err)
	}
	want := &JobSpec{ID: "wk-000412", Class: "train", Team: "vision", Shape: ShapeGang, Priority: "high", TaskCount: 16,
		Cores: 8, GPUs: 1, MemoryGB: 64, Image: "img-07", ImageGB: 6.2, MachineTypes: []string{"g8"},
		SameZone: true, AllowSpot: true, ExpectedS: 240, CheckpointIntervalS: 30, CheckpointTimeS: 4, DeadlineS: 900}
	if jobID != "wk-000412" || !reflect.DeepEqual(spec, want) {
		t.Errorf("got %q, %+v, want %+v", jobID, spec, want)
	}
}

// Fields that may be null may be absent. An empty list of machine types allows no type.
func TestParseJobSpecOptionalFields(t *testing.T) {
	for _, c := range []struct {
		name           string
		changes        map[string]any
		noMachineTypes bool
	}{
		{"absent", map[string]any{"rigs": absent, "hall": absent, "due_s": absent}, false},
		{"null", map[string]any{"rigs": nil, "hall": nil, "due_s": nil}, false},
		{"no machine types", map[string]any{"rigs": []string{}, "due_s": nil}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, spec, err := ParseJobSpec(submission(t, c.changes))
			if err != nil {
				t.Fatalf("refused: %v", err)
			}
			if spec.MachineTypes != nil || spec.Zone != "" || spec.DeadlineS != 0 || spec.NoMachineTypes != c.noMachineTypes {
				t.Errorf("got %+v", spec)
			}
		})
	}
}

// Dependencies may be null or empty, and duplicates are removed.
func TestParseDependencies(t *testing.T) {
	for _, c := range []struct {
		name  string
		given any
		want  []string
	}{
		{"null", nil, nil},
		{"empty", []string{}, nil},
		{"repeated", []string{"wk-000009", "wk-000003", "wk-000009"}, []string{"wk-000003", "wk-000009"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, spec, err := ParseJobSpec(submission(t, map[string]any{"waits_on": c.given}))
			if err != nil || !reflect.DeepEqual(spec.Dependencies, c.want) {
				t.Errorf("got %+v, %v, want dependencies %v", spec, err, c.want)
			}
		})
	}
}

// The error names the invalid field. The job ID is returned too, as the response to a repeated
// submission of a known job does not depend on its other fields.
func TestParseJobSpecInvalidField(t *testing.T) {
	for _, c := range []struct {
		name, field string
		value       any
	}{
		{"dependencies are text", "waits_on", "wk-000003"},
		{"dependency is a number", "waits_on", []any{"wk-000003", 7}},
		{"dependency is no job ID", "waits_on", []string{"wk-3", "job-4"}},
		{"no task count", "frames", absent},
		{"no tasks", "frames", 0},
		{"too many tasks", "frames", 100_001}, // the limit is part of the protocol, so the test does not derive it from MaxTasks
		{"task count is text", "frames", "3"},
		{"task count is a fraction", "frames", 2.5},
		{"task count is a double", "frames", 3.0},
		{"negative quantity", "cores", -1.0},
		{"unknown shape", "shape", "heap"},
		{"priority is null", "urgency", nil},
		{"flag is text", "spread", "no"},
		{"machine types are text", "rigs", "g8"},
		{"machine types are numbers", "rigs", []int{8}},
		{"zone is a number", "hall", 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			jobID, spec, err := ParseJobSpec(submission(t, map[string]any{c.field: c.value}))
			if err == nil || spec != nil || jobID != "wk-000412" {
				t.Errorf("got %q, %+v, %v", jobID, spec, err)
			}
			if invalid, isFieldError := errors.AsType[*FieldError](err); !isFieldError || invalid.Field != c.field {
				t.Errorf("error %v does not name the field %s", err, c.field)
			}
		})
	}
}

func TestParseJobSpecInvalidBody(t *testing.T) {
	for _, c := range []struct {
		name string
		body []byte
		want error
	}{
		{"empty", []byte{}, ErrNotAMap},
		{"a list", []byte{0x91, 0x01}, ErrNotAMap},
		{"a truncated map", []byte{0x8f, 0xa3}, ErrNotAMap},
		{"null", []byte{0xc0}, ErrNotAMap},
		{"malformed job ID", submission(t, map[string]any{"ref": "wk-"}), ErrNoJobID},
		{"no job ID", submission(t, map[string]any{"ref": absent}), ErrNoJobID},
	} {
		t.Run(c.name, func(t *testing.T) {
			if jobID, spec, err := ParseJobSpec(c.body); !errors.Is(err, c.want) || jobID != "" || spec != nil {
				t.Errorf("got %q, %+v, %v, want %v", jobID, spec, err, c.want)
			}
		})
	}
}
