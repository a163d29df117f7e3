package core

import (
	"slices"

	"micaport/internal/wire"
)

// The leader plans room for the next stage of a chain while the jobs that it waits on
// are about to end, so that what has to be hired for it is up in time. Nothing is
// granted ahead, and images can't be fetched ahead: a machine fetches only what a
// started task waits for. See "Chained jobs" in docs/design.md.

// Bounds of the run time statistics of a class.
const (
	maxRunSamples = 16  // the newest are kept
	minRunSamples = 5   // with fewer, estimates are taken as they are
	minCorrection = 0.5 // estimates are "often wrong by half", so a median beyond
	maxCorrection = 4.0 // these is rather due to waiting than to the estimate
)

// runTimes compares how long the jobs of each class took with their owners'
// estimates. Only the leader that granted a job can tell when it began; a new leader
// begins with the estimates as they are.
type runTimes struct {
	ratios map[string][]float64 // time taken by the estimate, by class, oldest first
}

// add takes in a job that is done.
func (r *runTimes) add(class string, took Time, expectedS float64) {
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
func (r *runTimes) correction(class string) float64 {
	list := r.ratios[class]
	if len(list) < minRunSamples {
		return 1
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return max(minCorrection, min(maxCorrection, sorted[len(sorted)/2]))
}

// runTime is how long a job probably takes once all its tasks are granted.
func (n *Node) runTime(spec *wire.Spec) Time {
	return Time(spec.ExpectedS * n.runTimes.correction(spec.Class) * float64(second))
}

// noteRunTime learns from a job that is done. One that was granted in several parts
// took longer than from its last grant on, which is all that is known of it.
func (n *Node) noteRunTime(j *job, was *wire.Job) {
	if was.Spec == nil || j.grantedAt == 0 || !n.leads() {
		return
	}
	n.runTimes.add(was.Spec.Class, n.now-j.grantedAt, was.Spec.ExpectedS)
}

// planStages plans room for jobs whose last needs will probably end before a machine
// hired now is up.
func (p *plan) planStages() {
	for _, index := range p.n.live {
		j := p.n.jobs[index]
		if j.rec.Spec != nil && j.team >= 0 && j.waits() && p.n.endsBefore(j, p.n.now+p.n.lead(j)) {
			p.planStage(j)
		}
	}
}

// endsBefore tells whether all that a job still waits on will probably be done by a
// time.
func (n *Node) endsBefore(j *job, at Time) bool {
	if j.chain.ancestorWithdrawn {
		return false
	}
	for _, index := range j.chain.needs {
		need := n.jobs[index]
		if need.rec == nil {
			return false // not seen yet, or only for a moment
		}
		if need.rec.State == wire.Done {
			continue
		}
		granted := len(need.rec.Active) > 0 && len(n.waitingTasks(need, 1)) == 0
		if need.rec.Spec == nil || !granted || max(need.grantedAt, need.readySince())+n.runTime(need.rec.Spec) > at {
			return false
		}
	}
	return true
}

// readySince is since when a job of a chain could run; 0 where it waited on nothing.
func (j *job) readySince() Time {
	if j.chain == nil {
		return 0
	}
	return j.chain.readyAt
}

// planStage takes room for the tasks of a job, as far as its team's limit goes, and
// has machines hired for what finds none.
func (p *plan) planStage(j *job) {
	spec := j.rec.Spec
	zones := make([]int, p.n.zones.Len())
	allowed := func(s *slot) bool {
		if spec.Spread && zones[s.zone] >= zoneLimit(spec) {
			return false
		}
		return !spec.SameZone || !slices.ContainsFunc(otherZones(zones, s.zone), func(tasks int) bool { return tasks > 0 })
	}
	for range min(j.rec.Frames, p.n.tasksLimit(j)) {
		if !p.withinLimit(j, 1) {
			return
		}
		s := p.up.best(j, allowed, nil)
		if s == nil {
			s = p.expected.best(j, allowed, nil)
		}
		if s == nil {
			s = p.hireFor(&queuedJob{j: j}, allowed)
		}
		if s == nil {
			return
		}
		p.charge(j, 1)
		zones[s.zone]++
		s.take(spec)
	}
}

// otherZones is the count of tasks by zone without that of one zone.
func otherZones(zones []int, zone int) []int {
	return slices.Concat(zones[:zone], zones[zone+1:])
}
