package simulation

import "micaport/internal/wire"

// startGangIfComplete runs all tasks of a gang if all of them are waiting with the same
// attempt number.
func (t *simTask) startGangIfComplete() {
	var waiting []*simTask
	for _, other := range t.user.tasks {
		if other.attempt == t.attempt &&
			other.state == wire.TaskWaitingForGang &&
			!other.worker.terminated && !other.worker.hung {
			waiting = append(waiting, other)
		}
	}
	if len(waiting) < t.user.spec.TaskCount {
		return
	}
	for _, other := range waiting {
		other.worker.runTask(other)
	}
}

// checkGang ends a gang task that has waited for its peers for too long, or that has run for
// too long while a peer was missing. It starts the gang of a waiting task if the gang is
// complete.
func (w *simWorker) checkGang(task *simTask) {
	if task.user == nil || task.user.spec.Shape != wire.ShapeGang {
		return
	}
	now := w.sim.now
	switch task.state {
	case wire.TaskWaitingForGang:
		if now-task.stateSince > w.sim.GangWait {
			w.exitTask(task, wire.CauseGangIncomplete)
		} else {
			task.startGangIfComplete()
		}
	case wire.TaskRunning:
		switch {
		case task.countRunningGangTasks() == task.user.spec.TaskCount || w.sim.users.completedTasks[task.name()]:
			task.peerMissingSince = 0
		case task.peerMissingSince == 0:
			task.peerMissingSince = now
		case now-task.peerMissingSince > w.sim.GangPeerTimeout:
			w.exitTask(task, wire.CausePeerLost)
		}
	}
}

// countRunningGangTasks returns the number of running tasks of the gang that have the same
// attempt number as this one, itself included.
func (t *simTask) countRunningGangTasks() int {
	count := 0
	t.user.eachActiveTask(func(worker *simWorker, other *simTask) {
		if other.attempt == t.attempt && !worker.hung &&
			(other.state == wire.TaskRunning || other.state == wire.TaskCheckpointing) {
			count++
		}
	})
	return count
}
