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

// mayCharge tells whether a team's limit has room for tasks on a machine.
func (p *schedulingPass) mayCharge(j *job, tasks int, s *slot) bool {
	if p.admission != nil {
		return p.mayAdmit(j, tasks, s.shard)
	}
	return p.hasQuota(j, tasks)
}

// mayAdmit tells whether we may admit tasks of a job in a shard of ours.
func (p *schedulingPass) mayAdmit(j *job, tasks, part int) bool {
	if j.Team < 0 || !p.node.mayActAsOwner(p.node.shards[part]) {
		return false
	}
	more := p.admission.admitted[j.Team][part].Plus(j.Demand(tasks))
	return p.node.replica.Ledger().MayAdmit(j.Team, part, more, p.node.replica.Revision())
}

// addAccountCondition makes the commit rest on the account of a job's team, so that it fails
// if the limit or a share has changed meanwhile. What is admitted counts for the pass.
func (p *schedulingPass) addAccountCondition(j *job, slots []*slot) {
	if p.admission != nil {
		for _, s := range slots {
			more := &p.admission.admitted[j.Team][s.shard]
			*more = more.Plus(j.Demand(1))
		}
	}
	if !p.node.replica.WritesTeamAccounts() {
		return
	}
	cond := Condition{Key: wire.AccountKey(p.node.cfg.Teams[j.Team].Name), Revision: p.node.replica.Ledger().Revision(j.Team)}
	if !slices.Contains(p.writer.conditions, cond) {
		p.writer.conditions = append(p.writer.conditions, cond)
	}
}

// admitWork admits waiting work in our shards, within their shares.
func (n *Node) admitWork(w *writer, room *lazySlots) {
	if n.cfg.Admission == AdmitNothing || !n.replica.WritesTeamAccounts() || n.now < n.admissionAt || n.offeredTypes == nil ||
		n.holdsLeaderClaim() || n.leader.batch.active || n.replica.Revision() == 0 {
		return
	}
	leaderless := n.leaderIsSilent()
	if !leaderless && n.cfg.Admission != AdmitGuaranteed {
		return
	}
	n.admissionAt = n.now + admissionInterval + Time(len(n.replica.Live()))*50*time.Microsecond
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
	p.admission = &admission{admitted: make([][]quota.Amount, n.names.Teams.Len())}
	for team := range p.admission.admitted {
		p.admission.admitted[team] = make([]quota.Amount, len(n.shards))
	}
	p.available = room.slots(n)
	p.chargeTeams()
	p.serveQueues(queues)
}

// isNewWithinGuarantee tells whether a job has just come and its team's guarantee covers it.
func (w *queuedJob) isNewWithinGuarantee() bool {
	return w.withinGuarantee && w.job.Record.NextAttempt == 1 && len(w.job.Record.ActiveTasks) == 0
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
		if (j.Zone < 0 || j.Zone == p.Zone) && n.hearsOwner(p) {
			owned = append(owned, p)
		}
	}
	if len(owned) == 0 {
		return nil
	}
	f := fnv.New32a()
	f.Write([]byte(j.ID))
	waited := max(0, Time(n.cfg.WallClockMS()-j.RunnableSinceMS())*time.Millisecond)
	return owned[(int(f.Sum32()>>1)+int(waited/homeShardTurn))%len(owned)]
}

// hearsOwner tells whether a shard is ours, or its owner has been heard lately.
func (n *Node) hearsOwner(p *shard) bool {
	if p.Record == nil {
		return false
	}
	owner := n.peers[p.Record.Owner]
	return n.owns(p) || owner != nil && n.now-owner.heardAt < leaderTimeout
}

// defersToOwner tells whether we, as the leader, leave a new job to the owner of its home
// shard for a moment. A job that the owner does not admit is ours after that.
func (n *Node) defersToOwner(j *job) bool {
	if n.cfg.Admission != AdmitGuaranteed || !n.isLeader() || !n.replica.WritesTeamAccounts() || n.now-j.ChangedAt >= ownerFirstTime ||
		j.Record.NextAttempt != 1 || len(j.Record.ActiveTasks) > 0 || !j.withinGuarantee {
		return false
	}
	part := n.homeShard(j)
	return part != nil && !n.owns(part) && n.ownerIsHeard(part) && n.replica.Ledger().MayAdmit(j.Team, part.Index, j.Demand(1), n.replica.Revision())
}

// admitGang admits a gang as a whole in one of our shards.
func (p *schedulingPass) admitGang(w *queuedJob) {
	tasks := len(w.tasks)
	for _, x := range p.node.shards {
		here := func(part, _ int) bool { return part == x.Index }
		if !p.node.mayActAsOwner(x) || !p.mayAdmit(w.job, tasks, x.Index) || p.available.capacityFor(w.job, here) < tasks {
			continue
		}
		chosen, _ := p.pickSlots(w, func(s *slot) bool { return s.shard == x.Index })
		if chosen == nil || !p.grant(w.job, w.tasks, chosen) {
			continue
		}
		for _, s := range chosen {
			s.take(w.job.Record.Spec)
		}
		return
	}
}
