package simulation

import (
	"fmt"
	"time"

	"micaport/internal/wire"
)

// Limits on how long the answers to a job's user may stay away.
const (
	unansweredAfter    = 90 * time.Second // of one user, while others get answers
	answeredWithin     = 6 * time.Second  // of those others
	unansweredAtCalm   = 75 * time.Second // of any user, once all faults are over
	ruleCheckInterval  = time.Second
	waitingJobInterval = 5 * time.Second // between checks of the jobs that wait
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

// violated records that a rule was violated now.
func (r *ruleChecker) violated(rule, format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf("%.3fs %s: %s", r.sim.now.Seconds(), rule, fmt.Sprintf(format, args...)))
}

// faultsLast records that a fault goes on for d from now.
func (r *ruleChecker) faultsLast(d time.Duration) {
	r.faultsEndAt = max(r.faultsEndAt, r.sim.now+d)
}

// taskStarted checks the rules that the start of a task on a worker can violate.
func (r *ruleChecker) taskStarted(worker *simWorker, task *simTask) {
	user, machine := task.user, worker.machine
	r.starts[task.jobID]++
	if user.cancelledAt > 0 {
		r.lateStarts++
	}
	name := attemptName(task.name(), task.attempt)
	if before := r.attemptMachines[name]; before != "" && before != machine.Name {
		r.violated("attempt_recurs", "%s on %s and then on %s", name, before, machine.Name)
	}
	r.attemptMachines[name] = machine.Name
	for _, jobID := range user.spec.Dependencies {
		if dependency := r.sim.users.byJob[jobID]; dependency == nil || !dependency.allTasksDone() {
			r.violated("too_early", "%s before %s is done", task.name(), jobID)
		}
	}
	zones := map[string]int{}
	user.eachActiveTask(func(otherWorker *simWorker, other *simTask) {
		if other != task && other.index == task.index {
			r.violated("ran_twice", "%s: attempt %d on %s, attempt %d on %s", task.name(), task.attempt, machine.Name, other.attempt, otherWorker.machine.Name)
		}
		zones[otherWorker.machine.Zone]++
	})
	if cores, gpus := r.teamUsage(user.spec.Team); r.exceedsHighestLimit(user.spec.Team, cores, gpus) {
		r.violated("quota", "%s uses %v GPUs and %v cores", user.spec.Team, gpus, cores)
	}
	r.checkPlacement(worker, task, zones)
	if cancelled := r.sim.now - user.cancelledAt; user.cancelledAt > 0 && cancelled > r.sim.CancelDeadline {
		r.violated("ran_cancelled", "%s started %v after", task.jobID, cancelled)
	}
}

// checkPlacement checks that a job may use a machine, given how many of its tasks are in
// each zone.
func (r *ruleChecker) checkPlacement(worker *simWorker, task *simTask, zones map[string]int) {
	spec, machine := &task.user.spec, worker.machine
	switch {
	case machine.Spot && !spec.AllowSpot:
		r.violated("wrong_place", "%s on a spot machine", task.jobID)
	case spec.Zone != "" && spec.Zone != machine.Zone:
		r.violated("wrong_place", "%s in zone %s", task.jobID, machine.Zone)
	case spec.SameZone && len(zones) > 1:
		r.violated("wrong_place", "%s in zones %v", task.jobID, zones)
	case spec.Spread && zones[machine.Zone] > (spec.TaskCount+1)/2:
		r.violated("wrong_place", "%s has %d of %d tasks in zone %s", task.jobID, zones[machine.Zone], spec.TaskCount, machine.Zone)
	}
}

// check checks the rules that hold at all times, once a ruleCheckInterval. Gang tasks look
// for their peers then too.
func (r *ruleChecker) check() {
	r.checkAnswers()
	r.checkCancelled()
	r.checkWaitingJobs()
	for _, name := range sortedKeys(r.sim.fleet.workers) {
		worker := r.sim.fleet.workers[name]
		if worker.terminated || worker.hung {
			continue
		}
		for _, key := range sortedKeys(worker.tasks) {
			worker.checkGang(worker.tasks[key])
		}
	}
}

// checkAnswers checks that users get answers: most of them always, and each of them once
// all faults are over.
func (r *ruleChecker) checkAnswers() {
	now, answered, unanswered := r.sim.now, 0, 0
	for _, user := range r.sim.users.byJob {
		if !user.accepted {
			continue
		}
		if now-user.lastAnsweredAt > unansweredAfter {
			unanswered++
		} else if now-user.lastAnsweredAt < answeredWithin {
			answered++
		}
	}
	if unanswered > 0 && answered > unanswered {
		r.violated("forgotten", "%d jobs get no answers while %d do", unanswered, answered)
	}
	for _, user := range r.sim.users.ordered {
		quiet := now - max(user.lastAnsweredAt, r.faultsEndAt)
		if user.accepted && user.cancelledAt == 0 && quiet > unansweredAtCalm {
			r.violated("forgotten", "%s: no answer for %v, the last was %d", user.spec.ID, quiet, user.lastCode)
		}
	}
}

// checkCancelled checks that the tasks of cancelled jobs are gone by the deadline.
func (r *ruleChecker) checkCancelled() {
	r.sim.users.eachActiveTask(func(worker *simWorker, task *simTask) {
		cancelled := r.sim.now - task.user.cancelledAt
		if task.user.cancelledAt > 0 && cancelled > r.sim.CancelDeadline {
			r.violated("ran_cancelled", "%s on %s %v after (%s)", task.name(), worker.machine.Name, cancelled, task.state)
		}
	})
}

// teamUsage returns what the tasks of a team that are on machines use.
func (r *ruleChecker) teamUsage(team string) (cores, gpus float64) {
	for _, user := range r.sim.users.ordered {
		if user.spec.Team == team {
			user.eachActiveTask(func(*simWorker, *simTask) {
				cores += user.spec.Cores
				gpus += user.spec.GPUs
			})
		}
	}
	return cores, gpus
}

// exceedsHighestLimit reports whether a use exceeds the highest limit that a team has had:
// what was placed before the limit was lowered may start after. Whether it may be placed is
// checked by quotaAccounting.
func (r *ruleChecker) exceedsHighestLimit(team string, cores, gpus float64) bool {
	return exceedsLimit(r.sim.quota.highestLimits[team], cores, gpus)
}

// exceedsLimit reports whether a use exceeds a limit, of which 0 is none.
func exceedsLimit(limit wire.Resources, cores, gpus float64) bool {
	return limit.GPUs > 0 && gpus > limit.GPUs+quotaTolerance || limit.Cores > 0 && cores > limit.Cores+quotaTolerance
}
