package core

import (
	"maps"
	"slices"
)

const (
	// scaleInInterval is the time between two searches for machines to deprovision.
	scaleInInterval = second
	// faultyIdleTimeout is how long a machine that has failed a job may be idle before it is
	// drained.
	faultyIdleTimeout = 10 * second
	// maxMachinesPerDeprovision is the largest number of machines that are deprovisioned in one
	// call.
	maxMachinesPerDeprovision = 100
)

// scaleIn drains machines that have been idle for long enough, are unhealthy or are unreachable,
// and deprovisions those that are drained. idle holds the machines that had no work before the
// pass.
func (n *Node) scaleIn(pass *schedulingPass, idle map[*slot]bool) {
	scaler, site := &n.leader.autoscaler, &n.site
	if n.now < scaler.nextScaleInAt {
		return
	}
	scaler.nextScaleInAt = n.now + scaleInInterval
	scaler.drainIdle(site, pass.available.all, idle)
	scaler.drainUnhealthy(site)
	scaler.drainUnknownTypes(site)
	if scaler.deprovisionInProgress || n.now < scaler.nextDeprovisionAt || n.cloudCallTime() == 0 {
		return
	}
	if drained := scaler.drainedMachines(site); len(drained) > 0 {
		n.deprovision(drained)
	}
}

// drainIdle marks machines for draining that have been idle for long enough, except for the
// spare machines of each pool. A machine counts as idle if it had no work before the pass and
// the pass has neither planned work on it nor reserved it.
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
		if slot.failedJobCount > 0 {
			// The machine failed a job and none has succeeded on it since, so it is not
			// counted as a spare machine.
			timeout = min(faultyIdleTimeout, timeout)
		} else {
			pool := slot.pool()
			if spares[pool]++; spares[pool] <= site.cfg.SpareMachines {
				continue
			}
		}
		if site.now-a.idleSince[name] > timeout {
			a.markedForDraining[name] = true
		}
	}
}

// drainUnknownTypes marks machines without tasks for draining whose type is not known although a
// list of all types is: the capacity of such a machine is unknown, so that nothing is placed on it.
func (a *autoscaler) drainUnknownTypes(site *site) {
	if !site.machineTypes.Complete() {
		return
	}
	for _, shard := range site.shards {
		for _, machine := range shard.machines {
			if machine.deprovisioned || !machine.view.reportedByOwner || machine.machineType < 0 || site.typeAt(machine.machineType) != nil {
				continue
			}
			if len(machine.placements) > 0 {
				delete(a.idleSince, machine.name)
				continue
			}
			if _, seen := a.idleSince[machine.name]; !seen {
				a.idleSince[machine.name] = site.now
			}
			if site.now-a.idleSince[machine.name] > site.cfg.IdleTimeout {
				a.markedForDraining[machine.name] = true
			}
		}
	}
}

// drainUnhealthy marks machines for draining that are unreachable, or unhealthy and without tasks.
// It unmarks other machines that have tasks and are not being drained yet.
func (a *autoscaler) drainUnhealthy(site *site) {
	for _, shard := range site.shards {
		for _, machine := range shard.machines {
			if machine.deprovisioned || !machine.view.reportedByOwner {
				continue
			}
			if machine.view.unreachable || machine.view.unhealthy && len(machine.placements) == 0 {
				a.markedForDraining[machine.name] = true
			} else if len(machine.placements) > 0 && !machine.draining {
				delete(a.markedForDraining, machine.name)
			}
		}
	}
}

// drainedMachines returns machines marked for draining that may be deprovisioned now, at most
// maxMachinesPerDeprovision: their owners have drained them, or no controller receives reports
// from them. It unmarks machines that have been deprovisioned.
func (a *autoscaler) drainedMachines(site *site) []string {
	var drained []string
	for name := range a.markedForDraining {
		if machine := site.findMachine(name); machine != nil {
			if machine.deprovisioned {
				delete(a.markedForDraining, name)
				continue
			}
			if machine.view.reportedByOwner && !machine.view.unreachable && !(machine.draining && len(machine.placements) == 0) {
				continue
			}
		}
		drained = append(drained, name)
	}
	slices.Sort(drained)
	return drained[:min(len(drained), maxMachinesPerDeprovision)]
}

// machinesToDrain returns the sorted names of the machines that their owners should drain.
func (l *leaderState) machinesToDrain(*Node) []string {
	return slices.Sorted(maps.Keys(l.autoscaler.markedForDraining))
}
