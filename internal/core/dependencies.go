package core

import (
	"time"

	"micaport/internal/wire"
)

// stageDelay is how soon the leader looks again when the last dependency of a job is done:
// it may as well take in what else the same events bring.
const stageDelay = 20 * time.Millisecond

// recordCancellations writes the cancellations that follow from other records, with writes
// that nothing else needs. Answers to users don't depend on it; it lets controllers drop
// the jobs from memory.
func (n *Node) recordCancellations(writer *writer) {
	for n.replica.UnrecordedCancellations() > 0 {
		job := n.jobs[n.replica.FirstUnrecorded().Index]
		if job.Record == nil {
			return
		}
		if job.Record.State != wire.JobLive {
			n.replica.DropFirstUnrecorded()
			continue
		}
		record := writer.job(job)
		if record == nil {
			return
		}
		record.State = wire.JobCancelled
		n.replica.RequeueFirstUnrecorded() // until the replica shows it
		if len(writer.order) >= n.replica.UnrecordedCancellations() {
			return
		}
	}
}

// latestStartMS is by when a job of a chain has to begin to be in time; 0: no matter.
func (n *Node) latestStartMS(job *job) int64 {
	if job.Links == nil || job.Links.DeadlineMS == 0 {
		return 0
	}
	return job.Links.DeadlineMS - n.runTime(job.Record.Spec).Milliseconds()
}
