package core

import (
	"testing"

	"micaport/internal/replica"
	"micaport/internal/wire"
)

// Tasks that need no GPU go beside those that use all GPUs of a machine, rather
// than to one with free GPUs, which then neither goes back nor has room for
// whole-machine work; tasks that need one never look there.
func TestCardlessTasksGoBesideOthers(t *testing.T) {
	n := chained()
	n.setMachineTypes([]wire.MachineType{{Name: "g", Cores: 24, GPUs: 2, MemoryGB: 96, FetchGBs: 1, PricePerHour: 1, BootS: 10, Zones: []string{"a"}}})
	job := func(cores, cards float64) *job {
		return &job{Job: &replica.Job{Record: &wire.Job{Spec: &wire.JobSpec{Cores: cores, GPUs: cards, Shape: wire.ShapeArray, AllowSpot: true}}, Zone: -1, AnyType: true, AllowSpot: true}}
	}
	for _, c := range []struct {
		what         string
		cores, cards float64
		want         int // place in the list below, or -1
	}{
		{"without cards", 1, 0, 1},
		{"without cards, too large for what is left", 8, 0, 2},
		{"with a card", 1, 1, 2},
		{"with two", 1, 2, 0},
		{"with two and more cores than any has", 30, 2, -1},
	} {
		set := newSlotSet(n)
		free := [][2]float64{{24, 2}, {4, 0}, {12, 1}} // cores and GPUs
		var slots []*slot
		for _, f := range free {
			s := n.newSlot(machinePool{n.names.MachineTypes.Find("g"), 0, true})
			s.cores, s.gpus = f[0], f[1]
			set.add(s)
			slots = append(slots, s)
		}
		got := set.best(job(c.cores, c.cards), nil, nil)
		if c.want < 0 && got != nil || c.want >= 0 && got != slots[c.want] {
			t.Errorf("%s: got %+v", c.what, got)
		}
	}
}

// Machines with GPUs don't stand idle for what may come without GPUs; where there
// are machines without, those do.
func TestReserveBesideOthers(t *testing.T) {
	n := chained()
	job := &job{Job: &replica.Job{Record: &wire.Job{Spec: &wire.JobSpec{Cores: 1}}, AnyType: true}}
	if !n.fitsBesideGPUWork(job) {
		t.Error("a task without cards has no room beside others")
	}
	job.Record.Spec.GPUs = 1
	if n.fitsBesideGPUWork(job) {
		t.Error("a task with a card has")
	}
	job.Record.Spec.GPUs = 0
	n.setMachineTypes([]wire.MachineType{{Name: "g", Cores: 8, GPUs: 1, MemoryGB: 64}, {Name: "c", Cores: 8, MemoryGB: 64}})
	if n.fitsBesideGPUWork(job) {
		t.Error("where there are machines without cards")
	}
}
