// Package replica holds a controller's copy of the records in the state service: jobs with
// the dependencies between them, their overflow keys, lists of dependencies, record formats
// and team accounts. The watch of the state service feeds it; it is never written to in any
// other way. It has no input or output.
//
// What it owns can be lost at any time: a process that starts reads it anew from a listing.
// Who needs to act on a change, while it is applied, is told through an Observer.
package replica

import (
	"time"

	"micaport/internal/indexset"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

// Time is the steady clock of the process, counted from its start.
type Time = time.Duration

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name                            string
	GuaranteedCores, GuaranteedGPUs float64
	MaxCores, MaxGPUs               float64
}

// Config is what a replica needs to know of the deployment and of its controller.
type Config struct {
	Self        string   // name of this controller
	Controllers []string // names of all controllers, this one included
	Teams       []Team   // quotas that hold until an account says otherwise
	Shards      int      // shards of the deployment

	Format            int // newest record format that this controller reads and writes
	MaxValueBytes     int // that hold at all times, also once announced lower limits do
	CurrentValueBytes int // that hold until then; 0: no other
	MaxTransactionOps int // writes in one transaction

	HeartbeatInterval Time // of workers
	WallClockMS       func() int64
	EstimateRunTime   func(*wire.JobSpec) Time
}

// Names maps names to dense indices, in the order in which they are first seen.
type Names struct {
	Zones, Teams, MachineTypes, Images, Machines, Jobs wire.Interner
}

// Observer is told of changes while they are applied. Its methods must not change the
// replica.
type Observer interface {
	// JobAdded is called for an id that has not been seen before; the job has the next
	// index and no record yet.
	JobAdded(job *Job)
	// JobChanging is called before a job's record is replaced; next is nil if it is gone.
	JobChanging(job *Job, next *wire.Job)
	// JobChanged is called after a job's record was replaced by another.
	JobChanged(job *Job)
	// JobReady is called when the last dependency of a job is done.
	JobReady(job *Job)
	// JobArrived is called when a job may run from now on: its record is new, or its last
	// dependency is done. Jobs of the first listing don't count.
	JobArrived(job *Job)
	// PriorityRaised is called when a job takes over the priority of one that depends on it.
	PriorityRaised(job *Job)
	// DependencyListMissing is called for a record that names a list which is not there.
	DependencyListMissing(job *Job)
	// FormatAgreed is called when all controllers have come to read a newer format.
	FormatAgreed(format int)
	// QuotaChanged is called when another guarantee or limit of a team is in force.
	QuotaChanged(team int)
	// AccountInvalid is called for an account that can't be used.
	AccountInvalid(team int, err error)
}

// Replica is a controller's copy of the records.
type Replica struct {
	cfg      Config
	names    *Names
	observer Observer

	now      Time // of the events that are being applied
	loaded   bool // the first listing has been applied
	revision uint64

	jobs     []*Job // by index of their id
	live     []int  // indices of jobs that are unfinished or still have tasks, ascending
	finished map[finishedKind]*wire.Job

	overflow        map[string]map[int]wire.ActiveTasks // by job id and number of the key
	dependencyLists map[string]map[string][]string      // by job id and key, until the job's record is applied

	unrecorded []int // jobs that a cancelled ancestor cancels, whose records don't say so yet

	ledger *quota.Ledger // accounts, and what is charged to them
	quotas []Team        // guarantees and limits in force

	formats map[string]int // newest format that each controller reads
	agreed  int            // newest format that all controllers read
}

// New makes an empty replica.
func New(cfg Config, names *Names, observer Observer) *Replica {
	r := &Replica{
		cfg: cfg, names: names, observer: observer,
		finished:        map[finishedKind]*wire.Job{},
		overflow:        map[string]map[int]wire.ActiveTasks{},
		dependencyLists: map[string]map[string][]string{},
		formats:         map[string]int{},
	}
	r.initQuotas()
	return r
}

// Loaded tells whether the first listing has been applied.
func (r *Replica) Loaded() bool { return r.loaded }

// Revision is the revision of the state service that the replica has reached.
func (r *Replica) Revision() uint64 { return r.revision }

// Reached notes that all events up to a revision have been applied; reset says that they
// were a full listing.
func (r *Replica) Reached(revision uint64, reset bool) {
	r.loaded = r.loaded || reset
	r.revision = max(r.revision, revision)
}

// SetTime sets the time of the events that are applied next.
func (r *Replica) SetTime(now Time) { r.now = now }

// Live lists the indices of the jobs that are unfinished or still have tasks on machines,
// in ascending order. It must not be changed.
func (r *Replica) Live() []int { return r.live }

// Find is the job with an id, or nil if the id has not been seen.
func (r *Replica) Find(id string) *Job {
	if index := r.names.Jobs.Find(id); index >= 0 {
		return r.jobs[index]
	}
	return nil
}

// ensure is the job with an id, also one whose record has not been seen.
func (r *Replica) ensure(id string) *Job {
	index := r.names.Jobs.Of(id)
	if index == len(r.jobs) {
		job := &Job{Index: index, ID: id, Image: -1, Team: -1, Zone: -1}
		r.jobs = append(r.jobs, job)
		r.observer.JobAdded(job)
	}
	return r.jobs[index]
}

// DeleteUnlisted deletes what a full listing lacks.
func (r *Replica) DeleteUnlisted(listed map[string]bool, revision uint64) {
	for _, job := range r.jobs {
		if job.Record != nil && !listed[wire.JobKey(job.ID)] {
			r.putJob(job.ID, nil, revision)
		}
	}
	for i := range r.cfg.Teams {
		if name := r.cfg.Teams[i].Name; !listed[wire.AccountKey(name)] {
			r.PutAccount(name, nil, revision)
		}
	}
	clear(r.overflow) // the listing holds all there are
}

// Job is the copy of a job's record, with what follows from it.
type Job struct {
	Index    int // of its id
	ID       string
	Record   *wire.Job // nil: not seen
	Revision uint64    // of the record
	Image    int       // index; -1 until the specification has been seen
	Priority int       // from 0 (low) to 3 (critical), its own or that of a job that depends on it
	Team     int       // index; -1: not a team of this deployment
	Zone     int       // the only zone allowed; -1: any

	MachineTypes indexset.Set // the types allowed, unless AnyType is set
	AnyType      bool
	AllowSpot    bool

	BaseBytes  int  // size of its record without its lists of tasks
	LargeArray bool // it has more tasks than can be active one by one; see MaxSingleTasks
	Unplaced   int  // active tasks that are granted and have no machine yet
	ChangedAt  Time // when the replica applied the record

	Links *DependencyLinks // nil: it depends on nothing, and nothing on it
}

// Allows tells whether a job's tasks may run on a machine type, in a zone, and on a spot
// machine if spot is set.
func (j *Job) Allows(machineType, zone int, spot bool) bool {
	return (j.AnyType || j.MachineTypes.Has(machineType)) && (j.Zone < 0 || j.Zone == zone) && (j.AllowSpot || !spot)
}

// State is a job's state as it follows from its record and those of its ancestors.
func (j *Job) State() wire.JobState {
	if j.Record.State == wire.JobLive && j.Links != nil && j.Links.AncestorCancelled {
		return wire.JobCancelled
	}
	return j.Record.State
}

// Demand is what a number of the job's tasks are charged.
func (j *Job) Demand(tasks int) quota.Amount {
	return quota.NewAmount(j.Record.Spec.Cores, j.Record.Spec.GPUs).Times(tasks)
}
