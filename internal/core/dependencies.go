package core

import (
	"time"

	"micaport/internal/wire"
)

// readyPassDelay is the maximum time from the completion of a job's last dependency to the next
// scheduling pass. Because of the delay, the pass also covers other events that arrive shortly
// after the completion.
const readyPassDelay = 20 * time.Millisecond

// recordCancellations marks the records of jobs with a cancelled ancestor as cancelled, until the
// transaction is full. Answers to users don't depend on this change of the records, but after it
// controllers need less memory for the jobs.
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
		n.replica.RequeueFirstUnrecordedCancellation() // the job is checked again until the replica shows the change
		// The requeued jobs stay in the queue, so the loop must end when the transaction changes
		// all of them. If the transaction also changes other jobs, the loop ends earlier.
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
	return job.Links.DeadlineMS - n.estimatedRunTime(job.Record.Spec).Milliseconds()
}
