package core

import "slices"

// Backfill is work of low urgency of teams without a guarantee. It runs on capacity that
// is paid for and unused anyway.

// isBackfill tells whether a job is backfill. Ordinary machines are neither provisioned for it
// nor given to it while idle, unless it has waited for long with nothing started.
func (pass *schedulingPass) isBackfill(queued *queuedJob) bool {
	job := queued.job
	t := pass.node.replica.Quota(job.Team)
	if job.Priority > 0 || t.GuaranteedGPUs > 0 || t.GuaranteedCores > 0 {
		return false
	}
	return len(job.Record.ActiveTasks) > 0 || job.Record.NextAttempt > 1 || job.waitingSince == 0 || pass.node.now-job.waitingSince < backfillWaitTime
}

// splitBackfill takes backfill out of the queues. It is served after room has been set
// aside for what others will need at once.
func (pass *schedulingPass) splitBackfill(qs []*teamQueue) (rest, backfill []*teamQueue) {
	for _, queue := range qs {
		if slices.ContainsFunc(queue.jobs, pass.isBackfill) {
			x := &teamQueue{team: queue.team}
			queue.jobs = slices.DeleteFunc(queue.jobs, func(queued *queuedJob) bool {
				if pass.isBackfill(queued) {
					x.jobs = append(x.jobs, queued)
					return true
				}
				return false
			})
			backfill = append(backfill, x)
			pass.hasBackfill = true
		}
	}
	return qs, backfill
}

// backfillWaitTime is how long backfill waits before it may have ordinary machines.
const backfillWaitTime = 60 * second
