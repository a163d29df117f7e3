package simulation

import (
	"fmt"
	"time"

	"micaport/internal/wire"
)

// simTask is one attempt of a task on a worker.
type simTask struct {
	user             *simUser // the user whose job it belongs to; nil: the job is unknown
	worker           *simWorker
	jobID            string
	index            int // position in the job
	attempt          uint64
	state            string // one of the task states, such as wire.TaskFetching
	exitCause        string // one of the exit causes, such as wire.CauseDone, once it has exited
	checkpointSaved  bool
	stateSince       time.Duration // when it was created or, later, when its image had been fetched; the start of its gang does not change it
	generation       int           // incremented when an action scheduled for the task becomes obsolete
	peerMissingSince time.Duration // when a running gang task first missed a peer; 0: none is missing
}

// attemptName returns the name of an attempt of a task, which is its key in simWorker.tasks.
func attemptName(taskName string, attempt uint64) string {
	return fmt.Sprintf("%s#%d", taskName, attempt)
}

// name returns the name of the task, which is the same for all attempts.
func (t *simTask) name() string { return wire.TaskName(t.jobID, t.index) }

// status returns the status of the task as reported in a heartbeat.
func (t *simTask) status() wire.TaskStatus {
	return wire.TaskStatus{
		Task:            t.name(),
		Attempt:         t.attempt,
		State:           t.state,
		ExitCause:       t.exitCause,
		CheckpointSaved: t.checkpointSaved,
	}
}

// startTask rejects a task, or fetches its image and then runs it. A gang task first waits
// for its gang.
func (w *simWorker) startTask(key string, task *simTask) {
	sim, user := w.sim, task.user
	w.heartbeatDue = true
	w.addTask(key, task)
	if cause := w.rejectionCause(task); cause != "" {
		task.state, task.exitCause = wire.TaskExited, cause
		return
	}
	sim.rules.taskStarted(w, task)
	fetchTime := time.Duration(0)
	if !w.images[user.spec.Image] {
		fetchTime = seconds(user.spec.ImageGB / sim.cloud.typeOf(w.machine).FetchGBs * (0.7 + 0.6*sim.rng.Float64()))
	}
	w.schedule(task, fetchTime, func() {
		w.images[user.spec.Image] = true
		task.stateSince = sim.now
		if user.spec.Shape == wire.ShapeGang {
			w.setState(task, wire.TaskWaitingForGang)
			task.startGangIfComplete()
			return
		}
		w.runTask(task)
	})
}

// rejectionCause returns the cause for which the worker rejects a task, or "" if it accepts
// the task.
func (w *simWorker) rejectionCause(task *simTask) string {
	if task.user == nil || task.index >= task.user.spec.TaskCount {
		return wire.CauseUnknownJob
	}
	spec := &task.user.spec
	cores, gpus, memoryGB := spec.Cores, spec.GPUs, spec.MemoryGB
	for _, key := range sortedKeys(w.tasks) {
		other := w.tasks[key]
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
	machineType := w.sim.cloud.typeOf(w.machine)
	if cores > machineType.Cores || gpus > machineType.GPUs || memoryGB > machineType.MemoryGB {
		return wire.CauseNoCapacity
	}
	return ""
}

// killTask stops a task. A running task saves a checkpoint first if its job has checkpoints
// and the grace period is long enough. A task that is saving one already may finish doing so
// unless the grace period is 0.
func (w *simWorker) killTask(task *simTask, graceS float64) {
	spec := &task.user.spec
	if task.state == wire.TaskRunning && spec.CheckpointIntervalS > 0 && graceS >= spec.CheckpointTimeS {
		w.setState(task, wire.TaskCheckpointing)
		w.schedule(task, seconds(spec.CheckpointTimeS), func() {
			task.checkpointSaved = true
			w.exitTask(task, wire.CauseStopped)
		})
		return
	}
	if task.state == wire.TaskCheckpointing && graceS > 0 {
		return
	}
	w.exitTask(task, wire.CauseStopped)
}

// schedule runs a function for a task after d, or later if the worker hangs then. It replaces
// a function scheduled earlier for the task. The function does not run if the task has been
// removed or its generation has changed by then.
func (w *simWorker) schedule(task *simTask, d time.Duration, run func()) {
	task.generation++
	generation := task.generation
	key := attemptName(task.name(), task.attempt)
	var attempt func()
	attempt = func() {
		if task.generation != generation || w.terminated || w.tasks[key] != task {
			return
		}
		if w.hung {
			w.sim.after(time.Second, attempt)
			return
		}
		run()
	}
	w.sim.after(d, attempt)
}

// setState changes the state of a task and makes a heartbeat due, which reports it.
func (w *simWorker) setState(task *simTask, state string) {
	task.state, w.heartbeatDue = state, true
}

// exitTask ends a task with the given exit cause.
func (w *simWorker) exitTask(task *simTask, cause string) {
	task.generation++
	task.exitCause = cause
	w.setState(task, wire.TaskExited)
}

// runTask runs a task whose image has been fetched and whose gang, if any, is complete.
func (w *simWorker) runTask(task *simTask) {
	user := task.user
	w.setState(task, wire.TaskRunning)
	if user.startedAt == 0 {
		user.startedAt = w.sim.now
	}
	switch {
	case w.failsTasks || user.alwaysFails:
		w.schedule(task, time.Second, func() { w.exitTask(task, wire.CauseError) })
	case user.spec.Shape == wire.ShapeDaemon:
		task.generation++
	case w.sim.users.completedTasks[task.name()]:
		w.exitTask(task, wire.CauseDone)
	default:
		w.schedule(task, user.runtime, func() { w.completeTask(task) })
	}
}

// completeTask ends a task that has completed its work. When one task of a gang completes,
// all tasks of the gang count as completed.
func (w *simWorker) completeTask(task *simTask) {
	user, completed := task.user, w.sim.users.completedTasks
	completed[task.name()] = true
	if user.spec.Shape == wire.ShapeGang {
		for i := range user.spec.TaskCount {
			completed[wire.TaskName(task.jobID, i)] = true
		}
	}
	w.exitTask(task, wire.CauseDone)
	w.sim.users.scheduleCancelAtEnd(user)
}
