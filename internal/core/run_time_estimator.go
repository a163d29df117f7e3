package core

import (
	"slices"

	"micaport/internal/wire"
)

// Bounds of the run time statistics of a class.
const (
	maxRunSamples = 16  // the newest are kept
	minRunSamples = 5   // with fewer, estimates are not corrected
	minCorrection = 0.5 // estimates are often wrong by half, so a median beyond
	maxCorrection = 4.0 // these is rather due to waiting than to the estimate
)

// runTimeEstimator compares how long the jobs of each class took with their submitters'
// estimates. Only the leader that granted a job knows when it began; a new leader
// begins with the estimates as they are.
type runTimeEstimator struct {
	ratios map[string][]float64 // run time divided by the estimate, by class, oldest first
}

// observe takes in a job that is done, unless it came without an estimate.
func (e *runTimeEstimator) observe(class string, took Time, expectedS float64) {
	if expectedS <= 0 {
		return
	}
	if e.ratios == nil {
		e.ratios = map[string][]float64{}
	}
	if _, known := e.ratios[class]; !known && len(e.ratios) >= maxClasses {
		return
	}
	ratios := append(e.ratios[class], took.Seconds()/expectedS)
	e.ratios[class] = ratios[max(0, len(ratios)-maxRunSamples):]
}

// correction is the factor by which estimates of a class are to be multiplied.
func (e *runTimeEstimator) correction(class string) float64 {
	ratios := e.ratios[class]
	if len(ratios) < minRunSamples {
		return 1
	}
	sorted := slices.Clone(ratios)
	slices.Sort(sorted)
	return max(minCorrection, min(maxCorrection, sorted[len(sorted)/2]))
}

// estimate is how long a job probably takes once all its tasks are granted.
func (e *runTimeEstimator) estimate(spec *wire.JobSpec) Time {
	return Time(spec.ExpectedS * e.correction(spec.Class) * float64(second))
}

// runTime is how long a job probably takes once all its tasks are granted.
func (n *Node) runTime(spec *wire.JobSpec) Time { return n.runTimeEstimator.estimate(spec) }

// noteRunTime takes a job that is done into the statistics. One that was granted in several
// steps took longer than from its last grant on, but no other time is known.
func (n *Node) noteRunTime(job *job, was *wire.Job) {
	if was.Spec == nil || job.grantedAt == 0 || !n.isLeader() {
		return
	}
	n.runTimeEstimator.observe(was.Spec.Class, n.now-job.grantedAt, was.Spec.ExpectedS)
}
