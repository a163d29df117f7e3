package core

import "slices"

// Backfill is work of low urgency of teams without a guarantee. It runs on capacity that is paid
// for and unused anyway.

// backfillWaitTime is how long backfill waits before it may have on-demand machines.
const backfillWaitTime = 60 * second

// isBackfill reports whether a job is backfill. On-demand machines are neither provisioned for it
// nor granted to it while idle, unless it has waited for long with nothing started.
func (p *schedulingPass) isBackfill(queued *queuedJob) bool {
	job := queued.job
	if job.Priority > 0 || hasGuarantee(p.node.replica.Quota(job.Team)) {
		return false
	}
	return len(job.Record.ActiveTasks) > 0 || job.Record.NextAttempt > 1 ||
		job.waitingSince == 0 ||
		p.node.now-job.waitingSince < backfillWaitTime
}

// splitBackfill moves backfill from the queues to queues of its own. It is served after capacity
// has been reserved for what others will need at once.
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
