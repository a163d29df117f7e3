package core

import "slices"

// backfillWaitTime is how long backfill waits before idle on-demand machines are used or
// provisioned for it.
const backfillWaitTime = 60 * second

// isBackfill reports whether a job is backfill: a job of the lowest priority, of a team without a
// guarantee, which runs on capacity that is paid for but unused. On-demand machines are neither
// provisioned for backfill nor granted to it while idle. A job of which no task was ever
// granted no longer counts as backfill once it has waited for backfillWaitTime.
func (p *schedulingPass) isBackfill(queued *queuedJob) bool {
	job := queued.job
	if job.Priority > 0 || hasGuarantee(p.node.replica.Quota(job.Team)) {
		return false
	}
	return len(job.Record.ActiveTasks) > 0 || job.Record.NextAttempt > 1 ||
		job.waitingSince == 0 ||
		p.node.now-job.waitingSince < backfillWaitTime
}

// splitBackfill moves the backfill jobs from the queues to queues of their own, which are served
// after capacity has been reserved for jobs that will need it soon.
func (p *schedulingPass) splitBackfill(queues []*teamQueue) (rest, backfill []*teamQueue) {
	for _, queue := range queues {
		if !slices.ContainsFunc(queue.jobs, p.isBackfill) {
			continue
		}
		backfillQueue := &teamQueue{team: queue.team}
		queue.jobs = slices.DeleteFunc(queue.jobs, func(queued *queuedJob) bool {
			isBackfill := p.isBackfill(queued)
			if isBackfill {
				backfillQueue.jobs = append(backfillQueue.jobs, queued)
			}
			return isBackfill
		})
		backfill = append(backfill, backfillQueue)
		p.hasBackfill = true
	}
	return queues, backfill
}
