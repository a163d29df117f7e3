package core

import "micaport/internal/replica"

// shrinkRecords rewrites records of the earlier version that exceed the announced lower limits,
// which moves active tasks to overflow keys. Once the lower limits have taken effect, such large
// records can't be written any more.
func (n *Node) shrinkRecords(writer *writer) {
	if !n.replica.SupportsDependencies() || n.leader.recordsWithinLimits {
		return
	}
	n.leader.recordsWithinLimits = true
	for _, index := range n.replica.Live() {
		job := n.jobs[index]
		if job.Record.Spec == nil || job.Record.OverflowKeys > 0 ||
			job.BaseBytes+replica.TaskListBytes(job.Record.ActiveTasks, job.Record.DoneTasks) <= n.cfg.MaxValueBytes {
			continue
		}
		n.leader.recordsWithinLimits = false
		writer.writeOverflowFirst = true
		if writer.recordToChange(job) == nil {
			return
		}
	}
}
