package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/kv"
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
func (c *controller) sendCommands(x core.SendCommands) {
	sim := c.sim
	worker := sim.fleet.atAddress(x.Address)
	if worker == nil || worker.terminated || sim.now < worker.inboundCutUntil {
		c.answerCommands(connectionRefused, x, kv.Refused)
		return
	}
	isCut := func() bool { return sim.network.isCut(worker.endpoint(), c.endpoint()) }
	if !isCut() {
		c.deliverCommands(worker, x)
		return
	}
	if !sim.network.isHeld(worker.endpoint(), c.endpoint()) || sim.rng.IntN(2) == 0 {
		c.answerCommands(connectionRefused, x, kv.Refused)
		return
	}
	// The connection stood already when the cut began.
	c.answerCommands(commandTimeout, x, kv.Unknown)
	worker.acceptCommands(x.Batch, isCut, ignoreOutcome)
}

// answerCommands delivers the outcome of commands to the controller after a delay.
func (c *controller) answerCommands(d time.Duration, x core.SendCommands, outcome kv.Outcome) {
	c.deliver(d, core.CommandsAnswered{ID: x.ID, Outcome: outcome})
}

// ignoreOutcome is given the outcome of commands whose sender does not wait for it.
func ignoreOutcome(kv.Outcome) {}

// deliverCommands delivers commands to a worker that the controller reaches, as the network
// has it.
func (c *controller) deliverCommands(worker *simWorker, x core.SendCommands) {
	sim, fate := c.sim, c.sim.network.fate()
	incarnation, answered := c.incarnation, false
	waits := func() bool { return !answered && c.incarnation == incarnation }
	if fate.runs {
		sim.after(fate.delay, func() {
			worker.acceptCommands(x.Batch, nil, func(outcome kv.Outcome) {
				if fate.answered && waits() {
					answered = true
					c.answerCommands(sim.network.latency(), x, outcome)
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
			c.answerCommands(0, x, kv.Unknown)
		}
	})
}

// acceptCommands carries out commands that came to the worker's address, once it runs and
// nothing holds them back any more. Done is given the outcome; it is not called if the
// machine is gone.
func (w *simWorker) acceptCommands(batch wire.CommandBatch, held func() bool, done func(kv.Outcome)) {
	if w.terminated {
		return
	}
	if w.hung || held != nil && held() {
		w.sim.after(commandRetry, func() { w.acceptCommands(batch, held, done) })
		return
	}
	w.checkLease()
	if batch.Token < w.token || batch.Epoch != w.epoch {
		done(kv.Conflict)
		return
	}
	w.token = batch.Token
	for _, command := range batch.Commands {
		w.execute(command)
	}
	w.sequence++ // its answer shows what it does, as a heartbeat would
	done(kv.OK)
}

// execute carries out one command.
func (w *simWorker) execute(command wire.Command) {
	jobID, index, err := wire.SplitTaskName(command.Task)
	must(err)
	key := attemptName(command.Task, command.Attempt)
	task := w.tasks[key]
	switch {
	case command.Op == wire.CommandStart && task == nil:
		w.startTask(key, &simTask{user: w.sim.users.byJob[jobID], worker: w, jobID: jobID, index: index,
			attempt: command.Attempt, state: wire.TaskFetching, stateSince: w.sim.now})
	case command.Op == wire.CommandKill && task != nil && task.state != wire.TaskExited:
		w.killTask(task, command.GraceS)
	case command.Op == wire.CommandClear && task != nil && task.state == wire.TaskExited:
		w.removeTask(key)
		w.heartbeatDue = true
	}
}
