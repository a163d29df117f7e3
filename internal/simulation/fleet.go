package simulation

import "time"

// workerFleet is the workers on all machines that have booted.
type workerFleet struct {
	sim     *Simulation
	workers map[string]*simWorker // by machine
}

// boot starts the worker of a machine that has booted.
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

// running returns the workers whose machines run, ordered by machine.
func (f *workerFleet) running() []*simWorker {
	var running []*simWorker
	for _, name := range sortedKeys(f.workers) {
		if worker := f.workers[name]; !worker.terminated {
			running = append(running, worker)
		}
	}
	return running
}

// countRunning counts the running workers that match.
func (f *workerFleet) countRunning(matches func(*simWorker) bool) int {
	count := 0
	for _, worker := range f.running() {
		if matches(worker) {
			count++
		}
	}
	return count
}

// hosting returns the worker that has a task, or nil.
func (f *workerFleet) hosting(taskName string) *simWorker {
	var found *simWorker
	f.sim.users.eachActiveTask(func(worker *simWorker, task *simTask) {
		if task.name() == taskName {
			found = worker
		}
	})
	return found
}

// atAddress returns the worker that takes commands at an address, or nil.
func (f *workerFleet) atAddress(address string) *simWorker {
	for _, worker := range f.workers {
		if worker.machine.Addr == address {
			return worker
		}
	}
	return nil
}

// workerFault is a fault of a worker, by the name that scripts use.
type workerFault string

// Faults of a worker.
const (
	faultHang        workerFault = "hang"   // it does nothing for a while
	faultInboundCut  workerFault = "deaf"   // its heartbeats arrive, but neither replies nor commands reach it
	faultOutboundCut workerFault = "mute"   // it reaches no controller, while commands to its address arrive
	faultReset       workerFault = "reset"  // it is back at once and has lost its tasks
	faultTerminate   workerFault = "take"   // its machine is gone without notice
	faultReclaim     workerFault = "recall" // its machine is gone after notice
	faultFailTasks   workerFault = "sick"   // it fails every task for a while
)

// injectFault makes a worker fail for d.
func (f *workerFleet) injectFault(fault workerFault, worker *simWorker, d time.Duration) {
	sim := f.sim
	sim.rules.faultsLast(d)
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
