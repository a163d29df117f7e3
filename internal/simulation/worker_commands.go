package simulation

import (
	"fmt"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// sendCommands carries orders to a worker's own address. What is held back or comes
// late may be obeyed long after the sender has given up, and twice.
func (ctrl *controller) sendCommands(x core.SendCommands) {
	sim := ctrl.sim
	var worker *simWorker
	for _, y := range sim.fleet.workers {
		if y.machine.Addr == x.Address {
			worker = y
		}
	}
	says := func(d time.Duration, outcome core.Outcome) {
		ctrl.deliver(d, core.CommandsAnswered{ID: x.ID, Outcome: outcome})
	}
	if worker == nil || worker.terminated || sim.now < worker.inboundCutUntil {
		says(700*time.Millisecond, core.Refused)
		return
	}
	if sim.network.isCut(worker.endpoint(), ctrl.endpoint()) {
		if !sim.network.isHeld(worker.endpoint(), ctrl.endpoint()) || sim.rng.IntN(2) == 0 {
			says(700*time.Millisecond, core.Refused)
			return
		}
		// The connection stood already when the cut began.
		says(3*time.Second, core.Unknown)
		worker.acceptCommands(x.Batch, func() bool { return sim.network.isCut(worker.endpoint(), ctrl.endpoint()) }, func(core.Outcome) {})
		return
	}
	fate := sim.network.fate()
	incarnation, told := ctrl.incarnation, false
	tell := func(outcome core.Outcome) {
		if fate.answered && !told && ctrl.incarnation == incarnation {
			told = true
			says(sim.network.latency(), outcome)
		}
	}
	if fate.runs {
		sim.after(fate.delay, func() { worker.acceptCommands(x.Batch, nil, tell) })
	}
	if sim.now < sim.network.duplicateUntil {
		sim.after(sim.network.duplicateAfter(), func() { worker.acceptCommands(x.Batch, nil, func(core.Outcome) {}) })
	}
	sim.after(3*time.Second, func() {
		if !told && ctrl.incarnation == incarnation {
			told = true
			says(0, core.Unknown)
		}
	})
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
