package simulation

import (
	"fmt"
	"slices"
	"time"

	"micaport/internal/wire"
)

// largestStartLimit is how long the largest jobs of a class may take to begin.
const largestStartLimit = 240 * time.Second

// underserved checks what is checked at the end of a day: at least half of every
// class, of every team and of the largest jobs of each class has begun, the
// largest in time. Jobs that came too late to be judged, that were cancelled
// or that can't run are left out.
func (rules *ruleChecker) underserved() []string {
	type share struct{ begun, all int }
	shares := map[string]*share{}
	largest := map[string]int{}
	count := func(what string, begun bool) {
		s := shares[what]
		if s == nil {
			s = &share{}
			shares[what] = s
		}
		s.all++
		s.begun += map[bool]int{true: 1}[begun]
	}
	judged := func(user *simUser) bool {
		return user.accepted && !user.cancelRequested && !user.alwaysFails && rules.sim.now-user.submittedAt > largestStartLimit && !user.isBlocked()
	}
	for _, user := range rules.sim.users.ordered {
		if judged(user) {
			largest[user.spec.Class] = max(largest[user.spec.Class], user.spec.TaskCount)
		}
	}
	for _, user := range rules.sim.users.ordered {
		if !judged(user) {
			continue
		}
		count("class "+user.spec.Class, user.startedAt > 0)
		count("team "+user.spec.Team, user.startedAt > 0)
		if user.spec.TaskCount == largest[user.spec.Class] {
			count("largest of class "+user.spec.Class, user.startedAt > 0 && user.startedAt-user.submittedAt <= largestStartLimit)
		}
	}
	var faults []string
	for _, what := range sortedKeys(shares) {
		if s := shares[what]; 2*s.begun < s.all {
			faults = append(faults, fmt.Sprintf("served: %d of %d of %s", s.begun, s.all, what))
		}
	}
	return faults
}

// maxIdleCapacityWait is how long a job may be left waiting, once the troubles are
// over, while a machine that fits has room and its team is under its limit.
const maxIdleCapacityWait = 90 * time.Second

// checkWaitingJobs checks that.
func (rules *ruleChecker) checkWaitingJobs() {
	if rules.sim.now < rules.faultsEndAt || rules.sim.now%(5*time.Second) >= time.Second {
		return
	}
	var free []*freeCapacity
	for _, user := range rules.sim.users.ordered {
		if !user.isWaiting() {
			user.idleCapacitySince = 0
			continue
		}
		if free == nil {
			free = rules.freeCapacity()
		}
		if !user.fits(free) {
			user.idleCapacitySince = 0
			continue
		}
		if user.idleCapacitySince == 0 {
			user.idleCapacitySince = rules.sim.now
		}
		if rules.sim.now-max(user.idleCapacitySince, rules.faultsEndAt) > maxIdleCapacityWait {
			rules.violated("left_waiting", "%s waits beside room since %v", user.spec.ID, user.idleCapacitySince)
		}
	}
}

// isWaiting tells whether a job that should run has nothing on any machine.
func (user *simUser) isWaiting() bool {
	if !user.accepted || user.cancelRequested || user.alwaysFails || user.isBlocked() || len(user.tasks) > 0 && slices.ContainsFunc(user.tasks, func(task *simTask) bool { return task.state != wire.TaskExited }) {
		return false
	}
	return !user.allTasksDone()
}

// freeCapacity is what is free on a machine.
type freeCapacity struct {
	worker                *simWorker
	cores, gpus, memoryGB float64
}

func (rules *ruleChecker) freeCapacity() []*freeCapacity {
	out := []*freeCapacity{}
	for _, name := range sortedKeys(rules.sim.fleet.workers) {
		worker := rules.sim.fleet.workers[name]
		if worker.terminated || worker.hung || worker.failsTasks || worker.reclaimAt > 0 || rules.sim.now < worker.inboundCutUntil || rules.sim.now < worker.outboundCutUntil {
			continue
		}
		f := rules.sim.cloud.machineType
		room := &freeCapacity{worker, f.Cores, f.GPUs, f.MemoryGB}
		for _, task := range worker.tasks {
			if task.state != wire.TaskExited && task.user != nil {
				room.reserve(task.user)
			}
		}
		out = append(out, room)
	}
	return out
}

func (room *freeCapacity) reserve(user *simUser) {
	room.cores -= user.spec.Cores
	room.gpus -= user.spec.GPUs
	room.memoryGB -= user.spec.MemoryGB
}

// fits tells whether one task of an array or daemon, or all of a gang in one
// zone, would find room, and the team's limit allows it.
func (user *simUser) fits(free []*freeCapacity) bool {
	spec, sim := &user.spec, user.sim
	need := 1
	if spec.Shape == wire.ShapeGang {
		need = spec.TaskCount
	}
	cores, gpus := sim.rules.teamUsage(spec.Team)
	if exceedsLimit(sim.quota.teams[spec.Team].limit, cores+float64(need)*spec.Cores, gpus+float64(need)*spec.GPUs) {
		return false
	}
	zones := map[string]int{}
	for _, room := range free {
		if room.worker.machine.Spot && !spec.AllowSpot || spec.Zone != "" && spec.Zone != room.worker.machine.Zone {
			continue
		}
		for k := *room; k.cores >= spec.Cores && k.gpus >= spec.GPUs && k.memoryGB >= spec.MemoryGB && zones[room.worker.machine.Zone] < need; k.reserve(user) {
			zones[room.worker.machine.Zone]++
		}
	}
	for _, c := range zones {
		if c >= need {
			return true
		}
	}
	return false
}
