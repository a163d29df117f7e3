package simulation

import (
	"fmt"
	"slices"
	"time"

	"micaport/internal/wire"
)

// largestJobStartLimit is how long the largest jobs of each class may take to start. Jobs
// submitted within this time before the end of a scenario are not judged.
const largestJobStartLimit = 240 * time.Second

// startCount counts the jobs of one kind and those of them that have started.
type startCount struct{ started, total int }

// findUnderservedJobKinds returns a message for each kind of jobs of which fewer than half have
// started by the end of a scenario. The kinds are each class, each team, and the largest jobs of
// each class, which must have started within largestJobStartLimit.
func (r *ruleChecker) findUnderservedJobKinds() []string {
	var eligible []*simUser
	largest := map[string]int{}
	for _, user := range r.sim.users.ordered {
		if r.shouldHaveStarted(user) {
			eligible = append(eligible, user)
			largest[user.spec.Class] = max(largest[user.spec.Class], user.spec.TaskCount)
		}
	}
	counts := map[string]startCount{}
	count := func(kind string, started bool) {
		c := counts[kind]
		c.total++
		if started {
			c.started++
		}
		counts[kind] = c
	}
	for _, user := range eligible {
		started := user.startedAt > 0
		count("class "+user.spec.Class, started)
		count("team "+user.spec.Team, started)
		if user.spec.TaskCount == largest[user.spec.Class] {
			count("largest of class "+user.spec.Class, started && user.startedAt-user.submittedAt <= largestJobStartLimit)
		}
	}
	var messages []string
	for _, kind := range sortedKeys(counts) {
		if c := counts[kind]; 2*c.started < c.total {
			messages = append(messages, fmt.Sprintf("served: %d of %d of %s", c.started, c.total, kind))
		}
	}
	return messages
}

// shouldHaveStarted reports whether a job can run and was submitted early enough to have
// started.
func (r *ruleChecker) shouldHaveStarted(user *simUser) bool {
	return user.accepted && !user.cancelRequested && !user.alwaysFails &&
		r.sim.now-user.submittedAt > largestJobStartLimit && !user.isBlocked()
}

// maxIdleCapacityWait is how long a job may wait, once all faults have ended, while machines
// with enough free capacity are running and the limit of its team allows it to run.
const maxIdleCapacityWait = 90 * time.Second

// checkWaitingJobs checks that no job that could run waits for longer than
// maxIdleCapacityWait.
func (r *ruleChecker) checkWaitingJobs() {
	now := r.sim.now
	// The caller runs once every ruleCheckInterval, this check once every waitingJobInterval.
	if now < r.faultsEndAt || now%waitingJobInterval >= ruleCheckInterval {
		return
	}
	var free []*freeCapacity
	for _, user := range r.sim.users.ordered {
		if !user.isWaiting() {
			user.idleCapacitySince = 0
			continue
		}
		if free == nil {
			free = r.sim.fleet.freeCapacity()
		}
		if !user.fitsFreeCapacity(free) {
			user.idleCapacitySince = 0
			continue
		}
		if user.idleCapacitySince == 0 {
			user.idleCapacitySince = now
		}
		if now-max(user.idleCapacitySince, r.faultsEndAt) > maxIdleCapacityWait {
			r.reportViolation("left_waiting", "%s has waited despite free capacity since %v", user.spec.ID, user.idleCapacitySince)
		}
	}
}

// isWaiting reports whether a job should run but has no active task.
func (u *simUser) isWaiting() bool {
	if !u.accepted || u.cancelRequested || u.alwaysFails || u.isBlocked() {
		return false
	}
	hasTask := slices.ContainsFunc(u.tasks, func(task *simTask) bool { return task.state != wire.TaskExited })
	return !hasTask && !u.allTasksDone()
}

// freeCapacity holds the free resources of a worker's machine.
type freeCapacity struct {
	worker                *simWorker
	cores, gpus, memoryGB float64
}

// freeCapacity returns the free resources of each machine whose worker is healthy. The result
// is never nil, so that nil can mean that it has not been determined yet.
func (f *workerFleet) freeCapacity() []*freeCapacity {
	now := f.sim.now
	all := []*freeCapacity{}
	for _, worker := range f.running() {
		if worker.hung || worker.failsTasks || worker.reclaimAt > 0 ||
			now < worker.inboundCutUntil ||
			now < worker.outboundCutUntil {
			continue
		}
		machineType := f.sim.cloud.typeOf(worker.machine)
		free := &freeCapacity{worker, machineType.Cores, machineType.GPUs, machineType.MemoryGB}
		for _, task := range worker.tasks {
			if task.state != wire.TaskExited && task.user != nil {
				free.reserve(&task.user.spec)
			}
		}
		all = append(all, free)
	}
	return all
}

// reserve subtracts the resources of one task.
func (f *freeCapacity) reserve(spec *wire.JobSpec) {
	f.cores -= spec.Cores
	f.gpus -= spec.GPUs
	f.memoryGB -= spec.MemoryGB
}

// fitsTask reports whether the free resources are sufficient for one task.
func (f *freeCapacity) fitsTask(spec *wire.JobSpec) bool {
	return f.cores >= spec.Cores && f.gpus >= spec.GPUs && f.memoryGB >= spec.MemoryGB
}

// fitsFreeCapacity reports whether the free capacity and the limit of the team allow one
// more task of an array or daemon, or all tasks of a gang in one zone.
func (u *simUser) fitsFreeCapacity(free []*freeCapacity) bool {
	spec, sim := &u.spec, u.sim
	required := 1
	if spec.Shape == wire.ShapeGang {
		required = spec.TaskCount
	}
	cores, gpus := sim.rules.teamUsage(spec.Team)
	if exceedsLimit(sim.quota.teams[spec.Team].limit, cores+float64(required)*spec.Cores, gpus+float64(required)*spec.GPUs) {
		return false
	}
	zones := map[string]int{}
	for _, machineFree := range free {
		machine := machineFree.worker.machine
		if machine.Spot && !spec.AllowSpot || spec.Zone != "" && spec.Zone != machine.Zone || !allowsType(spec, machine.MachineType) {
			continue
		}
		for remaining := *machineFree; remaining.fitsTask(spec) && zones[machine.Zone] < required; remaining.reserve(spec) {
			zones[machine.Zone]++
		}
	}
	for _, count := range zones {
		if count >= required {
			return true
		}
	}
	return false
}
