package core

import (
	"fmt"
	"slices"

	"micaport/internal/wire"
)

// leaderState is the leader's record and, while we lead, its memory. All of
// the memory can be lost: a new leader rebuilds it from records and reports.
type leaderState struct {
	rec   *wire.Leader
	rev   uint64
	since Time
	batch batch
	dirty bool
	at    Time

	hint map[taskKey]*host // the machine that a grant had in mind

	cloud cloudState
	// Machines that the cloud has confirmed gone, for the owners to hear.
	returned []string
}

func (l *leaderState) reset() {
	l.batch = batch{name: "leader", gen: l.batch.gen + 1}
	l.hint = map[taskKey]*host{}
	l.cloud = newCloudState()
	l.returned = nil
	l.dirty = true
}

func (n *Node) putLeader(rec *wire.Leader, rev uint64) {
	if rev <= n.leader.rev {
		return
	}
	led := n.leads()
	n.leader.rec, n.leader.rev, n.leader.since = rec, rev, n.now
	if n.leads() {
		n.leader.reset()
		n.log(1, "leading", "term", rev)
	} else if led {
		n.leader.reset()
		n.log(1, "no longer leading")
	}
}

func (n *Node) leads() bool {
	r := n.leader.rec
	return r != nil && r.Node == n.cfg.Self && r.Life == n.cfg.Life
}

// claimLeader takes the leadership when nobody has it, or an earlier life of
// ours had it.
func (n *Node) claimLeader() {
	l := &n.leader
	if n.leads() || n.leadLease.id == 0 || n.now-n.leadLease.sent > n.leadLease.ttl/2 || n.now < n.leadAt {
		return
	}
	if l.rec != nil && l.rec.Node != n.cfg.Self {
		return
	}
	if l.rec == nil {
		wait := Time(n.rank()) * 400 * 1e6
		if n.isolated() {
			wait += 5 * second // let one that reaches more of the world have it
		}
		if n.now-l.since < wait {
			return
		}
	}
	n.leadAt = n.now + 500*1e6
	rev := l.rev
	if l.rec == nil {
		rev = 0
	}
	n.commit(Vital, []Cond{{wire.LeaderKey, rev}},
		[]Write{{Key: wire.LeaderKey, Value: &wire.Leader{Node: n.cfg.Self, Life: n.cfg.Life}, Lease: n.leadLease.id}},
		func(c Committed) {
			if c.Outcome == BadLease {
				n.leadLease.id, n.leadLease.next = 0, n.now
			}
		})
}

// isolated tells whether we can't reach the cloud, or no other controller.
// Refusals don't count: they are the same for everyone.
func (n *Node) isolated() bool {
	if n.cloudBad > 0 && n.now-n.cloudBad > 4*second {
		return true
	}
	if len(n.cfg.Members) < 2 {
		return false
	}
	for _, p := range n.peers {
		if !p.byStore && n.now-p.at < 6*second {
			return false
		}
	}
	return n.now > 6*second
}

// resign gives the leadership up when we are cut off but the state service
// still serves us, and some other controller is there to take it that is not
// cut off itself: when all are, nobody would do better.
func (n *Node) resign() bool {
	if !n.isolated() {
		n.cutSince = 0
		return false
	}
	if n.cutSince == 0 {
		n.cutSince = n.now
	}
	// The peers need a moment to notice, and to tell, that they are cut too.
	if n.now < n.resignAt || n.now-n.leader.since < 5*second || n.now-n.cutSince < n.cfg.Report+2*second {
		return false
	}
	for _, p := range n.peers {
		if n.now-p.at < 8*second && p.msg.StoreOK && !p.msg.CutOff {
			n.resignAt = n.now + 10*second
			n.log(1, "giving the leadership up: cut off")
			n.commit(Vital, []Cond{{wire.LeaderKey, n.leader.rev}}, []Write{{Key: wire.LeaderKey}}, func(Committed) {})
			return true
		}
	}
	return false
}

// leaderTick plans and grants.
func (n *Node) leaderTick() {
	l := &n.leader
	if !n.leads() || n.resign() {
		return
	}
	// Refused by the state service, we may have lost the lead without seeing
	// it. Commits would fail, but the cloud would go on obeying us.
	if n.now-n.leadLease.sent > n.leadLease.ttl {
		return
	}
	n.cloudTick()
	if n.now < l.at || (!l.dirty && n.now < l.at+second) || n.rigs == nil {
		return
	}
	// First hear from the owners what there is.
	if n.now-l.since < 700*1e6 {
		return
	}
	if !l.batch.ready(n) {
		return
	}
	// A pass looks at every unfinished job; with thousands of them the share of
	// a core that we have allows fewer passes.
	l.at = n.now + 120*1e6 + Time(len(n.live))*300*1e3
	l.dirty = false
	w := newWriter(n)
	w.conds = append(w.conds, Cond{wire.LeaderKey, l.rev})
	n.leadGangs(w)
	n.revokeOrphans(w)
	n.ownInfo()
	n.plan(w)
	w.send(&l.batch, nil)
}

// revokeOrphans takes back grants to parts that have had no owner for a while.
func (n *Node) revokeOrphans(w *writer) {
	for _, jx := range n.live {
		j := n.jobs[jx]
		for _, a := range j.rec.Active {
			if a.Host != "" || n.now-j.changed < 8*second || n.gangs[wire.GangKey(j.ref, a.Attempt)] != nil {
				continue
			}
			rec := w.job(j)
			if rec == nil {
				return
			}
			// Never placed, so nothing can have started; an owner that
			// places it at this moment changes the record and we lose.
			rec.Active = slices.DeleteFunc(rec.Active, func(b wire.Active) bool { return b.Host == "" })
			break
		}
	}
}

// use is what a team's tasks take.
type use struct{ cores, cards float64 }

func (u *use) add(sp *wire.Spec, k float64) {
	u.cores += sp.Cores * k
	u.cards += sp.Cards * k
}

// plan holds the state of one planning pass.
type plan struct {
	n     *Node
	w     *writer
	slots []*slot // machines up
	hope  []*slot // machines booting, hired or to be hired
	used  map[string]*use
	hires map[pool]int
	count map[pool]int // machines of each pool, up, coming or planned
	full  bool         // the commit takes no more
	stops int
}

// plan grants waiting tasks to parts, in the order of the queue, and works
// out what to hire, stop and return.
func (n *Node) plan(w *writer) {
	p := &plan{n: n, w: w, used: map[string]*use{}, hires: map[pool]int{}}
	for i := range n.cfg.Teams {
		p.used[n.cfg.Teams[i].Name] = &use{}
	}
	for _, h := range n.hosts {
		if s := n.leaderSlot(h); s != nil {
			p.slots = append(p.slots, s)
		}
	}
	for _, jx := range n.live {
		j := n.jobs[jx]
		sp := j.rec.Spec
		if sp == nil {
			continue
		}
		u := p.used[sp.Team]
		if u == nil {
			u = &use{}
			p.used[sp.Team] = u
		}
		u.add(sp, float64(len(j.rec.Active)))
		for _, a := range j.rec.Active {
			if a.Host == "" {
				p.charge(j, a)
			}
		}
	}
	p.hope = n.hopedFor()
	idle := p.idleSlots()
	p.serveQueues(n.queues())
	n.hireAndReturn(p, idle)
}

// charge takes room for a grant that its owner has not placed yet.
func (p *plan) charge(j *job, a wire.Active) {
	h := p.n.leader.hint[taskKey{j.ix, a.Task, a.Attempt}]
	for _, s := range p.slots {
		if s.h == h && h != nil {
			s.take(j.rec.Spec)
			return
		}
	}
	if s := p.n.best(j, p.slots, func(s *slot) bool { return s.part == a.Part }); s != nil {
		s.take(j.rec.Spec)
	}
}

// leaderSlot is a machine that tasks may be granted to. Its owner's word is
// used as long as it lasts; when the owner can be reached through the state
// service only, what it said last has to do.
func (n *Node) leaderSlot(h *host) *slot {
	if h.part < 0 || h.returned || h.info.Name == "" || h.info.Leaving || h.info.Sick || h.info.Lost || h.retiring {
		return nil
	}
	p := n.parts[h.part]
	if p.rec == nil {
		return nil
	}
	age := n.now - h.infoAt
	if owner := n.peers[p.rec.Owner]; p.rec.Owner != n.cfg.Self && (owner == nil || n.now-owner.at > 5*second) {
		if age > 3*n.cfg.Lease {
			return nil
		}
	} else if h.info.SilentS > (3*n.cfg.Report).Seconds() || age > 4*n.cfg.Report {
		return nil
	}
	if n.leader.cloud.retiring[h.name] {
		return nil
	}
	return n.slotOf(h)
}

func (p *plan) idleSlots() map[*slot]bool {
	idle := map[*slot]bool{}
	for _, s := range p.slots {
		if s.cards == s.rigRef.Cards && s.cores == s.rigRef.Cores && len(s.h.jobs) == 0 {
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
		p.full = true
		return false
	}
	attempt := rec.Next
	parts := map[int]bool{}
	for i, t := range tasks {
		s := slots[i]
		parts[s.part] = true
		rec.Active = append(rec.Active, wire.Active{Task: t, Attempt: attempt, Part: s.part})
		n.leader.hint[taskKey{j.ix, t, attempt}] = s.h
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
			rec.Active = rec.Active[:len(rec.Active)-len(tasks)]
			p.full = true
			return false
		}
	}
	rec.Next++
	p.used[rec.Spec.Team].add(rec.Spec, float64(len(tasks)))
	if len(n.leader.hint) > 4096 {
		clear(n.leader.hint)
	}
	n.log(0, "granted", "job", j.ref, "attempt", attempt, "tasks", len(tasks), "part", n.parts[slots[0].part].name)
	return true
}

// quota tells whether a team may use room for k more tasks.
func (p *plan) quota(j *job, k int) bool {
	sp := j.rec.Spec
	u := p.used[sp.Team]
	for i := range p.n.cfg.Teams {
		if t := &p.n.cfg.Teams[i]; t.Name == sp.Team {
			return !over(u.cores+sp.Cores*float64(k), t.CoresMax) && !over(u.cards+sp.Cards*float64(k), t.CardsMax)
		}
	}
	return false
}

// hireName is unique for ever: no two leaders share a term.
func (n *Node) hireName() string {
	n.leader.cloud.hireSeq++
	return fmt.Sprintf("r-%d-%d", n.leader.rev, n.leader.cloud.hireSeq)
}
