package simulation

import (
	"fmt"
	"time"

	"micaport/internal/wire"
)

// ruleChecker checks the rules of the protocol and collects violations.
type ruleChecker struct {
	sim             *Simulation
	violations      []string
	attemptMachines map[string]string // the machine of every attempt of a task
	starts          map[string]int    // starts of tasks by job
	lateStarts      int               // starts after the user was told that the job is cancelled
	faultsEndAt     time.Duration     // when the last fault ends, as far as is known
}

func (rules *ruleChecker) violated(rule, format string, a ...any) {
	rules.violations = append(rules.violations, fmt.Sprintf("%.3fs %s: %s", rules.sim.now.Seconds(), rule, fmt.Sprintf(format, a...)))
}

// faultsLast notes that there is trouble for a while.
func (rules *ruleChecker) faultsLast(d time.Duration) {
	rules.faultsEndAt = max(rules.faultsEndAt, rules.sim.now+d)
}

// taskStarted checks the rules that a start can break.
func (rules *ruleChecker) taskStarted(worker *simWorker, task *simTask) {
	spec := &task.user.spec
	rules.starts[task.jobID]++
	if task.user.cancelledAt > 0 {
		rules.lateStarts++
	}
	name := fmt.Sprintf("%s/%d#%d", task.jobID, task.index, task.attempt)
	if at := rules.attemptMachines[name]; at != "" && at != worker.machine.Name {
		rules.violated("attempt_recurs", "%s on %s and then on %s", name, at, worker.machine.Name)
	}
	rules.attemptMachines[name] = worker.machine.Name
	for _, jobID := range spec.Dependencies {
		if dependency := rules.sim.users.byJob[jobID]; dependency == nil || !dependency.allTasksDone() {
			rules.violated("too_early", "%s/%d before %s is done", task.jobID, task.index, jobID)
		}
	}
	zones := map[string]int{}
	task.user.eachActiveTask(func(otherWorker *simWorker, other *simTask) {
		if other != task && other.index == task.index {
			rules.violated("ran_twice", "%s/%d: attempt %d on %s, attempt %d on %s", task.jobID, task.index, task.attempt, worker.machine.Name, other.attempt, otherWorker.machine.Name)
		}
		zones[otherWorker.machine.Zone]++
	})
	if cores, gpus := rules.teamUsage(spec.Team); rules.exceedsHighestLimit(spec.Team, cores, gpus) {
		rules.violated("quota", "%s uses %v cards and %v cores", spec.Team, gpus, cores)
	}
	switch {
	case worker.machine.Spot && !spec.AllowSpot:
		rules.violated("wrong_place", "%s on a spot machine", task.jobID)
	case spec.Zone != "" && spec.Zone != worker.machine.Zone:
		rules.violated("wrong_place", "%s in zone %s", task.jobID, worker.machine.Zone)
	case spec.SameZone && len(zones) > 1:
		rules.violated("wrong_place", "%s in zones %v", task.jobID, zones)
	case spec.Spread && zones[worker.machine.Zone] > (spec.TaskCount+1)/2:
		rules.violated("wrong_place", "%s has %d of %d tasks in zone %s", task.jobID, zones[worker.machine.Zone], spec.TaskCount, worker.machine.Zone)
	}
	if task.user.cancelledAt > 0 && rules.sim.now-task.user.cancelledAt > rules.sim.CancelDeadline {
		rules.violated("ran_cancelled", "%s started %v after", task.jobID, rules.sim.now-task.user.cancelledAt)
	}
}

// check looks at the world every second.
func (rules *ruleChecker) check() {
	served, mute := 0, 0
	for _, jobID := range sortedKeys(rules.sim.users.byJob) {
		user := rules.sim.users.byJob[jobID]
		if !user.accepted {
			continue
		}
		if rules.sim.now-user.lastAnsweredAt > 90*time.Second {
			mute++
		} else if rules.sim.now-user.lastAnsweredAt < 6*time.Second {
			served++
		}
	}
	if mute > 0 && served > mute {
		rules.violated("forgotten", "%d jobs get no answers while %d do", mute, served)
	}
	// Once all troubles are over each job is judged by itself.
	for _, user := range rules.sim.users.ordered {
		if quiet := rules.sim.now - max(user.lastAnsweredAt, rules.faultsEndAt); user.accepted && user.cancelledAt == 0 && quiet > 75*time.Second {
			rules.violated("forgotten", "%s: no answer for %v, the last was %d", user.spec.ID, quiet, user.lastCode)
		}
	}
	rules.sim.users.eachActiveTask(func(worker *simWorker, task *simTask) {
		if user := task.user; user.cancelledAt > 0 && rules.sim.now-user.cancelledAt > rules.sim.CancelDeadline {
			rules.violated("ran_cancelled", "%s/%d on %s %v after (%s)", task.jobID, task.index, worker.machine.Name, rules.sim.now-user.cancelledAt, task.state)
		}
	})
	rules.checkWaitingJobs()
	for _, name := range sortedKeys(rules.sim.fleet.workers) {
		worker := rules.sim.fleet.workers[name]
		if worker.terminated || worker.hung {
			continue
		}
		for _, key := range sortedKeys(worker.tasks) {
			worker.checkGang(worker.tasks[key])
		}
	}
}

// teamUsage is what the tasks of a team that are on machines take.
func (rules *ruleChecker) teamUsage(team string) (cores, gpus float64) {
	for _, user := range rules.sim.users.ordered {
		if user.spec.Team == team {
			user.eachActiveTask(func(*simWorker, *simTask) {
				cores += user.spec.Cores
				gpus += user.spec.GPUs
			})
		}
	}
	return cores, gpus
}

// exceedsHighestLimit tells whether a use is beyond a team's limit, or where operators have changed
// that, beyond the highest that has been in force: what was placed before a limit was
// lowered may start after. What is placed is judged by the accounting.
func (rules *ruleChecker) exceedsHighestLimit(team string, cores, gpus float64) bool {
	return exceedsLimit(rules.sim.quota.highestLimits[team], cores, gpus)
}

// exceedsLimit tells whether a use is beyond a limit, in which 0 is none.
func exceedsLimit(limit wire.Resources, cores, gpus float64) bool {
	return limit.GPUs > 0 && gpus > limit.GPUs+quotaTolerance || limit.Cores > 0 && cores > limit.Cores+quotaTolerance
}
