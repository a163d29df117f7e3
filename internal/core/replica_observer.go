package core

import (
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// initReplica creates the replica of the records, which is empty at first.
func (n *Node) initReplica() {
	cfg := replica.Config{
		Self: n.cfg.Self, Teams: n.cfg.Teams, Shards: len(n.shards), Format: n.cfg.Format,
		MaxValueBytes: n.cfg.MaxValueBytes, CurrentValueBytes: n.cfg.CurrentValueBytes, MaxTransactionOps: n.cfg.MaxTransactionOps,
		HeartbeatInterval: n.cfg.HeartbeatInterval, WallClockMS: n.cfg.WallClockMS, EstimateRunTime: n.estimatedRunTime,
	}
	for _, member := range n.cfg.Members {
		cfg.Controllers = append(cfg.Controllers, member.Name)
	}
	n.replica = replica.New(cfg, n.names, &replicaObserver{n})
}

// replicaObserver updates the state that the controller derives from the records whenever a
// change is applied to the replica.
type replicaObserver struct{ node *Node }

// JobAdded adds the controller's own state of a new job.
func (o *replicaObserver) JobAdded(added *replica.Job) {
	o.node.jobs = append(o.node.jobs, &job{Job: added, gangZone: -1})
}

// JobChanging removes the job's tasks from the placement index, counts the change in the statistics
// and discards the cached pending tasks.
func (o *replicaObserver) JobChanging(changing *replica.Job, next *wire.Job) {
	n, job := o.node, o.node.jobs[changing.Index]
	n.countJobChange(job, next)
	if job.Record != nil {
		n.unindexPlacements(job)
	}
	job.pendingValid, job.pending = false, nil
}

// JobChanged adds the job's tasks to the placement index, and records whether the job has
// ended or has failed repeatedly.
func (o *replicaObserver) JobChanged(changed *replica.Job) {
	n, job := o.node, o.node.jobs[changed.Index]
	n.setEarliestCloseAt(job)
	n.updateErrorBackoff(job)
	n.indexPlacements(job)
}

// JobReady schedules the leader's next pass for at most readyPassDelay from now.
func (o *replicaObserver) JobReady(*replica.Job) {
	leader := &o.node.leader
	leader.passNeeded = true
	leader.nextPassAt = min(leader.nextPassAt, o.node.now+readyPassDelay)
}

// JobArrived counts the job among the arrivals of its class.
func (o *replicaObserver) JobArrived(arrived *replica.Job) {
	o.node.countArrival(o.node.jobs[arrived.Index])
}

// PriorityRaised invalidates the cached resource use of the machines that the job's tasks are on.
func (o *replicaObserver) PriorityRaised(raised *replica.Job) {
	o.node.invalidateUsage(o.node.jobs[raised.Index])
}

// DependencyListMissing logs that the dependency list of a job's record is missing.
func (o *replicaObserver) DependencyListMissing(incomplete *replica.Job) {
	o.node.log(LogError, "dependency list missing", "job", incomplete.ID)
}

// FormatAgreed discards the cached pending tasks, which depend on the limits of the previous
// record format.
func (o *replicaObserver) FormatAgreed(format int) {
	n := o.node
	n.log(LogInfo, "record format agreed", "format", format)
	for _, index := range n.replica.Live() {
		n.jobs[index].pendingValid = false
	}
}

// QuotaChanged logs a team's new quota.
func (o *replicaObserver) QuotaChanged(team int) {
	quota := o.node.replica.Quota(team)
	o.node.log(LogInfo, "team quota changed", "team", quota.Name, "max_cores", quota.MaxCores, "max_gpus", quota.MaxGPUs)
}

// AccountInvalid logs that a team's account is invalid, so that nothing is admitted from it.
func (o *replicaObserver) AccountInvalid(team int, err error) {
	o.node.log(LogError, "invalid team account, admitting nothing from it", "team", o.node.replica.Quota(team).Name, "error", err)
}
