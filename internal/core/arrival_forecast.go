package core

import (
	"math"
	"slices"

	"micaport/internal/wire"
)

// StartObjective is the time within which jobs of a class should start after their submission.
type StartObjective struct {
	Class  string
	Within Time
}

// classArrivals holds the recent arrivals and completions of the jobs of a class, from which the
// capacity that the class will need is forecast.
type classArrivals struct {
	name        string
	startWithin Time // the start objective
	newestJob   *job // the job that arrived last
	arrivals    []jobEvent
	completions []jobEvent // jobs that have released their machines
	// withheldFromBackfillOnly is set for a class that has no start objective and belongs to a team
	// with a guarantee: its reserved capacity is withheld from backfill only.
	withheldFromBackfillOnly bool
}

// jobEvent is the arrival or the completion of a job.
type jobEvent struct {
	at    Time
	tasks int
}

const (
	// arrivalWindow is how long arrivals and completions are counted after they happened.
	arrivalWindow = 150 * second
	// minForecastWindow is the shortest time over which arrivals are averaged: over a shorter
	// one, a few arrivals would give a high rate.
	minForecastWindow = 60 * second
	// maxClasses bounds the number of classes with statistics.
	maxClasses = 64
)

// arrivalForecast counts the arrivals and completions of each class that has a start objective or
// belongs to a team with a guarantee. Every controller counts them, so that a new leader has the
// statistics immediately.
type arrivalForecast struct {
	classes       []*classArrivals
	countingSince Time // when counting started; 0: not yet
}

// addObjective adds a start objective. If a class has several, the shortest applies.
func (f *arrivalForecast) addObjective(objective StartObjective) {
	if class := f.findClass(objective.Class); class != nil {
		class.startWithin = min(class.startWithin, objective.Within)
		return
	}
	f.classes = append(f.classes, &classArrivals{name: objective.Class, startWithin: objective.Within})
}

// findClass returns the statistics of a class, or nil if it has none.
func (f *arrivalForecast) findClass(name string) *classArrivals {
	for _, class := range f.classes {
		if class.name == name {
			return class
		}
	}
	return nil
}

// countArrival counts a new job and its number of tasks if its class has statistics. If the class
// has none, but the job's team has a guarantee, countArrival first creates them, unless maxClasses
// classes have statistics already.
func (f *arrivalForecast) countArrival(now Time, job *job, tasks int, teamHasGuarantee bool) {
	name := job.Record.Spec.Class
	class := f.findClass(name)
	if class == nil && teamHasGuarantee && len(f.classes) < maxClasses {
		class = &classArrivals{name: name, withheldFromBackfillOnly: true}
		f.classes = append(f.classes, class)
	}
	if class == nil {
		return
	}
	class.removeOld(now)
	class.newestJob = job
	class.arrivals = append(class.arrivals, jobEvent{now, tasks})
}

// countCompletion counts a job that has released its machines, if its class has statistics.
func (f *arrivalForecast) countCompletion(now Time, name string, tasks int) {
	class := f.findClass(name)
	if class == nil {
		return
	}
	class.removeOld(now)
	class.completions = append(class.completions, jobEvent{now, tasks})
}

// tasksToReserve returns for how many tasks of a class capacity is to be reserved; see
// classArrivals.tasksToReserve.
func (f *arrivalForecast) tasksToReserve(class *classArrivals, now, leadTime Time) int {
	return class.tasksToReserve(now, f.countingSince, leadTime)
}

// ensureArrivalCounting reports whether arrivals and completions are counted. It starts the
// counting once the replica is loaded and a shard has a machine. Jobs that arrive earlier are a
// backlog, which does not reflect the arrival rate.
func (n *Node) ensureArrivalCounting() bool {
	if n.arrivals.countingSince == 0 && n.replica.Loaded() && n.anyShardHasMachine() {
		n.arrivals.countingSince = n.now
	}
	return n.arrivals.countingSince > 0
}

// anyShardHasMachine reports whether any shard has a machine.
func (t *topology) anyShardHasMachine() bool {
	return slices.ContainsFunc(t.shards, func(shard *shard) bool { return len(shard.machines) > 0 })
}

// countArrival counts a new job if its class has a start objective or its team has a guarantee.
func (n *Node) countArrival(job *job) {
	if n.ensureArrivalCounting() {
		teamHasGuarantee := job.Team >= 0 && hasGuarantee(&n.cfg.Teams[job.Team])
		n.arrivals.countArrival(n.now, job, min(job.Record.TaskCount, n.replica.MaxTasksWithoutRuns()), teamHasGuarantee)
	}
}

// countCompletion counts a job that is about to leave the live state, if its class has statistics.
// previous is the job's last record in that state.
func (n *Node) countCompletion(previous *wire.Job) {
	if n.ensureArrivalCounting() && previous.Spec != nil && previous.State == wire.JobLive {
		n.arrivals.countCompletion(n.now, previous.Spec.Class, len(previous.ActiveTasks))
	}
}

// removeOld removes arrivals and completions that are older than arrivalWindow.
func (a *classArrivals) removeOld(now Time) {
	old := func(a jobEvent) bool { return now-a.at > arrivalWindow }
	a.arrivals, a.completions = slices.DeleteFunc(a.arrivals, old), slices.DeleteFunc(a.completions, old)
}

// tasksToReserve returns for how many tasks of the class capacity is to be reserved: the expected
// arrivals during leadTime, the time until more capacity could be obtained, less the expected
// completions, plus one standard deviation, since the times and sizes of jobs are random. It never
// exceeds the expected arrivals plus their own standard deviation: if no more jobs arrive, the
// tasks that end need no replacement. since is when the counting started.
func (a *classArrivals) tasksToReserve(now, since, leadTime Time) int {
	a.removeOld(now)
	window := max(minForecastWindow, min(arrivalWindow, now-since))
	fraction := leadTime.Seconds() / window.Seconds()
	arriving, arrivingVariance := meanAndVariance(a.arrivals, fraction)
	ending, endingVariance := meanAndVariance(a.completions, fraction)
	net := max(0, arriving-ending) + math.Sqrt(arrivingVariance+endingVariance)
	return int(math.Round(min(net, arriving+math.Sqrt(arrivingVariance))))
}

// meanAndVariance returns the mean and the variance of the number of tasks in a time that is the
// given fraction of the window, assuming that jobs arrive independently of each other.
func meanAndVariance(jobs []jobEvent, fraction float64) (mean, variance float64) {
	for _, job := range jobs {
		mean += float64(job.tasks) * fraction
		variance += float64(job.tasks) * float64(job.tasks) * fraction
	}
	return mean, variance
}

// recentJobOf returns a recent job of the class that still has its specification, or nil. Records
// of finished jobs have no specification. If the job that arrived last has finished, another live
// job of the class takes its place as newestJob.
func (s *site) recentJobOf(class *classArrivals) *job {
	usable := func(job *job) bool {
		return job != nil && job.Record != nil && job.Record.Spec != nil && job.Team >= 0
	}
	if !usable(class.newestJob) {
		class.newestJob = nil
		for _, index := range s.replica.Live() {
			if job := s.jobs[index]; usable(job) && job.Record.Spec.Class == class.name {
				class.newestJob = job
			}
		}
	}
	return class.newestJob
}
