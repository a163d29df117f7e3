package core

import (
	"time"

	"micaport/internal/wire"
)

// readyPassDelay is the time from the completion of a job's last dependency to the scheduling
// pass that it triggers. It lets the pass cover other events that arrive together with it.
const readyPassDelay = 20 * time.Millisecond

// recordCancellations marks the records of jobs as cancelled that a cancelled ancestor cancels,
// as far as the transaction has writes left. Answers to users don't depend on these records,
// but they allow controllers to remove the jobs from memory.
func (n *Node) recordCancellations(writer *writer) {
	for n.replica.UnrecordedCancellations() > 0 {
		job := n.jobs[n.replica.FirstUnrecordedCancellation().Index]
		if job.Record == nil {
			return
		}
		if job.Record.State != wire.JobLive {
			n.replica.RemoveFirstUnrecordedCancellation()
			continue
		}
		record := writer.recordToChange(job)
		if record == nil {
			return
		}
		record.State = wire.JobCancelled
		n.replica.RequeueFirstUnrecordedCancellation() // it is checked again until the replica shows the change
		if len(writer.changedJobs) >= n.replica.UnrecordedCancellations() {
			return
		}
	}
}

// latestStartMS returns the latest start, in Unix milliseconds, with which a job that has
// dependencies or dependents meets its deadline. It returns 0 if the job has no deadline, or
// neither dependencies nor dependents.
func (n *Node) latestStartMS(job *job) int64 {
	if job.Links == nil || job.Links.DeadlineMS == 0 {
		return 0
	}
	return job.Links.DeadlineMS - n.runTime(job.Record.Spec).Milliseconds()
}
