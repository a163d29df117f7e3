package core

import (
	"testing"

	"micaport/internal/replica"
	"micaport/internal/wire"
)

// TestTasksWithoutGPUsRunBesideOthers checks that a task without GPUs is placed on a machine whose
// GPUs are all in use, rather than on one with free GPUs, which then could neither be drained nor
// run whole-machine tasks, and that a task with GPUs is never placed on such a full machine.
func TestTasksWithoutGPUsRunBesideOthers(t *testing.T) {
	const none = -1
	free := []struct{ cores, gpus float64 }{{24, 2}, {4, 0}, {12, 1}} // capacity of each machine
	for name, test := range map[string]struct {
		cores, gpus float64
		want        int // index into free, or none
	}{
		"without GPU": {1, 0, 1},
		"without GPU, too large for the machine in use": {8, 0, 2},
		"with one GPU":  {1, 1, 2},
		"with two GPUs": {1, 2, 0},
		"with two GPUs and more cores than any machine has": {30, 2, none},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode()
			offerTypes(n, []wire.MachineType{{Name: "g", Cores: 24, GPUs: 2, MemoryGB: 96, FetchGBs: 1, PricePerHour: 1, BootS: 10, Zones: []string{"a"}}})
			set := newSlotSet(n)
			var slots []*slot
			for _, capacity := range free {
				slot := n.newExpectedSlot(machinePool{n.names.MachineTypes.Find("g"), 0, true})
				slot.cores, slot.gpus = capacity.cores, capacity.gpus
				set.add(slot)
				slots = append(slots, slot)
			}
			spec := &wire.JobSpec{Cores: test.cores, GPUs: test.gpus, Shape: wire.ShapeArray, AllowSpot: true}
			got := set.best(&job{Job: &replica.Job{Record: &wire.Job{Spec: spec}, Zone: -1, AnyType: true, AllowSpot: true}}, nil, nil)
			var want *slot
			if test.want != none {
				want = slots[test.want]
			}
			if got != want {
				t.Errorf("best = %+v, want %+v", got, want)
			}
		})
	}
}

// TestSlotCapacity checks that the number of tasks that fit into a slot is limited by its scarcest
// resource and by the maximum length of a run.
func TestSlotCapacity(t *testing.T) {
	free := &slot{cores: 24, gpus: 2, memoryGB: 96}
	for name, test := range map[string]struct {
		spec wire.JobSpec
		want int
	}{
		"limited by cores":      {wire.JobSpec{Cores: 10}, 2},
		"limited by GPUs":       {wire.JobSpec{Cores: 1, GPUs: 0.5}, 4},
		"limited by memory":     {wire.JobSpec{Cores: 1, MemoryGB: 33}, 2},
		"within the tolerance":  {wire.JobSpec{Cores: 8 + epsilon/4}, 3},
		"beyond the tolerance":  {wire.JobSpec{Cores: 8 + epsilon}, 2},
		"larger than the slot":  {wire.JobSpec{Cores: 25}, 0},
		"limited by run length": {wire.JobSpec{Cores: 0.01}, maxRunLength},
		"no demand":             {wire.JobSpec{}, maxRunLength},
	} {
		t.Run(name, func(t *testing.T) {
			if got := free.capacityFor(&test.spec); got != test.want {
				t.Errorf("capacityFor = %d, want %d", got, test.want)
			}
		})
	}
}

// TestFitsBesideGPUWork checks that a job without GPUs needs no idle machine in reserve if all machine
// types have GPUs: it can run beside tasks that use them. Where a type without GPUs exists, it may
// need one.
func TestFitsBesideGPUWork(t *testing.T) {
	withGPU := wire.MachineType{Name: "g", Cores: 8, GPUs: 1, MemoryGB: 64}
	withoutGPU := wire.MachineType{Name: "c", Cores: 8, MemoryGB: 64}
	for name, test := range map[string]struct {
		gpus  float64
		types []wire.MachineType // nil: those of newTestNode, all with GPUs
		want  bool
	}{
		"without GPU": {want: true},
		"with a GPU":  {gpus: 1},
		"without GPU where machines without exist": {types: []wire.MachineType{withGPU, withoutGPU}},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode()
			if test.types != nil {
				offerTypes(n, test.types)
			}
			job := &job{Job: &replica.Job{Record: &wire.Job{Spec: &wire.JobSpec{Cores: 1, GPUs: test.gpus}}, AnyType: true}}
			if got := n.fitsBesideGPUWork(job); got != test.want {
				t.Errorf("fitsBesideGPUWork = %v, want %v", got, test.want)
			}
		})
	}
}
