package replica

import (
	"slices"

	"micaport/internal/wire"
)

// CloneRecord returns a copy of a record whose tasks and failed machines can be changed
// independently.
func CloneRecord(record *wire.Job) *wire.Job {
	clone := *record
	clone.ActiveTasks = slices.Clone(record.ActiveTasks)
	clone.DoneTasks = slices.Clone(record.DoneTasks)
	clone.FailedMachines = slices.Clone(record.FailedMachines)
	return &clone
}

// CompactRecord sets the state of a live record whose tasks are all done to done, and clears
// the fields that a finished record does not need. The specification is kept while tasks are
// active, because their demand is charged to the team.
func CompactRecord(record *wire.Job) {
	if record.State == wire.JobLive && record.DoneTasks.Count() == record.TaskCount {
		record.State = wire.JobDone
	}
	if record.State == wire.JobLive || len(record.ActiveTasks) > 0 || record.OverflowKeys > 0 {
		return
	}
	record.Spec = nil
	record.FailedMachines = nil
	record.ConsecutiveErrors = 0
	if record.State == wire.JobDone {
		record.DoneTasks = nil
	}
}

// JobStatus returns the status that users see of a job with the given record.
func JobStatus(id string, record *wire.Job) wire.JobStatus {
	status := wire.JobStatus{JobID: id, Status: wire.StatusPending, Done: record.DoneTasks.Count()}
	switch record.State {
	case wire.JobDone:
		return wire.JobStatus{JobID: id, Status: wire.StatusDone, Done: record.TaskCount}
	case wire.JobCancelled:
		status.Status = wire.StatusCancelled
		return status
	}
	status.Running = len(record.ActiveTasks) - countUnplaced(record)
	if status.Running > 0 {
		status.Status = wire.StatusRunning
	}
	return status
}

// PendingTasks returns up to limit tasks that are neither done nor active. The lowest numbers
// come first, which keeps the number of ranges in the set of done tasks small.
func PendingTasks(record *wire.Job, limit int) []int {
	if limit <= 0 || record.State != wire.JobLive {
		return nil
	}
	active := make(map[int]bool, len(record.ActiveTasks))
	for _, a := range record.ActiveTasks {
		active[a.Task] = true
	}
	var pending []int
	task, nextRange := 0, 0
	for task < record.TaskCount && len(pending) < limit {
		if nextRange < len(record.DoneTasks) && record.DoneTasks[nextRange].First <= task {
			task = record.DoneTasks[nextRange].End
			nextRange++
			continue
		}
		if !active[task] {
			pending = append(pending, task)
		}
		task++
	}
	return pending
}
