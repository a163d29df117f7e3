package core

import (
	"cmp"
	"time"

	"micaport/internal/replica"
	"micaport/internal/wire"
)

// factTime converts a time to the At field of a fact: milliseconds of the leader's monotonic clock,
// which the standby's replica of the log converts to its own clock. The result is never 0, which
// means that a fact has no time.
func factTime(t Time) int64 { return max(1, t.Milliseconds()) }

// waitFactTime converts the time since when a job has waited to the At field of a fact. The time
// may be before the start of this process, and thus negative, but the result is never 0.
func waitFactTime(t Time) int64 { return cmp.Or(t.Milliseconds(), -1) }

// factTimeOf returns the time of a fact; it is the inverse of factTime.
func factTimeOf(fact *wire.Fact) Time { return Time(fact.At) * time.Millisecond }

// waitTimeOf returns the time since when a job has waited; it is the inverse of waitFactTime.
func waitTimeOf(fact *wire.Fact) Time { return cmp.Or(factTimeOf(fact), -1) }

// DecisionLogFacts returns the leader's state that is not in the records, as facts with times of
// this controller's monotonic clock; nil if this controller does not lead.
func (n *Node) DecisionLogFacts() []wire.Fact {
	if !n.isLeader() {
		return nil
	}
	return n.leaderFacts()
}

// leaderFacts returns the leader's state that is not in the records, as facts.
func (n *Node) leaderFacts() []wire.Fact {
	facts := n.leader.autoscaler.facts(n.now, n.names)
	for _, reserved := range n.leader.reservations {
		facts = append(facts, wire.Fact{Kind: wire.FactReserved, Name: reserved.Host, JobID: reserved.Ref})
	}
	for _, machine := range n.leader.deprovisioned {
		if n.now-machine.at <= deprovisionAnnounceTime {
			facts = append(facts, wire.Fact{Kind: wire.FactDeprovisioned, Name: machine.name, At: factTime(machine.at)})
		}
	}
	for _, index := range n.replica.Live() {
		facts = n.jobs[index].appendFacts(facts, n.now, n.names)
	}
	return facts
}

// appendFacts appends the leader's state of the job that is not in its record.
func (j *job) appendFacts(facts []wire.Fact, now Time, names *replica.Names) []wire.Fact {
	if j.waitingSince != 0 {
		facts = append(facts, wire.Fact{Kind: wire.FactWaitingSince, Name: j.ID, At: waitFactTime(j.waitingSince)})
	}
	if j.gangZone >= 0 && j.waitingSince != 0 {
		facts = append(facts, wire.Fact{Kind: wire.FactGangZone, Name: j.ID, Zone: names.Zones.Name(j.gangZone)})
	}
	if position := j.queuePosition; position.waitingSince != 0 {
		facts = append(facts, wire.Fact{
			Kind:  wire.FactQueuePosition,
			Name:  j.ID,
			At:    waitFactTime(position.waitingSince),
			Count: position.droppedAttempts,
		})
	}
	if j.nextPreemptionAt > now {
		facts = append(facts, wire.Fact{Kind: wire.FactPreemptionBackoff, Name: j.ID, At: factTime(j.nextPreemptionAt)})
	}
	return facts
}

// facts returns the autoscaler's state as facts.
func (a *autoscaler) facts(now Time, names *replica.Names) []wire.Fact {
	var facts []wire.Fact
	for name, booting := range a.booting {
		fact := poolFact(wire.FactBooting, name, booting.pool, booting.provisionedAt, names)
		fact.Seen = booting.listed
		facts = append(facts, fact)
	}
	for _, pending := range a.pendingProvisions {
		fact := poolFact(wire.FactProvisioning, pending.request.Name, pending.pool, pending.decidedAt, names)
		fact.Count = pending.request.Count
		facts = append(facts, fact)
	}
	for _, boot := range a.recentBoots {
		facts = append(facts, wire.Fact{
			Kind:  wire.FactBootTime,
			Name:  boot.name,
			At:    factTime(boot.provisionedAt),
			Ratio: boot.ratio,
		})
	}
	for pool, at := range a.retryAt {
		if at > now {
			facts = append(facts, poolFact(wire.FactBackoff, poolName(pool, names), pool, at, names))
		}
	}
	for pool, at := range a.shortageAt {
		if now-at < shortagePeriod {
			facts = append(facts, poolFact(wire.FactCapacityShortage, poolName(pool, names), pool, at, names))
		}
	}
	for name, at := range a.idleSince {
		facts = append(facts, wire.Fact{Kind: wire.FactIdle, Name: name, At: factTime(at)})
	}
	for name := range a.markedForDraining {
		facts = append(facts, wire.Fact{Kind: wire.FactDraining, Name: name})
	}
	for name, at := range a.unreportedSince {
		facts = append(facts, wire.Fact{Kind: wire.FactUnreported, Name: name, At: factTime(at)})
	}
	return facts
}

// poolFact returns a fact about a pool, or about a machine or a provisioning request of it.
func poolFact(kind wire.FactKind, name string, pool machinePool, at Time, names *replica.Names) wire.Fact {
	return wire.Fact{
		Kind: kind, Name: name, At: factTime(at),
		MachineType: names.MachineTypes.Name(pool.machineType), Zone: names.Zones.Name(pool.zone), Spot: pool.spot,
	}
}

// poolName returns the name by which facts identify a pool.
func poolName(pool machinePool, names *replica.Names) string {
	name := names.MachineTypes.Name(pool.machineType) + "/" + names.Zones.Name(pool.zone)
	if pool.spot {
		name += "/spot"
	}
	return name
}

// poolOf returns the pool of a fact. Known is false if the fact's machine type or zone is not known to
// this controller.
func poolOf(fact *wire.Fact, names *replica.Names) (pool machinePool, known bool) {
	pool = machinePool{machineType: names.MachineTypes.Find(fact.MachineType), zone: names.Zones.Find(fact.Zone), spot: fact.Spot}
	return pool, pool.machineType >= 0 && pool.zone >= 0
}
