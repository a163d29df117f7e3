package wire

// JobState is the state of a job's record.
type JobState int

// States of a job's record. Their numbers are stored; the last two are final.
const (
	JobLive      JobState = 0
	JobDone      JobState = 1
	JobCancelled JobState = 2
)

// Job is the record of a job and the only source of truth about it.
type Job struct {
	Spec              *JobSpec    `msgpack:"s,omitempty"` // nil once the job has ended and all its tasks are gone
	State             JobState    `msgpack:"st"`
	TaskCount         int         `msgpack:"n"`
	AcceptedAtMS      int64       `msgpack:"at"`           // wall-clock time of acceptance, Unix ms; used only to order queues
	NextAttempt       uint64      `msgpack:"nx"`           // the next unused attempt number; never decreases
	DoneTasks         TaskSet     `msgpack:"dn,omitempty"` // tasks that are done
	ActiveTasks       ActiveTasks `msgpack:"ac,omitempty"`
	ConsecutiveErrors int         `msgpack:"er,omitempty"` // failures since the last success, for the back-off
	FailedMachines    []string    `msgpack:"av,omitempty"` // the last machines that it failed on

	// OverflowKeys is the number of Overflow records, numbered from 1 on, that hold the active
	// tasks for which this record has no room. Format 2.
	OverflowKeys int `msgpack:"mo,omitempty"`

	// Where the record has no room for the job's dependencies, they are in DependencyList
	// records, all of which are written before this record and never change. Format 3.
	DependencyList     string `msgpack:"nl,omitempty"` // name of the list in their keys
	DependencyListKeys int    `msgpack:"nk,omitempty"` // number of keys, numbered from 1 on
}

// HasDependencies reports whether the job was submitted with dependencies on other jobs.
func (j *Job) HasDependencies() bool {
	return j.DependencyList != "" || j.Spec != nil && len(j.Spec.Dependencies) > 0
}

// DependencyList is the record of a part of a job's list of dependencies.
type DependencyList struct {
	JobIDs []string `msgpack:"w"`
}

// Overflow is the record of active tasks for which a job's own record has no room. A
// transaction that changes it changes the job's own record too, so that the revision of the
// latter covers both.
type Overflow struct {
	ActiveTasks ActiveTasks `msgpack:"ac"`
}
