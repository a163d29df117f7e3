package core

import (
	"slices"

	"micaport/internal/wire"
)

// The leader plans room for the next stage of a chain while the jobs that it waits on
// are about to end, so that what has to be provisioned for it is up in time. Nothing is
// granted ahead, and images can't be fetched ahead: a machine fetches only what a
// started task waits for. See "Chained jobs" in docs/design.md.

// Bounds of the run time statistics of a class.
const (
	maxRunSamples = 16  // the newest are kept
	minRunSamples = 5   // with fewer, estimates are taken as they are
	minCorrection = 0.5 // estimates are "often wrong by half", so a median beyond
	maxCorrection = 4.0 // these is rather due to waiting than to the estimate
)

// runTimeEstimator compares how long the jobs of each class took with their owners'
// estimates. Only the leader that granted a job can tell when it began; a new leader
// begins with the estimates as they are.
type runTimeEstimator struct {
	ratios map[string][]float64 // time taken by the estimate, by class, oldest first
}

// add takes in a job that is done.
func (r *runTimeEstimator) add(class string, took Time, expectedS float64) {
	if expectedS <= 0 {
		return
	}
	if r.ratios == nil {
		r.ratios = map[string][]float64{}
	}
	if _, known := r.ratios[class]; !known && len(r.ratios) >= maxClasses {
		return
	}
	list := append(r.ratios[class], took.Seconds()/expectedS)
	r.ratios[class] = list[max(0, len(list)-maxRunSamples):]
}

// correction is what estimates of a class are to be multiplied by.
func (r *runTimeEstimator) correction(class string) float64 {
	list := r.ratios[class]
	if len(list) < minRunSamples {
		return 1
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return max(minCorrection, min(maxCorrection, sorted[len(sorted)/2]))
}

// runTime is how long a job probably takes once all its tasks are granted.
func (n *Node) runTime(spec *wire.JobSpec) Time {
	return Time(spec.ExpectedS * n.runTimeEstimator.correction(spec.Class) * float64(second))
}

// noteRunTime learns from a job that is done. One that was granted in several parts
// took longer than from its last grant on, which is all that is known of it.
func (n *Node) noteRunTime(job *job, was *wire.Job) {
	if was.Spec == nil || job.grantedAt == 0 || !n.isLeader() {
		return
	}
	n.runTimeEstimator.add(was.Spec.Class, n.now-job.grantedAt, was.Spec.ExpectedS)
}

// planNextStages plans room for jobs whose last needs will probably end before a machine
// provisioned now is up.
func (pass *schedulingPass) planNextStages() {
	for _, index := range pass.node.replica.Live() {
		job := pass.node.jobs[index]
		if job.Record.Spec != nil && job.Team >= 0 && job.IsWaiting() && pass.node.endsBefore(job, pass.node.now+pass.node.provisionTime(job)) {
			pass.planStage(job)
		}
	}
}

// endsBefore tells whether all that a job still waits on will probably be done by a
// time.
func (n *Node) endsBefore(job *job, at Time) bool {
	if job.Links.AncestorCancelled {
		return false
	}
	for _, index := range job.Links.Dependencies {
		need := n.jobs[index]
		if need.Record == nil {
			return false // not seen yet, or only for a moment
		}
		if need.Record.State == wire.JobDone {
			continue
		}
		granted := len(need.Record.ActiveTasks) > 0 && len(n.waitingTasks(need, 1)) == 0
		if need.Record.Spec == nil || !granted || max(need.grantedAt, need.ReadySince())+n.runTime(need.Record.Spec) > at {
			return false
		}
	}
	return true
}

// planStage takes room for the tasks of a job, as far as its team's limit goes, and
// has machines provisioned for what finds none.
func (pass *schedulingPass) planStage(job *job) {
	spec := job.Record.Spec
	zones := make([]int, pass.node.names.Zones.Len())
	allowed := func(s *slot) bool {
		if spec.Spread && zones[s.zone] >= zoneLimit(spec) {
			return false
		}
		return !spec.SameZone || !slices.ContainsFunc(otherZones(zones, s.zone), func(tasks int) bool { return tasks > 0 })
	}
	for range min(job.Record.TaskCount, pass.node.maxActiveTasks(job)) {
		if !pass.withinLimit(job, 1) {
			return
		}
		s := pass.available.best(job, allowed, nil)
		if s == nil {
			s = pass.expected.best(job, allowed, nil)
		}
		if s == nil {
			s = pass.provisionFor(job, allowed)
		}
		if s == nil {
			return
		}
		pass.charge(job, 1)
		zones[s.zone]++
		s.take(spec)
	}
}

// otherZones is the count of tasks by zone without that of one zone.
func otherZones(zones []int, zone int) []int {
	return slices.Concat(zones[:zone], zones[zone+1:])
}
