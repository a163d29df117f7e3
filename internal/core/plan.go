package core

import (
	"slices"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// usage is what a team's tasks take.
type usage struct{ cores, cards float64 }

func (u *usage) add(sp *wire.Spec, k float64) {
	u.cores += sp.Cores * k
	u.cards += sp.Cards * k
}

// plan holds the state of one planning pass.
type plan struct {
	n           *Node
	w           *writer
	up          *slotSet       // machines up
	expected    *slotSet       // machines booting, hired or to be hired
	used        []usage        // by team, with what the pass adds
	added       []quota.Amount // by team, what the pass adds
	atLimit     []bool         // by team: the limit alone kept something waiting
	admission   *admission     // the pass admits within our own shares; nil: it grants as the leader
	hires       map[pool]int
	count       map[pool]int  // machines of each pool, up, coming or planned
	starved     *queuedJob    // the gang that gathers room before all others
	kept        []wire.Kept   // for it
	unmet       []unmetDemand // demands that found no free room in this pass
	hasBackfill bool          // there is backfill
	ungranted   int           // grants that found no put, at most 50
	stops       int
	waiting     int // tasks for which there was no room
}

// plan grants waiting tasks to parts, in the order of the queue, and works
// out what to hire, stop and return. It tells how many jobs were left for want
// of puts.
func (n *Node) plan(w *writer) int {
	p := n.newPlan(w)
	p.addMachines()
	p.chargeTeams()
	p.chargeGrants()
	n.addExpected(p)
	idle := p.idleSlots()
	queues, backfill := p.splitBackfill(n.queues())
	left := p.serveQueues(queues)
	if !slices.Equal(p.kept, n.leader.kept) {
		n.leader.kept = p.kept
		n.gossip(true)
	}
	p.planStages()
	p.keepReserve()
	// Backfill must not claim the writes that others need.
	left += (p.serveQueues(backfill) - left) / backfillShare
	p.dealShares()
	p.logRoom(idle)
	n.hireAndReturn(p, idle)
	return left
}

// newPlan begins a planning pass with nothing known.
func (n *Node) newPlan(w *writer) *plan {
	return &plan{
		n: n, w: w, up: newSlotSet(n), expected: newSlotSet(n),
		used: make([]usage, n.teams.Len()), added: make([]quota.Amount, n.teams.Len()), atLimit: make([]bool, n.teams.Len()), hires: map[pool]int{}, count: map[pool]int{},
	}
}

// addMachines takes in the machines that tasks may be granted to.
func (p *plan) addMachines() {
	for _, x := range p.n.parts {
		for _, h := range x.hosts {
			p.n.work++
			if s := p.n.leaderSlot(h); s != nil {
				p.up.add(s)
				p.count[s.pool()]++
			}
		}
	}
}

// chargeTeams takes what every team is charged: each active task, whatever its job's state.
func (p *plan) chargeTeams() {
	for team := range p.used {
		p.used[team].cores, p.used[team].cards = p.n.ledger.Used(team).Decimal()
	}
}

// charge counts tasks of a job against its team for the rest of the pass.
func (p *plan) charge(j *job, tasks int) {
	p.used[j.team].add(j.rec.Spec, float64(tasks))
	p.added[j.team] = p.added[j.team].Plus(j.demand(tasks))
}

// logRoom logs how much of the site is in use, for debugging.
func (p *plan) logRoom(idle map[*slot]bool) {
	n := p.n
	idleSpot, spot, half := 0, 0, 0
	for _, s := range p.up.all {
		switch {
		case s.spot && idle[s]:
			idleSpot++
		case !idle[s] && s.cards >= 1:
			half++
		}
		if s.spot {
			spot++
		}
	}
	n.log(LogDebug, "room", "up", len(p.up.all), "spot", spot, "idle", len(idle), "idle_spot", idleSpot, "partly_free", half, "coming", len(p.expected.all), "hires", len(n.leader.cloud.hires), "blocked", p.waiting)
}

// backfillShare is how many grants of backfill without a write left count as one pending
// record when the writes are shared.
const backfillShare = 3

// chargeGrants takes room for grants that their owners have not placed yet.
func (p *plan) chargeGrants() {
	n := p.n
	var byHost map[*host]*slot
	for _, jx := range n.live {
		j := n.jobs[jx]
		if j.rec.Spec == nil || j.unplaced == 0 {
			continue
		}
		if byHost == nil {
			byHost = make(map[*host]*slot, len(p.up.all))
			for _, s := range p.up.all {
				byHost[s.h] = s
			}
		}
		for _, a := range j.rec.Active {
			if a.Host != "" {
				continue
			}
			s := byHost[n.leader.hint[taskKey{j.ix, a.Task, a.Attempt}]]
			if s == nil {
				s = p.up.best(j, func(s *slot) bool { return s.part == a.Part }, nil)
			}
			if s != nil {
				s.take(j.rec.Spec)
			}
		}
	}
}

// forgetHints drops the machines that placed grants had in mind, so that the memory is
// bounded by the grants that wait rather than by a number.
func (n *Node) forgetHints() {
	for k := range n.leader.hint {
		if j := n.jobs[k.job]; !j.awaitsPlacing(k) && n.now-j.grantedAt > hintLife {
			delete(n.leader.hint, k)
		}
	}
}

// hintLife is how long the leader remembers the machine that a grant had in mind though
// its copy does not show the grant; a commit may take a while.
const hintLife = 20 * second

// unsureFor is how long a machine that has not yet shown its owner's term may
// be planned with. A new one shows it with its second report; what only a late
// copy tells of, never.
const unsureFor = 3 * second

// leaderSlot is a machine that tasks may be granted to. Its owner's word is
// used as long as it lasts; when the owner can be reached through the state
// service only, what it said last has to do.
func (n *Node) leaderSlot(h *host) *slot {
	v := &h.info
	if h.returned || !v.known || v.leaving || v.sick || v.lost || h.retiring || v.unsure && n.now-h.unsureAt > unsureFor {
		return nil
	}
	p := n.parts[h.part]
	if p.rec == nil {
		return nil
	}
	if owner := n.peers[p.rec.Owner]; p.rec.Owner != n.cfg.Self && (owner == nil || n.now-owner.at > 5*second) {
		if owner != nil && n.now-owner.at > 3*n.cfg.Lease || n.now-p.changed > 3*n.cfg.Lease && h.infoTerm != p.rev {
			return nil
		}
	} else if v.quiet > 1 || h.infoTerm != p.rev && n.now-p.changed > 4*n.cfg.Report {
		return nil
	}
	if n.leader.cloud.retiring[h.name] {
		return nil
	}
	return n.slotOf(h)
}

func (p *plan) idleSlots() map[*slot]bool {
	idle := map[*slot]bool{}
	for _, s := range p.up.all {
		if len(s.h.on) == 0 && s.untouched() {
			idle[s] = true
		}
	}
	return idle
}

// grant writes tasks of a job to parts, as one attempt.
func (p *plan) grant(j *job, tasks []int, slots []*slot) bool {
	n := p.n
	rec := p.w.job(j)
	if rec == nil {
		p.ungranted = min(p.ungranted+1, 50)
		return false
	}
	was := rec.Next
	attempt := p.w.attempt(j, rec)
	parts := map[int]bool{}
	own := true
	for _, s := range slots {
		parts[s.part] = true
		own = own && n.mayPlace(s)
	}
	own = own && (len(parts) == 1 || rec.Spec.Shape != wire.ShapeGang)
	for i, t := range tasks {
		s := slots[i]
		a := wire.Active{Task: t, Attempt: attempt, Part: s.part, Admitted: p.admission != nil}
		if own {
			a.Host, a.Session = s.h.name, s.h.session
			p.w.parts[s.part] = true
			if p.admission == nil {
				n.leader.placing = append(n.leader.placing, placing{s.h, rec.Spec})
			}
		} else {
			n.leader.hint[taskKey{j.ix, t, attempt}] = s.h
		}
		rec.Active = append(rec.Active, a)
	}
	if len(parts) > 1 && rec.Spec.Shape == wire.ShapeGang {
		g := &wire.Gang{Attempt: attempt}
		for ix := range n.parts {
			if parts[ix] {
				g.Parts = append(g.Parts, ix)
			}
		}
		key := wire.GangKey(j.ref, attempt)
		if !p.w.also(Write{Key: key, Value: g}, Cond{key, 0}) {
			rec.Active, rec.Next = rec.Active[:len(rec.Active)-len(tasks)], was
			delete(p.w.tries, j.ix)
			p.ungranted = min(p.ungranted+1, 50)
			return false
		}
	}
	p.charge(j, len(tasks))
	p.restOnAccount(j, slots)
	j.grantedAt = n.now
	n.log(LogDebug, "granted", "job", j.ref, "attempt", attempt, "tasks", len(tasks), "part", n.parts[slots[0].part].name)
	return true
}

// mayPlace tells whether the leader may choose the machine in the grant, since it
// owns the part as well: one put does for both. The commit then rests on both
// keys. While our own owner's batch is under way, what that places is not known
// here yet.
func (n *Node) mayPlace(s *slot) bool {
	return s.h != nil && n.valid(n.parts[s.part]) && !n.owner.active && n.usable(s.h)
}

// withinLimit tells whether a team's limit leaves the leader room for more tasks.
func (p *plan) withinLimit(j *job, tasks int) bool {
	return j.team >= 0 && p.n.ledger.MayGrant(j.team, p.added[j.team].Plus(j.demand(tasks)), p.n.rev)
}

// quota tells whether the limit has room for tasks that wait, and notes where it has not.
func (p *plan) quota(j *job, tasks int) bool {
	if p.withinLimit(j, tasks) {
		return true
	}
	if j.team < 0 {
		return false
	}
	// A job that the limit has no room for at all is not worth gathering shares for.
	p.atLimit[j.team] = p.atLimit[j.team] || p.n.ledger.Fits(j.team, j.demand(tasks))
	return false
}
