package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"micaport/internal/wire"
)

// submission is a job as a script's line describes it.
type submission struct {
	spec        wire.JobSpec
	runtime     time.Duration
	alwaysFails bool
	pinnedTo    int
}

// submissionFlags are attributes without a value.
var submissionFlags = map[string]func(*submission){
	"one_zone":       func(s *submission) { s.spec.SameZone = true },
	"spread":         func(s *submission) { s.spec.Spread = true },
	"ordinary":       func(s *submission) { s.spec.AllowSpot = false },
	"no-checkpoints": func(s *submission) { s.spec.CheckpointIntervalS, s.spec.CheckpointTimeS = 0, 0 },
	"fails":          func(s *submission) { s.alwaysFails = true },
}

// submissionTexts are attributes with a text.
var submissionTexts = map[string]func(*submission, string){
	"shape": func(s *submission, text string) {
		s.spec.Shape = text
		if text == wire.ShapeDaemon {
			s.spec.ExpectedS, s.spec.CheckpointIntervalS, s.spec.CheckpointTimeS = 0, 0, 0
		}
	},
	"team":    func(s *submission, text string) { s.spec.Team = text },
	"class":   func(s *submission, text string) { s.spec.Class = text },
	"urgency": func(s *submission, text string) { s.spec.Priority = text },
	"image":   func(s *submission, text string) { s.spec.Image = text },
	"zone":    func(s *submission, text string) { s.spec.Zone = text },
	"rig":     func(s *submission, text string) { s.spec.MachineTypes = []string{text} },
	"after":   func(s *submission, text string) { s.spec.Dependencies = strings.Split(text, ",") },
}

// submissionNumbers are attributes with a number.
var submissionNumbers = map[string]func(*submission, float64){
	"frames": func(s *submission, x float64) { s.spec.TaskCount = int(x) },
	"cards":  func(s *submission, x float64) { s.spec.GPUs = x },
	"cores":  func(s *submission, x float64) { s.spec.Cores = x },
	"mem":    func(s *submission, x float64) { s.spec.MemoryGB = x },
	"gb":     func(s *submission, x float64) { s.spec.ImageGB = x },
	"due":    func(s *submission, x float64) { s.spec.DeadlineS = x },
	"run":    func(s *submission, x float64) { s.runtime = seconds(x) },
	"ask":    func(s *submission, x float64) { s.pinnedTo = int(x) },
}

// submitLine has a user submit a job: REF and attributes.
func (users *userSet) submitLine(args []string) error {
	s := &submission{runtime: 20 * time.Second, pinnedTo: -1, spec: wire.JobSpec{
		ID: args[0], Class: "c", Team: "wide", Shape: "array", Priority: "standard", TaskCount: 1,
		Cores: 4, GPUs: 1, MemoryGB: 16, Image: "img", ImageGB: 2, ExpectedS: 20, CheckpointIntervalS: 5, CheckpointTimeS: 2, AllowSpot: true}}
	for _, arg := range args[1:] {
		name, text, _ := strings.Cut(arg, "=")
		x, _ := strconv.ParseFloat(text, 64)
		if set := submissionFlags[name]; set != nil {
			set(s)
		} else if set := submissionTexts[name]; set != nil {
			set(s, text)
		} else if set := submissionNumbers[name]; set != nil {
			set(s, x)
		} else {
			return fmt.Errorf("unknown attribute %s", name)
		}
	}
	users.submit(s.spec, s.runtime, s.pinnedTo)
	users.byJob[s.spec.ID].alwaysFails = s.alwaysFails
	return nil
}
