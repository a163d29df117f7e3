package core

import (
	"slices"

	"micaport/internal/wire"
)

// Bounds of the run time statistics of a class.
const (
	maxRunSamples = 16 // only the newest samples are kept
	minRunSamples = 5  // with fewer samples, estimates are not corrected
	// Estimates are often wrong by half. A median outside of these bounds is more likely due
	// to waiting than to the estimate.
	minCorrection = 0.5
	maxCorrection = 4.0
)

// runTimeEstimator corrects the submitters' estimates of run times by the measured run times of
// earlier jobs of the same class. Only the leader that granted a job has its start time, so a new
// leader starts with uncorrected estimates.
type runTimeEstimator struct {
	ratios map[string][]float64 // by class: run times divided by their estimates, oldest first
}

// addSample adds the run time of a job that is done, unless the job has no estimate.
func (e *runTimeEstimator) addSample(class string, runTime Time, expectedS float64) {
	if expectedS <= 0 {
		return
	}
	if e.ratios == nil {
		e.ratios = map[string][]float64{}
	}
	if _, known := e.ratios[class]; !known && len(e.ratios) >= maxClasses {
		return
	}
	ratios := append(e.ratios[class], runTime.Seconds()/expectedS)
	e.ratios[class] = ratios[max(0, len(ratios)-maxRunSamples):]
}

// correction returns the factor by which estimates of a class are multiplied: the median of its
// ratios, within bounds.
func (e *runTimeEstimator) correction(class string) float64 {
	ratios := e.ratios[class]
	if len(ratios) < minRunSamples {
		return 1
	}
	sorted := slices.Clone(ratios)
	slices.Sort(sorted)
	return max(minCorrection, min(maxCorrection, sorted[len(sorted)/2]))
}

// estimate returns the corrected estimate of a job's run time, counted from the time when all its
// tasks have been granted.
func (e *runTimeEstimator) estimate(spec *wire.JobSpec) Time {
	return Time(spec.ExpectedS * e.correction(spec.Class) * float64(second))
}

// estimatedRunTime returns the corrected estimate of a job's run time; see runTimeEstimator.estimate.
func (n *Node) estimatedRunTime(spec *wire.JobSpec) Time { return n.runTimeEstimator.estimate(spec) }

// recordRunTime adds the run time of a job that is done to the statistics of its class. previous is
// the job's last live record. The time since the last grant counts as the run time. That is too
// short for a job that was granted in several steps, but no other start time is stored.
func (n *Node) recordRunTime(job *job, previous *wire.Job) {
	if previous.Spec == nil || job.grantedAt == 0 || !n.isLeader() {
		return
	}
	n.runTimeEstimator.addSample(previous.Spec.Class, n.now-job.grantedAt, previous.Spec.ExpectedS)
}
