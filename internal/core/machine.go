package core

import (
	"slices"

	"micaport/internal/indexset"
	"micaport/internal/wire"
)

// machine is what we know of a machine.
type machine struct {
	index       int
	name        string
	machineType int // -1 while unknown
	zone        int
	spot        bool
	shard       int
	placements  []placement // tasks that the replica puts on it

	used           resourceUse // what they take; good while usedKnown
	usedKnown      bool
	lowestPriority int // urgency of the least urgent task that may be stopped

	// As its owner.
	term            uint64 // the term in which the following was learnt
	epoch, sequence uint64
	heartbeats      int  // heard in this term
	tokenConfirmed  bool // it has shown that it knows our term
	newlyBooted     bool // it has only just come to life
	heartbeatAt     Time // last report in this term
	answeredAt      Time // last report answered with 200
	ignoredReplies  int  // answers in a row that had no effect
	unresponsive    bool // hears neither answers nor commands
	reclaimAt       Time // when the cloud takes it away; 0: not announced
	reportedTasks   map[taskKey]string
	startSentAt     map[taskKey]uint64 // report that was last answered with the start
	directStarts    map[taskKey]directStart
	leaseExpiring   bool // no longer answered, so that its epoch ends
	address         string
	heldReplies     int          // answers to it that wait
	unstartedListed bool         // among those with a task that they have not shown
	unclearedTasks  int          // ended tasks in its last report that must not be cleared
	failedJobs      map[int]bool // jobs that failed on it since its last success
	unhealthy       bool
	draining        bool
	noCapacityUntil Time

	images indexset.Set

	// As seen from anywhere.
	view             machineView
	viewTerm         uint64 // the term in which it was told
	unconfirmedSince Time   // since when it is said to be unsure
	viewVersion      uint64 // of our own view, for the peers
	returned         bool

	redirectedAt, bouncedAt, bouncingSince Time   // see redirect
	strayListed                            bool   // listed among those that came here
	strayEpoch, straySequence              uint64 // the newest of its reports that came here
}

// machineView is what the owner of a machine tells of it.
type machineView struct {
	known                                                    bool
	reclaimed, draining, unhealthy, unreachable, unconfirmed bool // unsure: not yet shown to obey us
	missedHeartbeats                                         int  // 1: two reports are missing, 2: three
	errors                                                   int
	images                                                   int // how many, so that a new one shows as a change
}

// placement is a task that a record puts on a machine.
type placement struct {
	taskKey
	shard       int
	stop        wire.StopRequest
	epoch       uint64
	activeIndex int // its place among the active tasks of the record
}

type taskKey struct {
	job, task int
	attempt   uint64
}

// resourceUse is an amount of a machine.
type resourceUse struct {
	cores, gpus, memoryGB                            float64
	releasingCores, releasingGPUs, releasingMemoryGB float64 // the part that is about to be free
	daemon                                           bool
}

func (n *Node) machineNamed(name string) *machine {
	index := n.names.Machines.Of(name)
	if index == len(n.machines) {
		n.machines = append(n.machines, &machine{index: index, name: name, shard: -1, machineType: -1, zone: -1})
	}
	return n.machines[index]
}

// setShard notes whose machine it is.
func (n *Node) setShard(h *machine, part int) {
	if h.shard != part {
		if h.shard >= 0 {
			shard := n.shards[h.shard]
			shard.machines = slices.DeleteFunc(shard.machines, func(x *machine) bool { return x == h })
		}
		h.shard = part
		if part >= 0 {
			n.shards[part].machines = append(n.shards[part].machines, h)
		}
	}
	if part >= 0 {
		h.zone = n.shards[part].Zone
	}
}

// usageOf computes what the records place on a machine: it is there until it
// is proven gone.
func (n *Node) usageOf(machine *machine) *resourceUse {
	if machine.usedKnown {
		return &machine.used
	}
	machine.used, machine.usedKnown, machine.lowestPriority = resourceUse{}, true, noPriority
	for i := range machine.placements {
		p := &machine.placements[i]
		job := n.jobs[p.job]
		spec := job.Record.Spec
		if spec == nil {
			continue
		}
		t := &machine.used
		t.cores += spec.Cores
		t.gpus += spec.GPUs
		t.memoryGB += spec.MemoryGB
		t.daemon = t.daemon || spec.Shape == wire.ShapeDaemon
		if p.stop != wire.StopNone || job.Record.State != wire.JobLive {
			t.releasingCores += spec.Cores
			t.releasingGPUs += spec.GPUs
			t.releasingMemoryGB += spec.MemoryGB
		} else if spec.Shape != wire.ShapeDaemon {
			machine.lowestPriority = min(machine.lowestPriority, job.Priority)
		}
	}
	return &machine.used
}

const noPriority = 99
