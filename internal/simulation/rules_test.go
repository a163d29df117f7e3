package simulation

import (
	"strings"
	"testing"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// idleSimulation is a world with a user's job and a machine, whose controllers do nothing.
func idleSimulation(shape string, frames int) (*Simulation, *simUser, *simWorker) {
	sim := New(Defaults(), func(string, ...any) {})
	for _, ctrl := range sim.controllers {
		ctrl.running = false
	}
	sim.now = 400 * time.Second
	user := &simUser{sim: sim, pinnedTo: -1, accepted: true, lastAnsweredAt: sim.now, spec: wire.JobSpec{ID: "wk-000001", Class: "c", Team: "red", Shape: shape, TaskCount: frames, Cores: 4, GPUs: 1, MemoryGB: 16, AllowSpot: true}}
	sim.users.byJob[user.spec.ID] = user
	sim.users.ordered = append(sim.users.ordered, user)
	return sim, user, addMachine(sim, "vm-000001")
}

func addMachine(sim *Simulation, name string) *simWorker {
	machine := &cloudMachine{CloudMachine: wire.CloudMachine{Name: name, Zone: "a", MachineType: "g2"}}
	sim.cloud.machines[name] = machine
	worker := &simWorker{sim: sim, machine: machine, epoch: 1, tasks: map[string]*simTask{}, images: map[string]bool{}, renewedAt: sim.now, clockRate: 1}
	sim.fleet.workers[name] = worker
	return worker
}

func (user *simUser) addRunningTask(worker *simWorker, task int, attempt uint64) *simTask {
	t := &simTask{user: user, worker: worker, jobID: user.spec.ID, index: task, attempt: attempt, state: wire.TaskRunning, stateSince: user.sim.now}
	worker.addTask(wire.TaskName(user.spec.ID, task), t)
	return t
}

// TestChecksFire shows for each check of the simulation that it sees what it
// is there for, and that it is quiet where nothing is wrong.
func TestChecksFire(t *testing.T) {
	answer := func(status string) core.Reply {
		return core.Reply{Status: 200, Body: wire.JobStatus{JobID: "wk-000001", Status: status}}
	}
	for _, c := range []struct {
		rule string // "" if nothing may fire
		do   func(sim *Simulation, user *simUser, worker *simWorker)
	}{
		{"", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.addRunningTask(worker, 0, 1)
			sim.rules.check()
		}},
		{"ran_twice", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.addRunningTask(worker, 0, 1)
			otherWorker := addMachine(sim, "vm-000002")
			sim.rules.taskStarted(otherWorker, user.addRunningTask(otherWorker, 0, 2))
		}},
		{"quota", func(sim *Simulation, user *simUser, worker *simWorker) {
			for i := range 9 {
				sim.rules.taskStarted(worker, user.addRunningTask(worker, i, uint64(i+1)))
			}
		}},
		{"wrong_place", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.spec.Zone = "b"
			sim.rules.taskStarted(worker, user.addRunningTask(worker, 0, 1))
		}},
		{"wrong_place", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.spec.AllowSpot, worker.machine.Spot = false, true
			sim.rules.taskStarted(worker, user.addRunningTask(worker, 0, 1))
		}},
		{"ran_cancelled", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.cancelRequested, user.cancelledAt = true, sim.now-sim.CancelDeadline-time.Millisecond
			sim.rules.taskStarted(worker, user.addRunningTask(worker, 0, 1))
		}},
		{"ran_cancelled", func(sim *Simulation, user *simUser, worker *simWorker) { // on a machine that hangs
			user.addRunningTask(worker, 0, 1)
			worker.hung, user.cancelRequested, user.cancelledAt = true, true, sim.now-sim.CancelDeadline-time.Millisecond
			sim.rules.check()
		}},
		{"", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.cancelRequested, user.cancelledAt = true, sim.now-sim.CancelDeadline
			user.addRunningTask(worker, 0, 1)
			sim.rules.check()
		}},
		{"forgotten", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.addRunningTask(worker, 0, 1)
			user.lastAnsweredAt = sim.now - 76*time.Second
			sim.rules.check()
		}},
		{"went_back", func(sim *Simulation, user *simUser, _ *simWorker) {
			user.spec.TaskCount = 0
			user.checkStatus(sim.now, answer(wire.StatusDone))
			user.checkStatus(sim.now, answer(wire.StatusRunning))
		}},
		{"went_back", func(sim *Simulation, user *simUser, _ *simWorker) {
			user.cancelRequested = true
			user.checkStatus(sim.now, answer(wire.StatusCancelled))
			user.checkStatus(sim.now, answer(wire.StatusPending))
		}},
		{"went_back", func(sim *Simulation, user *simUser, _ *simWorker) {
			user.checkStatus(sim.now, answer(wire.StatusCancelled))
		}},
		{"not_done", func(sim *Simulation, user *simUser, _ *simWorker) { user.checkStatus(sim.now, answer(wire.StatusDone)) }},
		{"accepted_wrongly", func(sim *Simulation, _ *simUser, _ *simWorker) { sim.users.checkRejection("wk-700001", 422, 201) }},
		{"accepted_wrongly", func(sim *Simulation, _ *simUser, _ *simWorker) { sim.users.checkRejection("wk-700001", 400, 422) }},
		{"", func(sim *Simulation, _ *simUser, _ *simWorker) { sim.users.checkRejection("wk-700001", 400, 503) }},
		{"left_waiting", func(sim *Simulation, user *simUser, _ *simWorker) {
			user.idleCapacitySince = sim.now - 91*time.Second
			sim.rules.checkWaitingJobs()
		}},
		{"", func(sim *Simulation, user *simUser, _ *simWorker) {
			user.idleCapacitySince = sim.now - 89*time.Second
			sim.rules.checkWaitingJobs()
		}},
		{"", func(sim *Simulation, user *simUser, _ *simWorker) { // no machine that it may use has room
			user.spec.Zone, user.idleCapacitySince = "b", sim.now-91*time.Second
			sim.rules.checkWaitingJobs()
		}},
		{"", func(sim *Simulation, user *simUser, worker *simWorker) { // its team is at its limit
			user.idleCapacitySince = sim.now - 91*time.Second
			other := &simUser{sim: sim, pinnedTo: -1, accepted: true, spec: user.spec}
			other.spec.ID, other.spec.GPUs = "wk-000002", 8
			sim.users.ordered = append(sim.users.ordered, other)
			other.addRunningTask(addMachine(sim, "vm-000002"), 0, 1)
			sim.rules.checkWaitingJobs()
		}},
	} {
		sim, user, worker := idleSimulation(wire.ShapeArray, 1)
		c.do(sim, user, worker)
		switch {
		case c.rule == "" && len(sim.rules.violations) > 0:
			t.Errorf("fired without cause: %v", sim.rules.violations)
		case c.rule != "" && (len(sim.rules.violations) == 0 || !strings.Contains(sim.rules.violations[0], c.rule)):
			t.Errorf("%s did not fire: %v", c.rule, sim.rules.violations)
		}
	}
}

// TestLateStartsAreCounted: a start that a worker carries out after its user was
// told that the job is cancelled is within the rules for cancel_s, and counted.
func TestLateStartsAreCounted(t *testing.T) {
	sim, user, worker := idleSimulation(wire.ShapeArray, 1)
	user.cancelRequested, user.cancelledAt = true, sim.now-time.Second
	sim.rules.taskStarted(worker, user.addRunningTask(worker, 0, 1))
	if sim.rules.lateStarts != 1 || len(sim.rules.violations) > 0 {
		t.Errorf("%d counted, %v", sim.rules.lateStarts, sim.rules.violations)
	}
}

// TestSubmissionsLackAField: what the odd requests send is faulty each time.
func TestSubmissionsLackAField(t *testing.T) {
	_, user, _ := idleSimulation(wire.ShapeArray, 1)
	user.spec.Priority, user.spec.Image = "low", "img"
	if _, _, err := wire.ParseJobSpec(user.submissionBody()); err != nil {
		t.Fatal(err)
	}
	for i := range 64 {
		if jobID, _, err := wire.ParseJobSpec(withInvalidField(user.submissionBody(), i)); err == nil || jobID != user.spec.ID {
			t.Errorf("%d: taken for sound (%q, %v)", i, jobID, err)
		}
	}
}
