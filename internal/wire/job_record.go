package wire

import "fmt"

// JobState is the state of a job's record.
type JobState int

// States of a job's record. Their numbers are stored; the last two are final.
const (
	JobLive      JobState = 0
	JobDone      JobState = 1
	JobCancelled JobState = 2
)

// Job is the record of a job, which is the authoritative source of its state.
type Job struct {
	Spec              *JobSpec    `msgpack:"s,omitempty"` // nil once the job is done or cancelled and none of its tasks is active
	State             JobState    `msgpack:"st"`
	TaskCount         int         `msgpack:"n"`
	AcceptedAtMS      int64       `msgpack:"at"`           // wall-clock time of acceptance, Unix ms; used only to order queues
	NextAttempt       uint64      `msgpack:"nx"`           // the next unused attempt number; never decreases
	DoneTasks         TaskSet     `msgpack:"dn,omitempty"` // tasks that are done
	ActiveTasks       ActiveTasks `msgpack:"ac,omitempty"`
	ConsecutiveErrors int         `msgpack:"er,omitempty"` // number of failures since the last success, for the back-off
	FailedMachines    []string    `msgpack:"av,omitempty"` // the machines on which it failed most recently

	// OverflowKeys is the number of Overflow records, numbered from 1 on, that hold the active
	// tasks that don't fit into this record. Format 2.
	OverflowKeys int `msgpack:"mo,omitempty"`

	// If the job's dependencies don't fit into this record, they are stored in DependencyList
	// records, all of which are written before this record and never change. Format 3.
	DependencyList     string `msgpack:"nl,omitempty"` // name of the list in their keys
	DependencyListKeys int    `msgpack:"nk,omitempty"` // number of keys, numbered from 1 on
}

// checkCounts returns an error if a count in the record exceeds MaxTasks: a job has at most that many
// tasks, and each of its keys holds at least one task or dependency. Counts govern loops.
func (j *Job) checkCounts() error {
	for _, count := range []int{j.TaskCount, j.OverflowKeys, j.DependencyListKeys} {
		if count < 0 || count > MaxTasks {
			return fmt.Errorf("count %d, want 0 to %d", count, MaxTasks)
		}
	}
	return nil
}

// HasDependencies reports whether the job was submitted with dependencies on other jobs.
func (j *Job) HasDependencies() bool {
	return j.DependencyList != "" || j.Spec != nil && len(j.Spec.Dependencies) > 0
}

// DependencyList is the record of a part of a job's dependencies that don't fit into the job's own
// record.
type DependencyList struct {
	JobIDs []string `msgpack:"w"`
}

// Overflow is the record of active tasks that don't fit into a job's own record. Once the job's own
// record refers to it, it changes only in transactions that also change that record, whose revision
// therefore covers both.
type Overflow struct {
	ActiveTasks ActiveTasks `msgpack:"ac"`
}
