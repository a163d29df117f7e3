package core

import (
	"slices"

	"micaport/internal/replica"
	"micaport/internal/wire"
)

// topology is what there is at the site: machine types, shards and machines. Names are
// mapped to indices where they come in.
type topology struct {
	names *replica.Names

	offeredTypes   []wire.MachineType
	typesFetchedAt Time                // when the cloud last listed the machine types; 0: never
	typesRevision  uint64              // of the stored machine types
	machineTypes   []*wire.MachineType // by index of their name; nil: not on offer

	shards   []*shard
	machines []*machine // by index of their name
}

// machineNamed is the machine with a name, also one that has not been seen before.
func (t *topology) machineNamed(name string) *machine {
	index := t.names.Machines.Of(name)
	if index == len(t.machines) {
		t.machines = append(t.machines, &machine{index: index, name: name, shard: -1, machineType: -1, zone: -1})
	}
	return t.machines[index]
}

// knownMachine is the machine with a name, or nil if it has not been seen.
func (t *topology) knownMachine(name string) *machine {
	if index := t.names.Machines.Find(name); index >= 0 {
		return t.machines[index]
	}
	return nil
}

// setShard puts a machine into a shard, by index, and takes it out of the one that it was in;
// -1 takes it out of all.
func (t *topology) setShard(machine *machine, index int) {
	if machine.shard != index {
		if machine.shard >= 0 {
			t.shards[machine.shard].remove(machine)
		}
		machine.shard = index
		if index >= 0 {
			t.shards[index].machines = append(t.shards[index].machines, machine)
		}
	}
	if index >= 0 {
		machine.zone = t.shards[index].Zone
	}
}

// remove takes a machine out of the shard.
func (s *shard) remove(removed *machine) {
	s.machines = slices.DeleteFunc(s.machines, func(m *machine) bool { return m == removed })
}

// shardWithKey is the shard whose claim has a key, or nil.
func (t *topology) shardWithKey(key string) *shard {
	for _, shard := range t.shards {
		if wire.ShardKey(shard.Name) == key {
			return shard
		}
	}
	return nil
}

// typeAt returns the machine type with an index, or nil if it is not on offer.
func (t *topology) typeAt(index int) *wire.MachineType {
	if index < 0 || index >= len(t.machineTypes) {
		return nil
	}
	return t.machineTypes[index]
}

// hasReported reports whether the machine's owner has heard of it.
func (t *topology) hasReported(name string) bool {
	machine := t.knownMachine(name)
	return machine != nil && machine.view.known
}
