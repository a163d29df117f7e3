package core

import (
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// initReplica makes the empty replica of the records.
func (n *Node) initReplica() {
	cfg := replica.Config{
		Self: n.cfg.Self, Teams: n.cfg.Teams, Shards: len(n.shards), Format: n.cfg.Format,
		MaxValueBytes: n.cfg.MaxValueBytes, CurrentValueBytes: n.cfg.CurrentValueBytes, MaxTransactionOps: n.cfg.MaxTransactionOps,
		HeartbeatInterval: n.cfg.HeartbeatInterval, WallClockMS: n.cfg.WallClockMS, EstimateRunTime: n.runTime,
	}
	for _, member := range n.cfg.Members {
		cfg.Controllers = append(cfg.Controllers, member.Name)
	}
	n.replica = replica.New(cfg, n.names, &replicaObserver{n})
}

// replicaObserver brings what the controller derives from the records up to date while a
// change is applied to the replica.
type replicaObserver struct{ node *Node }

// JobAdded makes room for what the controller remembers of a job.
func (o *replicaObserver) JobAdded(added *replica.Job) {
	o.node.jobs = append(o.node.jobs, &job{Job: added, gangZone: -1})
}

// JobChanging takes the job's tasks off their machines, and the change into the statistics.
func (o *replicaObserver) JobChanging(changing *replica.Job, next *wire.Job) {
	n, job := o.node, o.node.jobs[changing.Index]
	n.countJobChange(job, next)
	if job.Record != nil {
		n.unindexPlacements(job)
	}
	job.pendingKnown, job.pending = false, nil
}

// JobChanged puts the job's tasks on their machines.
func (o *replicaObserver) JobChanged(changed *replica.Job) {
	n, job := o.node, o.node.jobs[changed.Index]
	n.noteClosed(job)
	n.noteErrors(job)
	n.indexPlacements(job)
}

// JobReady lets the leader look for work soon.
func (o *replicaObserver) JobReady(*replica.Job) {
	leader := &o.node.leader
	leader.passNeeded = true
	leader.nextPassAt = min(leader.nextPassAt, o.node.now+stageDelay)
}

// JobArrived counts the job among the arrivals of its class.
func (o *replicaObserver) JobArrived(arrived *replica.Job) {
	o.node.noteArrival(o.node.jobs[arrived.Index])
}

// PriorityRaised has the use of the job's machines worked out anew.
func (o *replicaObserver) PriorityRaised(raised *replica.Job) {
	o.node.usageChanged(o.node.jobs[raised.Index])
}

// DependencyListMissing logs a record that can't be completed.
func (o *replicaObserver) DependencyListMissing(incomplete *replica.Job) {
	o.node.log(LogError, "dependency list missing", "job", incomplete.ID)
}

// FormatAgreed forgets what was worked out under the limits of the last format.
func (o *replicaObserver) FormatAgreed(format int) {
	n := o.node
	n.log(LogInfo, "record format agreed", "format", format)
	for _, index := range n.replica.Live() {
		n.jobs[index].pendingKnown = false
	}
}

// QuotaChanged logs the quota of a team that is in force from now on.
func (o *replicaObserver) QuotaChanged(team int) {
	quota := o.node.replica.Quota(team)
	o.node.log(LogInfo, "team quota changed", "team", quota.Name, "max_cores", quota.MaxCores, "max_gpus", quota.MaxGPUs)
}

// AccountInvalid logs an account that nothing can be admitted from.
func (o *replicaObserver) AccountInvalid(team int, err error) {
	o.node.log(LogError, "invalid team account, admitting nothing from it", "team", o.node.replica.Quota(team).Name, "error", err)
}
