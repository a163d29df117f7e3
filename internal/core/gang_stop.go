package core

import (
	"maps"
	"slices"

	"micaport/internal/wire"
)

// abandonGang stops the remaining tasks of a gang's attempt, as none can run without the others.
// Tasks that already have a request to save and exit keep it. Tasks without a machine are removed at
// once.
func abandonGang(record *wire.Job, attempt uint64) {
	record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool {
		return task.Attempt == attempt && task.Machine == ""
	})
	for i := range record.ActiveTasks {
		if task := &record.ActiveTasks[i]; task.Attempt == attempt && task.Stop == wire.StopNone {
			task.Stop = wire.StopAbandon
		}
	}
}

// stopReclaimedGangs requests, in the jobs' records, that all tasks of the gangs in gangsToStop save
// and exit. It removes gangs from gangsToStop that are stopping or have ended.
func (n *Node) stopReclaimedGangs(writer *writer) {
	for _, index := range slices.Sorted(maps.Keys(n.gangsToStop)) {
		job := n.jobs[index]
		if job.Record == nil || job.Record.State != wire.JobLive ||
			!slices.ContainsFunc(job.Record.ActiveTasks, func(task wire.ActiveTask) bool { return task.Stop == wire.StopNone }) {
			delete(n.gangsToStop, index)
			continue
		}
		record := writer.recordToChange(job)
		if record == nil {
			return
		}
		requestJobPreemption(record)
	}
}

// requestJobPreemption requests in a job's record that every placed task saves and exits, and
// removes the other active tasks.
func requestJobPreemption(record *wire.Job) {
	record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool { return task.Machine == "" })
	for i := range record.ActiveTasks {
		if record.ActiveTasks[i].Stop == wire.StopNone {
			record.ActiveTasks[i].Stop = wire.StopPreempt
		}
	}
}
