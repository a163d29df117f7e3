package simulation

import "time"

// workerFleet holds the workers of all machines that have booted, terminated ones included.
type workerFleet struct {
	sim     *Simulation
	workers map[string]*simWorker // by the name of the machine
}

// boot starts the worker on a machine that has booted.
func (f *workerFleet) boot(machine *cloudMachine) {
	sim := f.sim
	worker := &simWorker{sim: sim, machine: machine, epoch: 1, tasks: map[string]*simTask{}, images: map[string]bool{},
		controllerIndex: sim.rng.IntN(len(sim.controllers)), renewedAt: sim.now, clockRate: 1 - maxClockDrift*sim.rng.Float64()}
	f.workers[machine.Name] = worker
	if sim.serveWorker != nil {
		machine.Addr = sim.serveWorker(worker)
	}
	worker.sendHeartbeat()
	worker.loop()
}

// running returns the workers whose machines have not been terminated, ordered by the name
// of the machine.
func (f *workerFleet) running() []*simWorker {
	var running []*simWorker
	for _, name := range sortedKeys(f.workers) {
		if worker := f.workers[name]; !worker.terminated {
			running = append(running, worker)
		}
	}
	return running
}

// countRunning returns the number of running workers for which matches is true.
func (f *workerFleet) countRunning(matches func(*simWorker) bool) int {
	count := 0
	for _, worker := range f.running() {
		if matches(worker) {
			count++
		}
	}
	return count
}

// findByTask returns the worker that executes a task, or nil.
func (f *workerFleet) findByTask(taskName string) *simWorker {
	var found *simWorker
	f.sim.users.eachActiveTask(func(worker *simWorker, task *simTask) {
		if task.name() == taskName {
			found = worker
		}
	})
	return found
}

// findByAddress returns the worker that accepts commands at an address, or nil.
func (f *workerFleet) findByAddress(address string) *simWorker {
	for _, worker := range f.workers {
		if worker.machine.Addr == address {
			return worker
		}
	}
	return nil
}

// workerFault is a kind of worker fault. Its value is the name that scripts use.
type workerFault string

// Kinds of worker faults.
const (
	faultHang        workerFault = "hang"    // it does not execute anything for a while
	faultInboundCut  workerFault = "deaf"    // it can send heartbeats, but receives neither replies nor commands
	faultOutboundCut workerFault = "mute"    // its heartbeats are lost, but it receives commands sent to its address
	faultReset       workerFault = "reset"   // it restarts without delay and has lost its tasks
	faultRestart     workerFault = "restart" // it is down for a while and has lost its tasks and its fencing token; its epoch goes on
	faultTerminate   workerFault = "take"    // its machine is terminated without notice
	faultReclaim     workerFault = "recall"  // its machine is terminated after notice
	faultFailTasks   workerFault = "sick"    // it fails every task for a while
)

// injectFault injects a fault into a worker. D is how long the fault lasts or, with
// faultReclaim, the time until the machine is terminated.
func (f *workerFleet) injectFault(fault workerFault, worker *simWorker, d time.Duration) {
	sim := f.sim
	sim.rules.extendFaultPeriod(d)
	switch fault {
	case faultHang:
		worker.hung = true
		sim.after(d, func() {
			worker.hung = false
			worker.abandonHeartbeat()
			worker.heartbeatDue = true
			worker.checkLease()
		})
	case faultInboundCut:
		worker.inboundCutUntil = sim.now + d
	case faultOutboundCut:
		worker.outboundCutUntil = sim.now + d
	case faultReset:
		worker.beginEpoch()
		worker.heartbeatDue = true
	case faultRestart:
		worker.hung, worker.losesCommands = true, true
		sim.after(d, func() {
			worker.hung = false
			worker.restart()
		})
	case faultTerminate:
		sim.cloud.terminate(worker.machine.Name)
	case faultReclaim:
		worker.reclaimAt, worker.heartbeatDue = sim.now+d, true
		sim.after(d, func() { sim.cloud.terminate(worker.machine.Name) })
	case faultFailTasks:
		worker.failsTasks = true
		sim.after(d, func() { worker.failsTasks = false })
	}
}
