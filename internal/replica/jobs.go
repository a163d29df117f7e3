package replica

import (
	"slices"

	"micaport/internal/wire"
)

// finishedRecordKey identifies the shared record of finished jobs that have no active tasks.
type finishedRecordKey struct {
	state     wire.JobState
	taskCount int
}

// PutJob applies the record of a job. The overflow keys and the dependency list that the record
// refers to must have been applied before. The replica keeps the record and adds the tasks in the
// overflow keys to it.
func (r *Replica) PutJob(id string, record *wire.Job, revision uint64) {
	r.applyRecord(id, record, revision)
	delete(r.stagedDependencyLists, id)
}

// applyRecord applies the record of a job, or its absence if record is nil. It ignores revisions
// that are not newer than the applied one.
func (r *Replica) applyRecord(id string, record *wire.Job, revision uint64) {
	job := r.findOrAdd(id)
	if revision <= job.Revision {
		return
	}
	if record != nil {
		r.addOverflowTasks(id, record)
	}
	r.observer.JobChanging(job, record)
	r.charge(job, -1)
	if record != nil && record.State != wire.JobLive && len(record.ActiveTasks) == 0 && len(record.DoneTasks) == 0 {
		record = r.sharedFinishedRecord(record)
	}
	job.Record = record
	job.Revision = revision
	job.ChangedAt = r.now
	if record == nil {
		r.setLive(job, false)
		return
	}
	if record.Spec != nil && job.Image < 0 { // the first record with the specification
		r.applySpec(job, record.Spec)
		if r.loaded && !record.HasDependencies() {
			r.observer.JobArrived(job)
		}
	}
	r.propagateFinalState(job)
	r.observer.JobChanged(job)
	r.charge(job, 1)
	job.Unplaced = countUnplaced(record)
	r.setLive(job, record.State == wire.JobLive || len(record.ActiveTasks) > 0)
}

// countUnplaced returns the number of tasks that are granted and have no machine yet.
func countUnplaced(record *wire.Job) int {
	count := 0
	for i := range record.ActiveTasks {
		if record.ActiveTasks[i].Machine == "" {
			count++
		}
	}
	return count
}

// sharedFinishedRecord returns one record for all finished jobs with the same state and
// number of tasks. Finished jobs are never deleted and numerous, so sharing saves memory.
func (r *Replica) sharedFinishedRecord(record *wire.Job) *wire.Job {
	key := finishedRecordKey{record.State, record.TaskCount}
	if shared := r.finishedRecords[key]; shared != nil {
		return shared
	}
	r.finishedRecords[key] = &wire.Job{State: record.State, TaskCount: record.TaskCount}
	return r.finishedRecords[key]
}

// applySpec sets the fields of a job that follow from its specification, with indices in place of
// names, and links the job to its dependencies.
func (r *Replica) applySpec(job *Job, spec *wire.JobSpec) {
	job.Image = r.names.Images.Intern(spec.Image)
	job.Priority = max(job.Priority, priorityOf(spec.Priority)) // a dependent may have raised it already
	job.Team = r.names.Teams.Find(spec.Team)
	if spec.Zone != "" {
		job.Zone = r.names.Zones.Intern(spec.Zone)
	}
	job.AllowSpot, job.AnyType = spec.AllowSpot, len(spec.MachineTypes) == 0 && !spec.NoMachineTypes
	r.updateRecordSize(job)
	for _, name := range spec.MachineTypes {
		job.MachineTypes.Add(r.names.MachineTypes.Intern(name))
	}
	r.linkDependencies(job)
}

// priorityOf returns the rank of a named priority; more urgent ones rank higher.
func priorityOf(name string) int {
	switch name {
	case "critical":
		return 3
	case "high":
		return 2
	case "standard":
		return 1
	}
	return 0
}

// setLive adds a job to the list of live jobs or removes it.
func (r *Replica) setLive(job *Job, live bool) {
	at, found := slices.BinarySearch(r.live, job.Index)
	if live && !found {
		r.live = slices.Insert(r.live, at, job.Index)
	} else if !live && found {
		r.live = slices.Delete(r.live, at, at+1)
	}
}
