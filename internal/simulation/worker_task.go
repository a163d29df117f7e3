package simulation

import (
	"fmt"
	"time"

	"micaport/internal/wire"
)

type simTask struct {
	user             *simUser
	worker           *simWorker
	jobID            string
	index            int
	attempt          uint64
	state            string
	exitCause        string
	checkpointSaved  bool
	stateSince       time.Duration
	generation       int
	peerMissingSince time.Duration // a gang task first saw a peer missing
}

// startTask takes a task on, or refuses it.
func (worker *simWorker) startTask(key string, task *simTask) {
	sim, user := worker.sim, task.user
	worker.heartbeatDue = true
	worker.addTask(key, task)
	if cause := worker.rejectionCause(task); cause != "" {
		task.state, task.exitCause = wire.TaskExited, cause
		return
	}
	sim.rules.taskStarted(worker, task)
	wait := time.Duration(0)
	if !worker.images[user.spec.Image] {
		wait = time.Duration(user.spec.ImageGB / sim.cloud.machineType.FetchGBs * (0.7 + 0.6*sim.rng.Float64()) * float64(time.Second))
	}
	worker.schedule(task, wait, func() {
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

// rejectionCause is why a worker refuses a task, or "".
func (worker *simWorker) rejectionCause(task *simTask) string {
	if task.user == nil || task.index >= task.user.spec.TaskCount {
		return wire.CauseUnknownJob
	}
	cores, gpus, mem := task.user.spec.Cores, task.user.spec.GPUs, task.user.spec.MemoryGB
	for _, name := range sortedKeys(worker.tasks) {
		other := worker.tasks[name]
		if other == task || other.state == wire.TaskExited {
			continue
		}
		if other.jobID == task.jobID && other.index == task.index {
			return wire.CauseDuplicate
		}
		cores += other.user.spec.Cores
		gpus += other.user.spec.GPUs
		mem += other.user.spec.MemoryGB
	}
	f := worker.sim.cloud.machineType
	if cores > f.Cores || gpus > f.GPUs || mem > f.MemoryGB {
		return wire.CauseNoCapacity
	}
	return ""
}

// killTask stops a task, which saves first if it can in the time that it has.
func (worker *simWorker) killTask(task *simTask, graceS float64) {
	if task.state == wire.TaskRunning && task.user.spec.CheckpointIntervalS > 0 && graceS >= task.user.spec.CheckpointTimeS {
		worker.setState(task, wire.TaskCheckpointing)
		worker.schedule(task, time.Duration(task.user.spec.CheckpointTimeS*float64(time.Second)), func() {
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

// schedule acts on a task after a while unless something else becomes of it.
func (worker *simWorker) schedule(task *simTask, d time.Duration, f func()) {
	task.generation++
	gen := task.generation
	var act func()
	act = func() {
		if task.generation != gen || worker.terminated || worker.tasks[fmt.Sprintf("%s#%d", wire.TaskName(task.jobID, task.index), task.attempt)] != task {
			return
		}
		if worker.hung {
			worker.sim.after(time.Second, act)
			return
		}
		f()
	}
	worker.sim.after(d, act)
}

func (worker *simWorker) setState(task *simTask, state string) {
	task.state, worker.heartbeatDue = state, true
}

func (worker *simWorker) exitTask(task *simTask, cause string) {
	task.generation++
	task.exitCause = cause
	worker.setState(task, wire.TaskExited)
}

func (worker *simWorker) runTask(task *simTask) {
	worker.setState(task, wire.TaskRunning)
	if task.user.startedAt == 0 {
		task.user.startedAt = worker.sim.now
	}
	name := wire.TaskName(task.jobID, task.index)
	switch {
	case worker.failsTasks || task.user.alwaysFails:
		worker.schedule(task, time.Second, func() { worker.exitTask(task, wire.CauseError) })
	case task.user.spec.Shape == wire.ShapeDaemon:
		task.generation++
	case worker.sim.users.completedTasks[name]:
		worker.exitTask(task, wire.CauseDone)
	default:
		worker.schedule(task, task.user.runtime, func() {
			worker.sim.users.completedTasks[name] = true
			if task.user.spec.Shape == wire.ShapeGang {
				for i := range task.user.spec.TaskCount {
					worker.sim.users.completedTasks[wire.TaskName(task.jobID, i)] = true
				}
			}
			worker.exitTask(task, wire.CauseDone)
			worker.sim.users.maybeCancelAtEnd(task.user)
		})
	}
}
