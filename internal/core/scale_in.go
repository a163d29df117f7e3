package core

import "sort"

// Machines that are no longer needed go back to the cloud.

// scaleIn picks machines that stood idle, are unhealthy or are lost, and gives
// them back once their owner has let go of them.
func (n *Node) scaleIn(pass *schedulingPass, idle map[*slot]bool) {
	n.drainIdle(pass, idle)
	n.drainUnhealthy()
	scaler := &n.leader.autoscaler
	if scaler.deprovisioning || n.now < scaler.deprovisionAt || n.cloudCallTime() == 0 {
		return
	}
	if give := n.drainedMachines(); len(give) > 0 {
		n.deprovision(give)
	}
}

// drainIdle marks machines that have stood idle for long enough.
func (n *Node) drainIdle(pass *schedulingPass, idle map[*slot]bool) {
	scaler := &n.leader.autoscaler
	spares := map[machinePool]int{}
	for _, slot := range pass.available.all {
		name := slot.machine.name
		if !idle[slot] || !slot.isIdle() || slot.reserved {
			delete(scaler.idleSince, name)
			continue
		}
		if _, seen := scaler.idleSince[name]; !seen {
			scaler.idleSince[name] = n.now
		}
		patience := n.cfg.IdleTimeout
		if slot.errors > 0 {
			// It failed a job and nothing has succeeded since: no spare.
			patience = min(faultyIdleTimeout, patience)
		} else {
			pool := slot.pool()
			if spares[pool]++; spares[pool] <= n.cfg.SpareMachines {
				continue
			}
		}
		if n.now-scaler.idleSince[name] > patience {
			scaler.draining[name] = true
		}
	}
}

// faultyIdleTimeout is how long a machine that has failed a job may stand idle.
const faultyIdleTimeout = 10 * second

// drainUnhealthy marks machines that are lost, or unhealthy and empty, and keeps those on which
// their owners have placed something meanwhile.
func (n *Node) drainUnhealthy() {
	scaler := &n.leader.autoscaler
	for _, shard := range n.shards {
		for _, machine := range shard.machines {
			if machine.returned || !machine.view.known {
				continue
			}
			if machine.view.unreachable || machine.view.unhealthy && len(machine.placements) == 0 {
				scaler.draining[machine.name] = true
			} else if len(machine.placements) > 0 && !machine.draining {
				delete(scaler.draining, machine.name)
			}
		}
	}
}

// drainedMachines lists machines that may go back now, as many as a call takes: their
// owners have let go of them, or nobody has heard of them.
func (n *Node) drainedMachines() (give []string) {
	scaler := &n.leader.autoscaler
	for name := range scaler.draining {
		if index := n.names.Machines.Find(name); index >= 0 {
			machine := n.machines[index]
			if machine.returned {
				delete(scaler.draining, name)
				continue
			}
			if machine.view.known && !machine.view.unreachable && !(machine.draining && len(machine.placements) == 0) {
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
	scaler := &n.leader.autoscaler
	scaler.deprovisioning = true
	tenure := n.leader.tenure
	n.cloudCall(CallCloud{Deprovision: give}, func(result CloudAnswered) {
		if result.Outcome == OK {
			for _, name := range give {
				n.machineNamed(name).returned = true
			}
		}
		if n.leader.tenure != tenure {
			return
		}
		scaler.deprovisioning = false
		if result.Outcome != OK {
			scaler.deprovisionAt = n.now + 2*second
			return
		}
		for _, name := range give {
			delete(scaler.draining, name)
			delete(scaler.booting, name)
			delete(scaler.unreportedSince, name)
			n.leader.returned = append(n.leader.returned, returnedMachine{name, n.now})
		}
		n.log(LogInfo, "machines deprovisioned", "machines", give)
		n.sendGossip(true)
	})
}

// drainList names the machines that owners are to empty for return.
func (leader *leaderState) drainList(n *Node) []string {
	var out []string
	for name := range leader.autoscaler.draining {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
