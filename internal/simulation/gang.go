package simulation

import "micaport/internal/wire"

// startGangIfComplete runs all tasks of a gang once they wait with the same attempt.
func (task *simTask) startGangIfComplete() {
	var waiting []*simTask
	for _, other := range task.user.tasks {
		if other.attempt == task.attempt && other.state == wire.TaskWaitingForGang && !other.worker.terminated && !other.worker.hung {
			waiting = append(waiting, other)
		}
	}
	if len(waiting) < task.user.spec.TaskCount {
		return
	}
	for _, other := range waiting {
		other.worker.runTask(other)
	}
}

// checkGang ends a gang task whose peers have not come, or are missing, for too long.
func (worker *simWorker) checkGang(task *simTask) {
	if task.user == nil || task.user.spec.Shape != wire.ShapeGang {
		return
	}
	now := worker.sim.now
	switch task.state {
	case wire.TaskWaitingForGang:
		if now-task.stateSince > worker.sim.GangWait {
			worker.exitTask(task, wire.CauseGangIncomplete)
		} else {
			task.startGangIfComplete()
		}
	case wire.TaskRunning:
		switch {
		case task.countGang() == task.user.spec.TaskCount || worker.sim.users.completedTasks[task.name()]:
			task.peerMissingSince = 0
		case task.peerMissingSince == 0:
			task.peerMissingSince = now
		case now-task.peerMissingSince > worker.sim.GangPeerTimeout:
			worker.exitTask(task, wire.CausePeerLost)
		}
	}
}

// countGang counts the tasks of a gang that run with the attempt of this one, itself
// included.
func (task *simTask) countGang() int {
	count := 0
	task.user.eachActiveTask(func(worker *simWorker, other *simTask) {
		if other.attempt == task.attempt && !worker.hung && (other.state == wire.TaskRunning || other.state == wire.TaskCheckpointing) {
			count++
		}
	})
	return count
}
