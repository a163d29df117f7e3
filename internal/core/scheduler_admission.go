package core

import (
	"hash/fnv"
	"slices"
	"time"

	"micaport/internal/kv"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

// Admission selects the work that owners of shards admit without the leader. They do so within
// the shares of the teams' limits that the leader has distributed to their shards; see
// docs/team-limits.md.
type Admission int

// Kinds of admission.
const (
	AdmitNothing    Admission = iota // owners admit nothing, the leader grants everything
	AdmitLeaderless                  // owners admit while there is no leader or it is unreachable
	AdmitGuaranteed                  // owners also admit new jobs within their team's guarantee at all times
)

const (
	// leaderTimeout is the time without messages from the leader, which sends its peers one every
	// second, after which owners admit work in its place. An owner is considered unreachable
	// after the same time.
	leaderTimeout = 2500 * time.Millisecond
	// ownerAdmissionTime is how long the leader leaves a new job to the owner of its home shard:
	// enough for some passes of the owner and for its write.
	ownerAdmissionTime = 500 * time.Millisecond
	// admissionInterval is the time between two admission passes of an owner, the same as between
	// two passes of the leader.
	admissionInterval = 120 * time.Millisecond
	// admissionIntervalPerJob is added to admissionInterval for each live job, as a pass examines
	// all of them.
	admissionIntervalPerJob = 50 * time.Microsecond
	// homeShardPeriod is how long a waiting job has the same home shard before another shard
	// becomes its home shard. Of all owners only that of the home shard admits the job: the writes
	// of two owners that admit it at once would conflict.
	homeShardPeriod = 2 * second
)

// admissionPass is the additional state of an owner's scheduling pass, which admits work: the
// demand that the pass has admitted.
type admissionPass struct {
	admitted [][]quota.Amount // by team and shard
}

// newAdmissionPass returns the state of a pass that has admitted nothing yet.
func newAdmissionPass(teams, shards int) *admissionPass {
	admitted := make([][]quota.Amount, teams)
	for team := range admitted {
		admitted[team] = make([]quota.Amount, shards)
	}
	return &admissionPass{admitted: admitted}
}

// mayCharge reports whether tasks of a job may be granted to a slot: in the leader's pass if the
// limit of the job's team allows them, in an admission pass if the team's share of the limit in the
// slot's shard does.
func (p *schedulingPass) mayCharge(job *job, tasks int, slot *slot) bool {
	if p.admissionPass != nil {
		return p.mayAdmit(job, tasks, slot.shard)
	}
	return p.checkLimit(job, tasks)
}

// mayAdmit reports whether this controller owns a shard and may admit tasks of a job in it.
func (p *schedulingPass) mayAdmit(job *job, tasks, shardIndex int) bool {
	if job.Team < 0 || !p.node.mayActAsOwner(p.node.shards[shardIndex]) {
		return false
	}
	admitted := p.admissionPass.admitted[job.Team][shardIndex].Plus(job.Demand(tasks))
	return p.node.replica.Ledger().MayAdmit(job.Team, shardIndex, admitted, p.node.replica.Revision())
}

// addAccountCondition makes the transaction conditional on the account of a job's team, so that the
// transaction fails if the limit or a share has changed meanwhile. In an admission pass it also
// records the tasks as admitted.
func (p *schedulingPass) addAccountCondition(job *job, slots []*slot) {
	if p.admissionPass != nil {
		for _, slot := range slots {
			admitted := &p.admissionPass.admitted[job.Team][slot.shard]
			*admitted = admitted.Plus(job.Demand(1))
		}
	}
	if !p.node.replica.SupportsTeamAccounts() {
		return
	}
	condition := kv.Condition{Key: wire.AccountKey(p.node.cfg.Teams[job.Team].Name), Revision: p.node.replica.Ledger().Revision(job.Team)}
	if !slices.Contains(p.writer.conditions, condition) {
		p.writer.conditions = append(p.writer.conditions, condition)
	}
}

// admitWork admits waiting jobs in the shards of this controller, within the shares of their teams'
// limits in these shards. It does nothing while this controller holds the leader's claim or has a
// transaction of a leader's pass pending.
func (n *Node) admitWork(writer *writer, free *lazySlots) {
	if n.cfg.Admission == AdmitNothing || !n.replica.SupportsTeamAccounts() || n.now < n.nextAdmissionAt || n.machineTypes.OfferedCount() == 0 ||
		n.leadership.HoldsClaim() || n.leader.batch.active || n.replica.Revision() == 0 {
		return
	}
	leaderless := n.leaderIsUnavailable()
	if !leaderless && n.cfg.Admission != AdmitGuaranteed {
		return
	}
	n.nextAdmissionAt = n.now + admissionInterval + Time(len(n.replica.Live()))*admissionIntervalPerJob
	queues := n.queues()
	waiting := false
	for _, queue := range queues {
		queue.jobs = slices.DeleteFunc(queue.jobs, func(queued *queuedJob) bool {
			return !n.ownsHomeShard(queued.job) || !leaderless && !queued.isNewWithinGuarantee()
		})
		waiting = waiting || len(queue.jobs) > 0
	}
	if !waiting {
		return
	}
	pass := n.newSchedulingPass(writer)
	pass.admissionPass = newAdmissionPass(n.names.Teams.Len(), len(n.shards))
	pass.available = free.slots(n)
	pass.chargeTeams()
	pass.serveQueues(queues)
}

// isNewWithinGuarantee reports whether a job has never been granted and is within its team's
// guarantee.
func (q *queuedJob) isNewWithinGuarantee() bool {
	return q.withinGuarantee && q.job.Record.NextAttempt == 1 && len(q.job.Record.ActiveTasks) == 0
}

// leaderIsUnavailable reports whether no other controller is recorded as the leader, or that leader
// has not sent a message within leaderTimeout or can't use the state service. A record that names
// this controller is that of an earlier process and counts as no leader: admitWork admits nothing
// while this process holds the claim.
func (n *Node) leaderIsUnavailable() bool {
	leader := n.leadership.Record()
	if leader == nil || leader.Controller == n.cfg.Self {
		return true
	}
	peer := n.peers[leader.Controller]
	return peer == nil || n.now-peer.receivedAt > leaderTimeout || !peer.message.StoreOK
}

// ownsHomeShard reports whether this controller owns the home shard of a job.
func (n *Node) ownsHomeShard(job *job) bool {
	home := n.homeShard(job)
	return home != nil && n.mayActAsOwner(home)
}

// homeShard returns the shard that may admit a job at present, or nil. It is chosen by a hash of
// the job's ID among the shards with a reachable owner, and changes after every homeShardPeriod.
// Controllers need not agree on it: if two admit the same job at once, one of their writes of the
// record fails.
func (n *Node) homeShard(job *job) *shard {
	var owned []*shard
	for _, shard := range n.shards {
		if (job.Zone < 0 || job.Zone == shard.Zone) && n.isOwnerReachable(shard) {
			owned = append(owned, shard)
		}
	}
	if len(owned) == 0 {
		return nil
	}
	hash := fnv.New32a()
	hash.Write([]byte(job.ID))
	waited := max(0, Time(n.cfg.WallClockMS()-job.RunnableSinceMS())*time.Millisecond)
	return owned[(int(hash.Sum32()>>1)+int(waited/homeShardPeriod))%len(owned)]
}

// isOwnerReachable reports whether this controller owns a shard or has received a message from its
// owner within leaderTimeout.
func (n *Node) isOwnerReachable(shard *shard) bool {
	if shard.Record == nil {
		return false
	}
	owner := n.peers[shard.Record.Owner]
	return n.owns(shard) || owner != nil && n.now-owner.receivedAt < leaderTimeout
}

// defersToOwner reports whether this controller, as the leader, leaves a new job to the owner of
// its home shard for ownerAdmissionTime. After that the leader grants the job if the owner has
// not admitted it.
func (n *Node) defersToOwner(job *job) bool {
	if n.cfg.Admission != AdmitGuaranteed || !n.isLeader() ||
		!n.replica.SupportsTeamAccounts() ||
		n.now-job.ChangedAt >= ownerAdmissionTime ||
		job.Record.NextAttempt != 1 || len(job.Record.ActiveTasks) > 0 || !job.withinGuarantee {
		return false
	}
	home := n.homeShard(job)
	return home != nil && !n.owns(home) && n.ownerResponds(home) &&
		n.replica.Ledger().MayAdmit(job.Team, home.Index, job.Demand(1), n.replica.Revision())
}
