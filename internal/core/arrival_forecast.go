package core

import (
	"math"
	"slices"

	"micaport/internal/wire"
)

// StartObjective says within which time after its submission a job of a class should start.
type StartObjective struct {
	Class  string
	Within Time
}

// classArrivals counts the jobs of a class that have come and ended lately, while machines
// were up, to forecast the capacity that the class will need.
type classArrivals struct {
	class       string
	startWithin Time // the start objective
	sample      *job // the newest
	jobs        []arrival
	completions []arrival // jobs that have released their machines
	// backfillGuard is set for a class without a start objective of a team with a guarantee:
	// capacity for it is only reserved against backfill.
	backfillGuard bool
}

// arrival is a job that has come or ended.
type arrival struct {
	at    Time
	tasks int
}

const (
	// arrivalWindow is how far back arrivals are counted.
	arrivalWindow = 150 * second
	// minForecastWindow is what arrivals are averaged over at least: over a shorter time a
	// few would make a high rate.
	minForecastWindow = 60 * second
	// maxClasses bounds the classes that statistics are kept of.
	maxClasses = 64
)

// arrivalForecast counts what comes and ends of each class that has a start objective or belongs
// to a team with a guarantee. Every controller counts, so that a new leader has the statistics at
// once.
type arrivalForecast struct {
	classes     []*classArrivals
	countedFrom Time // since when arrivals are counted; 0: not yet
}

// addObjective adds a start objective; of several for one class the shortest counts.
func (f *arrivalForecast) addObjective(objective StartObjective) {
	if class := f.class(objective.Class); class != nil {
		class.startWithin = min(class.startWithin, objective.Within)
		return
	}
	f.classes = append(f.classes, &classArrivals{class: objective.Class, startWithin: objective.Within})
}

// class returns what is counted of a class, or nil.
func (f *arrivalForecast) class(name string) *classArrivals {
	for _, class := range f.classes {
		if class.class == name {
			return class
		}
	}
	return nil
}

// noteArrival counts a new job of so many tasks if its class is counted, or has to be from now on
// as its team has a guarantee.
func (f *arrivalForecast) noteArrival(now Time, job *job, tasks int, guaranteed bool) {
	name := job.Record.Spec.Class
	class := f.class(name)
	if class == nil && guaranteed && len(f.classes) < maxClasses {
		class = &classArrivals{class: name, backfillGuard: true}
		f.classes = append(f.classes, class)
	}
	if class == nil {
		return
	}
	class.dropOld(now)
	class.sample = job
	class.jobs = append(class.jobs, arrival{now, tasks})
}

// noteCompletion counts a job of such a class that has released its machines.
func (f *arrivalForecast) noteCompletion(now Time, name string, tasks int) {
	class := f.class(name)
	if class == nil {
		return
	}
	class.dropOld(now)
	class.completions = append(class.completions, arrival{now, tasks})
}

// reserve is for how many tasks of a class to reserve capacity; see classArrivals.reserve.
func (f *arrivalForecast) reserve(class *classArrivals, now, lead Time) int {
	return class.reserve(now, f.countedFrom, lead)
}

// countsArrivals reports whether what comes and ends is counted. What comes while no machine
// is up yet is a backlog and says nothing about the rate.
func (n *Node) countsArrivals() bool {
	if n.arrivals.countedFrom == 0 && n.replica.Loaded() && n.anyMachineUp() {
		n.arrivals.countedFrom = n.now
	}
	return n.arrivals.countedFrom > 0
}

// anyMachineUp reports whether any shard has a machine.
func (t *topology) anyMachineUp() bool {
	return slices.ContainsFunc(t.shards, func(shard *shard) bool { return len(shard.machines) > 0 })
}

// noteArrival counts a new job if its class has a start objective or its team a guarantee.
func (n *Node) noteArrival(job *job) {
	if n.countsArrivals() {
		guaranteed := job.Team >= 0 && hasGuarantee(&n.cfg.Teams[job.Team])
		n.arrivals.noteArrival(n.now, job, min(job.Record.TaskCount, n.replica.MaxSingleTasks()), guaranteed)
	}
}

// noteCompletion counts a job of such a class that has released its machines.
func (n *Node) noteCompletion(was *wire.Job) {
	if n.countsArrivals() && was.Spec != nil && was.State == wire.JobLive {
		n.arrivals.noteCompletion(n.now, was.Spec.Class, len(was.ActiveTasks))
	}
}

// dropOld drops what came or ended before the window.
func (a *classArrivals) dropOld(now Time) {
	old := func(a arrival) bool { return now-a.at > arrivalWindow }
	a.jobs, a.completions = slices.DeleteFunc(a.jobs, old), slices.DeleteFunc(a.completions, old)
}

// reserve is for how many tasks of the class to reserve capacity: as many as will probably
// come during lead, the time that a machine takes to boot, less those that will end meanwhile
// and release theirs, plus one standard deviation, as jobs come and go by chance and in
// different sizes. It is never more than may come: where nothing comes any more, what
// ends needs no replacement. The counts begin at since.
func (a *classArrivals) reserve(now, since, lead Time) int {
	a.dropOld(now)
	window := max(minForecastWindow, min(arrivalWindow, now-since))
	share := lead.Seconds() / window.Seconds()
	arriving, arrivingVariance := meanAndVariance(a.jobs, share)
	ending, endingVariance := meanAndVariance(a.completions, share)
	net := max(0, arriving-ending) + math.Sqrt(arrivingVariance+endingVariance)
	return int(math.Round(min(net, arriving+math.Sqrt(arrivingVariance))))
}

// meanAndVariance returns the mean and the variance of the tasks that come in a time as long
// as a share of the window, if jobs come independently of each other.
func meanAndVariance(jobs []arrival, share float64) (mean, variance float64) {
	for _, job := range jobs {
		mean += float64(job.tasks) * share
		variance += float64(job.tasks) * float64(job.tasks) * share
	}
	return mean, variance
}

// sampleOf returns the newest job of the class that still has its specification, or nil: a
// finished record has dropped it.
func (s *site) sampleOf(class *classArrivals) *job {
	usable := func(job *job) bool {
		return job != nil && job.Record != nil && job.Record.Spec != nil && job.Team >= 0
	}
	if !usable(class.sample) {
		class.sample = nil
		for _, index := range s.replica.Live() {
			if job := s.jobs[index]; usable(job) && job.Record.Spec.Class == class.class {
				class.sample = job
			}
		}
	}
	return class.sample
}
