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

// isUnreachable tells whether a silent machine is dead or hangs, rather than cut from
// us or unresponsive for a moment: it has not turned to any peer, and its neighbours
// still report or it has had the time to try one.
func (n *Node) isUnreachable(machine *machine, silent Time, neighbours bool) bool {
	if silent < 3*n.cfg.HeartbeatInterval+second {
		return false
	}
	if silent > n.cfg.WorkerLease+5*second {
		return true // wherever it reports, nobody could answer it
	}
	heard := false
	for _, m := range n.cfg.Members {
		p := n.peers[m.Name]
		if p == nil || n.now-p.heardAt > 3*second {
			continue
		}
		heard = true
		if _, strayed := slices.BinarySearch(p.message.Strays, machine.name); strayed {
			return false
		}
	}
	// A worker that can't reach us has tried a peer by now: a report, its
	// timeout of 4 s, a pause, and the peer's next message.
	return neighbours || heard && silent > 2*n.cfg.HeartbeatInterval+7*second
}
