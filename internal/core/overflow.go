package core

import "micaport/internal/replica"

// shrinkRecords rewrites what the earlier version has left larger than the limits
// that are to come, while it still can be written at all.
func (n *Node) shrinkRecords(w *writer) {
	if !n.replica.WritesDependencies() || n.leader.recordsFit {
		return
	}
	n.leader.recordsFit = true
	for _, jx := range n.replica.Live() {
		j := n.jobs[jx]
		if j.Record.Spec == nil || j.Record.OverflowKeys > 0 || j.BaseBytes+replica.TaskListBytes(j.Record.ActiveTasks, j.Record.DoneTasks) <= n.cfg.MaxValueBytes {
			continue
		}
		n.leader.recordsFit = false
		w.writeOverflowFirst = true
		if w.job(j) == nil {
			return
		}
	}
}
