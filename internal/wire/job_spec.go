package wire

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
)

// Limits on the fields of a submission.
const (
	// MaxTasks is the largest number of tasks of a job.
	MaxTasks = 100_000
	// maxTextBytes is the largest length of a name in bytes.
	maxTextBytes = 200
	// maxQuantity is the largest quantity, whatever its unit.
	maxQuantity = 1e12
)

// Errors that concern a submission as a whole; see FieldError for those that concern a field. Their
// texts are returned to users.
var (
	// ErrNotAMap is returned for a body that is not a MessagePack map.
	ErrNotAMap = errors.New("body is not a MessagePack map")
	// ErrNoJobID is returned for a body without a valid job ID.
	ErrNoJobID = errors.New("ref is missing or malformed")
)

// FieldError is returned for a field of a submission that is missing or invalid. Its text is
// returned to users.
type FieldError struct {
	Field string // name of the field on the wire
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s is missing or invalid", e.Field)
}

// ParseJobSpec parses the body of a submission. Unknown fields are ignored, and fields that may be
// null may be absent. The error is ErrNotAMap, ErrNoJobID or a FieldError for the first invalid
// field. With a FieldError the job ID is returned too, since the response to a repeated submission
// of a known job does not depend on its other fields.
func ParseJobSpec(body []byte) (jobID string, spec *JobSpec, err error) {
	fields, err := splitMap(body)
	if err != nil {
		return "", nil, ErrNotAMap
	}
	reader := fieldReader{fields: fields}
	jobID, isText := reader.value("ref").(string)
	if !isText || !ValidJobID(jobID) {
		return "", nil, ErrNoJobID
	}
	spec = reader.jobSpec(jobID)
	if reader.err != nil {
		return jobID, nil, reader.err
	}
	return jobID, spec, nil
}

// fieldReader reads the fields of a map, and decodes only those that are read. It records the error
// of the first field that is missing or invalid; the value that it returns for such a field must not
// be used.
type fieldReader struct {
	fields map[string][]byte // encoded values
	err    error
}

// jobSpec reads all fields of a submission but the job ID.
func (r *fieldReader) jobSpec(jobID string) *JobSpec {
	spec := &JobSpec{
		ID:                  jobID,
		Class:               r.text("job_class"),
		Team:                r.text("studio"),
		Shape:               r.oneOf("shape", ShapeArray, ShapeGang, ShapeDaemon),
		Priority:            r.oneOf("urgency", "critical", "high", "standard", "low"),
		TaskCount:           r.count("frames", 1, MaxTasks),
		Cores:               r.quantity("cores"),
		GPUs:                r.quantity("cards"),
		MemoryGB:            r.quantity("memory_gb"),
		Image:               r.text("toolkit"),
		ImageGB:             r.quantity("size_gb"),
		SameZone:            r.flag("same_place"),
		Spread:              r.flag("spread"),
		AllowSpot:           r.flag("loaner"),
		ExpectedS:           r.quantity("expected_s"),
		CheckpointIntervalS: r.quantity("snapshot_every_s"),
		CheckpointTimeS:     r.quantity("snapshot_s"),
	}
	if r.has("hall") {
		spec.Zone = r.text("hall")
	}
	if r.has("due_s") {
		spec.DeadlineS = r.quantity("due_s")
	}
	if r.has("rigs") {
		spec.MachineTypes = r.names("rigs")
		spec.NoMachineTypes = len(spec.MachineTypes) == 0
	}
	if r.has("waits_on") {
		spec.Dependencies = r.jobIDs("waits_on")
	}
	return spec
}

// reject records the error of a field unless an earlier field was invalid.
func (r *fieldReader) reject(field string) {
	if r.err == nil {
		r.err = &FieldError{Field: field}
	}
}

// value decodes a field. It returns nil if the field is absent or null, or can't be decoded, which
// makes the field invalid.
func (r *fieldReader) value(field string) any {
	encoded, isPresent := r.fields[field]
	if !isPresent {
		return nil
	}
	var value any
	if err := Decode(encoded, &value); err != nil {
		r.reject(field)
	}
	return value
}

// has reports whether a field is present and not null.
func (r *fieldReader) has(field string) bool { return r.value(field) != nil }

// text reads a name that is not empty.
func (r *fieldReader) text(field string) string {
	value, isText := r.value(field).(string)
	if !isText || value == "" || len(value) > maxTextBytes {
		r.reject(field)
	}
	return value
}

// oneOf reads one of the allowed names.
func (r *fieldReader) oneOf(field string, allowed ...string) string {
	value := r.text(field)
	if !slices.Contains(allowed, value) {
		r.reject(field)
	}
	return value
}

func (r *fieldReader) flag(field string) bool {
	value, isBool := r.value(field).(bool)
	if !isBool {
		r.reject(field)
	}
	return value
}

// quantity reads a number that is not negative.
func (r *fieldReader) quantity(field string) float64 {
	value, isNumber := toFloat64(r.value(field))
	if !isNumber || math.IsNaN(value) || value < 0 || value > maxQuantity {
		r.reject(field)
	}
	return value
}

// count reads an integer from low to high. A floating-point number is rejected even if its value
// is integral.
func (r *fieldReader) count(field string, low, high int) int {
	if _, isDouble := r.value(field).(float64); isDouble {
		r.reject(field)
	}
	value, isNumber := toFloat64(r.value(field))
	if !isNumber || value < float64(low) || value > float64(high) || value != math.Trunc(value) {
		r.reject(field)
		return 0
	}
	return int(value)
}

// list reads a list of any values.
func (r *fieldReader) list(field string) []any {
	values, isList := r.value(field).([]any)
	if !isList {
		r.reject(field)
	}
	return values
}

// names reads a list of names, which may be empty.
func (r *fieldReader) names(field string) []string {
	var names []string
	for _, value := range r.list(field) {
		name, isText := value.(string)
		if !isText || len(name) > maxTextBytes {
			r.reject(field)
		}
		names = append(names, name)
	}
	return names
}

// jobIDs reads a list of job IDs. The result is sorted and has no duplicates.
func (r *fieldReader) jobIDs(field string) []string {
	var jobIDs []string
	for _, value := range r.list(field) {
		jobID, isText := value.(string)
		if !isText || !ValidJobID(jobID) {
			r.reject(field)
			return nil
		}
		jobIDs = append(jobIDs, jobID)
	}
	slices.Sort(jobIDs)
	return slices.Compact(jobIDs)
}

// toFloat64 converts a value of any numeric type that the decoder returns, and reports whether the
// value is a number.
func toFloat64(v any) (float64, bool) {
	switch value := reflect.ValueOf(v); {
	case value.CanFloat():
		return value.Float(), true
	case value.CanInt():
		return float64(value.Int()), true
	case value.CanUint():
		return float64(value.Uint()), true
	}
	return 0, false
}
