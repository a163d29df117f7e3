package core

import (
	"slices"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// usage is the number of cores and GPUs that a team's tasks use.
type usage struct{ cores, gpus float64 }

func (u *usage) add(spec *wire.JobSpec, tasks float64) {
	u.cores += spec.Cores * tasks
	u.gpus += spec.GPUs * tasks
}

// schedulingPass is the state of one scheduling pass. The leader runs a pass over the whole site;
// an owner runs an admission pass over its own shards.
type schedulingPass struct {
	node                *Node
	writer              *writer
	admissionPass       *admissionPass      // set in an admission pass; nil in the leader's pass
	available           *slotSet            // machines that are up
	expected            *slotSet            // machines that are booting or requested, or that this pass plans to provision
	used                []usage             // by team, including what this pass has charged
	charged             []quota.Amount      // by team, charged by this pass
	atLimit             []bool              // by team: a job waits only because of the limit
	machinesToProvision map[machinePool]int // machines that this pass plans to provision
	poolSizes           map[machinePool]int // machines that are up, expected or planned
	longestWaitingGang  *queuedJob          // served before all queues; nil: none
	reservations        []wire.Reservation  // machines reserved for longestWaitingGang
	unmetDemands        []unmetDemand       // demands of tasks for which no slot was free in this pass
	hasBackfill         bool                // whether a backfill job waits
	unwrittenGrants     int                 // grants that did not fit into the transaction, at most maxUnwrittenGrants
	preemptions         int                 // how often this pass has stopped tasks for a job
	unplacedTasks       int                 // tasks for which no capacity was free
}

const (
	// backfillGrantsPerRecord is the number of unwritten backfill grants that count as one
	// pending record when the writes are divided among the controllers.
	backfillGrantsPerRecord = 3
	// maxUnwrittenGrants bounds the number of unwritten grants that count.
	maxUnwrittenGrants = 50
	// grantHintRetention is how long the leader keeps the hint of a grant that its replica does not
	// contain: the grant may not be committed yet.
	grantHintRetention = 20 * second
	// maxUnconfirmedTime bounds how long tasks are planned on a machine that has not confirmed its
	// owner's term. A new machine confirms it with its second heartbeat. A machine that is only
	// known from a delayed message never confirms it.
	maxUnconfirmedTime = 3 * second
	// ownerMessageTimeout is the time without messages from an owner after which it is considered
	// reachable through the state service only.
	ownerMessageTimeout = 5 * second
)

// runSchedulingPass grants waiting tasks to shards in queue order, and decides which machines to
// provision and deprovision and which tasks to preempt. It returns the number of pending records:
// the grants that did not fit into the transaction, with backfill counted at a lower weight.
func (n *Node) runSchedulingPass(writer *writer) int {
	pass := n.newSchedulingPass(writer)

	// Collect the capacity, and subtract what is in use already.
	pass.addAvailableMachines()
	pass.chargeTeams()
	pass.allocateUnplacedGrants()
	pass.addExpectedMachines()
	idle := pass.idleSlots()

	// Serve the waiting jobs. Backfill follows once capacity has been reserved for jobs that are
	// expected to arrive.
	queues, backfill := pass.splitBackfill(n.queues())
	pendingRecords := pass.serveQueues(queues)
	pass.announceReservations()
	pass.planNextStages()
	pass.reserveForArrivals()
	// Backfill counts less, so that it does not claim writes that more urgent records need.
	pendingRecords += (pass.serveQueues(backfill) - pendingRecords) / backfillGrantsPerRecord

	pass.distributeShares()
	pass.logUtilization(idle)
	pass.requestMachines()
	n.scaleIn(pass, idle)
	return pendingRecords
}

// newSchedulingPass returns a pass to which no machines and no usage have been added yet.
func (n *Node) newSchedulingPass(writer *writer) *schedulingPass {
	teams := n.names.Teams.Len()
	return &schedulingPass{
		node: n, writer: writer, available: newSlotSet(n), expected: newSlotSet(n),
		used: make([]usage, teams), charged: make([]quota.Amount, teams), atLimit: make([]bool, teams),
		machinesToProvision: map[machinePool]int{}, poolSizes: map[machinePool]int{},
	}
}

// addAvailableMachines adds the slots of the machines to which tasks may be granted to the available
// ones, and counts these machines by pool.
func (p *schedulingPass) addAvailableMachines() {
	for _, shard := range p.node.shards {
		for _, machine := range shard.machines {
			p.node.examinedMachines++
			if slot := p.node.grantableSlot(machine); slot != nil {
				p.available.add(slot)
				p.poolSizes[slot.pool()]++
			}
		}
	}
}

// grantableSlot returns the free capacity of a machine to which tasks may be granted, or nil. While
// messages from the machine's owner arrive, the machine is excluded if it misses heartbeats, or if
// its view is still from an earlier term four heartbeat intervals after a change of the shard's
// record. An owner whose messages don't arrive may still be reachable through the state service:
// then the last view that it reported is used, for three worker leases at most.
func (n *Node) grantableSlot(machine *machine) *slot {
	view := &machine.view
	if machine.deprovisioned || !view.reportedByOwner || view.reclaimPending || view.unhealthy ||
		view.unreachable || machine.draining ||
		view.unconfirmed && n.now-machine.unconfirmedSince > maxUnconfirmedTime {
		return nil
	}
	shard := n.shards[machine.shard]
	if shard.Record == nil {
		return nil
	}
	owner := n.peers[shard.Record.Owner]
	if shard.Record.Owner != n.cfg.Self && (owner == nil || n.now-owner.receivedAt > ownerMessageTimeout) {
		if owner != nil && n.now-owner.receivedAt > 3*n.cfg.WorkerLease ||
			n.now-shard.ChangedAt > 3*n.cfg.WorkerLease && machine.viewTerm != shard.Term {
			return nil
		}
	} else if view.missedHeartbeats > 1 || machine.viewTerm != shard.Term && n.now-shard.ChangedAt > 4*n.cfg.HeartbeatInterval {
		return nil
	}
	if n.leader.autoscaler.markedForDraining[machine.name] {
		return nil
	}
	return n.slotOf(machine)
}

// chargeTeams charges each team for its active tasks, whatever the state of their jobs.
func (p *schedulingPass) chargeTeams() {
	for team := range p.used {
		p.used[team].cores, p.used[team].gpus = p.node.replica.Ledger().Used(team).Decimal()
	}
}

// charge charges tasks of a job to its team for the rest of the pass.
func (p *schedulingPass) charge(job *job, tasks int) {
	p.used[job.Team].add(job.Record.Spec, float64(tasks))
	p.charged[job.Team] = p.charged[job.Team].Plus(job.Demand(tasks))
}

// allocateUnplacedGrants allocates capacity for grants that their owners have not placed yet: on
// the machine named by the grant's hint, or otherwise on the best machine of the shard.
func (p *schedulingPass) allocateUnplacedGrants() {
	n := p.node
	var slots map[*machine]*slot
	for _, index := range n.replica.Live() {
		job := n.jobs[index]
		if job.Record.Spec == nil || job.Unplaced == 0 {
			continue
		}
		if slots == nil {
			slots = p.available.byMachine()
		}
		for _, task := range job.Record.ActiveTasks {
			if task.Machine != "" {
				continue
			}
			target := slots[n.leader.grantHints[taskKey{job.Index, task.Task, task.Attempt}]]
			if target == nil {
				target = p.available.best(job, func(slot *slot) bool { return slot.shard == task.Shard }, nil)
			}
			if target != nil {
				target.allocate(job.Record.Spec)
			}
		}
	}
}

// byMachine returns the slots of the set by machine.
func (s *slotSet) byMachine() map[*machine]*slot {
	slots := make(map[*machine]*slot, len(s.all))
	for _, slot := range s.all {
		slots[slot.machine] = slot
	}
	return slots
}

// removeStaleGrantHints deletes the hints of grants that don't wait for their placement, once
// grantHintRetention has passed since the last grant to the job. The number of hints is thereby
// bounded by the waiting grants, without a fixed limit.
func (n *Node) removeStaleGrantHints() {
	for key := range n.leader.grantHints {
		if job := n.jobs[key.job]; !job.awaitsPlacement(key) && n.now-job.grantedAt > grantHintRetention {
			delete(n.leader.grantHints, key)
		}
	}
}

// idleSlots returns the slots of machines that are up, have no tasks and have no capacity
// allocated for grants.
func (p *schedulingPass) idleSlots() map[*slot]bool {
	idle := map[*slot]bool{}
	for _, slot := range p.available.all {
		if len(slot.machine.placements) == 0 && slot.isIdle() {
			idle[slot] = true
		}
	}
	return idle
}

// announceReservations sends the owners the list of machines reserved for the longest waiting
// gang if it has changed.
func (p *schedulingPass) announceReservations() {
	n := p.node
	if slices.Equal(p.reservations, n.leader.reservations) {
		return
	}
	n.leader.reservations = p.reservations
	n.sendOrExpediteGossip(true)
}

// withinLimit reports whether the limit of a job's team allows the leader to grant tasks of the job
// in addition to what this pass has charged to the team.
func (p *schedulingPass) withinLimit(job *job, tasks int) bool {
	return job.Team >= 0 &&
		p.node.replica.Ledger().MayGrant(job.Team, p.charged[job.Team].Plus(job.Demand(tasks)), p.node.replica.Revision())
}

// checkLimit reports whether the limit of a job's team allows tasks of the job; see withinLimit. If
// it does not, but would if the team used nothing, checkLimit marks the team in atLimit.
func (p *schedulingPass) checkLimit(job *job, tasks int) bool {
	if p.withinLimit(job, tasks) {
		return true
	}
	if job.Team < 0 {
		return false
	}
	// Shares are not reclaimed for a job that exceeds the whole limit.
	p.atLimit[job.Team] = p.atLimit[job.Team] || p.node.replica.Ledger().FitsLimit(job.Team, job.Demand(tasks))
	return false
}

// logUtilization logs how much of the site is in use, at debug level.
func (p *schedulingPass) logUtilization(idle map[*slot]bool) {
	n := p.node
	spot, idleSpot, partlyFree := 0, 0, 0
	for _, slot := range p.available.all {
		switch {
		case slot.spot && idle[slot]:
			idleSpot++
		case !idle[slot] && slot.gpus >= 1:
			partlyFree++
		}
		if slot.spot {
			spot++
		}
	}
	n.log(LogDebug, "utilization",
		"machines", len(p.available.all), "spot", spot,
		"idle", len(idle), "idle_spot", idleSpot,
		"partly_free", partlyFree, "expected", len(p.expected.all),
		"provisioning_requests", len(n.leader.autoscaler.pendingProvisions), "unplaced_tasks", p.unplacedTasks)
}
