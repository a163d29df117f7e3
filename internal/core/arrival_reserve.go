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
func (n *Node) noteArrival(j *job) {
	if !n.countsArrivals() {
		return
	}
	class := j.Record.Spec.Class
	if t := j.Team; t >= 0 && (n.cfg.Teams[t].GuaranteedGPUs > 0 || n.cfg.Teams[t].GuaranteedCores > 0) && len(n.arrivals) < maxClasses &&
		!slices.ContainsFunc(n.arrivals, func(a *classArrivals) bool { return a.class == class }) {
		n.arrivals = append(n.arrivals, &classArrivals{class: class, backfillGuard: true})
	}
	for _, a := range n.arrivals {
		if a.class == class {
			a.sample = j
			a.jobs = append(a.dropOld(n.now).jobs, arrival{n.now, min(j.Record.TaskCount, n.replica.MaxSingleTasks())})
		}
	}
}

// noteCompletion counts a job of such a class that has let go of its machines.
func (n *Node) noteCompletion(was *wire.Job) {
	if !n.countsArrivals() || was.Spec == nil || was.State != wire.JobLive {
		return
	}
	for _, a := range n.arrivals {
		if a.class == was.Spec.Class {
			a.completions = append(a.dropOld(n.now).completions, arrival{n.now, len(was.ActiveTasks)})
		}
	}
}

func (n *Node) anyMachineUp() bool {
	for _, p := range n.shards {
		if len(p.machines) > 0 {
			return true
		}
	}
	return false
}

// dropOld drops what came before the window.
func (a *classArrivals) dropOld(now Time) *classArrivals {
	old := func(x arrival) bool { return now-x.at > arrivalWindow }
	a.jobs, a.completions = slices.DeleteFunc(a.jobs, old), slices.DeleteFunc(a.completions, old)
	return a
}

// reserve is how many tasks of a class will probably come while a machine
// boots, less those that will end meanwhile and leave room to others, and a
// standard deviation more, as jobs come and go by chance and in different
// sizes. It is never more than may come: where nothing comes any more, what
// ends needs no room. lead is how long a machine takes.
func (a *classArrivals) reserve(now, since, lead Time) int {
	a.dropOld(now)
	window := max(60*second, min(arrivalWindow, now-since))
	part := lead.Seconds() / window.Seconds()
	come, comeVar := meanAndVariance(a.jobs, part)
	end, endVar := meanAndVariance(a.completions, part)
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
func (p *schedulingPass) planReserve() {
	n := p.node
	for _, a := range n.arrivals {
		j := n.sampleOf(a)
		if j == nil {
			continue
		}
		lead := n.provisionTime(j)
		if a.backfillGuard {
			if p.hasBackfill {
				p.reserveRoom(j, a.reserve(n.now, n.countedFrom, 2*n.cfg.HeartbeatInterval+second))
			}
			continue
		}
		// Where an image alone takes longer, a machine that is up is no help;
		// where a boot is quick enough, there is no need of one.
		if lead == 0 || lead+n.imageFetchTime(j) < a.startWithin || n.fitsBesideGPUWork(j) {
			continue
		}
		for range a.reserve(n.now, n.countedFrom, lead) {
			s := p.available.best(j, nil, nil)
			if s == nil {
				s = p.expected.best(j, nil, nil)
			}
			if s == nil {
				s = p.provisionFor(&queuedJob{job: j}, func(*slot) bool { return true })
			}
			if s == nil {
				break
			}
			s.take(j.Record.Spec)
		}
	}
}

// fitsBesideGPUWork tells whether a job's tasks need no GPUs where all machines that they
// may run on have some: they find room beside work that does, and machines with GPUs
// need not stand idle for them.
func (n *Node) fitsBesideGPUWork(j *job) bool {
	if j.Record.Spec.GPUs > 0 {
		return false
	}
	for ix, r := range n.machineTypes {
		if r != nil && r.GPUs == 0 && (j.AnyType || j.MachineTypes.Has(ix)) && fitsType(j.Record.Spec, r) {
			return false
		}
	}
	return true
}

// maxClasses bounds the classes that are told apart.
const maxClasses = 64

// sampleOf is the newest job of the class that still has its specification, or
// nil: a finished record has dropped it.
func (n *Node) sampleOf(a *classArrivals) *job {
	usable := func(j *job) bool { return j != nil && j.Record != nil && j.Record.Spec != nil && j.Team >= 0 }
	if !usable(a.sample) {
		a.sample = nil
		for _, jx := range n.replica.Live() {
			if j := n.jobs[jx]; usable(j) && j.Record.Spec.Class == a.class {
				a.sample = j
			}
		}
	}
	return a.sample
}

// provisionTime is how long it takes from the wish for a machine until it reports, in
// most cases; 0 if no type fits.
func (n *Node) provisionTime(j *job) Time {
	best := 0.0
	for ix, r := range n.machineTypes {
		if r != nil && (j.AnyType || j.MachineTypes.Has(ix)) && fitsType(j.Record.Spec, r) && (best == 0 || r.BootS < best) {
			best = r.BootS
		}
	}
	return Time(best * 1.3 * float64(second))
}

// imageFetchTime is how long a job's image takes at the nominal rate.
func (n *Node) imageFetchTime(j *job) Time {
	rate := 0.0
	for ix, r := range n.machineTypes {
		if r != nil && (j.AnyType || j.MachineTypes.Has(ix)) {
			rate = max(rate, r.FetchGBs)
		}
	}
	if rate <= 0 {
		return 0
	}
	return Time(j.Record.Spec.ImageGB / rate * float64(second))
}
