package core

import "micaport/internal/wire"

// planNextStages plans capacity for the jobs whose last dependencies will probably end before a
// machine provisioned now is up, so that the next stage of a chain finds its machines ready.
// Nothing is granted in advance, and images can't be fetched in advance: a machine only fetches
// the images of started tasks. See "Chained jobs" in docs/design.md.
func (p *schedulingPass) planNextStages() {
	n := p.node
	for _, index := range n.replica.Live() {
		job := n.jobs[index]
		if job.Record.Spec != nil && job.Team >= 0 && job.IsBlocked() && n.isRunnableBy(job, n.now+n.provisionTime(job)) {
			p.planStage(job)
		}
	}
}

// isRunnableBy reports whether all dependencies of a job will probably be done by the given time.
func (n *Node) isRunnableBy(job *job, at Time) bool {
	if job.Links.AncestorCancelled {
		return false
	}
	for _, index := range n.replica.PendingDependencies(job.Job) {
		dependency := n.jobs[index]
		if dependency.Record == nil {
			return false // the replica has no record of it
		}
		if dependency.Record.State == wire.JobDone {
			continue
		}
		granted := len(dependency.Record.ActiveTasks) > 0 && len(n.pendingTasks(dependency, 1)) == 0
		if dependency.Record.Spec == nil || !granted ||
			max(dependency.grantedAt, dependency.ReadySince())+n.estimatedRunTime(dependency.Record.Spec) > at {
			return false
		}
	}
	return true
}

// planStage plans capacity for the tasks of a job, within its team's limit, and plans to
// provision machines for tasks that don't fit otherwise.
func (p *schedulingPass) planStage(job *job) {
	spec := job.Record.Spec
	zoneTasks := make([]int, p.node.names.Zones.Len())
	allowed := func(slot *slot) bool { return allowsZone(spec, zoneTasks, slot.zone) }
	for range min(job.Record.TaskCount, p.node.maxActiveTasks(job)) {
		if !p.withinLimit(job, 1) {
			return
		}
		slot := p.findOrProvision(job, allowed)
		if slot == nil {
			return
		}
		p.charge(job, 1)
		zoneTasks[slot.zone]++
		slot.allocate(spec)
	}
}

// allowsZone reports whether the next task of a job may run in a zone, given the number of its
// tasks in each zone.
func allowsZone(spec *wire.JobSpec, zoneTasks []int, zone int) bool {
	if spec.Spread && zoneTasks[zone] >= zoneLimit(spec) {
		return false
	}
	if spec.SameZone {
		for other, tasks := range zoneTasks {
			if tasks > 0 && other != zone {
				return false
			}
		}
	}
	return true
}
