package core

import (
	"maps"
	"slices"

	"micaport/internal/wire"
)

// The tasks of a gang stop together, as none can go on without the others.

// abandonGang stops the other tasks of a gang's attempt. Tasks that are saving because
// they were asked to go on; those not yet placed are given up at once.
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

// stopReclaimedGangs asks gangs to save and exit of which a machine is about to be
// reclaimed.
func (n *Node) stopReclaimedGangs(writer *writer) {
	for _, index := range slices.Sorted(maps.Keys(n.gangsToStop)) {
		job := n.jobs[index]
		if job.Record == nil || job.Record.State != wire.JobLive ||
			!slices.ContainsFunc(job.Record.ActiveTasks, func(task wire.ActiveTask) bool { return task.Stop == wire.StopNone }) {
			delete(n.gangsToStop, index)
			continue
		}
		record := writer.job(job)
		if record == nil {
			return
		}
		preemptAll(record)
	}
}

// preemptAll asks every task of a job to save and exit.
func preemptAll(record *wire.Job) {
	record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool { return task.Machine == "" })
	for i := range record.ActiveTasks {
		if record.ActiveTasks[i].Stop == wire.StopNone {
			record.ActiveTasks[i].Stop = wire.StopPreempt
		}
	}
}
