package simulation

import (
	"strings"
	"testing"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// still is a world with a user's job and a machine, whose controllers do nothing.
func still(shape string, frames int) (*World, *userSim, *workerSim) {
	w := New(Defaults(), func(string, ...any) {})
	for _, n := range w.nodes {
		n.up = false
	}
	w.now = 400 * time.Second
	u := &userSim{w: w, only: -1, accepted: true, lastOK: w.now, spec: wire.JobSpec{ID: "wk-000001", Class: "c", Team: "red", Shape: shape, TaskCount: frames, Cores: 4, GPUs: 1, MemoryGB: 16, AllowSpot: true}}
	w.users[u.spec.ID] = u
	w.order = append(w.order, u)
	return w, u, addMachine(w, "vm-000001")
}

func addMachine(w *World, name string) *workerSim {
	m := &machine{CloudMachine: wire.CloudMachine{Name: name, Zone: "a", MachineType: "g2"}}
	w.cloud.hosts[name] = m
	k := &workerSim{w: w, m: m, session: 1, tasks: map[string]*taskSim{}, images: map[string]bool{}, answered: w.now, drift: 1}
	w.workers[name] = k
	return k
}

func (u *userSim) runs(k *workerSim, task int, attempt uint64) *taskSim {
	t := &taskSim{u: u, k: k, ref: u.spec.ID, task: task, attempt: attempt, state: wire.TaskRunning, since: u.w.now}
	k.add(wire.TaskName(u.spec.ID, task), t)
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
		do   func(w *World, u *userSim, k *workerSim)
	}{
		{"", func(w *World, u *userSim, k *workerSim) { u.runs(k, 0, 1); w.check() }},
		{"ran_twice", func(w *World, u *userSim, k *workerSim) {
			u.runs(k, 0, 1)
			k2 := addMachine(w, "vm-000002")
			w.started(k2, u.runs(k2, 0, 2))
		}},
		{"quota", func(w *World, u *userSim, k *workerSim) {
			for i := range 9 {
				w.started(k, u.runs(k, i, uint64(i+1)))
			}
		}},
		{"wrong_place", func(w *World, u *userSim, k *workerSim) { u.spec.Zone = "b"; w.started(k, u.runs(k, 0, 1)) }},
		{"wrong_place", func(w *World, u *userSim, k *workerSim) {
			u.spec.AllowSpot, k.m.Spot = false, true
			w.started(k, u.runs(k, 0, 1))
		}},
		{"ran_cancelled", func(w *World, u *userSim, k *workerSim) {
			u.asked, u.withdrawn = true, w.now-w.Cancel-time.Millisecond
			w.started(k, u.runs(k, 0, 1))
		}},
		{"ran_cancelled", func(w *World, u *userSim, k *workerSim) { // on a machine that hangs
			u.runs(k, 0, 1)
			k.hung, u.asked, u.withdrawn = true, true, w.now-w.Cancel-time.Millisecond
			w.check()
		}},
		{"", func(w *World, u *userSim, k *workerSim) {
			u.asked, u.withdrawn = true, w.now-w.Cancel
			u.runs(k, 0, 1)
			w.check()
		}},
		{"forgotten", func(w *World, u *userSim, k *workerSim) {
			u.runs(k, 0, 1)
			u.lastOK = w.now - 76*time.Second
			w.check()
		}},
		{"went_back", func(w *World, u *userSim, _ *workerSim) {
			u.spec.TaskCount = 0
			u.hear(w.now, answer(wire.StatusDone))
			u.hear(w.now, answer(wire.StatusRunning))
		}},
		{"went_back", func(w *World, u *userSim, _ *workerSim) {
			u.asked = true
			u.hear(w.now, answer(wire.StatusCancelled))
			u.hear(w.now, answer(wire.StatusPending))
		}},
		{"went_back", func(w *World, u *userSim, _ *workerSim) { u.hear(w.now, answer(wire.StatusCancelled)) }},
		{"not_done", func(w *World, u *userSim, _ *workerSim) { u.hear(w.now, answer(wire.StatusDone)) }},
		{"accepted_wrongly", func(w *World, _ *userSim, _ *workerSim) { w.judgeOdd("wk-700001", 422, 201) }},
		{"accepted_wrongly", func(w *World, _ *userSim, _ *workerSim) { w.judgeOdd("wk-700001", 400, 422) }},
		{"", func(w *World, _ *userSim, _ *workerSim) { w.judgeOdd("wk-700001", 400, 503) }},
		{"left_waiting", func(w *World, u *userSim, _ *workerSim) { u.besideRoom = w.now - 91*time.Second; w.leftWaiting() }},
		{"", func(w *World, u *userSim, _ *workerSim) { u.besideRoom = w.now - 89*time.Second; w.leftWaiting() }},
		{"", func(w *World, u *userSim, _ *workerSim) { // no machine that it may use has room
			u.spec.Zone, u.besideRoom = "b", w.now-91*time.Second
			w.leftWaiting()
		}},
		{"", func(w *World, u *userSim, k *workerSim) { // its team is at its limit
			u.besideRoom = w.now - 91*time.Second
			v := &userSim{w: w, only: -1, accepted: true, spec: u.spec}
			v.spec.ID, v.spec.GPUs = "wk-000002", 8
			w.order = append(w.order, v)
			v.runs(addMachine(w, "vm-000002"), 0, 1)
			w.leftWaiting()
		}},
	} {
		w, u, k := still(wire.ShapeArray, 1)
		c.do(w, u, k)
		switch {
		case c.rule == "" && len(w.Broken) > 0:
			t.Errorf("fired without cause: %v", w.Broken)
		case c.rule != "" && (len(w.Broken) == 0 || !strings.Contains(w.Broken[0], c.rule)):
			t.Errorf("%s did not fire: %v", c.rule, w.Broken)
		}
	}
}

// TestLateStartsAreCounted: a start that a worker carries out after its user was
// told that the job is cancelled is within the rules for cancel_s, and counted.
func TestLateStartsAreCounted(t *testing.T) {
	w, u, k := still(wire.ShapeArray, 1)
	u.asked, u.withdrawn = true, w.now-time.Second
	w.started(k, u.runs(k, 0, 1))
	if w.lateStarts != 1 || len(w.Broken) > 0 {
		t.Errorf("%d counted, %v", w.lateStarts, w.Broken)
	}
}

// TestSubmissionsLackAField: what the odd requests send is faulty each time.
func TestSubmissionsLackAField(t *testing.T) {
	_, u, _ := still(wire.ShapeArray, 1)
	u.spec.Priority, u.spec.Image = "low", "img"
	if _, _, err := wire.ParseJobSpec(u.body()); err != nil {
		t.Fatal(err)
	}
	for i := range 64 {
		if ref, _, err := wire.ParseJobSpec(lacking(u.body(), i)); err == nil || ref != u.spec.ID {
			t.Errorf("%d: taken for sound (%q, %v)", i, ref, err)
		}
	}
}
