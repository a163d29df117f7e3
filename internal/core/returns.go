package core

import "sort"

// Machines that are no longer needed go back to the cloud.

// returnIdle picks machines that stood idle, are sick or are lost, and gives
// them back once their owner has let go of them.
func (n *Node) returnIdle(p *plan, idle map[*slot]bool) {
	n.retireIdle(p, idle)
	n.retireUnfit()
	c := &n.leader.cloud
	if c.giving || n.now < c.returnAt || n.cloudRight() == 0 {
		return
	}
	if give := n.returnable(); len(give) > 0 {
		n.returnMachines(give)
	}
}

// retireIdle marks machines that have stood idle for long enough.
func (n *Node) retireIdle(p *plan, idle map[*slot]bool) {
	c := &n.leader.cloud
	spares := map[pool]int{}
	for _, s := range p.up.all {
		name := s.h.name
		if !idle[s] || !s.untouched() || s.reserved {
			delete(c.idleFrom, name)
			continue
		}
		if _, seen := c.idleFrom[name]; !seen {
			c.idleFrom[name] = n.now
		}
		patience := n.cfg.IdleReturn
		if s.errors > 0 {
			// It failed a job and nothing has succeeded since: no spare.
			patience = min(faultyIdleReturn, patience)
		} else {
			x := s.pool()
			if spares[x]++; spares[x] <= n.cfg.Spares {
				continue
			}
		}
		if n.now-c.idleFrom[name] > patience {
			c.retiring[name] = true
		}
	}
}

// faultyIdleReturn is how long a machine that has failed a job may stand idle.
const faultyIdleReturn = 10 * second

// retireUnfit marks machines that are lost, or sick and empty, and keeps those on which
// their owners have placed something meanwhile.
func (n *Node) retireUnfit() {
	c := &n.leader.cloud
	for _, y := range n.parts {
		for _, h := range y.hosts {
			if h.returned || !h.info.known {
				continue
			}
			if h.info.lost || h.info.sick && len(h.on) == 0 {
				c.retiring[h.name] = true
			} else if len(h.on) > 0 && !h.retiring {
				delete(c.retiring, h.name)
			}
		}
	}
}

// returnable lists machines that may go back now, as many as a call takes: their
// owners have let go of them, or nobody has heard of them.
func (n *Node) returnable() (give []string) {
	c := &n.leader.cloud
	for name := range c.retiring {
		if index := n.hostIx.Find(name); index >= 0 {
			h := n.hosts[index]
			if h.returned {
				delete(c.retiring, name)
				continue
			}
			if h.info.known && !h.info.lost && !(h.retiring && len(h.on) == 0) {
				continue
			}
		}
		give = append(give, name)
	}
	sort.Strings(give)
	return give[:min(len(give), maxReturns)]
}

// maxReturns is how many machines one call to the cloud returns at most.
const maxReturns = 100

// returnMachines gives machines back to the cloud.
func (n *Node) returnMachines(give []string) {
	c := &n.leader.cloud
	c.giving = true
	tenure := n.leader.tenure
	n.cloudCall(Cloud{Return: give}, func(r Clouded) {
		if r.Outcome == OK {
			for _, name := range give {
				n.hostOf(name).returned = true
			}
		}
		if n.leader.tenure != tenure {
			return
		}
		c.giving = false
		if r.Outcome != OK {
			c.returnAt = n.now + 2*second
			return
		}
		for _, name := range give {
			delete(c.retiring, name)
			delete(c.booting, name)
			delete(c.stray, name)
			n.leader.returned = append(n.leader.returned, returned{name, n.now})
		}
		n.log(LogInfo, "returned", "hosts", give)
		n.gossip(true)
	})
}

// retireList names the machines that owners are to empty for return.
func (l *leaderState) retireList(n *Node) []string {
	var out []string
	for name := range l.cloud.retiring {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
