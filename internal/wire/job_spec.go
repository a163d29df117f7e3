package wire

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxTasks is the largest array that may be submitted.
const MaxTasks = 100_000

// ParseJobSpec reads a submission. When the body is faulty the reference is
// still returned if it could be read, since a known job is answered before
// any check of the rest.
func ParseJobSpec(body []byte) (ref string, spec *JobSpec, err error) {
	var m map[string]any
	if err := msgpack.Unmarshal(body, &m); err != nil || m == nil {
		return "", nil, errors.New("body is not a MessagePack map")
	}
	if s, ok := m["ref"].(string); ok && ValidJobID(s) {
		ref = s
	} else {
		return "", nil, errors.New("ref is missing or malformed")
	}
	p := parser{m: m}
	s := &JobSpec{
		ID: ref, Class: p.text("job_class"), Team: p.text("studio"),
		Shape:     p.oneOf("shape", ShapeArray, ShapeGang, ShapeDaemon),
		Priority:  p.oneOf("urgency", "critical", "high", "standard", "low"),
		TaskCount: p.count("frames", 1, MaxTasks),
		Cores:     p.amount("cores"),
		GPUs:      p.amount("cards"),
		MemoryGB:  p.amount("memory_gb"),
		Image:     p.text("toolkit"), ImageGB: p.amount("size_gb"),
		SameZone: p.flag("same_place"), Spread: p.flag("spread"), AllowSpot: p.flag("loaner"),
		ExpectedS:           p.amount("expected_s"),
		CheckpointIntervalS: p.amount("snapshot_every_s"),
		CheckpointTimeS:     p.amount("snapshot_s"),
	}
	if v := m["hall"]; v != nil {
		s.Zone = p.text("hall")
	}
	if v := m["due_s"]; v != nil {
		s.DeadlineS = p.amount("due_s")
	}
	if v := m["rigs"]; v != nil {
		list, ok := v.([]any)
		if !ok {
			p.fail("rigs")
		}
		for _, x := range list {
			name, ok := x.(string)
			if !ok || len(name) > 200 {
				p.fail("rigs")
			}
			s.MachineTypes = append(s.MachineTypes, name)
		}
		s.NoMachineTypes = ok && len(list) == 0
	}
	s.Dependencies = p.jobIDs("waits_on")
	if p.err != nil {
		return ref, nil, p.err
	}
	return ref, s, nil
}

// jobIDs reads a list of job ids that may be left out; each counts once.
func (p *parser) jobIDs(f string) []string {
	v := p.m[f]
	if v == nil {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		p.fail(f)
	}
	var out []string
	for _, x := range list {
		ref, ok := x.(string)
		if !ok || !ValidJobID(ref) {
			p.fail(f)
			return nil
		}
		out = append(out, ref)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

type parser struct {
	m   map[string]any
	err error
}

func (p *parser) fail(field string) {
	if p.err == nil {
		p.err = fmt.Errorf("field %s is missing or invalid", field)
	}
}

func (p *parser) text(f string) string {
	s, ok := p.m[f].(string)
	if !ok || s == "" || len(s) > 200 {
		p.fail(f)
	}
	return s
}

func (p *parser) oneOf(f string, allowed ...string) string {
	s := p.text(f)
	for _, a := range allowed {
		if s == a {
			return s
		}
	}
	p.fail(f)
	return s
}

func (p *parser) flag(f string) bool {
	b, ok := p.m[f].(bool)
	if !ok {
		p.fail(f)
	}
	return b
}

func (p *parser) amount(f string) float64 {
	x, ok := number(p.m[f])
	if !ok || math.IsNaN(x) || x < 0 || x > 1e12 {
		p.fail(f)
	}
	return x
}

func (p *parser) count(f string, low, high int) int {
	if _, isFloat := p.m[f].(float64); isFloat {
		p.fail(f)
	}
	x, ok := number(p.m[f])
	if !ok || x < float64(low) || x > float64(high) || x != math.Trunc(x) {
		p.fail(f)
		return 0
	}
	return int(x)
}

// number accepts every numeric type that the decoder yields.
func number(v any) (float64, bool) {
	switch x := v.(type) {
	case float64:
		return x, true
	case float32:
		return float64(x), true
	case int8:
		return float64(x), true
	case int16:
		return float64(x), true
	case int32:
		return float64(x), true
	case int64:
		return float64(x), true
	case uint8:
		return float64(x), true
	case uint16:
		return float64(x), true
	case uint32:
		return float64(x), true
	case uint64:
		return float64(x), true
	}
	return 0, false
}
