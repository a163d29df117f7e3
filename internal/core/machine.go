package core

import (
	"micaport/internal/indexset"
	"micaport/internal/wire"
)

// machine holds the state of a machine as this controller sees it.
type machine struct {
	index       int // in site.machines, and of its name in the table of names
	name        string
	machineType int // index; -1 while unknown
	zone        int // index; -1 while unknown
	spot        bool
	shard       int         // index; -1 if it is in no shard
	placements  []placement // tasks that the records place on it, sorted by job
	images      indexset.Set

	used           resourceUse // sum over the placements; valid while usageValid is set
	usageValid     bool
	lowestPriority int // of the tasks that may be preempted; noPriority if none may

	workerState

	// State reported by the machine's owner, which may be this controller.
	view             machineView
	viewTerm         uint64 // term in which the owner reported the view
	unconfirmedSince Time   // when the view became unconfirmed
	viewVersion      uint64 // version of the last change of the view in this controller's gossip
	deprovisioned    bool   // the cloud has confirmed the deprovisioning

	misdirectedHeartbeats
}

// workerState holds what a machine's owner has received from its worker, and sent to it, in
// the current term of the shard.
type workerState struct {
	term               uint64             // the term to which this state belongs
	epoch, sequence    uint64             // of the last heartbeat
	heartbeatCount     int                // heartbeats received in this term
	heartbeatAt        Time               // when the last heartbeat of this term was received
	tokenConfirmed     bool               // the last heartbeat carried the token of this term
	newlyBooted        bool               // it has sent only its first heartbeats and can't have received a token
	answeredAt         Time               // when a heartbeat was last answered with 200
	ignoredReplies     int                // consecutive replies that had no effect
	unresponsive       bool               // it is assumed to receive neither replies nor commands
	reclaimAt          Time               // when the cloud reclaims it; 0: no notice was given
	address            string             // of the worker, for commands
	reportedTasks      map[taskKey]string // states in the last heartbeat of the active tasks that it lists
	startReplySequence map[taskKey]uint64 // sequence number of the last heartbeat whose reply contained the start
	directStarts       map[taskKey]directStart
	unclearedTasks     int  // number of exited tasks in its last heartbeat that must not be cleared
	delayedReplyCount  int  // number of its heartbeats whose replies are delayed
	unstartedListed    bool // it is in ownerState.unstartedMachines
	leaseExpiring      bool // its heartbeats are not answered, so that its lease expires and its epoch ends
	lostTasks          bool // its worker has lost its tasks within the epoch; see updateReportedStarts

	failedJobs      map[int]bool // by index: jobs of which a task failed on it since a task last succeeded
	unhealthy       bool         // tasks fail on it, probably through its own fault
	draining        bool         // no task is placed on it, at the leader's request
	noCapacityUntil Time         // no task is placed on it earlier, as it had no capacity for one
}

// misdirectedHeartbeats holds what a controller records about heartbeats from a machine that it
// does not own. recordRedirect decides whether the worker has apparently sent such a heartbeat
// because it can't reach the owner.
type misdirectedHeartbeats struct {
	redirectedAt          Time   // when it was last redirected to its owner; 0: it was not
	ownerUnreachableAt    Time   // when it last sent a heartbeat here because it apparently can't reach its owner; 0: it did not
	ownerUnreachableSince Time   // when the current series of such heartbeats began
	inMisdirectedMachines bool   // gossipState.misdirectedMachines contains it
	misdirectedEpoch      uint64 // of the newest heartbeat received by this controller
	misdirectedSequence   uint64
}

// machineView is the state of a machine that its owner reports to the other controllers.
type machineView struct {
	reportedByOwner  bool
	reclaimPending   bool // the cloud is about to reclaim it
	draining         bool
	unhealthy        bool // tasks fail on it, probably through its own fault
	unreachable      bool // it has failed, hangs or ignores replies; see ownView
	unconfirmed      bool // its worker has not yet sent the token of the owner's term
	missedHeartbeats int  // 1: no heartbeat for two intervals, 2: for three
	failedJobCount   int  // see site.failedJobCount
	imageCount       int  // part of the view so that a new image changes it
}

// placement is a task that a job record places on a machine.
type placement struct {
	taskKey
	shard       int // index
	stop        wire.StopRequest
	epoch       uint64
	activeIndex int // index among the active tasks of the record
}

// taskKey identifies an attempt of a task.
type taskKey struct {
	job, task int // index of the job, number of the task
	attempt   uint64
}

// resourceUse is the capacity of a machine that its tasks use, and the part of it that will be
// released by tasks that are being stopped.
type resourceUse struct {
	cores, gpus, memoryGB                            float64
	releasingCores, releasingGPUs, releasingMemoryGB float64
	hasDaemon                                        bool // a daemon is among the tasks
	reportBytes                                      int  // size of the tasks in the machine's heartbeats, at most
}

// noPriority is higher than any priority.
const noPriority = 99

// usageOf returns the resources used by the tasks that the records place on a machine, and updates
// lowestPriority. A task counts until its record no longer contains it, that is until it is proven
// to have ended.
func (s *site) usageOf(machine *machine) *resourceUse {
	if machine.usageValid {
		return &machine.used
	}
	machine.used = resourceUse{}
	machine.usageValid = true
	machine.lowestPriority = noPriority
	for i := range machine.placements {
		p := &machine.placements[i]
		job := s.jobs[p.job]
		used := &machine.used
		used.reportBytes += maxStatusBytes(job.ID)
		spec := job.Record.Spec
		if spec == nil {
			continue
		}
		used.cores += spec.Cores
		used.gpus += spec.GPUs
		used.memoryGB += spec.MemoryGB
		used.hasDaemon = used.hasDaemon || spec.Shape == wire.ShapeDaemon
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
