package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// Timing of commands to a worker's address.
const (
	commandTimeout    = 3 * time.Second        // how long a controller waits for the answer
	connectionRefused = 700 * time.Millisecond // until a controller sees that it can't connect
	commandRetry      = 300 * time.Millisecond // between attempts of a held-up command to be carried out
)

// sendCommands sends commands to a worker's address. What is held back or late may be
// carried out long after the sender has given up, and twice.
func (ctrl *controller) sendCommands(x core.SendCommands) {
	sim := ctrl.sim
	worker := sim.fleet.atAddress(x.Address)
	if worker == nil || worker.terminated || sim.now < worker.inboundCutUntil {
		ctrl.answerCommands(connectionRefused, x, core.Refused)
		return
	}
	isCut := func() bool { return sim.network.isCut(worker.endpoint(), ctrl.endpoint()) }
	if !isCut() {
		ctrl.deliverCommands(worker, x)
		return
	}
	if !sim.network.isHeld(worker.endpoint(), ctrl.endpoint()) || sim.rng.IntN(2) == 0 {
		ctrl.answerCommands(connectionRefused, x, core.Refused)
		return
	}
	// The connection stood already when the cut began.
	ctrl.answerCommands(commandTimeout, x, core.Unknown)
	worker.acceptCommands(x.Batch, isCut, ignoreOutcome)
}

// answerCommands delivers the outcome of commands to the controller after a delay.
func (ctrl *controller) answerCommands(d time.Duration, x core.SendCommands, outcome core.Outcome) {
	ctrl.deliver(d, core.CommandsAnswered{ID: x.ID, Outcome: outcome})
}

// ignoreOutcome is given the outcome of commands whose sender does not wait for it.
func ignoreOutcome(core.Outcome) {}

// deliverCommands delivers commands to a worker that the controller reaches, as the network
// has it.
func (ctrl *controller) deliverCommands(worker *simWorker, x core.SendCommands) {
	sim, fate := ctrl.sim, ctrl.sim.network.fate()
	incarnation, answered := ctrl.incarnation, false
	waits := func() bool { return !answered && ctrl.incarnation == incarnation }
	if fate.runs {
		sim.after(fate.delay, func() {
			worker.acceptCommands(x.Batch, nil, func(outcome core.Outcome) {
				if fate.answered && waits() {
					answered = true
					ctrl.answerCommands(sim.network.latency(), x, outcome)
				}
			})
		})
	}
	if sim.now < sim.network.duplicateUntil {
		sim.after(sim.network.duplicateAfter(), func() { worker.acceptCommands(x.Batch, nil, ignoreOutcome) })
	}
	sim.after(commandTimeout, func() {
		if waits() {
			answered = true
			ctrl.answerCommands(0, x, core.Unknown)
		}
	})
}

// acceptCommands carries out commands that came to the worker's address, once it runs and
// nothing holds them back any more. Done is given the outcome; it is not called if the
// machine is gone.
func (worker *simWorker) acceptCommands(batch wire.CommandBatch, held func() bool, done func(core.Outcome)) {
	if worker.terminated {
		return
	}
	if worker.hung || held != nil && held() {
		worker.sim.after(commandRetry, func() { worker.acceptCommands(batch, held, done) })
		return
	}
	worker.checkLease()
	if batch.Token < worker.token || batch.Epoch != worker.epoch {
		done(core.Conflict)
		return
	}
	worker.token = batch.Token
	for _, command := range batch.Commands {
		worker.execute(command)
	}
	worker.sequence++ // its answer shows what it does, as a heartbeat would
	done(core.OK)
}

// execute carries out one command.
func (worker *simWorker) execute(command wire.Command) {
	jobID, index, err := wire.SplitTaskName(command.Task)
	must(err)
	key := attemptName(command.Task, command.Attempt)
	task := worker.tasks[key]
	switch {
	case command.Op == wire.CommandStart && task == nil:
		worker.startTask(key, &simTask{user: worker.sim.users.byJob[jobID], worker: worker, jobID: jobID, index: index,
			attempt: command.Attempt, state: wire.TaskFetching, stateSince: worker.sim.now})
	case command.Op == wire.CommandKill && task != nil && task.state != wire.TaskExited:
		worker.killTask(task, command.GraceS)
	case command.Op == wire.CommandClear && task != nil && task.state == wire.TaskExited:
		worker.removeTask(key)
		worker.heartbeatDue = true
	}
}
