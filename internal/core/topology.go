package core

import (
	"slices"

	"micaport/internal/machinetypes"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// topology holds the machine types, shards and machines of the site. Names are mapped to indices
// when records or messages are received.
type topology struct {
	names        *replica.Names
	machineTypes *machinetypes.Catalog

	shards   []*shard
	machines []*machine // by index of their name
}

// getOrAddMachine returns the machine with a name, and adds it if the name is not known.
func (t *topology) getOrAddMachine(name string) *machine {
	index := t.names.Machines.Intern(name)
	if index == len(t.machines) {
		t.machines = append(t.machines, &machine{index: index, name: name, shard: -1, machineType: -1, zone: -1})
	}
	return t.machines[index]
}

// findMachine returns the machine with a name, or nil if the name is not known.
func (t *topology) findMachine(name string) *machine {
	if index := t.names.Machines.Find(name); index >= 0 {
		return t.machines[index]
	}
	return nil
}

// setShard moves a machine to the shard with an index; -1 removes it from its shard.
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

// remove removes a machine from the shard.
func (s *shard) remove(removed *machine) {
	s.machines = slices.DeleteFunc(s.machines, func(m *machine) bool { return m == removed })
}

// shardWithKey returns the shard whose claim is stored under a key, or nil.
func (t *topology) shardWithKey(key string) *shard {
	for _, shard := range t.shards {
		if wire.ShardKey(shard.Name) == key {
			return shard
		}
	}
	return nil
}

// hasReported reports whether the machine with a name has sent a heartbeat to its owner, as far as
// this controller knows.
func (t *topology) hasReported(name string) bool {
	machine := t.findMachine(name)
	return machine != nil && machine.view.reportedByOwner
}
