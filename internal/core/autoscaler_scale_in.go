package core

import (
	"maps"
	"slices"
)

// Machines that are no longer needed are drained and deprovisioned.

const (
	// scaleInInterval lies between two searches for machines to be deprovisioned.
	scaleInInterval = second
	// faultyIdleTimeout is how long a machine that has failed a job may be idle.
	faultyIdleTimeout = 10 * second
	// maxDeprovisioned is how many machines one call to the cloud returns at most.
	maxDeprovisioned = 100
)

// scaleIn drains machines that have been idle, are unhealthy or are lost, and deprovisions
// those that their owners have drained.
func (n *Node) scaleIn(pass *schedulingPass, idle map[*slot]bool) {
	scaler, site := &n.leader.autoscaler, &n.site
	if n.now < scaler.scaleInAt {
		return
	}
	scaler.scaleInAt = n.now + scaleInInterval
	scaler.drainIdle(site, pass.available.all, idle)
	scaler.drainUnhealthy(site)
	if scaler.deprovisioning || n.now < scaler.deprovisionAt || n.cloudCallTime() == 0 {
		return
	}
	if drained := scaler.drainedMachines(site); len(drained) > 0 {
		n.deprovision(drained)
	}
}

// drainIdle marks machines that have been idle for long enough, except some spare ones of
// each pool. Of idle, the machines without work, those count for which the pass has not
// planned anything.
func (a *autoscaler) drainIdle(site *site, slots []*slot, idle map[*slot]bool) {
	spares := map[machinePool]int{}
	for _, slot := range slots {
		name := slot.machine.name
		if !idle[slot] || !slot.isIdle() || slot.reserved {
			delete(a.idleSince, name)
			continue
		}
		if _, seen := a.idleSince[name]; !seen {
			a.idleSince[name] = site.now
		}
		timeout := site.cfg.IdleTimeout
		if slot.errors > 0 {
			// It failed a job and nothing has succeeded since: it is no spare machine.
			timeout = min(faultyIdleTimeout, timeout)
		} else {
			pool := slot.pool()
			if spares[pool]++; spares[pool] <= site.cfg.SpareMachines {
				continue
			}
		}
		if site.now-a.idleSince[name] > timeout {
			a.draining[name] = true
		}
	}
}

// drainUnhealthy marks machines that are lost, or unhealthy and empty, and unmarks those on
// which their owners have placed something meanwhile.
func (a *autoscaler) drainUnhealthy(site *site) {
	for _, shard := range site.shards {
		for _, machine := range shard.machines {
			if machine.returned || !machine.view.known {
				continue
			}
			if machine.view.unreachable || machine.view.unhealthy && len(machine.placements) == 0 {
				a.draining[machine.name] = true
			} else if len(machine.placements) > 0 && !machine.draining {
				delete(a.draining, machine.name)
			}
		}
	}
}

// drainedMachines lists machines that may be deprovisioned now, at most as many as one call
// takes: their owners have drained them, or no controller hears them.
func (a *autoscaler) drainedMachines(site *site) []string {
	var drained []string
	for name := range a.draining {
		if machine := site.knownMachine(name); machine != nil {
			if machine.returned {
				delete(a.draining, name)
				continue
			}
			if machine.view.known && !machine.view.unreachable && !(machine.draining && len(machine.placements) == 0) {
				continue
			}
		}
		drained = append(drained, name)
	}
	slices.Sort(drained)
	return drained[:min(len(drained), maxDeprovisioned)]
}

// drainList names the machines that their owners are to drain, in order.
func (l *leaderState) drainList(*Node) []string {
	return slices.Sorted(maps.Keys(l.autoscaler.draining))
}
