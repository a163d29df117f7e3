package simulation

import (
	"time"

	"micaport/internal/wire"
)

// workerFleet is the workers on all machines that have booted.
type workerFleet struct {
	sim     *Simulation
	workers map[string]*simWorker // by machine
}

func (fleet *workerFleet) boot(machine *cloudMachine) {
	worker := &simWorker{sim: fleet.sim, machine: machine, epoch: 1, tasks: map[string]*simTask{}, images: map[string]bool{},
		controllerIndex: fleet.sim.rng.IntN(len(fleet.sim.controllers)), renewedAt: fleet.sim.now, clockRate: 1 - 0.0005*fleet.sim.rng.Float64()}
	fleet.workers[machine.Name] = worker
	if fleet.sim.serveWorker != nil {
		machine.Addr = fleet.sim.serveWorker(worker)
	}
	worker.sendHeartbeat()
	worker.loop()
}

func (fleet *workerFleet) running() []*simWorker {
	var up []*simWorker
	for _, name := range sortedKeys(fleet.workers) {
		if worker := fleet.workers[name]; !worker.terminated {
			up = append(up, worker)
		}
	}
	return up
}

// countRunning counts the machines that are up and like this.
func (fleet *workerFleet) countRunning(like func(*simWorker) bool) int {
	count := 0
	for _, worker := range fleet.running() {
		if like(worker) {
			count++
		}
	}
	return count
}

// machineNamed finds the machine that a task is on.
func (fleet *workerFleet) hosting(task string) *simWorker {
	var found *simWorker
	fleet.sim.users.eachActiveTask(func(worker *simWorker, t *simTask) {
		if wire.TaskName(t.jobID, t.index) == task {
			found = worker
		}
	})
	return found
}

func (fleet *workerFleet) injectFault(verb string, worker *simWorker, d time.Duration) {
	fleet.sim.rules.faultsLast(d)
	switch verb {
	case "hang":
		worker.hung = true
		fleet.sim.after(d, func() {
			worker.hung = false
			worker.awaitingReply, worker.heartbeatDue = false, true
			worker.heartbeatID++
			worker.checkLease()
		})
	case "deaf": // its reports arrive, but neither answers nor commands reach it
		worker.inboundCutUntil = fleet.sim.now + d
	case "mute": // it reaches no controller, while commands to its address arrive
		worker.outboundCutUntil = fleet.sim.now + d
	case "reset": // it is back at once and has lost its tasks
		worker.dropTasks()
		worker.epoch++
		worker.renewedAt, worker.awaitingReply, worker.heartbeatDue = fleet.sim.now, false, true
		worker.heartbeatID++
	case "take":
		fleet.sim.cloud.terminate(worker.machine.Name)
	case "recall":
		worker.reclaimAt, worker.heartbeatDue = fleet.sim.now+d, true
		fleet.sim.after(d, func() { fleet.sim.cloud.terminate(worker.machine.Name) })
	case "sick":
		worker.failsTasks = true
		fleet.sim.after(d, func() { worker.failsTasks = false })
	}
}
