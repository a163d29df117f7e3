package core

import "micaport/internal/wire"

// The leader plans capacity for the next stage of a chain while the jobs that it depends on
// are about to end, so that what has to be provisioned for it is up in time. Nothing is
// granted ahead, and images can't be fetched ahead: a machine fetches only what a
// started task waits for. See "Chained jobs" in docs/design.md.

// planNextStages plans capacity for jobs whose last dependencies will probably end before a
// machine provisioned now is up.
func (p *schedulingPass) planNextStages() {
	n := p.node
	for _, index := range n.replica.Live() {
		job := n.jobs[index]
		if job.Record.Spec != nil && job.Team >= 0 && job.IsWaiting() && n.isRunnableBy(job, n.now+n.provisionTime(job)) {
			p.planStage(job)
		}
	}
}

// isRunnableBy reports whether all that a job still depends on will probably be done by a
// time.
func (n *Node) isRunnableBy(job *job, at Time) bool {
	if job.Links.AncestorCancelled {
		return false
	}
	for _, index := range job.Links.Dependencies {
		dependency := n.jobs[index]
		if dependency.Record == nil {
			return false // its record has not been seen
		}
		if dependency.Record.State == wire.JobDone {
			continue
		}
		granted := len(dependency.Record.ActiveTasks) > 0 && len(n.waitingTasks(dependency, 1)) == 0
		if dependency.Record.Spec == nil || !granted ||
			max(dependency.grantedAt, dependency.ReadySince())+n.runTime(dependency.Record.Spec) > at {
			return false
		}
	}
	return true
}

// planStage plans capacity for the tasks of a job, within its team's limit, and has machines
// provisioned for those that find none.
func (p *schedulingPass) planStage(job *job) {
	spec := job.Record.Spec
	zoneTasks := make([]int, p.node.names.Zones.Len())
	allowed := func(slot *slot) bool { return allowsZone(spec, zoneTasks, slot.zone) }
	for range min(job.Record.TaskCount, p.node.maxActiveTasks(job)) {
		if !p.withinLimit(job, 1) {
			return
		}
		slot := p.bestAnywhere(job, allowed)
		if slot == nil {
			return
		}
		p.charge(job, 1)
		zoneTasks[slot.zone]++
		slot.allocate(spec)
	}
}

// allowsZone reports whether the next task of a job may go to a zone, given how many of its
// tasks each zone has.
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
