package core

import "micaport/internal/replica"

// shrinkRecords rewrites what the earlier version has left larger than the limits
// that are to come, while it still can be written at all.
func (n *Node) shrinkRecords(writer *writer) {
	if !n.replica.WritesDependencies() || n.leader.recordsFit {
		return
	}
	n.leader.recordsFit = true
	for _, index := range n.replica.Live() {
		job := n.jobs[index]
		if job.Record.Spec == nil || job.Record.OverflowKeys > 0 ||
			job.BaseBytes+replica.TaskListBytes(job.Record.ActiveTasks, job.Record.DoneTasks) <= n.cfg.MaxValueBytes {
			continue
		}
		n.leader.recordsFit = false
		writer.writeOverflowFirst = true
		if writer.job(job) == nil {
			return
		}
	}
}
