package core

import (
	"cmp"
	"slices"

	"micaport/internal/wire"
)

// adoptDecisions initializes the state of a new leader from the decision log that this controller
// received as the standby of the previous leader; term is the term of that leader.
func (n *Node) adoptDecisions(term uint64) {
	facts := n.failover.logReplica.FactsOfTerm(term)
	if len(facts) == 0 {
		return
	}
	slices.SortFunc(facts, func(a, b wire.Fact) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	for _, index := range n.replica.Live() {
		n.jobs[index].waitingSince, n.jobs[index].queuePosition = 0, queuePosition{} // may be left from an earlier term of this controller
	}
	adopted := 0
	for i := range facts {
		if n.adoptFact(&facts[i]) {
			adopted++
		}
	}
	slices.SortFunc(n.leader.autoscaler.recentBoots, func(a, b bootRecord) int { return cmp.Compare(a.provisionedAt, b.provisionedAt) })
	n.log(LogInfo, "adopted decision log of previous leader", "term", term, "facts", len(facts), "adopted", adopted)
}

// adoptFact adopts a fact unless the records or the owners contradict it, and reports whether it
// did. Kinds of facts that only later versions support are skipped.
func (n *Node) adoptFact(fact *wire.Fact) bool {
	switch fact.Kind {
	case wire.FactProvisioning, wire.FactBackoff, wire.FactCapacityShortage:
		return n.adoptPoolFact(fact)
	case wire.FactWaitingSince, wire.FactGangZone, wire.FactPreemptionBackoff, wire.FactQueuePosition:
		return n.adoptJobFact(fact)
	case wire.FactBootTime, wire.FactDeprovisioned:
		n.adoptHistoryFact(fact)
		return true
	}
	machine := n.findMachine(fact.Name)
	if machine != nil && machine.deprovisioned {
		return false
	}
	return n.adoptMachineFact(fact, machine)
}

// adoptPoolFact adopts a fact about a pool or a provisioning request. A pending request is repeated
// under its own name, which makes it idempotent: the cloud answers as it did the first time.
func (n *Node) adoptPoolFact(fact *wire.Fact) bool {
	scaler := &n.leader.autoscaler
	pool, known := poolOf(fact, n.names)
	if !known {
		return false
	}
	switch fact.Kind {
	case wire.FactProvisioning:
		if fact.Count <= 0 {
			return false
		}
		request := wire.ProvisionRequest{
			Name:        fact.Name,
			MachineType: fact.MachineType,
			Zone:        fact.Zone,
			Spot:        fact.Spot,
			Count:       fact.Count,
		}
		scaler.pendingProvisions = append(scaler.pendingProvisions, &pendingProvision{
			pool:      pool,
			decidedAt: factTimeOf(fact),
			sendAt:    n.now,
			request:   request,
		})
	case wire.FactBackoff:
		scaler.retryAt[pool] = factTimeOf(fact)
	case wire.FactCapacityShortage:
		scaler.shortageAt[pool] = factTimeOf(fact)
	}
	return true
}

// adoptJobFact adopts a fact about a job that has not ended.
func (n *Node) adoptJobFact(fact *wire.Fact) bool {
	job := n.findJob(fact.Name)
	if job == nil || job.Record == nil || job.Record.State != wire.JobLive {
		return false
	}
	switch fact.Kind {
	case wire.FactWaitingSince:
		job.waitingSince = waitTimeOf(fact)
	case wire.FactGangZone:
		zone := n.names.Zones.Find(fact.Zone)
		if zone < 0 {
			return false
		}
		job.gangZone = zone
	case wire.FactQueuePosition:
		job.queuePosition = queuePosition{waitingSince: waitTimeOf(fact), droppedAttempts: fact.Count}
	case wire.FactPreemptionBackoff:
		job.nextPreemptionAt = factTimeOf(fact)
	}
	return true
}

// adoptHistoryFact adopts a fact about a past event of a machine, its boot or its deprovisioning,
// which neither the records nor the owners can contradict.
func (n *Node) adoptHistoryFact(fact *wire.Fact) {
	if fact.Kind == wire.FactBootTime {
		scaler := &n.leader.autoscaler
		scaler.recentBoots = append(scaler.recentBoots, bootRecord{fact.Name, factTimeOf(fact), fact.Ratio})
		return
	}
	n.getOrAddMachine(fact.Name).deprovisioned = true
	n.leader.deprovisioned = append(n.leader.deprovisioned, deprovisionedMachine{fact.Name, factTimeOf(fact)})
}

// adoptMachineFact adopts a fact about a machine unless the records or the machine's owner
// contradict the fact, and reports whether it did. The machine is nil if it is unknown to this
// controller.
func (n *Node) adoptMachineFact(fact *wire.Fact, machine *machine) bool {
	scaler := &n.leader.autoscaler
	hasReported := machine != nil && machine.view.reportedByOwner
	switch fact.Kind {
	case wire.FactBooting:
		pool, known := poolOf(fact, n.names)
		if !known || hasReported {
			return false
		}
		scaler.booting[fact.Name] = &bootingMachine{pool: pool, provisionedAt: factTimeOf(fact), listed: fact.Seen}
	case wire.FactIdle:
		scaler.idleSince[fact.Name] = factTimeOf(fact)
	case wire.FactDraining:
		if machine != nil && len(machine.placements) > 0 {
			return false
		}
		scaler.markedForDraining[fact.Name] = true
	case wire.FactUnreported:
		if hasReported {
			return false
		}
		scaler.unreportedSince[fact.Name] = factTimeOf(fact)
	case wire.FactReserved:
		if machine == nil || n.names.Jobs.Find(fact.JobID) < 0 {
			return false
		}
		n.leader.reservations = append(n.leader.reservations, wire.Reservation{Host: fact.Name, Ref: fact.JobID})
	default:
		return false
	}
	return true
}
