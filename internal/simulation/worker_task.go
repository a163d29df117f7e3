package simulation

import (
	"fmt"
	"time"

	"micaport/internal/wire"
)

// simTask is one attempt of a task on a worker.
type simTask struct {
	user             *simUser // nil: the job is unknown
	worker           *simWorker
	jobID            string
	index            int // in the job
	attempt          uint64
	state            string // wire.TaskFetching and its like
	exitCause        string // wire.CauseDone and its like, once it has exited
	checkpointSaved  bool
	stateSince       time.Duration // when it began to fetch, to wait for its gang, or to run without one
	generation       int           // changes when what was scheduled for the task is void
	peerMissingSince time.Duration // when a running gang task first missed a peer; 0: none is missing
}

// attemptName names an attempt of a task among those of a worker.
func attemptName(taskName string, attempt uint64) string {
	return fmt.Sprintf("%s#%d", taskName, attempt)
}

// name returns the name of the task, which all its attempts share.
func (task *simTask) name() string { return wire.TaskName(task.jobID, task.index) }

// status returns the task as a heartbeat shows it.
func (task *simTask) status() wire.TaskStatus {
	return wire.TaskStatus{Task: task.name(), Attempt: task.attempt, State: task.state, ExitCause: task.exitCause, CheckpointSaved: task.checkpointSaved}
}

// startTask accepts a task, fetches its image and runs it, or rejects it.
func (worker *simWorker) startTask(key string, task *simTask) {
	sim, user := worker.sim, task.user
	worker.heartbeatDue = true
	worker.addTask(key, task)
	if cause := worker.rejectionCause(task); cause != "" {
		task.state, task.exitCause = wire.TaskExited, cause
		return
	}
	sim.rules.taskStarted(worker, task)
	fetchTime := time.Duration(0)
	if !worker.images[user.spec.Image] {
		fetchTime = seconds(user.spec.ImageGB / sim.cloud.machineType.FetchGBs * (0.7 + 0.6*sim.rng.Float64()))
	}
	worker.schedule(task, fetchTime, func() {
		worker.images[user.spec.Image] = true
		task.stateSince = sim.now
		if user.spec.Shape == wire.ShapeGang {
			worker.setState(task, wire.TaskWaitingForGang)
			task.startGangIfComplete()
			return
		}
		worker.runTask(task)
	})
}

// rejectionCause returns why the worker rejects a task, or "".
func (worker *simWorker) rejectionCause(task *simTask) string {
	if task.user == nil || task.index >= task.user.spec.TaskCount {
		return wire.CauseUnknownJob
	}
	spec := &task.user.spec
	cores, gpus, memoryGB := spec.Cores, spec.GPUs, spec.MemoryGB
	for _, key := range sortedKeys(worker.tasks) {
		other := worker.tasks[key]
		if other == task || other.state == wire.TaskExited {
			continue
		}
		if other.jobID == task.jobID && other.index == task.index {
			return wire.CauseDuplicate
		}
		cores += other.user.spec.Cores
		gpus += other.user.spec.GPUs
		memoryGB += other.user.spec.MemoryGB
	}
	machineType := &worker.sim.cloud.machineType
	if cores > machineType.Cores || gpus > machineType.GPUs || memoryGB > machineType.MemoryGB {
		return wire.CauseNoCapacity
	}
	return ""
}

// killTask stops a task. It saves a checkpoint first if the grace period allows.
func (worker *simWorker) killTask(task *simTask, graceS float64) {
	spec := &task.user.spec
	if task.state == wire.TaskRunning && spec.CheckpointIntervalS > 0 && graceS >= spec.CheckpointTimeS {
		worker.setState(task, wire.TaskCheckpointing)
		worker.schedule(task, seconds(spec.CheckpointTimeS), func() {
			task.checkpointSaved = true
			worker.exitTask(task, wire.CauseStopped)
		})
		return
	}
	if task.state == wire.TaskCheckpointing && graceS > 0 {
		return
	}
	worker.exitTask(task, wire.CauseStopped)
}

// schedule runs a function for a task after d, or once the worker no longer hangs, unless
// the task is gone or something else is scheduled for it by then.
func (worker *simWorker) schedule(task *simTask, d time.Duration, run func()) {
	task.generation++
	generation := task.generation
	key := attemptName(task.name(), task.attempt)
	var attempt func()
	attempt = func() {
		if task.generation != generation || worker.terminated || worker.tasks[key] != task {
			return
		}
		if worker.hung {
			worker.sim.after(time.Second, attempt)
			return
		}
		run()
	}
	worker.sim.after(d, attempt)
}

// setState changes the state of a task, which a heartbeat reports at once.
func (worker *simWorker) setState(task *simTask, state string) {
	task.state, worker.heartbeatDue = state, true
}

// exitTask ends a task.
func (worker *simWorker) exitTask(task *simTask, cause string) {
	task.generation++
	task.exitCause = cause
	worker.setState(task, wire.TaskExited)
}

// runTask runs a task whose image is there, and whose gang waits with it.
func (worker *simWorker) runTask(task *simTask) {
	user := task.user
	worker.setState(task, wire.TaskRunning)
	if user.startedAt == 0 {
		user.startedAt = worker.sim.now
	}
	switch {
	case worker.failsTasks || user.alwaysFails:
		worker.schedule(task, time.Second, func() { worker.exitTask(task, wire.CauseError) })
	case user.spec.Shape == wire.ShapeDaemon:
		task.generation++
	case worker.sim.users.completedTasks[task.name()]:
		worker.exitTask(task, wire.CauseDone)
	default:
		worker.schedule(task, user.runtime, func() { worker.completeTask(task) })
	}
}

// completeTask ends a task that has done its work; with one task of a gang all are done.
func (worker *simWorker) completeTask(task *simTask) {
	user, completed := task.user, worker.sim.users.completedTasks
	completed[task.name()] = true
	if user.spec.Shape == wire.ShapeGang {
		for i := range user.spec.TaskCount {
			completed[wire.TaskName(task.jobID, i)] = true
		}
	}
	worker.exitTask(task, wire.CauseDone)
	worker.sim.users.maybeCancelAtEnd(user)
}
