package core

import (
	"hash/fnv"
	"slices"
	"time"

	"micaport/internal/kv"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

// Work that owners admit by themselves, within the shares of the teams' limits that the leader has
// distributed to their shards. See docs/team-limits.md.

// Admission says what owners admit without asking the leader.
type Admission int

// Kinds of admission.
const (
	AdmitNothing    Admission = iota // the leader grants everything
	AdmitLeaderless                  // while there is no leader, or it can't be heard
	AdmitGuaranteed                  // and at all times new jobs within their team's guarantee
)

const (
	// leaderTimeout is how long nothing is heard of the leader, which sends its peers a message
	// every second, before owners admit work in its place.
	leaderTimeout = 2500 * time.Millisecond
	// ownerFirstTime is for how long the leader leaves a new job to the owner of its home
	// shard: some passes of the owner, and the time that its write takes.
	ownerFirstTime = 500 * time.Millisecond
	// admissionInterval lies between two passes of an owner over the queues, as between
	// those of a leader.
	admissionInterval = 120 * time.Millisecond
	// admissionIntervalPerJob is added to that for each live job: a pass looks at all of them.
	admissionIntervalPerJob = 50 * time.Microsecond
	// homeShardTurn is how long a job that waits is left to one shard before the next shard
	// has its turn: two owners that write the same record keep each other from it.
	homeShardTurn = 2 * second
)

// admission is what a pass of an owner has admitted so far.
type admission struct {
	admitted [][]quota.Amount // by team and shard
}

// newAdmission makes an admission of nothing.
func newAdmission(teams, shards int) *admission {
	admitted := make([][]quota.Amount, teams)
	for team := range admitted {
		admitted[team] = make([]quota.Amount, shards)
	}
	return &admission{admitted: admitted}
}

// mayCharge reports whether a team's limit allows tasks on a machine.
func (p *schedulingPass) mayCharge(job *job, tasks int, slot *slot) bool {
	if p.admission != nil {
		return p.mayAdmit(job, tasks, slot.shard)
	}
	return p.hasQuota(job, tasks)
}

// mayAdmit reports whether we may admit tasks of a job in a shard of ours.
func (p *schedulingPass) mayAdmit(job *job, tasks, shardIndex int) bool {
	if job.Team < 0 || !p.node.mayActAsOwner(p.node.shards[shardIndex]) {
		return false
	}
	admitted := p.admission.admitted[job.Team][shardIndex].Plus(job.Demand(tasks))
	return p.node.replica.Ledger().MayAdmit(job.Team, shardIndex, admitted, p.node.replica.Revision())
}

// addAccountCondition makes the commit conditional on the account of a job's team, so that it fails
// if the limit or a share has changed meanwhile. What is admitted counts for the pass.
func (p *schedulingPass) addAccountCondition(job *job, slots []*slot) {
	if p.admission != nil {
		for _, slot := range slots {
			admitted := &p.admission.admitted[job.Team][slot.shard]
			*admitted = admitted.Plus(job.Demand(1))
		}
	}
	if !p.node.replica.WritesTeamAccounts() {
		return
	}
	condition := kv.Condition{Key: wire.AccountKey(p.node.cfg.Teams[job.Team].Name), Revision: p.node.replica.Ledger().Revision(job.Team)}
	if !slices.Contains(p.writer.conditions, condition) {
		p.writer.conditions = append(p.writer.conditions, condition)
	}
}

// admitWork admits waiting work in our shards, within their shares.
func (n *Node) admitWork(writer *writer, free *lazySlots) {
	if n.cfg.Admission == AdmitNothing || !n.replica.WritesTeamAccounts() || n.now < n.admissionAt || n.offeredTypes == nil ||
		n.leadership.HoldsClaim() || n.leader.batch.active || n.replica.Revision() == 0 {
		return
	}
	leaderless := n.leaderIsSilent()
	if !leaderless && n.cfg.Admission != AdmitGuaranteed {
		return
	}
	n.admissionAt = n.now + admissionInterval + Time(len(n.replica.Live()))*admissionIntervalPerJob
	queues := n.queues()
	waiting := false
	for _, queue := range queues {
		queue.jobs = slices.DeleteFunc(queue.jobs, func(queued *queuedJob) bool {
			return !n.isHomeShardOwned(queued.job) || !leaderless && !queued.isNewWithinGuarantee()
		})
		waiting = waiting || len(queue.jobs) > 0
	}
	if !waiting {
		return
	}
	pass := n.newSchedulingPass(writer)
	pass.admission = newAdmission(n.names.Teams.Len(), len(n.shards))
	pass.available = free.slots(n)
	pass.chargeTeams()
	pass.serveQueues(queues)
}

// isNewWithinGuarantee reports whether a job has just come and its team's guarantee covers it.
func (q *queuedJob) isNewWithinGuarantee() bool {
	return q.withinGuarantee && q.job.Record.NextAttempt == 1 && len(q.job.Record.ActiveTasks) == 0
}

// leaderIsSilent reports whether there is no other leader, or none that can be heard to work.
func (n *Node) leaderIsSilent() bool {
	leader := n.leadership.Record()
	if leader == nil || leader.Controller == n.cfg.Self {
		return true
	}
	peer := n.peers[leader.Controller]
	return peer == nil || n.now-peer.receivedAt > leaderTimeout || !peer.message.StoreOK
}

// isHomeShardOwned reports whether it is the turn of one of our shards to admit a job.
func (n *Node) isHomeShardOwned(job *job) bool {
	home := n.homeShard(job)
	return home != nil && n.mayActAsOwner(home)
}

// homeShard returns the shard whose turn it is to admit a job, or nil: chosen by hash among those
// whose owner is heard, and after a while the next. Controllers need not agree on it: of two that
// admit the same job at once and write the same record, one fails.
func (n *Node) homeShard(job *job) *shard {
	var owned []*shard
	for _, shard := range n.shards {
		if (job.Zone < 0 || job.Zone == shard.Zone) && n.hearsOwner(shard) {
			owned = append(owned, shard)
		}
	}
	if len(owned) == 0 {
		return nil
	}
	hash := fnv.New32a()
	hash.Write([]byte(job.ID))
	waited := max(0, Time(n.cfg.WallClockMS()-job.RunnableSinceMS())*time.Millisecond)
	return owned[(int(hash.Sum32()>>1)+int(waited/homeShardTurn))%len(owned)]
}

// hearsOwner reports whether a shard is ours, or its owner has been heard lately.
func (n *Node) hearsOwner(shard *shard) bool {
	if shard.Record == nil {
		return false
	}
	owner := n.peers[shard.Record.Owner]
	return n.owns(shard) || owner != nil && n.now-owner.receivedAt < leaderTimeout
}

// defersToOwner reports whether we, as the leader, leave a new job to the owner of its home
// shard for a moment. A job that the owner does not admit is ours after that.
func (n *Node) defersToOwner(job *job) bool {
	if n.cfg.Admission != AdmitGuaranteed || !n.isLeader() ||
		!n.replica.WritesTeamAccounts() ||
		n.now-job.ChangedAt >= ownerFirstTime ||
		job.Record.NextAttempt != 1 || len(job.Record.ActiveTasks) > 0 || !job.withinGuarantee {
		return false
	}
	home := n.homeShard(job)
	return home != nil && !n.owns(home) && n.ownerResponds(home) &&
		n.replica.Ledger().MayAdmit(job.Team, home.Index, job.Demand(1), n.replica.Revision())
}
