package core

import "slices"

// sparesOnly tells whether a job is to fill what is spare: work of low urgency of
// a team without a guarantee. Ordinary machines are neither hired for it nor
// taken out of idleness, until it has waited for longer with nothing started.
func (p *plan) sparesOnly(w *want) bool {
	j := w.j
	t := &p.n.cfg.Teams[j.team]
	if j.prio > 0 || t.Cards > 0 || t.Cores > 0 {
		return false
	}
	return len(j.rec.Active) > 0 || j.rec.Next > 1 || j.blockedSince == 0 || p.n.now-j.blockedSince < sparePatience
}

// apart takes the work that is to fill what is spare out of the queues. It is
// served when the room that others will need at once has been set aside.
func (p *plan) apart(qs []*teamQueue) (rest, spares []*teamQueue) {
	for _, q := range qs {
		if slices.ContainsFunc(q.wants, p.sparesOnly) {
			x := &teamQueue{team: q.team}
			q.wants = slices.DeleteFunc(q.wants, func(w *want) bool {
				if p.sparesOnly(w) {
					x.wants = append(x.wants, w)
					return true
				}
				return false
			})
			spares = append(spares, x)
			p.spares = true
		}
	}
	return qs, spares
}

// sparePatience is how long work that fills what is spare waits for that.
const sparePatience = 60 * second

// keepFree takes free room for tasks that will probably come before what fills
// spare room could be stopped for them: that takes a report to be told and one to
// show it.
func (p *plan) keepFree(j *job, tasks int) {
	for range tasks {
		s := p.up.best(j, nil, nil)
		if s == nil {
			return
		}
		s.take(j.rec.Spec)
	}
}
