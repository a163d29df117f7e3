package simulation

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// idleSimulation returns a simulation with one job and one worker, whose controllers do not
// run.
func idleSimulation(shape string, taskCount int) (*Simulation, *simUser, *simWorker) {
	sim := New(Defaults(), discardLog)
	for _, ctrl := range sim.controllers {
		ctrl.running = false
	}
	sim.now = 400 * time.Second
	user := &simUser{sim: sim, pinnedTo: -1, accepted: true, lastAnsweredAt: sim.now, spec: wire.JobSpec{
		ID: "wk-000001", Class: "c", Team: "red", Shape: shape, TaskCount: taskCount, Cores: 4, GPUs: 1, MemoryGB: 16, AllowSpot: true,
	}}
	sim.users.byJob[user.spec.ID] = user
	sim.users.ordered = append(sim.users.ordered, user)
	return sim, user, addWorker(sim, "vm-000001")
}

// addWorker adds a machine with a worker.
func addWorker(sim *Simulation, name string) *simWorker {
	machine := &cloudMachine{CloudMachine: wire.CloudMachine{Name: name, Zone: "a", MachineType: "g2"}}
	sim.cloud.machines[name] = machine
	worker := &simWorker{sim: sim, machine: machine, epoch: 1, tasks: map[string]*simTask{}, images: map[string]bool{}, renewedAt: sim.now, clockRate: 1}
	sim.fleet.workers[name] = worker
	return worker
}

// addRunningTask adds a running task of the user's job to a worker without checking the rules.
func (u *simUser) addRunningTask(worker *simWorker, index int, attempt uint64) *simTask {
	task := &simTask{user: u, worker: worker, jobID: u.spec.ID, index: index, attempt: attempt, state: wire.TaskRunning, stateSince: u.sim.now}
	worker.addTask(task.name(), task)
	return task
}

// TestRulesAreChecked checks, for several rules, that a violation is reported, and that none
// is reported for allowed behaviour.
func TestRulesAreChecked(t *testing.T) {
	answer := func(status string) core.Reply {
		return core.Reply{Status: http.StatusOK, Body: wire.JobStatus{JobID: "wk-000001", Status: status}}
	}
	for _, test := range []struct {
		name string
		rule string // the violated rule; "": none
		do   func(sim *Simulation, user *simUser, worker *simWorker)
	}{
		{"a running task", "", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.addRunningTask(worker, 0, 1)
			sim.rules.check()
		}},
		{"two attempts of a task", "ran_twice", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.addRunningTask(worker, 0, 1)
			otherWorker := addWorker(sim, "vm-000002")
			sim.rules.taskStarted(otherWorker, user.addRunningTask(otherWorker, 0, 2))
		}},
		{"a team above its limit", "quota", func(sim *Simulation, user *simUser, worker *simWorker) {
			for i := range 9 {
				sim.rules.taskStarted(worker, user.addRunningTask(worker, i, uint64(i+1)))
			}
		}},
		{"a task outside its zone", "wrong_place", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.spec.Zone = "b"
			sim.rules.taskStarted(worker, user.addRunningTask(worker, 0, 1))
		}},
		{"a task that may not use spot machines", "wrong_place", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.spec.AllowSpot, worker.machine.Spot = false, true
			sim.rules.taskStarted(worker, user.addRunningTask(worker, 0, 1))
		}},
		{"a start after the cancel deadline", "ran_cancelled", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.cancelRequested, user.cancelledAt = true, sim.now-sim.CancelDeadline-time.Millisecond
			sim.rules.taskStarted(worker, user.addRunningTask(worker, 0, 1))
		}},
		{"a task on a hung worker after the cancel deadline", "ran_cancelled", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.addRunningTask(worker, 0, 1)
			worker.hung, user.cancelRequested, user.cancelledAt = true, true, sim.now-sim.CancelDeadline-time.Millisecond
			sim.rules.check()
		}},
		{"a task at the cancel deadline", "", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.cancelRequested, user.cancelledAt = true, sim.now-sim.CancelDeadline
			user.addRunningTask(worker, 0, 1)
			sim.rules.check()
		}},
		{"a user without answers for too long", "forgotten", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.addRunningTask(worker, 0, 1)
			user.lastAnsweredAt = sim.now - 76*time.Second
			sim.rules.check()
		}},
		{"a job that is done and then running", "went_back", func(sim *Simulation, user *simUser, _ *simWorker) {
			user.spec.TaskCount = 0
			user.checkStatus(sim.now, answer(wire.StatusDone))
			user.checkStatus(sim.now, answer(wire.StatusRunning))
		}},
		{"a job that is cancelled and then pending", "went_back", func(sim *Simulation, user *simUser, _ *simWorker) {
			user.cancelRequested = true
			user.checkStatus(sim.now, answer(wire.StatusCancelled))
			user.checkStatus(sim.now, answer(wire.StatusPending))
		}},
		{"a job that is cancelled without a request", "went_back", func(sim *Simulation, user *simUser, _ *simWorker) {
			user.checkStatus(sim.now, answer(wire.StatusCancelled))
		}},
		{"a job that is done while a task is not", "not_done", func(sim *Simulation, user *simUser, _ *simWorker) { user.checkStatus(sim.now, answer(wire.StatusDone)) }},
		{"an invalid job that is accepted", "accepted_wrongly", func(sim *Simulation, _ *simUser, _ *simWorker) {
			sim.users.checkRejection("wk-700001", http.StatusUnprocessableEntity, http.StatusCreated)
		}},
		{"a malformed job that is rejected with 422 instead of 400", "accepted_wrongly", func(sim *Simulation, _ *simUser, _ *simWorker) {
			sim.users.checkRejection("wk-700001", http.StatusBadRequest, http.StatusUnprocessableEntity)
		}},
		{"a malformed job that is answered with 503", "", func(sim *Simulation, _ *simUser, _ *simWorker) {
			sim.users.checkRejection("wk-700001", http.StatusBadRequest, http.StatusServiceUnavailable)
		}},
		{"a job that waits for too long despite free capacity", "left_waiting", func(sim *Simulation, user *simUser, _ *simWorker) {
			user.idleCapacitySince = sim.now - 91*time.Second
			sim.rules.checkWaitingJobs()
		}},
		{"a job that waits for less than the limit despite free capacity", "", func(sim *Simulation, user *simUser, _ *simWorker) {
			user.idleCapacitySince = sim.now - 89*time.Second
			sim.rules.checkWaitingJobs()
		}},
		{"a job whose zone has no free capacity", "", func(sim *Simulation, user *simUser, _ *simWorker) {
			user.spec.Zone, user.idleCapacitySince = "b", sim.now-91*time.Second
			sim.rules.checkWaitingJobs()
		}},
		{"a job whose team is at its limit", "", func(sim *Simulation, user *simUser, worker *simWorker) {
			user.idleCapacitySince = sim.now - 91*time.Second
			other := &simUser{sim: sim, pinnedTo: -1, accepted: true, spec: user.spec}
			other.spec.ID, other.spec.GPUs = "wk-000002", 8
			sim.users.ordered = append(sim.users.ordered, other)
			other.addRunningTask(addWorker(sim, "vm-000002"), 0, 1)
			sim.rules.checkWaitingJobs()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim, user, worker := idleSimulation(wire.ShapeArray, 1)
			test.do(sim, user, worker)
			violations := sim.rules.violations
			switch {
			case test.rule == "" && len(violations) > 0:
				t.Errorf("got %v, want no violation", violations)
			case test.rule != "" && (len(violations) == 0 || !strings.Contains(violations[0], test.rule)):
				t.Errorf("got %v, want a violation of %s", violations, test.rule)
			}
		})
	}
}

// TestLateStartsAreCounted checks that a task start soon after the cancellation of the job
// was confirmed to the user is counted and violates no rule.
func TestLateStartsAreCounted(t *testing.T) {
	sim, user, worker := idleSimulation(wire.ShapeArray, 1)
	user.cancelRequested, user.cancelledAt = true, sim.now-time.Second
	sim.rules.taskStarted(worker, user.addRunningTask(worker, 0, 1))
	if sim.rules.lateStarts != 1 || len(sim.rules.violations) > 0 {
		t.Errorf("got %d late starts and violations %v, want 1 and none", sim.rules.lateStarts, sim.rules.violations)
	}
}

// TestInvalidFieldsAreRejected checks that every submission made by withInvalidField is
// invalid.
func TestInvalidFieldsAreRejected(t *testing.T) {
	_, user, _ := idleSimulation(wire.ShapeArray, 1)
	user.spec.Priority, user.spec.Image = "low", "img"
	if _, _, err := wire.ParseJobSpec(user.submissionBody()); err != nil {
		t.Fatal(err)
	}
	for i := range 64 {
		if jobID, _, err := wire.ParseJobSpec(withInvalidField(user.submissionBody(), i)); err == nil || jobID != user.spec.ID {
			t.Errorf("pick %d: got job %q and error %v, want %q and an error", i, jobID, err, user.spec.ID)
		}
	}
}
