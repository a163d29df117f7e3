package core

import "slices"

// Backfill is work of low urgency of teams without a guarantee. It runs on capacity that
// is paid for and unused anyway.

// isBackfill tells whether a job is backfill. Ordinary machines are neither provisioned for it
// nor given to it while idle, unless it has waited for long with nothing started.
func (p *schedulingPass) isBackfill(w *queuedJob) bool {
	j := w.job
	t := p.node.replica.Quota(j.Team)
	if j.Priority > 0 || t.GuaranteedGPUs > 0 || t.GuaranteedCores > 0 {
		return false
	}
	return len(j.Record.ActiveTasks) > 0 || j.Record.NextAttempt > 1 || j.waitingSince == 0 || p.node.now-j.waitingSince < backfillWaitTime
}

// splitBackfill takes backfill out of the queues. It is served after room has been set
// aside for what others will need at once.
func (p *schedulingPass) splitBackfill(qs []*teamQueue) (rest, backfill []*teamQueue) {
	for _, q := range qs {
		if slices.ContainsFunc(q.jobs, p.isBackfill) {
			x := &teamQueue{team: q.team}
			q.jobs = slices.DeleteFunc(q.jobs, func(w *queuedJob) bool {
				if p.isBackfill(w) {
					x.jobs = append(x.jobs, w)
					return true
				}
				return false
			})
			backfill = append(backfill, x)
			p.hasBackfill = true
		}
	}
	return qs, backfill
}

// backfillWaitTime is how long backfill waits before it may have ordinary machines.
const backfillWaitTime = 60 * second

// reserveRoom keeps free room from backfill for tasks that will probably come before
// backfill could be stopped for them, which takes two reports of a machine.
func (p *schedulingPass) reserveRoom(j *job, tasks int) {
	for range tasks {
		s := p.available.best(j, nil, nil)
		if s == nil {
			return
		}
		s.take(j.Record.Spec)
	}
}
