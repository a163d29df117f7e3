package core

import (
	"testing"

	"micaport/internal/kv"
	"micaport/internal/ownership"
	"micaport/internal/wire"
)

var (
	typeG = wire.MachineType{Name: "g", Cores: 8, GPUs: 1, MemoryGB: 64, FetchGBs: 1, PricePerHour: 1, BootS: 10, Zones: []string{"a"}}
	typeN = wire.MachineType{Name: "new", Cores: 16, GPUs: 2, MemoryGB: 64, FetchGBs: 1, PricePerHour: 2, BootS: 10, Zones: []string{"a"}}
)

// Guards against controllers that keep the first list of machine types that they get, so that they
// reject jobs for types that are offered later.
func TestStoredTypesAreFollowed(t *testing.T) {
	n := newTestNode(ownership.Member{Name: "n0", Zone: "a"}, ownership.Member{Name: "n1", Zone: "a"})
	n.Step(n.now+1, RecordsChanged{Revision: 20, Events: []kv.Event{
		{Key: wire.MachineTypePartKey("7-1", 1), Revision: 20, Value: &wire.MachineTypePart{Offered: []wire.MachineType{typeN}, Withdrawn: []wire.MachineType{typeG}}},
		{Key: wire.MachineTypeHeadKey, Revision: 20, Value: &wire.MachineTypeHead{Generation: "7-1", Parts: 1}},
	}})
	if !n.machineTypes.IsOffered("new") || n.machineTypes.IsOffered("g") {
		t.Error("the stored list was not taken over")
	}
	if n.typeAt(n.names.MachineTypes.Find("g")) == nil {
		t.Error("a type that is no longer offered is not known any more, though machines of it may run")
	}
}
