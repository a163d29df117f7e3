package core

import (
	"hash/fnv"
	"slices"
	"time"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// Work that owners admit by themselves, within the shares of the teams' limits that the
// leader has dealt to their parts. See docs/team-limits.md.

// Admission says what owners admit without asking the leader.
type Admission int

// Kinds of admission.
const (
	AdmitNothing    Admission = iota // the leader grants everything
	AdmitLeaderless                  // while there is no leader, or it can't be heard
	AdmitGuaranteed                  // and at all times new jobs within their team's guarantee
)

const (
	// leaderSilence is how long nothing is heard of the leader, which tells its peers
	// something every second, before owners admit work in its place.
	leaderSilence = 2500 * time.Millisecond
	// ownersTurn is for how long the leader leaves a new job to the owner of its home
	// part: some passes of the owner, and the time that its write takes.
	ownersTurn = 500 * time.Millisecond
	// admissionPause lies between two passes over the queues in an owner, as between
	// those of a leader.
	admissionPause = 120 * time.Millisecond
	// homeTurn is how long a job that waits is left to one part before the next part
	// has its turn: two owners that write the same record keep each other from it.
	homeTurn = 2 * second
)

// admission is what a pass of an owner has admitted so far.
type admission struct {
	more [][]quota.Amount // by team and part
}

// makeLedger makes the ledger of the teams' accounts, which begins with the settings.
func (n *Node) makeLedger() {
	terms := make([]quota.Terms, len(n.cfg.Teams))
	for i := range n.cfg.Teams {
		t := &n.cfg.Teams[i]
		terms[i] = quota.Terms{Limit: quota.Of(t.CoresMax, t.CardsMax), Guarantee: quota.Of(t.Cores, t.Cards)}
	}
	n.ledger = quota.NewLedger(terms, len(n.parts))
	n.terms = slices.Clone(n.cfg.Teams)
}

// teamTerms are a team's guarantee and limit as they are in force.
func (n *Node) teamTerms(team int) *Team { return &n.terms[team] }

// putAccount takes in the record of a team's account.
func (n *Node) putAccount(name string, account *wire.Account, rev uint64) {
	team := n.teams.Find(name)
	if team < 0 {
		return
	}
	was := n.ledger.Terms(team)
	if err := n.ledger.Put(team, account, rev); err != nil {
		n.log(LogError, "the account of a team is damaged: nothing is admitted from it", "team", name, "error", err)
		return
	}
	if now := n.ledger.Terms(team); now != was {
		t := &n.terms[team]
		t.CoresMax, t.CardsMax = now.Limit.Decimal()
		t.Cores, t.Cards = now.Guarantee.Decimal()
		n.log(LogInfo, "limits of a team have changed", "team", name, "cores", t.CoresMax, "cards", t.CardsMax)
	}
}

// demand is what a number of the job's tasks are charged.
func (j *job) demand(tasks int) quota.Amount {
	return quota.Of(j.rec.Spec.Cores, j.rec.Spec.Cards).Times(tasks)
}

// chargeJob adds the active tasks of a record to what its team is charged, or removes
// them with sign -1.
func (n *Node) chargeJob(j *job, sign int) {
	if j.rec == nil || j.rec.Spec == nil || j.team < 0 {
		return
	}
	byLeader := 0
	for i := range j.rec.Active {
		if a := &j.rec.Active[i]; a.Admitted {
			n.ledger.ChargeShare(j.team, a.Part, j.demand(sign))
		} else {
			byLeader++
		}
	}
	n.ledger.ChargeLeader(j.team, j.demand(sign*byLeader))
}

// mayCharge tells whether a team's limit has room for tasks on a machine.
func (p *plan) mayCharge(j *job, tasks int, s *slot) bool {
	if p.admission != nil {
		return p.mayAdmit(j, tasks, s.part)
	}
	return p.quota(j, tasks)
}

// mayAdmit tells whether we may admit tasks of a job in a part of ours.
func (p *plan) mayAdmit(j *job, tasks, part int) bool {
	if j.team < 0 || !p.n.valid(p.n.parts[part]) {
		return false
	}
	more := p.admission.more[j.team][part].Plus(j.demand(tasks))
	return p.n.ledger.MayAdmit(j.team, part, more, p.n.rev)
}

// restOnAccount makes the commit rest on the account of a job's team, so that it fails
// if the limit or a share has changed meanwhile. What is admitted counts for the pass.
func (p *plan) restOnAccount(j *job, slots []*slot) {
	if p.admission != nil {
		for _, s := range slots {
			more := &p.admission.more[j.team][s.part]
			*more = more.Plus(j.demand(1))
		}
	}
	if !p.n.writesAccounts() {
		return
	}
	cond := Cond{wire.AccountKey(p.n.cfg.Teams[j.team].Name), p.n.ledger.Revision(j.team)}
	if !slices.Contains(p.w.conds, cond) {
		p.w.conds = append(p.w.conds, cond)
	}
}

// admitWork admits waiting work in our parts, within their shares.
func (n *Node) admitWork(w *writer, room *ownRoom) {
	if n.cfg.Admission == AdmitNothing || !n.writesAccounts() || n.now < n.admissionAt || n.types == nil ||
		n.claimed() || n.leader.batch.active || n.rev == 0 {
		return
	}
	leaderless := n.leaderAway()
	if !leaderless && n.cfg.Admission != AdmitGuaranteed {
		return
	}
	n.admissionAt = n.now + admissionPause + Time(len(n.live))*50*time.Microsecond
	queues := n.queues()
	waiting := false
	for _, q := range queues {
		q.jobs = slices.DeleteFunc(q.jobs, func(x *queuedJob) bool {
			return !n.isHome(x.j) || !leaderless && !x.isNewWithinGuarantee()
		})
		waiting = waiting || len(q.jobs) > 0
	}
	if !waiting {
		return
	}
	p := n.newPlan(w)
	p.admission = &admission{more: make([][]quota.Amount, n.teams.Len())}
	for team := range p.admission.more {
		p.admission.more[team] = make([]quota.Amount, len(n.parts))
	}
	p.up = room.slots(n)
	p.chargeTeams()
	p.serveQueues(queues)
}

// isNewWithinGuarantee tells whether a job has just come and its team's guarantee covers it.
func (w *queuedJob) isNewWithinGuarantee() bool {
	return w.within && w.j.rec.Next == 1 && len(w.j.rec.Active) == 0
}

// leaderAway tells whether there is no leader, or none that can be heard to work.
func (n *Node) leaderAway() bool {
	leader := n.leader.rec
	if leader == nil || leader.Node == n.cfg.Self {
		return true
	}
	p := n.peers[leader.Node]
	return p == nil || n.now-p.at > leaderSilence || !p.msg.StoreOK
}

// isHome tells whether it is the turn of one of our parts to admit a job.
func (n *Node) isHome(j *job) bool {
	part := n.homePart(j)
	return part != nil && n.valid(part)
}

// homePart is the part whose turn it is to admit a job: chosen by hash among those whose
// owner is heard, and after a while the next. Controllers need not agree on it: two that
// admit the same job at once write the same record, and one of them fails.
func (n *Node) homePart(j *job) *part {
	var owned []*part
	for _, p := range n.parts {
		if (j.zone < 0 || j.zone == p.zone) && n.hearsOwner(p) {
			owned = append(owned, p)
		}
	}
	if len(owned) == 0 {
		return nil
	}
	f := fnv.New32a()
	f.Write([]byte(j.ref))
	waited := max(0, Time(n.cfg.WallMS()-j.sinceMS())*time.Millisecond)
	return owned[(int(f.Sum32()>>1)+int(waited/homeTurn))%len(owned)]
}

// hearsOwner tells whether a part is ours, or its owner has been heard lately.
func (n *Node) hearsOwner(p *part) bool {
	if p.rec == nil {
		return false
	}
	owner := n.peers[p.rec.Owner]
	return n.holds(p) || owner != nil && n.now-owner.at < leaderSilence
}

// leavesToOwner tells whether we, as the leader, leave a new job to the owner of its home
// part for a moment. A job that the owner does not admit is ours after that.
func (n *Node) leavesToOwner(j *job) bool {
	if n.cfg.Admission != AdmitGuaranteed || !n.leads() || !n.writesAccounts() || n.now-j.changed >= ownersTurn ||
		j.rec.Next != 1 || len(j.rec.Active) > 0 || !j.within {
		return false
	}
	part := n.homePart(j)
	return part != nil && !n.holds(part) && n.ownerThere(part) && n.ledger.MayAdmit(j.team, part.ix, j.demand(1), n.rev)
}

// admitGang admits a gang as a whole in one of our parts.
func (p *plan) admitGang(w *queuedJob) {
	tasks := len(w.tasks)
	for _, x := range p.n.parts {
		here := func(part, _ int) bool { return part == x.ix }
		if !p.n.valid(x) || !p.mayAdmit(w.j, tasks, x.ix) || p.up.roomFor(w.j, here) < tasks {
			continue
		}
		chosen, _ := p.pick(w, func(s *slot) bool { return s.part == x.ix })
		if chosen == nil || !p.grant(w.j, w.tasks, chosen) {
			continue
		}
		for _, s := range chosen {
			s.take(w.j.rec.Spec)
		}
		return
	}
}
