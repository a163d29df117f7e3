package core

import (
	"slices"
)

// Machines that an owner does not hear any more: gone, or come to another controller.

// strayFor is how long a machine counts as having come to a controller that
// does not own it.
const strayFor = 12 * second

// strays names machines of others that came here lately although their owner
// says that it misses their reports, in order of name. It needs no others, but it needs
// all of these: one that is left out counts as lost and is returned, and after an owner's
// failure its machines, thousands at a large site, all come to its peers at once.
func (n *Node) strays() []string {
	var out []string
	n.strayHosts = slices.DeleteFunc(n.strayHosts, func(ix int) bool {
		h := n.hosts[ix]
		if h.redirectAt == 0 || n.now-h.redirectAt >= strayFor {
			h.straying = false
			return true
		}
		if h.info.quiet > 0 {
			out = append(out, h.name)
		}
		return false
	})
	slices.Sort(out)
	return out
}

// lost tells whether a silent machine is dead or hangs, rather than cut from
// us or deaf for a moment: it has not turned to any peer, and its neighbours
// still report or it has had the time to try one.
func (n *Node) lost(h *host, silent Time, neighbours bool) bool {
	if silent < 3*n.cfg.Report+second {
		return false
	}
	if silent > n.cfg.Lease+5*second {
		return true // wherever it reports, nobody could answer it
	}
	heard := false
	for _, m := range n.cfg.Members {
		p := n.peers[m.Label]
		if p == nil || n.now-p.at > 3*second {
			continue
		}
		heard = true
		if _, strayed := slices.BinarySearch(p.msg.Strays, h.name); strayed {
			return false
		}
	}
	// A worker that can't reach us has tried a peer by now: a report, its
	// patience of 4 s, a pause, and the peer's next message.
	return neighbours || heard && silent > 2*n.cfg.Report+7*second
}
