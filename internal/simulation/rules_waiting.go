package simulation

import (
	"fmt"
	"slices"
	"time"

	"micaport/internal/wire"
)

// largestStartLimit is how long the largest jobs of a class may take to start.
const largestStartLimit = 240 * time.Second

// startCount counts jobs of one kind and how many of them have started.
type startCount struct{ started, all int }

// underserved returns the kinds of jobs of which less than half have started at the end of
// a scenario: each class, each team, and the largest jobs of each class, which have to
// start in time.
func (r *ruleChecker) underserved() []string {
	var judged []*simUser
	largest := map[string]int{}
	for _, user := range r.sim.users.ordered {
		if r.shouldHaveStarted(user) {
			judged = append(judged, user)
			largest[user.spec.Class] = max(largest[user.spec.Class], user.spec.TaskCount)
		}
	}
	counts := map[string]startCount{}
	count := func(kind string, started bool) {
		c := counts[kind]
		c.all++
		if started {
			c.started++
		}
		counts[kind] = c
	}
	for _, user := range judged {
		started := user.startedAt > 0
		count("class "+user.spec.Class, started)
		count("team "+user.spec.Team, started)
		if user.spec.TaskCount == largest[user.spec.Class] {
			count("largest of class "+user.spec.Class, started && user.startedAt-user.submittedAt <= largestStartLimit)
		}
	}
	var faults []string
	for _, kind := range sortedKeys(counts) {
		if c := counts[kind]; 2*c.started < c.all {
			faults = append(faults, fmt.Sprintf("served: %d of %d of %s", c.started, c.all, kind))
		}
	}
	return faults
}

// shouldHaveStarted reports whether a job came early enough to be judged by whether it has
// started, and can run.
func (r *ruleChecker) shouldHaveStarted(user *simUser) bool {
	return user.accepted && !user.cancelRequested && !user.alwaysFails &&
		r.sim.now-user.submittedAt > largestStartLimit && !user.isBlocked()
}

// maxIdleCapacityWait is how long a job may wait, once all faults are over, while a machine
// that fits has capacity and its team is below its limit.
const maxIdleCapacityWait = 90 * time.Second

// checkWaitingJobs checks that no job waits for longer than maxIdleCapacityWait.
func (r *ruleChecker) checkWaitingJobs() {
	now := r.sim.now
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
		if !user.fits(free) {
			user.idleCapacitySince = 0
			continue
		}
		if user.idleCapacitySince == 0 {
			user.idleCapacitySince = now
		}
		if now-max(user.idleCapacitySince, r.faultsEndAt) > maxIdleCapacityWait {
			r.violated("left_waiting", "%s waits beside room since %v", user.spec.ID, user.idleCapacitySince)
		}
	}
}

// isWaiting reports whether a job that should run has no task on any machine.
func (u *simUser) isWaiting() bool {
	if !u.accepted || u.cancelRequested || u.alwaysFails || u.isBlocked() {
		return false
	}
	hasTask := slices.ContainsFunc(u.tasks, func(task *simTask) bool { return task.state != wire.TaskExited })
	return !hasTask && !u.allTasksDone()
}

// freeCapacity is what is free on a worker's machine.
type freeCapacity struct {
	worker                *simWorker
	cores, gpus, memoryGB float64
}

// freeCapacity returns what is free on each machine whose worker is healthy. It is not nil.
func (f *workerFleet) freeCapacity() []*freeCapacity {
	now, machineType := f.sim.now, &f.sim.cloud.machineType
	all := []*freeCapacity{}
	for _, worker := range f.running() {
		if worker.hung || worker.failsTasks || worker.reclaimAt > 0 ||
			now < worker.inboundCutUntil ||
			now < worker.outboundCutUntil {
			continue
		}
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

// reserve takes the resources of one task.
func (f *freeCapacity) reserve(spec *wire.JobSpec) {
	f.cores -= spec.Cores
	f.gpus -= spec.GPUs
	f.memoryGB -= spec.MemoryGB
}

// has reports whether one task fits.
func (f *freeCapacity) has(spec *wire.JobSpec) bool {
	return f.cores >= spec.Cores && f.gpus >= spec.GPUs && f.memoryGB >= spec.MemoryGB
}

// fits reports whether one task of an array or daemon, or all of a gang in one zone, fits
// the free capacity and the team's limit.
func (u *simUser) fits(free []*freeCapacity) bool {
	spec, sim := &u.spec, u.sim
	need := 1
	if spec.Shape == wire.ShapeGang {
		need = spec.TaskCount
	}
	cores, gpus := sim.rules.teamUsage(spec.Team)
	if exceedsLimit(sim.quota.teams[spec.Team].limit, cores+float64(need)*spec.Cores, gpus+float64(need)*spec.GPUs) {
		return false
	}
	zones := map[string]int{}
	for _, machineFree := range free {
		machine := machineFree.worker.machine
		if machine.Spot && !spec.AllowSpot || spec.Zone != "" && spec.Zone != machine.Zone {
			continue
		}
		for left := *machineFree; left.has(spec) && zones[machine.Zone] < need; left.reserve(spec) {
			zones[machine.Zone]++
		}
	}
	for _, count := range zones {
		if count >= need {
			return true
		}
	}
	return false
}
