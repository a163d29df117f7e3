package replica

import (
	"slices"

	"micaport/internal/wire"
)

// finishedKind is what tells finished jobs apart that have nothing left on machines.
type finishedKind struct {
	state     wire.JobState
	taskCount int
}

// PutJob applies the record of a job. Overflow keys and lists of dependencies that the
// record names must have been applied before.
func (r *Replica) PutJob(id string, record *wire.Job, revision uint64) {
	r.putJob(id, record, revision)
	delete(r.dependencyLists, id)
}

// putJob applies the record of a job, or its absence, unless it is an old one.
func (r *Replica) putJob(id string, record *wire.Job, revision uint64) {
	job := r.ensure(id)
	if revision <= job.Revision {
		return
	}
	if record != nil {
		r.assemble(id, record)
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
	if record.Spec != nil && job.Image < 0 {
		r.indexSpec(job, record.Spec)
		if r.loaded && !record.HasDependencies() {
			r.observer.JobArrived(job)
		}
	}
	r.notifyDependents(job)
	r.observer.JobChanged(job)
	r.charge(job, 1)
	job.Unplaced = countUnplaced(record)
	r.setLive(job, record.State == wire.JobLive || len(record.ActiveTasks) > 0)
}

// countUnplaced counts the tasks that are granted and have no machine yet.
func countUnplaced(record *wire.Job) int {
	count := 0
	for i := range record.ActiveTasks {
		if record.ActiveTasks[i].Machine == "" {
			count++
		}
	}
	return count
}

// sharedFinishedRecord is one record for all finished jobs that nothing tells apart any
// more. Finished jobs are kept for ever, and there are very many.
func (r *Replica) sharedFinishedRecord(record *wire.Job) *wire.Job {
	key := finishedKind{record.State, record.TaskCount}
	if shared := r.finished[key]; shared != nil {
		return shared
	}
	r.finished[key] = &wire.Job{State: record.State, TaskCount: record.TaskCount}
	return r.finished[key]
}

// indexSpec maps the names in a specification to indices.
func (r *Replica) indexSpec(job *Job, spec *wire.JobSpec) {
	job.Image = r.names.Images.Of(spec.Image)
	job.Priority = max(job.Priority, priorityOf(spec.Priority))
	job.Team = r.names.Teams.Find(spec.Team)
	if spec.Zone != "" {
		job.Zone = r.names.Zones.Of(spec.Zone)
	}
	job.AllowSpot, job.AnyType = spec.AllowSpot, len(spec.MachineTypes) == 0 && !spec.NoMachineTypes
	r.measure(job)
	for _, name := range spec.MachineTypes {
		job.MachineTypes.Add(r.names.MachineTypes.Of(name))
	}
	r.linkDependencies(job)
}

// priorityOf is the rank of a priority's name, higher for more urgent.
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

// setLive adds a job to the live ones or removes it.
func (r *Replica) setLive(job *Job, live bool) {
	at, found := slices.BinarySearch(r.live, job.Index)
	if live && !found {
		r.live = slices.Insert(r.live, at, job.Index)
	} else if !live && found {
		r.live = slices.Delete(r.live, at, at+1)
	}
}
