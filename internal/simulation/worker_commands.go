package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Timing of commands that are sent to a worker's address.
const (
	commandTimeout    = 3 * time.Second        // how long a controller waits for the reply
	connectionRefused = 700 * time.Millisecond // until a controller detects that it can't connect
	commandRetry      = 300 * time.Millisecond // between attempts to execute a delayed command batch
)

// sendCommands sends commands to a worker's address. Delayed commands may be executed long
// after the sender has timed out, and may be executed twice.
func (c *controller) sendCommands(effect core.SendCommands) {
	sim := c.sim
	worker := sim.fleet.findByAddress(effect.Address)
	if worker == nil || worker.terminated || sim.now < worker.inboundCutUntil {
		c.answerCommands(connectionRefused, effect, kv.Refused)
		return
	}
	isCut := func() bool { return sim.network.isCut(worker.endpoint(), c.endpoint()) }
	if !isCut() {
		c.deliverCommands(worker, effect)
		return
	}
	if !sim.network.isHeld(worker.endpoint(), c.endpoint()) || sim.rng.IntN(2) == 0 {
		c.answerCommands(connectionRefused, effect, kv.Refused)
		return
	}
	// Model a connection that was established before the cut: the commands arrive after the cut.
	c.answerCommands(commandTimeout, effect, kv.Unknown)
	worker.acceptCommands(effect.Batch, isCut, ignoreOutcome)
}

// answerCommands delivers the outcome of sending commands to the controller after a delay.
func (c *controller) answerCommands(d time.Duration, effect core.SendCommands, outcome kv.Outcome) {
	c.deliver(d, core.CommandsAnswered{ID: effect.ID, Outcome: outcome})
}

// ignoreOutcome ignores the outcome of commands whose sender no longer waits for it.
func ignoreOutcome(kv.Outcome) {}

// deliverCommands delivers commands to a worker that no cut separates from the controller.
// The network may lose, delay or duplicate them.
func (c *controller) deliverCommands(worker *simWorker, effect core.SendCommands) {
	sim, delivery := c.sim, c.sim.network.drawCommandDelivery()
	incarnation, answered := c.incarnation, false
	waiting := func() bool { return !answered && c.incarnation == incarnation }
	if delivery.executed {
		sim.after(delivery.delay, func() {
			worker.acceptCommands(effect.Batch, nil, func(outcome kv.Outcome) {
				if delivery.answered && waiting() {
					answered = true
					c.answerCommands(sim.network.drawLatency(), effect, outcome)
				}
			})
		})
	}
	if sim.now < sim.network.duplicateUntil {
		sim.after(sim.network.drawDuplicateDelay(), func() { worker.acceptCommands(effect.Batch, nil, ignoreOutcome) })
	}
	for _, delay := range sim.network.commandCopyDelays() {
		sim.after(delay, func() { worker.acceptCommands(effect.Batch, nil, ignoreOutcome) })
	}
	sim.after(commandTimeout, func() {
		if waiting() {
			answered = true
			c.answerCommands(0, effect, kv.Unknown)
		}
	})
}

// acceptCommands executes commands that were sent to the worker's address. It waits while the
// worker hangs, and while held, which may be nil, reports true. Done receives the outcome; it
// is not called if the machine is terminated, or loses the commands, before the commands are executed.
func (w *simWorker) acceptCommands(batch wire.CommandBatch, held func() bool, done func(kv.Outcome)) {
	if w.terminated || w.losesCommands {
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
	w.sequence++ // the reply reports the worker's state, as a heartbeat does
	done(kv.OK)
}

// execute applies one command of a controller to the task that it names.
func (w *simWorker) execute(command wire.Command) {
	jobID, index, err := wire.SplitTaskName(command.Task)
	must(err)
	key := attemptName(command.Task, command.Attempt)
	task := w.tasks[key]
	switch {
	case command.Op == wire.CommandStart && task == nil:
		w.startTask(key, &simTask{user: w.sim.users.byJob[jobID], worker: w, jobID: jobID, index: index,
			attempt: command.Attempt, state: wire.TaskFetching, stateSince: w.sim.now})
	case command.Op == wire.CommandStart && task.state == wire.TaskExited:
		w.sim.rules.endedStarts++
	case command.Op == wire.CommandKill && task != nil && task.state != wire.TaskExited:
		w.killTask(task, command.GraceS)
	case command.Op == wire.CommandClear && task != nil && task.state == wire.TaskExited:
		w.removeTask(key)
		w.heartbeatDue = true
	}
}
