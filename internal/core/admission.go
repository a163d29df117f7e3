package core

import (
	"hash/fnv"
	"slices"
	"time"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// Work that owners admit by themselves, within the shares of the teams' limits that the
// leader has distributed to their shards. See docs/team-limits.md.

// Admission says what owners admit without asking the leader.
type Admission int

// Kinds of admission.
const (
	AdmitNothing    Admission = iota // the leader grants everything
	AdmitLeaderless                  // while there is no leader, or it can't be heard
	AdmitGuaranteed                  // and at all times new jobs within their team's guarantee
)

const (
	// leaderTimeout is how long nothing is heard of the leader, which tells its peers
	// something every second, before owners admit work in its place.
	leaderTimeout = 2500 * time.Millisecond
	// ownerFirstTime is for how long the leader leaves a new job to the owner of its home
	// shard: some passes of the owner, and the time that its write takes.
	ownerFirstTime = 500 * time.Millisecond
	// admissionInterval lies between two passes over the queues in an owner, as between
	// those of a leader.
	admissionInterval = 120 * time.Millisecond
	// homeShardTurn is how long a job that waits is left to one shard before the next shard
	// has its turn: two owners that write the same record keep each other from it.
	homeShardTurn = 2 * second
)

// admission is what a pass of an owner has admitted so far.
type admission struct {
	admitted [][]quota.Amount // by team and shard
}

// makeLedger makes the ledger of the teams' accounts, which begins with the settings.
func (n *Node) makeLedger() {
	terms := make([]quota.Quota, len(n.cfg.Teams))
	for i := range n.cfg.Teams {
		t := &n.cfg.Teams[i]
		terms[i] = quota.Quota{Limit: quota.Of(t.MaxCores, t.MaxGPUs), Guarantee: quota.Of(t.GuaranteedCores, t.GuaranteedGPUs)}
	}
	n.ledger = quota.NewLedger(terms, len(n.shards))
	n.quotas = slices.Clone(n.cfg.Teams)
}

// teamQuota are a team's guarantee and limit as they are in force.
func (n *Node) teamQuota(team int) *Team { return &n.quotas[team] }

// putAccount takes in the record of a team's account.
func (n *Node) putAccount(name string, account *wire.Account, rev uint64) {
	team := n.teamNames.Find(name)
	if team < 0 {
		return
	}
	was := n.ledger.Quota(team)
	if err := n.ledger.SetRecord(team, account, rev); err != nil {
		n.log(LogError, "invalid team account, admitting nothing from it", "team", name, "error", err)
		return
	}
	if now := n.ledger.Quota(team); now != was {
		t := &n.quotas[team]
		t.MaxCores, t.MaxGPUs = now.Limit.Decimal()
		t.GuaranteedCores, t.GuaranteedGPUs = now.Guarantee.Decimal()
		n.log(LogInfo, "team quota changed", "team", name, "max_cores", t.MaxCores, "max_gpus", t.MaxGPUs)
	}
}

// demand is what a number of the job's tasks are charged.
func (j *job) demand(tasks int) quota.Amount {
	return quota.Of(j.record.Spec.Cores, j.record.Spec.GPUs).Times(tasks)
}

// chargeJob adds the active tasks of a record to what its team is charged, or removes
// them with sign -1.
func (n *Node) chargeJob(j *job, sign int) {
	if j.record == nil || j.record.Spec == nil || j.team < 0 {
		return
	}
	byLeader := 0
	for i := range j.record.ActiveTasks {
		if a := &j.record.ActiveTasks[i]; a.Admitted {
			n.ledger.ChargeShare(j.team, a.Shard, j.demand(sign))
		} else {
			byLeader++
		}
	}
	n.ledger.ChargeLeader(j.team, j.demand(sign*byLeader))
}

// mayCharge tells whether a team's limit has room for tasks on a machine.
func (p *schedulingPass) mayCharge(j *job, tasks int, s *slot) bool {
	if p.admission != nil {
		return p.mayAdmit(j, tasks, s.shard)
	}
	return p.hasQuota(j, tasks)
}

// mayAdmit tells whether we may admit tasks of a job in a shard of ours.
func (p *schedulingPass) mayAdmit(j *job, tasks, part int) bool {
	if j.team < 0 || !p.node.mayActAsOwner(p.node.shards[part]) {
		return false
	}
	more := p.admission.admitted[j.team][part].Plus(j.demand(tasks))
	return p.node.ledger.MayAdmit(j.team, part, more, p.node.revision)
}

// addAccountCondition makes the commit rest on the account of a job's team, so that it fails
// if the limit or a share has changed meanwhile. What is admitted counts for the pass.
func (p *schedulingPass) addAccountCondition(j *job, slots []*slot) {
	if p.admission != nil {
		for _, s := range slots {
			more := &p.admission.admitted[j.team][s.shard]
			*more = more.Plus(j.demand(1))
		}
	}
	if !p.node.writesTeamAccounts() {
		return
	}
	cond := Condition{wire.AccountKey(p.node.cfg.Teams[j.team].Name), p.node.ledger.Revision(j.team)}
	if !slices.Contains(p.writer.conditions, cond) {
		p.writer.conditions = append(p.writer.conditions, cond)
	}
}

// admitWork admits waiting work in our shards, within their shares.
func (n *Node) admitWork(w *writer, room *lazySlots) {
	if n.cfg.Admission == AdmitNothing || !n.writesTeamAccounts() || n.now < n.admissionAt || n.offeredTypes == nil ||
		n.holdsLeaderClaim() || n.leader.batch.active || n.revision == 0 {
		return
	}
	leaderless := n.leaderIsSilent()
	if !leaderless && n.cfg.Admission != AdmitGuaranteed {
		return
	}
	n.admissionAt = n.now + admissionInterval + Time(len(n.live))*50*time.Microsecond
	queues := n.queues()
	waiting := false
	for _, q := range queues {
		q.jobs = slices.DeleteFunc(q.jobs, func(x *queuedJob) bool {
			return !n.isHomeShardOwned(x.job) || !leaderless && !x.isNewWithinGuarantee()
		})
		waiting = waiting || len(q.jobs) > 0
	}
	if !waiting {
		return
	}
	p := n.newSchedulingPass(w)
	p.admission = &admission{admitted: make([][]quota.Amount, n.teamNames.Len())}
	for team := range p.admission.admitted {
		p.admission.admitted[team] = make([]quota.Amount, len(n.shards))
	}
	p.available = room.slots(n)
	p.chargeTeams()
	p.serveQueues(queues)
}

// isNewWithinGuarantee tells whether a job has just come and its team's guarantee covers it.
func (w *queuedJob) isNewWithinGuarantee() bool {
	return w.withinGuarantee && w.job.record.NextAttempt == 1 && len(w.job.record.ActiveTasks) == 0
}

// leaderIsSilent tells whether there is no leader, or none that can be heard to work.
func (n *Node) leaderIsSilent() bool {
	leader := n.leader.record
	if leader == nil || leader.Controller == n.cfg.Self {
		return true
	}
	p := n.peers[leader.Controller]
	return p == nil || n.now-p.heardAt > leaderTimeout || !p.message.StoreOK
}

// isHomeShardOwned tells whether it is the turn of one of our shards to admit a job.
func (n *Node) isHomeShardOwned(j *job) bool {
	part := n.homeShard(j)
	return part != nil && n.mayActAsOwner(part)
}

// homeShard is the shard whose turn it is to admit a job: chosen by hash among those whose
// owner is heard, and after a while the next. Controllers need not agree on it: two that
// admit the same job at once write the same record, and one of them fails.
func (n *Node) homeShard(j *job) *shard {
	var owned []*shard
	for _, p := range n.shards {
		if (j.zone < 0 || j.zone == p.zone) && n.hearsOwner(p) {
			owned = append(owned, p)
		}
	}
	if len(owned) == 0 {
		return nil
	}
	f := fnv.New32a()
	f.Write([]byte(j.id))
	waited := max(0, Time(n.cfg.WallClockMS()-j.runnableSinceMS())*time.Millisecond)
	return owned[(int(f.Sum32()>>1)+int(waited/homeShardTurn))%len(owned)]
}

// hearsOwner tells whether a shard is ours, or its owner has been heard lately.
func (n *Node) hearsOwner(p *shard) bool {
	if p.record == nil {
		return false
	}
	owner := n.peers[p.record.Owner]
	return n.owns(p) || owner != nil && n.now-owner.heardAt < leaderTimeout
}

// defersToOwner tells whether we, as the leader, leave a new job to the owner of its home
// shard for a moment. A job that the owner does not admit is ours after that.
func (n *Node) defersToOwner(j *job) bool {
	if n.cfg.Admission != AdmitGuaranteed || !n.isLeader() || !n.writesTeamAccounts() || n.now-j.changedAt >= ownerFirstTime ||
		j.record.NextAttempt != 1 || len(j.record.ActiveTasks) > 0 || !j.withinGuarantee {
		return false
	}
	part := n.homeShard(j)
	return part != nil && !n.owns(part) && n.ownerIsHeard(part) && n.ledger.MayAdmit(j.team, part.index, j.demand(1), n.revision)
}

// admitGang admits a gang as a whole in one of our shards.
func (p *schedulingPass) admitGang(w *queuedJob) {
	tasks := len(w.tasks)
	for _, x := range p.node.shards {
		here := func(part, _ int) bool { return part == x.index }
		if !p.node.mayActAsOwner(x) || !p.mayAdmit(w.job, tasks, x.index) || p.available.capacityFor(w.job, here) < tasks {
			continue
		}
		chosen, _ := p.pickSlots(w, func(s *slot) bool { return s.shard == x.index })
		if chosen == nil || !p.grant(w.job, w.tasks, chosen) {
			continue
		}
		for _, s := range chosen {
			s.take(w.job.record.Spec)
		}
		return
	}
}
