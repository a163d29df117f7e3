package simulation

import (
	"slices"
	"time"
)

// simWorker is a worker of the protocol, on a machine of the cloud.
type simWorker struct {
	sim        *Simulation
	machine    *cloudMachine
	terminated bool
	hung       bool
	failsTasks bool
	clockRate  float64             // of its clock, by the simulation's
	epoch      uint64              // of its session; a new one begins when it loses its tasks
	sequence   uint64              // of its last heartbeat
	token      uint64              // the highest fencing token that it has seen
	tasks      map[string]*simTask // by attemptName
	images     map[string]bool     // that it has fetched

	controllerIndex int // of the controller that it sends heartbeats to
	awaitingReply   bool
	heartbeatID     int // of the last heartbeat; replies to others are ignored
	lastHeartbeatAt time.Duration
	heartbeatDue    bool          // it has something to report at once
	renewedAt       time.Duration // when the last heartbeat with a reply was sent, which renewed its lease
	reclaimAt       time.Duration // when its machine will be gone; 0: it won't

	inboundCutUntil  time.Duration // no reply or command reaches it until then
	outboundCutUntil time.Duration // it reaches no controller until then
}

// workerLoopInterval is how often a worker checks its lease and whether to send a heartbeat.
const workerLoopInterval = 500 * time.Millisecond

// endpoint returns the worker as a party of the network.
func (w *simWorker) endpoint() endpoint {
	return endpoint{w.machine.Name, w.machine.Zone}
}

// loop runs the worker until its machine is gone.
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

// checkLease begins a new epoch if the lease has expired.
func (w *simWorker) checkLease() {
	if time.Duration(float64(w.sim.now-w.renewedAt)*w.clockRate) > w.sim.WorkerLease {
		w.beginEpoch()
	}
}

// beginEpoch ends all tasks and begins a new epoch.
func (w *simWorker) beginEpoch() {
	w.dropTasks()
	w.epoch++
	w.renewedAt = w.sim.now
	w.abandonHeartbeat()
}

// abandonHeartbeat makes the worker wait no longer for the reply to its last heartbeat.
func (w *simWorker) abandonHeartbeat() {
	w.awaitingReply = false
	w.heartbeatID++
}

// dropTasks loses all tasks.
func (w *simWorker) dropTasks() {
	for _, key := range sortedKeys(w.tasks) {
		w.removeTask(key)
	}
}

// addTask adds a task under its attemptName.
func (w *simWorker) addTask(key string, task *simTask) {
	w.tasks[key] = task
	if task.user != nil {
		task.user.tasks = append(task.user.tasks, task)
	}
}

// removeTask removes a task by its attemptName.
func (w *simWorker) removeTask(key string) {
	task := w.tasks[key]
	delete(w.tasks, key)
	if task.user != nil {
		task.user.tasks = slices.DeleteFunc(task.user.tasks, func(other *simTask) bool { return other == task })
	}
}
