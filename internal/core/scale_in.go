package core

import "sort"

// Machines that are no longer needed go back to the cloud.

// scaleIn picks machines that stood idle, are unhealthy or are lost, and gives
// them back once their owner has let go of them.
func (n *Node) scaleIn(p *schedulingPass, idle map[*slot]bool) {
	n.drainIdle(p, idle)
	n.drainUnhealthy()
	c := &n.leader.autoscaler
	if c.deprovisioning || n.now < c.deprovisionAt || n.cloudCallTime() == 0 {
		return
	}
	if give := n.drainedMachines(); len(give) > 0 {
		n.deprovision(give)
	}
}

// drainIdle marks machines that have stood idle for long enough.
func (n *Node) drainIdle(p *schedulingPass, idle map[*slot]bool) {
	c := &n.leader.autoscaler
	spares := map[machinePool]int{}
	for _, s := range p.available.all {
		name := s.machine.name
		if !idle[s] || !s.isIdle() || s.reserved {
			delete(c.idleSince, name)
			continue
		}
		if _, seen := c.idleSince[name]; !seen {
			c.idleSince[name] = n.now
		}
		patience := n.cfg.IdleTimeout
		if s.errors > 0 {
			// It failed a job and nothing has succeeded since: no spare.
			patience = min(faultyIdleTimeout, patience)
		} else {
			x := s.pool()
			if spares[x]++; spares[x] <= n.cfg.SpareMachines {
				continue
			}
		}
		if n.now-c.idleSince[name] > patience {
			c.draining[name] = true
		}
	}
}

// faultyIdleTimeout is how long a machine that has failed a job may stand idle.
const faultyIdleTimeout = 10 * second

// drainUnhealthy marks machines that are lost, or unhealthy and empty, and keeps those on which
// their owners have placed something meanwhile.
func (n *Node) drainUnhealthy() {
	c := &n.leader.autoscaler
	for _, y := range n.shards {
		for _, h := range y.machines {
			if h.returned || !h.view.known {
				continue
			}
			if h.view.unreachable || h.view.unhealthy && len(h.placements) == 0 {
				c.draining[h.name] = true
			} else if len(h.placements) > 0 && !h.draining {
				delete(c.draining, h.name)
			}
		}
	}
}

// drainedMachines lists machines that may go back now, as many as a call takes: their
// owners have let go of them, or nobody has heard of them.
func (n *Node) drainedMachines() (give []string) {
	c := &n.leader.autoscaler
	for name := range c.draining {
		if index := n.names.Machines.Find(name); index >= 0 {
			h := n.machines[index]
			if h.returned {
				delete(c.draining, name)
				continue
			}
			if h.view.known && !h.view.unreachable && !(h.draining && len(h.placements) == 0) {
				continue
			}
		}
		give = append(give, name)
	}
	sort.Strings(give)
	return give[:min(len(give), maxDeprovisioned)]
}

// maxDeprovisioned is how many machines one call to the cloud returns at most.
const maxDeprovisioned = 100

// deprovision gives machines back to the cloud.
func (n *Node) deprovision(give []string) {
	c := &n.leader.autoscaler
	c.deprovisioning = true
	tenure := n.leader.tenure
	n.cloudCall(CallCloud{Deprovision: give}, func(r CloudAnswered) {
		if r.Outcome == OK {
			for _, name := range give {
				n.machineNamed(name).returned = true
			}
		}
		if n.leader.tenure != tenure {
			return
		}
		c.deprovisioning = false
		if r.Outcome != OK {
			c.deprovisionAt = n.now + 2*second
			return
		}
		for _, name := range give {
			delete(c.draining, name)
			delete(c.booting, name)
			delete(c.unreportedSince, name)
			n.leader.returned = append(n.leader.returned, returnedMachine{name, n.now})
		}
		n.log(LogInfo, "machines deprovisioned", "machines", give)
		n.sendGossip(true)
	})
}

// drainList names the machines that owners are to empty for return.
func (l *leaderState) drainList(n *Node) []string {
	var out []string
	for name := range l.autoscaler.draining {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
