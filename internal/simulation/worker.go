package simulation

import (
	"slices"
	"time"
)

// simWorker models a worker on a machine of the cloud.
type simWorker struct {
	sim        *Simulation
	machine    *cloudMachine
	terminated bool
	hung       bool
	failsTasks bool    // every task that it runs fails
	clockRate  float64 // rate of its clock relative to that of the simulation
	epoch      uint64  // incremented when it loses its tasks
	sequence   uint64  // of its last heartbeat or executed command batch
	token      uint64  // the highest fencing token received
	restarts   int     // how often it has restarted within an epoch
	// losesCommands is set from a restart until a heartbeat is answered: commands sent to the worker
	// are lost. No controller could keep a copy of an earlier start from being executed then.
	losesCommands bool
	tasks         map[string]*simTask // by attemptName
	images        map[string]bool     // images that it has fetched

	controllerIndex int // index of the controller to which it sends heartbeats
	awaitingReply   bool
	heartbeatID     int // of the last heartbeat; replies to earlier ones are ignored
	lastHeartbeatAt time.Duration
	heartbeatDue    bool          // it sends a heartbeat without waiting for the interval to end
	renewedAt       time.Duration // when the heartbeat that last renewed its lease was sent
	reclaimAt       time.Duration // when its machine is going to be reclaimed; 0: no reclaim is announced

	inboundCutUntil  time.Duration // until this time it receives no reply or command
	outboundCutUntil time.Duration // until this time its heartbeats are lost
}

// workerLoopInterval is how often a worker checks its lease and whether to send a heartbeat.
const workerLoopInterval = 500 * time.Millisecond

func (w *simWorker) endpoint() endpoint {
	return endpoint{w.machine.Name, w.machine.Zone}
}

// loop runs the worker until its machine is terminated.
func (w *simWorker) loop() {
	w.sim.after(workerLoopInterval, func() {
		if w.terminated {
			return
		}
		w.checkLease()
		interval := time.Duration(float64(w.sim.HeartbeatInterval) * (0.75 + 0.5*w.sim.rng.Float64()))
		if !w.hung && !w.awaitingReply && (w.heartbeatDue || w.sim.now-w.lastHeartbeatAt >= interval) {
			w.sendHeartbeat()
		}
		w.loop()
	})
}

// checkLease ends all tasks and begins a new epoch if the worker's lease has expired.
func (w *simWorker) checkLease() {
	if time.Duration(float64(w.sim.now-w.renewedAt)*w.clockRate) > w.sim.WorkerLease {
		w.beginEpoch()
	}
}

// beginEpoch removes all tasks and begins a new epoch.
func (w *simWorker) beginEpoch() {
	w.removeAllTasks()
	w.epoch++
	w.renewedAt = w.sim.now
	w.abandonHeartbeat()
}

// restart removes all tasks and the fencing token, as if the worker's process had been restarted. The
// epoch goes on unless its lease has expired.
func (w *simWorker) restart() {
	w.removeAllTasks()
	w.token = 0
	w.restarts++
	w.abandonHeartbeat()
	w.heartbeatDue = true
	w.checkLease()
}

// abandonHeartbeat makes the worker ignore the reply to its last heartbeat.
func (w *simWorker) abandonHeartbeat() {
	w.awaitingReply = false
	w.heartbeatID++
}

func (w *simWorker) removeAllTasks() {
	for _, key := range sortedKeys(w.tasks) {
		w.removeTask(key)
	}
}

// addTask adds a task, under its attemptName, to the worker and to the tasks of its user.
func (w *simWorker) addTask(key string, task *simTask) {
	w.tasks[key] = task
	if task.user != nil {
		task.user.tasks = append(task.user.tasks, task)
	}
}

// removeTask removes a task, given its attemptName, from the worker and from the tasks of its
// user.
func (w *simWorker) removeTask(key string) {
	task := w.tasks[key]
	delete(w.tasks, key)
	if task.user != nil {
		task.user.tasks = slices.DeleteFunc(task.user.tasks, func(other *simTask) bool { return other == task })
	}
}
