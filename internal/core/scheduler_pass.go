package core

import (
	"slices"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// usage is what a team's tasks use.
type usage struct{ cores, gpus float64 }

func (u *usage) add(spec *wire.JobSpec, tasks float64) {
	u.cores += spec.Cores * tasks
	u.gpus += spec.GPUs * tasks
}

// schedulingPass is the state of one scheduling pass: of the leader over the whole site, or of
// an owner that admits work in its own shards.
type schedulingPass struct {
	node               *Node
	writer             *writer
	admission          *admission     // of an owner's pass; nil: the pass grants as the leader
	available          *slotSet       // machines that are up
	expected           *slotSet       // machines booting, requested or to be provisioned
	used               []usage        // by team, with what the pass adds
	added              []quota.Amount // by team, what the pass adds
	atLimit            []bool         // by team: only the limit keeps something waiting
	provisions         map[machinePool]int
	poolSizes          map[machinePool]int // machines of each pool: up, expected or planned
	longestWaitingGang *queuedJob          // whose reservation comes before all others
	reservations       []wire.Reservation  // for it
	unmetDemands       []unmetDemand       // demands that found no free slot in this pass
	hasBackfill        bool                // backfill waits
	unwrittenGrants    int                 // grants that found no write left, at most maxUnwrittenGrants
	preemptions        int
	unplacedTasks      int // tasks for which there was no capacity
}

const (
	// backfillGrantsPerRecord is how many grants of backfill without a write left count as one
	// pending record when the writes are shared among the controllers.
	backfillGrantsPerRecord = 3
	// maxUnwrittenGrants bounds how many grants without a write left count.
	maxUnwrittenGrants = 50
	// grantHintTime is how long the leader remembers the machine that a grant had in mind though
	// the replica does not show the grant: a commit may take a while.
	grantHintTime = 20 * second
	// unconfirmedTime is how long a machine that has not yet confirmed its owner's term may be
	// planned with. A new one confirms it with its second heartbeat; one that a late message
	// tells of never does.
	unconfirmedTime = 3 * second
	// silentOwnerTime is after which time an owner that is not heard counts as reached through
	// the state service only.
	silentOwnerTime = 5 * second
)

// runSchedulingPass grants waiting tasks to shards, in the order of the queues, and decides what
// to provision, preempt and deprovision. It returns how many records were left for want of
// writes.
func (n *Node) runSchedulingPass(writer *writer) int {
	pass := n.newSchedulingPass(writer)

	// What there is, and what is in use already.
	pass.addMachines()
	pass.chargeTeams()
	pass.chargeGrants()
	pass.addExpectedMachines()
	idle := pass.idleSlots()

	// Waiting work; backfill comes after capacity has been reserved for what will come.
	queues, backfill := pass.splitBackfill(n.queues())
	left := pass.serveQueues(queues)
	pass.announceReservations()
	pass.planNextStages()
	pass.reserveForArrivals()
	// Backfill must not claim the writes that others need.
	left += (pass.serveQueues(backfill) - left) / backfillGrantsPerRecord

	pass.distributeShares()
	pass.logUtilization(idle)
	pass.requestMachines()
	n.scaleIn(pass, idle)
	return left
}

// newSchedulingPass makes a pass that knows of no machines and no use.
func (n *Node) newSchedulingPass(writer *writer) *schedulingPass {
	teams := n.names.Teams.Len()
	return &schedulingPass{
		node: n, writer: writer, available: newSlotSet(n), expected: newSlotSet(n),
		used: make([]usage, teams), added: make([]quota.Amount, teams), atLimit: make([]bool, teams),
		provisions: map[machinePool]int{}, poolSizes: map[machinePool]int{},
	}
}

// addMachines adds the machines that tasks may be granted to.
func (p *schedulingPass) addMachines() {
	for _, shard := range p.node.shards {
		for _, machine := range shard.machines {
			p.node.workCount++
			if slot := p.node.grantableSlot(machine); slot != nil {
				p.available.add(slot)
				p.poolSizes[slot.pool()]++
			}
		}
	}
}

// grantableSlot returns the free capacity of a machine that tasks may be granted to, or nil. What
// its owner says of it counts as long as the owner can be heard; when the owner can be reached
// through the state service only, what it said last has to do.
func (n *Node) grantableSlot(machine *machine) *slot {
	view := &machine.view
	if machine.returned || !view.known || view.reclaimed || view.unhealthy ||
		view.unreachable || machine.draining ||
		view.unconfirmed && n.now-machine.unconfirmedSince > unconfirmedTime {
		return nil
	}
	shard := n.shards[machine.shard]
	if shard.Record == nil {
		return nil
	}
	owner := n.peers[shard.Record.Owner]
	if shard.Record.Owner != n.cfg.Self && (owner == nil || n.now-owner.receivedAt > silentOwnerTime) {
		if owner != nil && n.now-owner.receivedAt > 3*n.cfg.WorkerLease ||
			n.now-shard.ChangedAt > 3*n.cfg.WorkerLease && machine.viewTerm != shard.Term {
			return nil
		}
	} else if view.missedHeartbeats > 1 || machine.viewTerm != shard.Term && n.now-shard.ChangedAt > 4*n.cfg.HeartbeatInterval {
		return nil
	}
	if n.leader.autoscaler.draining[machine.name] {
		return nil
	}
	return n.slotOf(machine)
}

// chargeTeams charges every team what its active tasks use, whatever their jobs' state.
func (p *schedulingPass) chargeTeams() {
	for team := range p.used {
		p.used[team].cores, p.used[team].gpus = p.node.replica.Ledger().Used(team).Decimal()
	}
}

// charge counts tasks of a job against its team for the rest of the pass.
func (p *schedulingPass) charge(job *job, tasks int) {
	p.used[job.Team].add(job.Record.Spec, float64(tasks))
	p.added[job.Team] = p.added[job.Team].Plus(job.Demand(tasks))
}

// chargeGrants allocates capacity for grants that their owners have not placed yet: on the
// machine that the grant had in mind, or on the best of the shard.
func (p *schedulingPass) chargeGrants() {
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

// byMachine indexes the slots of a set by their machines.
func (s *slotSet) byMachine() map[*machine]*slot {
	slots := make(map[*machine]*slot, len(s.all))
	for _, slot := range s.all {
		slots[slot.machine] = slot
	}
	return slots
}

// forgetHints drops the machines that placed grants had in mind, so that the memory is bounded by
// the grants that wait rather than by a number.
func (n *Node) forgetHints() {
	for key := range n.leader.grantHints {
		if job := n.jobs[key.job]; !job.awaitsPlacement(key) && n.now-job.grantedAt > grantHintTime {
			delete(n.leader.grantHints, key)
		}
	}
}

// idleSlots returns the machines that are up and without any task.
func (p *schedulingPass) idleSlots() map[*slot]bool {
	idle := map[*slot]bool{}
	for _, slot := range p.available.all {
		if len(slot.machine.placements) == 0 && slot.isIdle() {
			idle[slot] = true
		}
	}
	return idle
}

// announceReservations tells the owners which machines are reserved for the longest waiting gang,
// if these have changed.
func (p *schedulingPass) announceReservations() {
	n := p.node
	if slices.Equal(p.reservations, n.leader.reservations) {
		return
	}
	n.leader.reservations = p.reservations
	n.sendGossip(true)
}

// withinLimit reports whether a team's limit allows the leader to grant more tasks.
func (p *schedulingPass) withinLimit(job *job, tasks int) bool {
	return job.Team >= 0 &&
		p.node.replica.Ledger().MayGrant(job.Team, p.added[job.Team].Plus(job.Demand(tasks)), p.node.replica.Revision())
}

// hasQuota reports whether the limit allows tasks that wait, and notes where only the limit keeps
// them waiting.
func (p *schedulingPass) hasQuota(job *job, tasks int) bool {
	if p.withinLimit(job, tasks) {
		return true
	}
	if job.Team < 0 {
		return false
	}
	// Shares need not be reclaimed for a job that is larger than the limit itself.
	p.atLimit[job.Team] = p.atLimit[job.Team] || p.node.replica.Ledger().Fits(job.Team, job.Demand(tasks))
	return false
}

// logUtilization logs how much of the site is in use, for debugging.
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
		"provisioning_requests", len(n.leader.autoscaler.provisions), "unplaced_tasks", p.unplacedTasks)
}
