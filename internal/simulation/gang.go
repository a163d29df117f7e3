package simulation

import (
	"micaport/internal/wire"
)

// startGangIfComplete starts a gang once all its tasks wait with the same attempt.
func (task *simTask) startGangIfComplete() {
	var all []*simTask
	for _, other := range task.user.tasks {
		if other.attempt == task.attempt && other.state == wire.TaskWaitingForGang && !other.worker.terminated && !other.worker.hung {
			all = append(all, other)
		}
	}
	if len(all) < task.user.spec.TaskCount {
		return
	}
	for _, other := range all {
		other.worker.runTask(other)
	}
}

// checkGang ends a gang task whose peers did not arrive or were lost for too long.
func (worker *simWorker) checkGang(task *simTask) {
	sim := worker.sim
	if task.user == nil || task.user.spec.Shape != wire.ShapeGang {
		return
	}
	switch task.state {
	case wire.TaskWaitingForGang:
		if sim.now-task.stateSince > sim.GangWait {
			worker.exitTask(task, wire.CauseGangIncomplete)
		} else {
			task.startGangIfComplete()
		}
	case wire.TaskRunning:
		peers := 0
		task.user.eachActiveTask(func(otherWorker *simWorker, other *simTask) {
			if other.attempt == task.attempt && !otherWorker.hung && (other.state == wire.TaskRunning || other.state == wire.TaskCheckpointing) {
				peers++
			}
		})
		if peers == task.user.spec.TaskCount || sim.users.completedTasks[wire.TaskName(task.jobID, task.index)] {
			task.peerMissingSince = 0
		} else if task.peerMissingSince == 0 {
			task.peerMissingSince = sim.now
		} else if sim.now-task.peerMissingSince > sim.GangPeerTimeout {
			worker.exitTask(task, wire.CausePeerLost)
		}
	}
}
