package core

import (
	"slices"
)

// Machines that an owner does not hear any more: gone, or come to another controller.

// strayTime is how long a machine counts as having come to a controller that
// does not own it.
const strayTime = 12 * second

// strayMachineNames names machines of others that came here lately although their owner
// says that it misses their reports, in order of name. It needs no others, but it needs
// all of these: one that is left out counts as lost and is returned, and after an owner's
// failure its machines, thousands at a large site, all come to its peers at once.
func (n *Node) strayMachineNames() []string {
	var out []string
	n.strayMachines = slices.DeleteFunc(n.strayMachines, func(index int) bool {
		machine := n.machines[index]
		if machine.redirectedAt == 0 || n.now-machine.redirectedAt >= strayTime {
			machine.strayListed = false
			return true
		}
		if machine.view.missedHeartbeats > 0 {
			out = append(out, machine.name)
		}
		return false
	})
	slices.Sort(out)
	return out
}
