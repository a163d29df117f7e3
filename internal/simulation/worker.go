package simulation

import (
	"slices"
	"time"
)

// simWorker is a worker as the protocol describes it.
type simWorker struct {
	sim              *Simulation
	machine          *cloudMachine
	terminated       bool
	hung             bool
	failsTasks       bool
	epoch            uint64
	sequence         uint64
	token            uint64
	tasks            map[string]*simTask
	images           map[string]bool
	controllerIndex  int
	awaitingReply    bool
	heartbeatID      int
	renewedAt        time.Duration // when the last answered report was sent
	reclaimAt        time.Duration
	heartbeatDue     bool
	inboundCutUntil  time.Duration // until when no answer or command reaches it
	outboundCutUntil time.Duration // until when it reaches no controller
	lastHeartbeatAt  time.Duration
	clockRate        float64
}

// endpoint returns the worker as a party of the network.
func (worker *simWorker) endpoint() endpoint {
	return endpoint{worker.machine.Name, worker.machine.Zone}
}

func (worker *simWorker) loop() {
	worker.sim.after(500*time.Millisecond, func() {
		if worker.terminated {
			return
		}
		worker.checkLease()
		period := time.Duration(float64(worker.sim.HeartbeatInterval) * (0.75 + 0.5*worker.sim.rng.Float64()))
		if !worker.hung && !worker.awaitingReply && (worker.heartbeatDue || worker.sim.now-worker.lastHeartbeatAt >= period) {
			worker.sendHeartbeat()
		}
		worker.loop()
	})
}

// checkLease kills everything when the last answered report is too old.
func (worker *simWorker) checkLease() {
	if time.Duration(float64(worker.sim.now-worker.renewedAt)*worker.clockRate) > worker.sim.WorkerLease {
		worker.dropTasks()
		worker.epoch++
		worker.renewedAt = worker.sim.now
		worker.awaitingReply = false
		worker.heartbeatID++
	}
}

// dropTasks loses all tasks.
func (worker *simWorker) dropTasks() {
	for _, name := range sortedKeys(worker.tasks) {
		worker.removeTask(name)
	}
}

func (worker *simWorker) addTask(key string, task *simTask) {
	worker.tasks[key] = task
	if task.user != nil {
		task.user.tasks = append(task.user.tasks, task)
	}
}

func (worker *simWorker) removeTask(key string) {
	task := worker.tasks[key]
	delete(worker.tasks, key)
	if task.user != nil {
		task.user.tasks = slices.DeleteFunc(task.user.tasks, func(other *simTask) bool { return other == task })
	}
}
