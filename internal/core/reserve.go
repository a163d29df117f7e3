package core

import (
	"math"
	"slices"

	"micaport/internal/wire"
)

// Objective is an aim of the users for a class: its tasks start within a time.
type Objective struct {
	Class  string
	Within Time
}

// arrivals is what has come of a class lately, while machines were up.
type arrivals struct {
	class  string
	within Time
	sample *job // the newest
	list   []arrival
	ends   []arrival // jobs that have given their machines back
	// guardOnly: it has no such aim, but belongs to a team with a guarantee. Room for
	// it is only kept free of work that fills what is guardOnly.
	guardOnly bool
}

type arrival struct {
	at     Time
	frames int
}

// arrivalWindow is how far back arrivals are counted.
const arrivalWindow = 150 * second

// counting tells whether what comes and ends is counted. What comes while
// nothing is up yet is a backlog and says nothing about the rate. Every
// controller counts, so that a new leader knows what the last one did.
func (n *Node) counting() bool {
	if n.countedFrom == 0 && n.loaded && n.anyUp() {
		n.countedFrom = n.now
	}
	return n.countedFrom > 0
}

// noteArrival counts a new job of a class that is to start at once.
func (n *Node) noteArrival(j *job) {
	if !n.counting() {
		return
	}
	class := j.rec.Spec.Class
	if t := j.team; t >= 0 && (n.cfg.Teams[t].Cards > 0 || n.cfg.Teams[t].Cores > 0) && len(n.arrivals) < maxClasses &&
		!slices.ContainsFunc(n.arrivals, func(a *arrivals) bool { return a.class == class }) {
		n.arrivals = append(n.arrivals, &arrivals{class: class, guardOnly: true})
	}
	for _, a := range n.arrivals {
		if a.class == class {
			a.sample = j
			a.list = append(a.forget(n.now).list, arrival{n.now, min(j.rec.Frames, n.activeLimit())})
		}
	}
}

// noteEnd counts a job of such a class that has let go of its machines.
func (n *Node) noteEnd(was *wire.Job) {
	if !n.counting() || was.Spec == nil || was.State != wire.Live {
		return
	}
	for _, a := range n.arrivals {
		if a.class == was.Spec.Class {
			a.ends = append(a.forget(n.now).ends, arrival{n.now, len(was.Active)})
		}
	}
}

func (n *Node) anyUp() bool {
	for _, p := range n.parts {
		if len(p.hosts) > 0 {
			return true
		}
	}
	return false
}

// forget drops what came before the window.
func (a *arrivals) forget(now Time) *arrivals {
	old := func(x arrival) bool { return now-x.at > arrivalWindow }
	a.list, a.ends = slices.DeleteFunc(a.list, old), slices.DeleteFunc(a.ends, old)
	return a
}

// reserve is how many tasks of a class will probably come while a machine
// boots, less those that will end meanwhile and leave room to others, and a
// standard deviation more, as jobs come and go by chance and in different
// sizes. It is never more than may come: where nothing comes any more, what
// ends needs no room. lead is how long a machine takes.
func (a *arrivals) reserve(now, since, lead Time) int {
	a.forget(now)
	window := max(60*second, min(arrivalWindow, now-since))
	part := lead.Seconds() / window.Seconds()
	come, comeVar := meanAndVariance(a.list, part)
	end, endVar := meanAndVariance(a.ends, part)
	net := max(0, come-end) + math.Sqrt(comeVar+endVar)
	return int(math.Round(min(net, come+math.Sqrt(comeVar))))
}

// meanAndVariance gives the mean and the variance of the tasks in a part of the window.
func meanAndVariance(list []arrival, part float64) (mean, variance float64) {
	for _, x := range list {
		mean += float64(x.frames) * part
		variance += float64(x.frames) * float64(x.frames) * part
	}
	return mean, variance
}

// keepReserve plans room for what will come before a machine hired then could
// be up: idle machines that it uses don't go back, and what is missing is
// hired. It comes last and grants nothing, so any real task can have the room.
func (p *plan) keepReserve() {
	n := p.n
	for _, a := range n.arrivals {
		j := n.sampleOf(a)
		if j == nil {
			continue
		}
		lead := n.lead(j)
		if a.guardOnly {
			if p.hasBackfill {
				p.reserveRoom(j, a.reserve(n.now, n.countedFrom, 2*n.cfg.Report+second))
			}
			continue
		}
		// Where an image alone takes longer, a machine that is up is no help;
		// where a boot is quick enough, there is no need of one.
		if lead == 0 || lead+n.imageTime(j) < a.within || n.besideOthers(j) {
			continue
		}
		for range a.reserve(n.now, n.countedFrom, lead) {
			s := p.up.best(j, nil, nil)
			if s == nil {
				s = p.expected.best(j, nil, nil)
			}
			if s == nil {
				s = p.hireFor(&queuedJob{j: j}, func(*slot) bool { return true })
			}
			if s == nil {
				break
			}
			s.take(j.rec.Spec)
		}
	}
}

// besideOthers tells whether a job's tasks need no cards where all machines that they
// may run on have some: they find room beside work that does, and machines with cards
// need not stand idle for them.
func (n *Node) besideOthers(j *job) bool {
	if j.rec.Spec.Cards > 0 {
		return false
	}
	for ix, r := range n.flavors {
		if r != nil && r.Cards == 0 && (j.any || j.rigs.has(ix)) && fitsRig(j.rec.Spec, r) {
			return false
		}
	}
	return true
}

// maxClasses bounds the classes that are told apart.
const maxClasses = 64

// sampleOf is the newest job of the class that still has its specification, or
// nil: a finished record has dropped it.
func (n *Node) sampleOf(a *arrivals) *job {
	usable := func(j *job) bool { return j != nil && j.rec != nil && j.rec.Spec != nil && j.team >= 0 }
	if !usable(a.sample) {
		a.sample = nil
		for _, jx := range n.live {
			if j := n.jobs[jx]; usable(j) && j.rec.Spec.Class == a.class {
				a.sample = j
			}
		}
	}
	return a.sample
}

// lead is how long it takes from the wish for a machine until it reports, in
// most cases; 0 if no type fits.
func (n *Node) lead(j *job) Time {
	best := 0.0
	for ix, r := range n.flavors {
		if r != nil && (j.any || j.rigs.has(ix)) && fitsRig(j.rec.Spec, r) && (best == 0 || r.BootS < best) {
			best = r.BootS
		}
	}
	return Time(best * 1.3 * float64(second))
}

// imageTime is how long a job's image takes at the nominal rate.
func (n *Node) imageTime(j *job) Time {
	rate := 0.0
	for ix, r := range n.flavors {
		if r != nil && (j.any || j.rigs.has(ix)) {
			rate = max(rate, r.FetchGBs)
		}
	}
	if rate <= 0 {
		return 0
	}
	return Time(j.rec.Spec.ImageGB / rate * float64(second))
}
