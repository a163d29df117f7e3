package core

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"micaport/internal/wire"
)

// What only the leader knows, told to its standby and taken over from it. All of it is a
// hint: what the records or the owners contradict is dropped.

const (
	// publishInterval lies between two looks at what the leader knows, and publishIntervalPerFact is
	// how much more for each live job and each fact: a look at 4,000 facts takes some
	// milliseconds, of which a controller with a tenth of a core has few.
	publishInterval        = 200 * time.Millisecond
	publishIntervalPerFact = 100 * time.Microsecond
)

// publishDecisionLog tells the standby what has changed of what only we know.
func (n *Node) publishDecisionLog() {
	s := &n.failover
	if !n.fenced() {
		return
	}
	s.publisher.Direct(s.standby, n.leadership.Term())
	if s.standby == "" || n.now < s.publishAt {
		return
	}
	facts := n.leaderFacts()
	s.publishAt = n.now + publishInterval + Time(len(n.replica.Live())+len(facts))*publishIntervalPerFact
	s.publisher.Publish(facts)
	if to, m := s.publisher.Next(n.now, n.cfg.Self, n.cfg.Incarnation); m != nil {
		n.emit(SendDecisionLog{To: to, Message: m})
	}
}

// decisionLogReceived takes in a message of the leader's log.
func (n *Node) decisionLogReceived(x DecisionLogReceived) {
	ack := wire.DecisionLogAck{Resync: true}
	if x.Message != nil {
		ack = n.failover.replica.Take(n.now, n.failover.follower.Claim(), x.Message)
	}
	n.emit(Reply{RequestID: x.RequestID, Status: http.StatusOK, Body: ack})
}

// factTime is a time in a fact, in milliseconds; 0 is none.
func factTime(t Time) int64 { return max(1, t.Milliseconds()) }

// timeOf is the reverse of factTime.
func timeOf(f *wire.Fact) Time { return Time(f.At) * time.Millisecond }

// leaderFacts lists what only the leader knows.
func (n *Node) leaderFacts() []wire.Fact {
	facts := n.cloudFacts()
	for _, k := range n.leader.reservations {
		facts = append(facts, wire.Fact{Kind: wire.FactReserved, Name: k.Host, JobID: k.Ref})
	}
	for _, r := range n.leader.returned {
		if n.now-r.at <= returnedAnnounceTime {
			facts = append(facts, wire.Fact{Kind: wire.FactReturned, Name: r.name, At: factTime(r.at)})
		}
	}
	for _, index := range n.replica.Live() {
		facts = n.jobFacts(facts, n.jobs[index])
	}
	return facts
}

// Decisions lists what the controller knows as the leader alone, with times of its own
// steady clock; nothing if it does not lead.
func (n *Node) Decisions() []wire.Fact {
	if !n.isLeader() {
		return nil
	}
	return n.leaderFacts()
}

// jobFacts adds what only the leader knows of a job.
func (n *Node) jobFacts(facts []wire.Fact, job *job) []wire.Fact {
	if job.waitingSince != 0 { // it may be before the start of this process
		facts = append(facts, wire.Fact{Kind: wire.FactWaitingSince, Name: job.ID, At: cmp.Or(job.waitingSince.Milliseconds(), -1)})
	}
	if job.gangZone >= 0 && job.waitingSince != 0 {
		facts = append(facts, wire.Fact{Kind: wire.FactGangZone, Name: job.ID, Zone: n.names.Zones.Name(job.gangZone)})
	}
	if job.queuePosition.waitingSince != 0 {
		facts = append(facts, wire.Fact{Kind: wire.FactQueuePosition, Name: job.ID, At: cmp.Or(job.queuePosition.waitingSince.Milliseconds(), -1), Count: job.queuePosition.droppedAttempts})
	}
	if job.preemptAt > n.now {
		facts = append(facts, wire.Fact{Kind: wire.FactPreemptedAt, Name: job.ID, At: factTime(job.preemptAt)})
	}
	return facts
}

// poolFact is a fact about a pool, or a machine or request of it.
func (n *Node) poolFact(kind wire.FactKind, name string, pool machinePool, at Time) wire.Fact {
	f := wire.Fact{Kind: kind, Name: name, At: factTime(at), MachineType: n.names.MachineTypes.Name(pool.machineType), Zone: n.names.Zones.Name(pool.zone), Spot: pool.spot}
	if name == "" {
		f.Name = f.MachineType + "/" + f.Zone
		if pool.spot {
			f.Name += "/spot"
		}
	}
	return f
}

// poolOf is the pool of a fact, if it is one of ours.
func (n *Node) poolOf(f *wire.Fact) (pool machinePool, known bool) {
	pool = machinePool{n.names.MachineTypes.Find(f.MachineType), n.names.Zones.Find(f.Zone), f.Spot}
	return pool, pool.machineType >= 0 && pool.zone >= 0
}

// cloudFacts lists the leader's dealings with the cloud.
func (n *Node) cloudFacts() []wire.Fact {
	scaler := &n.leader.autoscaler
	var facts []wire.Fact
	for name, booting := range scaler.booting {
		f := n.poolFact(wire.FactBooting, name, booting.pool, booting.provisionedAt)
		f.Seen = booting.listed
		facts = append(facts, f)
	}
	for _, provisioning := range scaler.provisions {
		f := n.poolFact(wire.FactProvisioning, provisioning.request.Name, provisioning.pool, provisioning.decidedAt)
		f.Count = provisioning.request.Count
		facts = append(facts, f)
	}
	for _, b := range scaler.recentBoots {
		facts = append(facts, wire.Fact{Kind: wire.FactBootTime, Name: b.name, At: factTime(b.provisionedAt), Ratio: b.ratio})
	}
	for pool, at := range scaler.retryAt {
		if at > n.now {
			facts = append(facts, n.poolFact(wire.FactBackoff, "", pool, at))
		}
	}
	for pool, at := range scaler.shortageAt {
		if n.now-at < shortageTime {
			facts = append(facts, n.poolFact(wire.FactCapacityShortage, "", pool, at))
		}
	}
	for name, at := range scaler.idleSince {
		facts = append(facts, wire.Fact{Kind: wire.FactIdle, Name: name, At: factTime(at)})
	}
	for name := range scaler.draining {
		facts = append(facts, wire.Fact{Kind: wire.FactDraining, Name: name})
	}
	for name, at := range scaler.unreportedSince {
		facts = append(facts, wire.Fact{Kind: wire.FactUnreported, Name: name, At: factTime(at)})
	}
	return facts
}

// adoptDecisions goes on from what the leader of a term told us as its standby.
func (n *Node) adoptDecisions(term uint64) {
	facts := n.failover.replica.Of(term)
	if len(facts) == 0 {
		return
	}
	slices.SortFunc(facts, func(a, b wire.Fact) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	for _, index := range n.replica.Live() {
		n.jobs[index].waitingSince, n.jobs[index].queuePosition = 0, queuePosition{} // noted when we last led
	}
	adopted := 0
	for i := range facts {
		if n.adoptFact(&facts[i]) {
			adopted++
		}
	}
	scaler := &n.leader.autoscaler
	slices.SortFunc(scaler.recentBoots, func(a, b boot) int { return cmp.Compare(a.provisionedAt, b.provisionedAt) })
	n.log(LogInfo, "adopted decision log of previous leader", "term", term, "facts", len(facts), "adopted", adopted)
}

// adoptFact takes in one fact, unless it is contradicted.
func (n *Node) adoptFact(f *wire.Fact) bool {
	switch f.Kind {
	case wire.FactProvisioning, wire.FactBackoff, wire.FactCapacityShortage:
		return n.adoptPoolFact(f)
	case wire.FactWaitingSince, wire.FactGangZone, wire.FactPreemptedAt, wire.FactQueuePosition:
		return n.adoptJobFact(f)
	}
	return n.adoptMachineFact(f)
}

// adoptPoolFact takes in a fact about a pool or a provisioning request. A request under way is repeated under its
// own name, which the cloud answers as it did the first time.
func (n *Node) adoptPoolFact(f *wire.Fact) bool {
	scaler := &n.leader.autoscaler
	pool, known := n.poolOf(f)
	if !known {
		return false
	}
	switch f.Kind {
	case wire.FactProvisioning:
		if f.Count <= 0 {
			return false
		}
		scaler.provisions = append(scaler.provisions, &provisioning{pool: pool, decidedAt: timeOf(f), sendAt: n.now,
			request: wire.ProvisionRequest{Name: f.Name, MachineType: f.MachineType, Zone: f.Zone, Spot: f.Spot, Count: f.Count}})
	case wire.FactBackoff:
		scaler.retryAt[pool] = timeOf(f)
	case wire.FactCapacityShortage:
		scaler.shortageAt[pool] = timeOf(f)
	}
	return true
}

// adoptJobFact takes in a fact about a job that still waits.
func (n *Node) adoptJobFact(f *wire.Fact) bool {
	index := n.names.Jobs.Find(f.Name)
	if index < 0 || n.jobs[index].Record == nil || n.jobs[index].Record.State != wire.JobLive {
		return false
	}
	job := n.jobs[index]
	switch f.Kind {
	case wire.FactWaitingSince:
		job.waitingSince = cmp.Or(timeOf(f), -1)
	case wire.FactGangZone:
		zone := n.names.Zones.Find(f.Zone)
		if zone < 0 {
			return false
		}
		job.gangZone = zone
	case wire.FactQueuePosition:
		job.queuePosition = queuePosition{cmp.Or(timeOf(f), -1), f.Count}
	case wire.FactPreemptedAt:
		job.preemptAt = timeOf(f)
	}
	return true
}

// adoptMachineFact takes in a fact about a machine that is not known to be gone.
func (n *Node) adoptMachineFact(f *wire.Fact) bool {
	scaler := &n.leader.autoscaler
	var h *machine
	if index := n.names.Machines.Find(f.Name); index >= 0 {
		h = n.machines[index]
	}
	switch f.Kind {
	case wire.FactBootTime:
		scaler.recentBoots = append(scaler.recentBoots, boot{f.Name, timeOf(f), f.Ratio})
		return true
	case wire.FactReturned:
		n.machineNamed(f.Name).returned = true
		n.leader.returned = append(n.leader.returned, returnedMachine{f.Name, timeOf(f)})
		return true
	}
	if h != nil && h.returned {
		return false
	}
	switch f.Kind {
	case wire.FactBooting:
		pool, known := n.poolOf(f)
		if !known || h != nil && h.view.known {
			return false
		}
		scaler.booting[f.Name] = &bootingMachine{pool: pool, provisionedAt: timeOf(f), listed: f.Seen}
	case wire.FactIdle:
		scaler.idleSince[f.Name] = timeOf(f)
	case wire.FactDraining:
		if h != nil && len(h.placements) > 0 {
			return false
		}
		scaler.draining[f.Name] = true
	case wire.FactUnreported:
		if h != nil && h.view.known {
			return false
		}
		scaler.unreportedSince[f.Name] = timeOf(f)
	case wire.FactReserved:
		if n.names.Jobs.Find(f.JobID) < 0 || h == nil {
			return false
		}
		n.leader.reservations = append(n.leader.reservations, wire.Reservation{Host: f.Name, Ref: f.JobID})
	default:
		return false // of a later version
	}
	return true
}
