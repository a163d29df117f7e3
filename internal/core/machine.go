package core

import (
	"micaport/internal/indexset"
	"micaport/internal/wire"
)

// machine is what this controller knows of a machine.
type machine struct {
	index       int // of its name
	name        string
	machineType int // index; -1 while unknown
	zone        int // index; -1 while unknown
	spot        bool
	shard       int         // index; -1: in none
	placements  []placement // tasks that the records put on it, by job
	images      indexset.Set

	used           resourceUse // by the placements; valid while usedKnown is set
	usedKnown      bool
	lowestPriority int // of the tasks that may be stopped; noPriority if there are none

	workerState

	// What its owner tells, whoever that is.
	view             machineView
	viewTerm         uint64 // the owner's term
	unconfirmedSince Time   // since when the view is unconfirmed
	viewVersion      uint64 // of this controller's own view, for gossip
	returned         bool   // the cloud has confirmed that it is gone

	misdirected
}

// workerState is what the owner of a machine has learnt of its worker in the present term.
type workerState struct {
	term            uint64             // the term in which this was learnt
	epoch, sequence uint64             // of the last heartbeat
	heartbeats      int                // in this term
	heartbeatAt     Time               // of the last in this term
	tokenConfirmed  bool               // a heartbeat has shown the token of this term
	newlyBooted     bool               // it reports for the first time, and can't know any token
	answeredAt      Time               // when a heartbeat was last answered with 200
	ignoredReplies  int                // replies in a row that had no effect
	unresponsive    bool               // neither replies nor commands reach it
	reclaimAt       Time               // when the cloud takes it away; 0: not announced
	address         string             // of the worker, for commands
	reportedTasks   map[taskKey]string // states, by the last heartbeat
	startSentAt     map[taskKey]uint64 // sequence of the heartbeat that was last answered with the start
	directStarts    map[taskKey]directStart
	unclearedTasks  int  // exited tasks in its last heartbeat that must not be cleared
	delayedReplies  int  // replies to it that wait
	unstartedListed bool // it is listed among those with a task that they have not shown
	leaseExpiring   bool // it gets no replies, so that its epoch ends

	failedJobs      map[int]bool // jobs that failed on it since its last success
	unhealthy       bool
	draining        bool
	noCapacityUntil Time // nothing is placed on it before this: it refused a task
}

// misdirected is what a controller that does not own a machine remembers of heartbeats that
// came here.
type misdirected struct {
	redirectedAt        Time   // when it was last redirected to its owner; 0: not
	bouncedAt           Time   // when it last came back; 0: not
	bouncingSince       Time   // since when it has come back again and again
	misdirectedListed   bool   // it is listed among the machines that came here
	misdirectedEpoch    uint64 // of the newest heartbeat that came here
	misdirectedSequence uint64
}

// machineView is what the owner of a machine tells of it.
type machineView struct {
	known            bool
	reclaimed        bool // the cloud takes it away
	draining         bool
	unhealthy        bool // it fails jobs
	unreachable      bool
	unconfirmed      bool // it has not yet shown the token of its owner's term
	missedHeartbeats int  // 1: two heartbeats are missing, 2: three
	errors           int  // jobs that failed on it since its last success
	images           int  // how many, so that a new one shows as a change
}

// placement is a task that a record puts on a machine.
type placement struct {
	taskKey
	shard       int // index
	stop        wire.StopRequest
	epoch       uint64
	activeIndex int // its place among the active tasks of the record
}

// taskKey names an attempt of a task.
type taskKey struct {
	job, task int // index of the job, number of the task
	attempt   uint64
}

// resourceUse is how much of a machine is used, and how much of that will be released as
// tasks have been told to stop.
type resourceUse struct {
	cores, gpus, memoryGB                            float64
	releasingCores, releasingGPUs, releasingMemoryGB float64
	daemon                                           bool // a daemon is among the tasks
}

// noPriority is higher than any priority.
const noPriority = 99

// usageOf adds up what the tasks take that the records put on a machine. They are there
// until they are proven gone.
func (s *site) usageOf(machine *machine) *resourceUse {
	if machine.usedKnown {
		return &machine.used
	}
	machine.used = resourceUse{}
	machine.usedKnown = true
	machine.lowestPriority = noPriority
	for i := range machine.placements {
		p := &machine.placements[i]
		job := s.jobs[p.job]
		spec := job.Record.Spec
		if spec == nil {
			continue
		}
		used := &machine.used
		used.cores += spec.Cores
		used.gpus += spec.GPUs
		used.memoryGB += spec.MemoryGB
		used.daemon = used.daemon || spec.Shape == wire.ShapeDaemon
		if p.stop != wire.StopNone || job.Record.State != wire.JobLive {
			used.releasingCores += spec.Cores
			used.releasingGPUs += spec.GPUs
			used.releasingMemoryGB += spec.MemoryGB
		} else if spec.Shape != wire.ShapeDaemon {
			machine.lowestPriority = min(machine.lowestPriority, job.Priority)
		}
	}
	return &machine.used
}
