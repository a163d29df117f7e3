package simulation

import (
	"fmt"
	"slices"
	"time"

	"micaport/internal/wire"
)

// Limits on the time that a user may be without an answer, and intervals of the checks.
const (
	unansweredAfter       = 90 * time.Second // a user whose last answer is older counts as unanswered
	answeredWithin        = 6 * time.Second  // a user whose last answer is more recent counts as answered
	unansweredAfterFaults = 75 * time.Second // longest time without an answer once all faults have ended
	ruleCheckInterval     = time.Second
	waitingJobInterval    = 5 * time.Second // between checks of the waiting jobs
)

// ruleChecker checks the rules of the protocol and collects violations.
type ruleChecker struct {
	sim           *Simulation
	violations    []string
	attemptStarts map[string]attemptStart // the last start of each task attempt, by attemptName
	startsByJob   map[string]int          // number of task starts, by job
	endedStarts   int                     // number of start commands for attempts that had exited, which have no effect
	lateStarts    int                     // number of task starts after the cancellation of the job was confirmed to the user
	faultsEndAt   time.Duration           // when the last of the faults recorded so far ends
}

// attemptStart is where a task attempt was started. A worker that has restarted within its epoch may
// start its attempts again.
type attemptStart struct {
	machine  string
	restarts int // of the worker before the start
}

// reportViolation records that a rule was violated now.
func (r *ruleChecker) reportViolation(rule, format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf("%.3fs %s: %s", r.sim.now.Seconds(), rule, fmt.Sprintf(format, args...)))
}

// extendFaultPeriod sets faultsEndAt to the end of a fault that begins now and lasts for d,
// unless an earlier fault ends later.
func (r *ruleChecker) extendFaultPeriod(d time.Duration) {
	r.faultsEndAt = max(r.faultsEndAt, r.sim.now+d)
}

// taskStarted records the start of a task on a worker and checks the rules that it can
// violate.
func (r *ruleChecker) taskStarted(worker *simWorker, task *simTask) {
	user, machine := task.user, worker.machine
	r.startsByJob[task.jobID]++
	if user.cancelledAt > 0 {
		r.lateStarts++
	}
	name := attemptName(task.name(), task.attempt)
	start := attemptStart{machine.Name, worker.restarts}
	if before := r.attemptStarts[name]; before.machine == start.machine && before.restarts == start.restarts || before.machine != "" && before.machine != start.machine {
		r.reportViolation("attempt_recurs", "%s started on %s and again on %s", name, before.machine, machine.Name)
	}
	r.attemptStarts[name] = start
	for _, jobID := range user.spec.Dependencies {
		if dependency := r.sim.users.byJob[jobID]; dependency == nil || !dependency.allTasksDone() {
			r.reportViolation("too_early", "%s started before %s was done", task.name(), jobID)
		}
	}
	zones := map[string]int{}
	user.eachActiveTask(func(otherWorker *simWorker, other *simTask) {
		if other != task && other.index == task.index {
			r.reportViolation("ran_twice", "%s: attempt %d on %s, attempt %d on %s", task.name(), task.attempt, machine.Name, other.attempt, otherWorker.machine.Name)
		}
		zones[otherWorker.machine.Zone]++
	})
	if cores, gpus := r.teamUsage(user.spec.Team); r.exceedsHighestLimit(user.spec.Team, cores, gpus) {
		r.reportViolation("quota", "%s uses %v GPUs and %v cores", user.spec.Team, gpus, cores)
	}
	r.checkPlacement(worker, task, zones)
	if cancelled := r.sim.now - user.cancelledAt; user.cancelledAt > 0 && cancelled > r.sim.CancelDeadline {
		r.reportViolation("ran_cancelled", "%s started a task %v after its cancellation", task.jobID, cancelled)
	}
}

// checkPlacement checks that a job may use the worker's machine, given the number of its
// active tasks in each zone.
func (r *ruleChecker) checkPlacement(worker *simWorker, task *simTask, zones map[string]int) {
	spec, machine := &task.user.spec, worker.machine
	switch {
	case machine.Spot && !spec.AllowSpot:
		r.reportViolation("wrong_place", "%s on a spot machine", task.jobID)
	case !allowsType(spec, machine.MachineType):
		r.reportViolation("wrong_place", "%s on a machine of type %s", task.jobID, machine.MachineType)
	case spec.Zone != "" && spec.Zone != machine.Zone:
		r.reportViolation("wrong_place", "%s in zone %s", task.jobID, machine.Zone)
	case spec.SameZone && len(zones) > 1:
		r.reportViolation("wrong_place", "%s in zones %v", task.jobID, zones)
	case spec.Spread && zones[machine.Zone] > (spec.TaskCount+1)/2:
		r.reportViolation("wrong_place", "%s has %d of %d tasks in zone %s", task.jobID, zones[machine.Zone], spec.TaskCount, machine.Zone)
	}
}

// allowsType reports whether a job allows a machine type.
func allowsType(spec *wire.JobSpec, machineType string) bool {
	return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, machineType)
}

// checkRejected checks that a job which was rejected as one that can never run, in answer to a
// submission sent at a time, can't run: it needs more than its team's limit, or fits no type that it
// allows and that has been on offer since then.
func (r *ruleChecker) checkRejected(user *simUser, sentAt time.Duration) {
	spec, cloud := &user.spec, r.sim.cloud
	team, known := r.sim.quota.teams[spec.Team]
	atOnce := 1.0
	if spec.Shape != wire.ShapeArray {
		atOnce = float64(spec.TaskCount)
	}
	if !known || spec.Dependencies != nil || exceedsLimit(team.limit, atOnce*spec.Cores, atOnce*spec.GPUs) {
		return
	}
	for _, machineType := range cloud.machineTypes {
		fits := spec.Cores <= machineType.Cores && spec.GPUs <= machineType.GPUs && spec.MemoryGB <= machineType.MemoryGB
		if fits && allowsType(spec, machineType.Name) && cloud.offers(machineType.Name, sentAt) && (spec.Zone == "" || slices.Contains(machineType.Zones, spec.Zone)) {
			r.reportViolation("rejected_wrongly", "%s fits %s, which is on offer", spec.ID, machineType.Name)
			return
		}
	}
}

const (
	// maxMessageBytes is the limit on a worker's heartbeats and on the replies to them.
	maxMessageBytes = 64 << 10
	// maxUncheckedEntries is a number of tasks or commands that fit a message whatever their names.
	maxUncheckedEntries = 300
)

// checkMessage checks the size of a heartbeat or reply with a number of tasks or commands.
func (r *ruleChecker) checkMessage(worker *simWorker, message any, entries int) {
	if entries <= maxUncheckedEntries {
		return
	}
	raw, err := wire.Encode(message)
	must(err)
	if len(raw) > maxMessageBytes {
		r.reportViolation("limits", "%s: message with %d entries has %d bytes", worker.machine.Name, entries, len(raw))
	}
}

// check checks the rules that apply at all times. It runs once every ruleCheckInterval, and
// also makes the gang tasks check whether their peers are running.
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

// checkAnswers checks that users get answers: at any time the users without answers must
// not be outnumbered by those that get answers, and once all faults have ended every user
// must get answers.
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
		r.reportViolation("forgotten", "%d jobs get no answers while %d do", unanswered, answered)
	}
	for _, user := range r.sim.users.ordered {
		unansweredTime := now - max(user.lastAnsweredAt, r.faultsEndAt)
		if user.accepted && user.cancelledAt == 0 && unansweredTime > unansweredAfterFaults {
			r.reportViolation("forgotten", "%s: no answer for %v, the last status was %d", user.spec.ID, unansweredTime, user.lastCode)
		}
	}
}

// checkCancelled checks that the tasks of cancelled jobs have ended by the deadline.
func (r *ruleChecker) checkCancelled() {
	r.sim.users.eachActiveTask(func(worker *simWorker, task *simTask) {
		cancelled := r.sim.now - task.user.cancelledAt
		if task.user.cancelledAt > 0 && cancelled > r.sim.CancelDeadline {
			r.reportViolation("ran_cancelled", "%s is active on %s %v after its cancellation (%s)", task.name(), worker.machine.Name, cancelled, task.state)
		}
	})
}

// teamUsage returns the resources that the active tasks of a team use.
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

// exceedsHighestLimit reports whether a usage exceeds the highest limit that a team has had.
// The current limit may be lower, but tasks that were placed before it was lowered may start
// afterwards. Whether tasks may be placed is checked by quotaAccounting.
func (r *ruleChecker) exceedsHighestLimit(team string, cores, gpus float64) bool {
	return exceedsLimit(r.sim.quota.highestLimits[team], cores, gpus)
}

// exceedsLimit reports whether a usage exceeds a limit. A limit of 0 means unlimited.
func exceedsLimit(limit wire.Resources, cores, gpus float64) bool {
	return limit.GPUs > 0 && gpus > limit.GPUs+quotaTolerance || limit.Cores > 0 && cores > limit.Cores+quotaTolerance
}
