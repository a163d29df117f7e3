package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"micaport/internal/wire"
)

// submission is a job as described by a line of a script.
type submission struct {
	spec        wire.JobSpec
	runtime     time.Duration // of each task
	alwaysFails bool          // each task fails
	pinnedTo    int           // index of the only controller that the user sends requests to; -1: any
}

// newSubmission returns a job with the default attributes.
func newSubmission(jobID string) *submission {
	return &submission{
		runtime: 20 * time.Second, pinnedTo: -1,
		spec: wire.JobSpec{
			ID: jobID, Class: "c", Team: "wide", Shape: wire.ShapeArray, Priority: "standard", TaskCount: 1,
			Cores: 4, GPUs: 1, MemoryGB: 16, Image: "img", ImageGB: 2, ExpectedS: 20,
			CheckpointIntervalS: 5, CheckpointTimeS: 2, AllowSpot: true,
		},
	}
}

// submissionFlags are the setters of attributes without a value, by name.
var submissionFlags = map[string]func(*submission){
	"one_zone":       func(s *submission) { s.spec.SameZone = true },
	"spread":         func(s *submission) { s.spec.Spread = true },
	"ordinary":       func(s *submission) { s.spec.AllowSpot = false },
	"no-checkpoints": func(s *submission) { s.spec.CheckpointIntervalS, s.spec.CheckpointTimeS = 0, 0 },
	"fails":          func(s *submission) { s.alwaysFails = true },
}

// submissionTexts are the setters of attributes with a text value, by name.
var submissionTexts = map[string]func(*submission, string){
	"shape": func(s *submission, text string) {
		s.spec.Shape = text
		if text == wire.ShapeDaemon {
			s.spec.ExpectedS = 0
			s.spec.CheckpointIntervalS = 0
			s.spec.CheckpointTimeS = 0
		}
	},
	"team":    func(s *submission, text string) { s.spec.Team = text },
	"class":   func(s *submission, text string) { s.spec.Class = text },
	"urgency": func(s *submission, text string) { s.spec.Priority = text },
	"image":   func(s *submission, text string) { s.spec.Image = text },
	"zone":    func(s *submission, text string) { s.spec.Zone = text },
	"rig":     func(s *submission, text string) { s.spec.MachineTypes = strings.Split(text, ",") },
	"after":   func(s *submission, text string) { s.spec.Dependencies = strings.Split(text, ",") },
}

// submissionNumbers are the setters of attributes with a numeric value, by name.
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

// setAttribute applies an attribute of a script's line, which is a flag or NAME=VALUE.
func (s *submission) setAttribute(attribute string) error {
	name, text, _ := strings.Cut(attribute, "=")
	if set := submissionFlags[name]; set != nil {
		set(s)
		return nil
	}
	if set := submissionTexts[name]; set != nil {
		set(s, text)
		return nil
	}
	set := submissionNumbers[name]
	if set == nil {
		return fmt.Errorf("%w %s", errUnknownAttribute, name)
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return fmt.Errorf("bad number in %s: %w", attribute, err)
	}
	set(s, x)
	return nil
}

// submitLine submits the job that the arguments describe: its id, then its attributes.
func (u *userSet) submitLine(args []string) error {
	job := newSubmission(args[0])
	for _, attribute := range args[1:] {
		if err := job.setAttribute(attribute); err != nil {
			return err
		}
	}
	u.submit(job)
	return nil
}
