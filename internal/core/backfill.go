package core

import "slices"

// isBackfill tells whether a job is to fill what is spare: work of low urgency of
// a team without a guarantee. Ordinary machines are neither hired for it nor
// taken out of idleness, until it has waited for longer with nothing started.
func (p *plan) isBackfill(w *queuedJob) bool {
	j := w.j
	t := &p.n.cfg.Teams[j.team]
	if j.prio > 0 || t.Cards > 0 || t.Cores > 0 {
		return false
	}
	return len(j.rec.Active) > 0 || j.rec.Next > 1 || j.blockedSince == 0 || p.n.now-j.blockedSince < backfillPatience
}

// splitBackfill takes the work that is to fill what is spare out of the queues. It is
// served when the room that others will need at once has been set aside.
func (p *plan) splitBackfill(qs []*teamQueue) (rest, spares []*teamQueue) {
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
			spares = append(spares, x)
			p.hasBackfill = true
		}
	}
	return qs, spares
}

// backfillPatience is how long work that fills what is spare waits for that.
const backfillPatience = 60 * second

// reserveRoom takes free room for tasks that will probably come before what fills
// spare room could be stopped for them: that takes a report to be told and one to
// show it.
func (p *plan) reserveRoom(j *job, tasks int) {
	for range tasks {
		s := p.up.best(j, nil, nil)
		if s == nil {
			return
		}
		s.take(j.rec.Spec)
	}
}
