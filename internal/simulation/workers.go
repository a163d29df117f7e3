package simulation

import (
	"fmt"
	"slices"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
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

func (worker *simWorker) newHeartbeat() *wire.WorkerHeartbeat {
	worker.sequence++
	heartbeat := &wire.WorkerHeartbeat{Machine: worker.machine.Name, Addr: worker.machine.Addr, MachineType: worker.machine.MachineType, Zone: worker.machine.Zone, Spot: worker.machine.Spot,
		Epoch: worker.epoch, Sequence: worker.sequence, Token: worker.token}
	if worker.reclaimAt > 0 {
		left := (worker.reclaimAt - worker.sim.now).Seconds()
		heartbeat.ReclaimS = &left
	}
	for _, name := range sortedKeys(worker.tasks) {
		task := worker.tasks[name]
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: wire.TaskName(task.jobID, task.index), Attempt: task.attempt, State: task.state, ExitCause: task.exitCause, CheckpointSaved: task.checkpointSaved})
	}
	return heartbeat
}

// heartbeatTimeout is how long a worker waits for an answer.
const heartbeatTimeout = 4 * time.Second

// pendingHeartbeat is a report that waits for its answer.
type pendingHeartbeat struct {
	worker    *simWorker
	recipient *controller
	message   *wire.WorkerHeartbeat
	id        int
	epoch     uint64
	sentAt    time.Duration
}

// sendHeartbeat sends a report to the controller that the worker keeps to.
func (worker *simWorker) sendHeartbeat() {
	sim := worker.sim
	worker.awaitingReply, worker.heartbeatDue, worker.lastHeartbeatAt = true, false, sim.now
	sim.meter.heartbeats++
	worker.heartbeatID++
	pending := &pendingHeartbeat{worker: worker, id: worker.heartbeatID, epoch: worker.epoch, sentAt: sim.now, message: worker.newHeartbeat(), recipient: sim.controllers[worker.controllerIndex]}
	sim.after(heartbeatTimeout, func() {
		if worker.heartbeatID == pending.id && worker.awaitingReply {
			pending.tryNextController()
		}
	})
	switch {
	case sim.now < worker.outboundCutUntil:
	case pending.isCut():
		if sim.network.isHeld(worker.endpoint(), pending.recipient.endpoint()) {
			sim.after(time.Second, pending.deliverAfterCut)
		}
	case sim.network.loses(sim.rng):
		// Lost, or held back and delivered much later, to a controller that
		// may have taken over meanwhile.
		sim.after(time.Duration(sim.rng.IntN(60000))*time.Millisecond, func() { sim.randomController().deliverHeartbeat(pending.message) })
	default:
		sim.replays.observe(pending.message)
		if sim.now < sim.network.duplicateUntil {
			// The network delivers it a second time, to whom it will.
			peer := sim.randomController()
			sim.after(sim.network.duplicateAfter(), func() { peer.deliverHeartbeat(pending.message) })
		}
		pending.recipient.request(func(req uint64) core.Input { return core.WorkerReported{RequestID: req, Heartbeat: pending.message} }, pending.receiveReply)
	}
}

// randomController is a controller chosen at random.
func (sim *Simulation) randomController() *controller {
	return sim.controllers[sim.rng.IntN(len(sim.controllers))]
}

func (pending *pendingHeartbeat) isCut() bool {
	return pending.worker.sim.network.isCut(pending.worker.endpoint(), pending.recipient.endpoint())
}

// deliverAfterCut delivers the report once the cut is over; the answer comes far too late.
func (pending *pendingHeartbeat) deliverAfterCut() {
	if pending.isCut() {
		pending.worker.sim.after(time.Second, pending.deliverAfterCut)
		return
	}
	pending.recipient.deliverHeartbeat(pending.message)
}

// redirect has the worker report to a controller after a while.
func (pending *pendingHeartbeat) redirect(wait time.Duration, node int) {
	worker := pending.worker
	worker.controllerIndex = node
	worker.sim.after(wait, func() {
		if worker.heartbeatID == pending.id && !worker.terminated {
			worker.awaitingReply, worker.heartbeatDue = false, true
		}
	})
}

// tryNextController has the worker try the next controller.
func (pending *pendingHeartbeat) tryNextController() {
	pending.redirect(time.Second, (pending.worker.controllerIndex+1)%len(pending.worker.sim.controllers))
}

// receiveReply carries the answer back, unless it is lost.
func (pending *pendingHeartbeat) receiveReply(a core.Reply) {
	sim := pending.worker.sim
	if sim.now < pending.worker.inboundCutUntil || pending.isCut() || sim.network.loses(sim.rng) {
		return
	}
	sim.after(sim.network.latency(), func() { pending.handleReply(a) })
}

// handleReply obeys an answer that has arrived.
func (pending *pendingHeartbeat) handleReply(a core.Reply) {
	worker, sim := pending.worker, pending.worker.sim
	if worker.terminated || worker.hung || worker.heartbeatID != pending.id || !worker.awaitingReply || worker.epoch != pending.epoch {
		return
	}
	switch a.Status {
	case 200:
		worker.awaitingReply = false
		worker.applyReply(a.Body.(wire.HeartbeatReply), pending.sentAt)
	case 421:
		owner := a.Body.(wire.Redirect).Owner
		for i, peer := range sim.controllers {
			if peer.label == owner && i != worker.controllerIndex {
				pending.redirect(time.Duration(sim.rng.IntN(500))*time.Millisecond, i)
				return
			}
		}
		pending.tryNextController()
	default:
		pending.tryNextController()
	}
}

// applyReply carries out an accepted answer to a report sent at a time, which renews the lease.
func (worker *simWorker) applyReply(answer wire.HeartbeatReply, sent time.Duration) {
	if answer.Token < worker.token {
		return
	}
	if answer.Token > worker.token {
		worker.token = answer.Token
		worker.heartbeatDue = true
	}
	worker.renewedAt = sent
	for _, command := range answer.Commands {
		worker.execute(command)
	}
}

// acceptCommands obeys orders that came to the worker's own address, once it runs and
// nothing holds them back any more.
func (worker *simWorker) acceptCommands(batch wire.CommandBatch, held func() bool, done func(core.Outcome)) {
	if worker.terminated {
		return
	}
	if worker.hung || held != nil && held() {
		worker.sim.after(300*time.Millisecond, func() { worker.acceptCommands(batch, held, done) })
		return
	}
	worker.checkLease()
	if batch.Token < worker.token || batch.Epoch != worker.epoch {
		done(core.Conflict)
		return
	}
	worker.token = batch.Token
	for _, x := range batch.Commands {
		worker.execute(x)
	}
	worker.sequence++ // its answer shows what it does, as a report would
	done(core.OK)
}

// execute carries out one order.
func (worker *simWorker) execute(command wire.Command) {
	jobID, task, err := wire.SplitTaskName(command.Task)
	must(err)
	key := fmt.Sprintf("%s#%d", command.Task, command.Attempt)
	t := worker.tasks[key]
	switch {
	case command.Op == wire.CommandStart && t == nil:
		worker.startTask(key, &simTask{user: worker.sim.users.byJob[jobID], worker: worker, jobID: jobID, index: task, attempt: command.Attempt, state: wire.TaskFetching, stateSince: worker.sim.now})
	case command.Op == wire.CommandKill && t != nil && t.state != wire.TaskExited:
		worker.killTask(t, command.GraceS)
	case command.Op == wire.CommandClear && t != nil && t.state == wire.TaskExited:
		worker.removeTask(key)
		worker.heartbeatDue = true
	}
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
