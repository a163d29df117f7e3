// Package replica holds a controller's in-memory copy of the records in the state service:
// jobs with the dependencies between them, their overflow keys, dependency lists, record
// formats and team accounts. It changes only by applying events of the state service's watch,
// and does no input or output itself.
//
// The copy is not persistent: a process that starts rebuilds it from a full listing. An
// Observer is notified of each change while it is applied.
package replica

import (
	"time"

	"micaport/internal/indexset"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

// Time is a reading of the process's monotonic clock: the time since the process started.
type Time = time.Duration

// Team holds the guarantee and the limit of a team; 0 means none.
type Team struct {
	Name                            string
	GuaranteedCores, GuaranteedGPUs float64
	MaxCores, MaxGPUs               float64
}

// Config holds the settings of the deployment and of this controller that a replica needs.
type Config struct {
	Self        string   // name of this controller
	Controllers []string // names of all controllers, this one included
	Teams       []Team   // quotas of teams without an account that overrides them
	Shards      int      // number of shards in the deployment

	Format            int // newest record format that this controller reads and writes
	MaxValueBytes     int // size limit of a value that holds at all times, also after an announced reduction
	CurrentValueBytes int // size limit of a value until the announced reduction; 0: no such limit
	MaxTransactionOps int // largest number of writes in one transaction

	HeartbeatInterval time.Duration // of workers
	WallClockMS       func() int64  // Unix ms
	EstimateRunTime   func(*wire.JobSpec) time.Duration
}

// Names maps names to consecutive indices, in the order in which the names first occur.
type Names struct {
	Zones, Teams, MachineTypes, Images, Machines, Jobs wire.Interner
}

// Observer is notified of changes while they are applied. Its methods must not change the
// replica.
type Observer interface {
	// JobAdded is called for the first occurrence of a job's id. The job has the next index
	// and no record yet.
	JobAdded(job *Job)
	// JobChanging is called before a job's record is replaced; next is nil if the record was
	// deleted.
	JobChanging(job *Job, next *wire.Job)
	// JobChanged is called after a job's record was replaced, but not after its deletion.
	JobChanged(job *Job)
	// JobReady is called when the last dependency of a job is done.
	JobReady(job *Job)
	// JobArrived is called when a job becomes runnable: its record is new and has no
	// dependencies, or its last dependency is done. It is not called during the first listing.
	JobArrived(job *Job)
	// PriorityRaised is called when a job inherits the priority of a job that depends on it.
	PriorityRaised(job *Job)
	// DependencyListMissing is called for a record whose dependency list is incomplete.
	DependencyListMissing(job *Job)
	// FormatAgreed is called when the newest format that all controllers read increases.
	FormatAgreed(format int)
	// QuotaChanged is called when the guarantee or the limit of a team has changed.
	QuotaChanged(team int)
	// AccountInvalid is called for an account that the ledger rejects.
	AccountInvalid(team int, err error)
}

// Replica is a controller's in-memory copy of the records.
type Replica struct {
	cfg      Config
	names    *Names
	observer Observer

	now      Time // time of the events that are being applied
	loaded   bool // the first listing has been applied
	revision uint64

	jobs            []*Job // by index of the job's id
	live            []int  // indices of jobs that are unfinished or still have active tasks, ascending
	finishedRecords map[finishedRecordKey]*wire.Job

	overflow              map[string]map[int]wire.ActiveTasks // by job id and number of the key
	stagedDependencyLists map[string]map[string][]string      // by job id and key, until the job's record is applied

	linkedJobs    []*Job // linked since urgency was last propagated
	ranksOutdated bool   // the rank of a job may not be above those of its dependencies
	visitedLinks  uint64 // see VisitedLinks

	unrecordedCancellations []int // queue of jobs that are cancelled by an ancestor, whose records may not show it yet

	ledger *quota.Ledger // accounts of the teams and the charges to them
	quotas []Team        // guarantees and limits in force

	supportedFormats map[string]int // newest format that each controller reads
	agreedFormat     int            // newest format that all controllers read
}

// New returns an empty replica.
func New(cfg Config, names *Names, observer Observer) *Replica {
	r := &Replica{
		cfg: cfg, names: names, observer: observer,
		finishedRecords:       map[finishedRecordKey]*wire.Job{},
		overflow:              map[string]map[int]wire.ActiveTasks{},
		stagedDependencyLists: map[string]map[string][]string{},
		supportedFormats:      map[string]int{},
	}
	r.initQuotas()
	return r
}

// Loaded reports whether the first listing has been applied.
func (r *Replica) Loaded() bool { return r.loaded }

// Revision returns the revision of the state service up to which events have been applied.
func (r *Replica) Revision() uint64 { return r.revision }

// MarkApplied records that all events up to a revision have been applied, and completes what they
// have changed. fullListing is set if they were those of a full listing.
func (r *Replica) MarkApplied(revision uint64, fullListing bool) {
	r.propagateUrgency()
	r.loaded = r.loaded || fullListing
	r.revision = max(r.revision, revision)
}

// SetTime sets the time of the events that are applied next.
func (r *Replica) SetTime(now Time) { r.now = now }

// Live returns the indices of the jobs that are unfinished or still have active tasks, in
// ascending order. The caller must not change the slice.
func (r *Replica) Live() []int { return r.live }

// Find returns the job with an id, or nil if the id has not occurred yet.
func (r *Replica) Find(id string) *Job {
	if index := r.names.Jobs.Find(id); index >= 0 {
		return r.jobs[index]
	}
	return nil
}

// findOrAdd returns the job with an id, and adds a job without a record if the id is new.
func (r *Replica) findOrAdd(id string) *Job {
	index := r.names.Jobs.Intern(id)
	if index == len(r.jobs) {
		job := &Job{Index: index, ID: id, Image: -1, Team: -1, Zone: -1}
		r.jobs = append(r.jobs, job)
		r.observer.JobAdded(job)
	}
	return r.jobs[index]
}

// DeleteUnlisted deletes the jobs and accounts that are not in a full listing, and all
// overflow keys, which the events of the listing add again.
func (r *Replica) DeleteUnlisted(listed map[string]bool, revision uint64) {
	for _, job := range r.jobs {
		if job.Record != nil && !listed[wire.JobKey(job.ID)] {
			r.applyRecord(job.ID, nil, revision)
		}
	}
	for i := range r.cfg.Teams {
		if name := r.cfg.Teams[i].Name; !listed[wire.AccountKey(name)] {
			r.PutAccount(name, nil, revision)
		}
	}
	clear(r.overflow) // the listing has all overflow keys
}

// Job is the copy of a job's record, together with values derived from it.
type Job struct {
	Index    int // index of its id
	ID       string
	Record   *wire.Job // nil: not applied yet, or deleted
	Revision uint64    // of the record
	Image    int       // index; -1 until a record with the specification has been applied
	Priority int       // from 0 (low) to 3 (critical), the highest of its own and those of its descendants
	Team     int       // index; -1: not a team of this deployment
	Zone     int       // index of the only zone allowed; -1: any

	MachineTypes indexset.Set // the types allowed, unless AnyType is set
	AnyType      bool
	AllowSpot    bool

	BaseBytes  int  // bound of the size of its record without its task lists; see the function BaseBytes
	LargeArray bool // it is an array with more tasks than MaxTasksWithoutRuns
	Unplaced   int  // number of active tasks that are granted and have no machine yet
	ChangedAt  Time // when the replica applied the record

	Links *DependencyLinks // nil if the job has neither dependencies nor dependents, or is finished
}

// Allows reports whether the job's tasks may run on a machine of the given type and zone,
// which is a spot machine if spot is set.
func (j *Job) Allows(machineType, zone int, spot bool) bool {
	return (j.AnyType || j.MachineTypes.Has(machineType)) && (j.Zone < 0 || j.Zone == zone) && (j.AllowSpot || !spot)
}

// State returns the state of a job that follows from its record and from those of its
// ancestors.
func (j *Job) State() wire.JobState {
	if j.Record.State == wire.JobLive && j.Links != nil && j.Links.AncestorCancelled {
		return wire.JobCancelled
	}
	return j.Record.State
}

// Demand returns the amount that is charged for a number of the job's tasks.
func (j *Job) Demand(tasks int) quota.Amount {
	return quota.NewAmount(j.Record.Spec.Cores, j.Record.Spec.GPUs).Times(tasks)
}
