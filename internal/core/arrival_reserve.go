package core

import (
	"math"
	"slices"

	"micaport/internal/wire"
)

// StartObjective is an aim of the users for a class: its tasks start within a time.
type StartObjective struct {
	Class  string
	Within Time
}

// classArrivals is what has come of a class lately, while machines were up.
type classArrivals struct {
	class       string
	startWithin Time
	sample      *job // the newest
	jobs        []arrival
	completions []arrival // jobs that have given their machines back
	// backfillGuard: it has no such aim, but belongs to a team with a guarantee. Room for
	// it is only kept free of work that fills what is backfillGuard.
	backfillGuard bool
}

type arrival struct {
	at    Time
	tasks int
}

// arrivalWindow is how far back arrivals are counted.
const arrivalWindow = 150 * second

// countsArrivals tells whether what comes and ends is counted. What comes while
// nothing is up yet is a backlog and says nothing about the rate. Every
// controller counts, so that a new leader knows what the last one did.
func (n *Node) countsArrivals() bool {
	if n.countedFrom == 0 && n.replica.Loaded() && n.anyMachineUp() {
		n.countedFrom = n.now
	}
	return n.countedFrom > 0
}

// noteArrival counts a new job of a class that is to start at once.
func (n *Node) noteArrival(job *job) {
	if !n.countsArrivals() {
		return
	}
	class := job.Record.Spec.Class
	if t := job.Team; t >= 0 && (n.cfg.Teams[t].GuaranteedGPUs > 0 || n.cfg.Teams[t].GuaranteedCores > 0) && len(n.arrivals) < maxClasses &&
		!slices.ContainsFunc(n.arrivals, func(a *classArrivals) bool { return a.class == class }) {
		n.arrivals = append(n.arrivals, &classArrivals{class: class, backfillGuard: true})
	}
	for _, a := range n.arrivals {
		if a.class == class {
			a.sample = job
			a.jobs = append(a.dropOld(n.now).jobs, arrival{n.now, min(job.Record.TaskCount, n.replica.MaxSingleTasks())})
		}
	}
}

// noteCompletion counts a job of such a class that has let go of its machines.
func (n *Node) noteCompletion(was *wire.Job) {
	if !n.countsArrivals() || was.Spec == nil || was.State != wire.JobLive {
		return
	}
	for _, class := range n.arrivals {
		if class.class == was.Spec.Class {
			class.completions = append(class.dropOld(n.now).completions, arrival{n.now, len(was.ActiveTasks)})
		}
	}
}

func (n *Node) anyMachineUp() bool {
	for _, shard := range n.shards {
		if len(shard.machines) > 0 {
			return true
		}
	}
	return false
}

// dropOld drops what came before the window.
func (class *classArrivals) dropOld(now Time) *classArrivals {
	old := func(x arrival) bool { return now-x.at > arrivalWindow }
	class.jobs, class.completions = slices.DeleteFunc(class.jobs, old), slices.DeleteFunc(class.completions, old)
	return class
}

// reserve is how many tasks of a class will probably come while a machine
// boots, less those that will end meanwhile and leave room to others, and a
// standard deviation more, as jobs come and go by chance and in different
// sizes. It is never more than may come: where nothing comes any more, what
// ends needs no room. lead is how long a machine takes.
func (class *classArrivals) reserve(now, since, lead Time) int {
	class.dropOld(now)
	window := max(60*second, min(arrivalWindow, now-since))
	part := lead.Seconds() / window.Seconds()
	come, comeVar := meanAndVariance(class.jobs, part)
	end, endVar := meanAndVariance(class.completions, part)
	net := max(0, come-end) + math.Sqrt(comeVar+endVar)
	return int(math.Round(min(net, come+math.Sqrt(comeVar))))
}

// meanAndVariance gives the mean and the variance of the tasks in a part of the window.
func meanAndVariance(list []arrival, part float64) (mean, variance float64) {
	for _, x := range list {
		mean += float64(x.tasks) * part
		variance += float64(x.tasks) * float64(x.tasks) * part
	}
	return mean, variance
}

// planReserve plans room for what will come before a machine provisioned then could
// be up: idle machines that it uses don't go back, and what is missing is
// provisioned. It comes last and grants nothing, so any real task can have the room.
func (pass *schedulingPass) planReserve() {
	n := pass.node
	for _, class := range n.arrivals {
		job := n.sampleOf(class)
		if job == nil {
			continue
		}
		lead := n.provisionTime(job)
		if class.backfillGuard {
			if pass.hasBackfill {
				pass.reserveRoom(job, class.reserve(n.now, n.countedFrom, 2*n.cfg.HeartbeatInterval+second))
			}
			continue
		}
		// Where an image alone takes longer, a machine that is up is no help;
		// where a boot is quick enough, there is no need of one.
		if lead == 0 || lead+n.imageFetchTime(job) < class.startWithin || n.fitsBesideGPUWork(job) {
			continue
		}
		for range class.reserve(n.now, n.countedFrom, lead) {
			s := pass.available.best(job, nil, nil)
			if s == nil {
				s = pass.expected.best(job, nil, nil)
			}
			if s == nil {
				s = pass.provisionFor(job, func(*slot) bool { return true })
			}
			if s == nil {
				break
			}
			s.take(job.Record.Spec)
		}
	}
}

// fitsBesideGPUWork tells whether a job's tasks need no GPUs where all machines that they
// may run on have some: they find room beside work that does, and machines with GPUs
// need not stand idle for them.
func (n *Node) fitsBesideGPUWork(job *job) bool {
	if job.Record.Spec.GPUs > 0 {
		return false
	}
	for index, machineType := range n.machineTypes {
		if machineType != nil && machineType.GPUs == 0 && (job.AnyType || job.MachineTypes.Has(index)) && fitsType(job.Record.Spec, machineType) {
			return false
		}
	}
	return true
}

// maxClasses bounds the classes that are told apart.
const maxClasses = 64

// sampleOf is the newest job of the class that still has its specification, or
// nil: a finished record has dropped it.
func (n *Node) sampleOf(class *classArrivals) *job {
	usable := func(j *job) bool { return j != nil && j.Record != nil && j.Record.Spec != nil && j.Team >= 0 }
	if !usable(class.sample) {
		class.sample = nil
		for _, index := range n.replica.Live() {
			if j := n.jobs[index]; usable(j) && j.Record.Spec.Class == class.class {
				class.sample = j
			}
		}
	}
	return class.sample
}

// provisionTime is how long it takes from the wish for a machine until it reports, in
// most cases; 0 if no type fits.
func (n *Node) provisionTime(job *job) Time {
	best := 0.0
	for index, machineType := range n.machineTypes {
		if machineType != nil && (job.AnyType || job.MachineTypes.Has(index)) && fitsType(job.Record.Spec, machineType) && (best == 0 || machineType.BootS < best) {
			best = machineType.BootS
		}
	}
	return Time(best * 1.3 * float64(second))
}

// imageFetchTime is how long a job's image takes at the nominal rate.
func (n *Node) imageFetchTime(job *job) Time {
	rate := 0.0
	for index, machineType := range n.machineTypes {
		if machineType != nil && (job.AnyType || job.MachineTypes.Has(index)) {
			rate = max(rate, machineType.FetchGBs)
		}
	}
	if rate <= 0 {
		return 0
	}
	return Time(job.Record.Spec.ImageGB / rate * float64(second))
}
