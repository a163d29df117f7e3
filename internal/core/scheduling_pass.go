package core

import (
	"slices"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// usage is what a team's tasks take.
type usage struct{ cores, cards float64 }

func (u *usage) add(spec *wire.JobSpec, k float64) {
	u.cores += spec.Cores * k
	u.cards += spec.GPUs * k
}

// schedulingPass holds the state of one planning pass.
type schedulingPass struct {
	node          *Node
	writer        *writer
	available     *slotSet       // machines up
	expected      *slotSet       // machines booting, provisioned or to be provisioned
	used          []usage        // by team, with what the pass adds
	added         []quota.Amount // by team, what the pass adds
	atLimit       []bool         // by team: the limit alone kept something waiting
	admission     *admission     // the pass admits within our own shares; nil: it grants as the leader
	provisions    map[machinePool]int
	poolSizes     map[machinePool]int // machines of each pool, up, coming or planned
	starved       *queuedJob          // the gang that gathers room before all others
	reservations  []wire.Reservation  // for it
	unmetDemands  []unmetDemand       // demands that found no free room in this pass
	hasBackfill   bool                // there is backfill
	ungranted     int                 // grants that found no put, at most 50
	preemptions   int
	unplacedTasks int // tasks for which there was no room
}

// runSchedulingPass grants waiting tasks to shards, in the order of the queue, and works
// out what to provision, stop and return. It tells how many jobs were left for want
// of puts.
func (n *Node) runSchedulingPass(writer *writer) int {
	pass := n.newSchedulingPass(writer)
	pass.addMachines()
	pass.chargeTeams()
	pass.chargeGrants()
	pass.addExpectedMachines()
	idle := pass.idleSlots()
	queues, backfill := pass.splitBackfill(n.queues())
	left := pass.serveQueues(queues)
	if !slices.Equal(pass.reservations, n.leader.reservations) {
		n.leader.reservations = pass.reservations
		n.sendGossip(true)
	}
	pass.planNextStages()
	pass.reserveForArrivals()
	// Backfill must not claim the writes that others need.
	left += (pass.serveQueues(backfill) - left) / backfillShare
	pass.distributeShares()
	pass.logUtilization(idle)
	pass.requestMachines()
	n.scaleIn(pass, idle)
	return left
}

// newSchedulingPass begins a planning pass with nothing known.
func (n *Node) newSchedulingPass(writer *writer) *schedulingPass {
	return &schedulingPass{
		node: n, writer: writer, available: newSlotSet(n), expected: newSlotSet(n),
		used: make([]usage, n.names.Teams.Len()), added: make([]quota.Amount, n.names.Teams.Len()), atLimit: make([]bool, n.names.Teams.Len()), provisions: map[machinePool]int{}, poolSizes: map[machinePool]int{},
	}
}

// addMachines takes in the machines that tasks may be granted to.
func (pass *schedulingPass) addMachines() {
	for _, shard := range pass.node.shards {
		for _, machine := range shard.machines {
			pass.node.workCount++
			if slot := pass.node.grantableSlot(machine); slot != nil {
				pass.available.add(slot)
				pass.poolSizes[slot.pool()]++
			}
		}
	}
}

// chargeTeams takes what every team is charged: each active task, whatever its job's state.
func (pass *schedulingPass) chargeTeams() {
	for team := range pass.used {
		pass.used[team].cores, pass.used[team].cards = pass.node.replica.Ledger().Used(team).Decimal()
	}
}

// charge counts tasks of a job against its team for the rest of the pass.
func (pass *schedulingPass) charge(job *job, tasks int) {
	pass.used[job.Team].add(job.Record.Spec, float64(tasks))
	pass.added[job.Team] = pass.added[job.Team].Plus(job.Demand(tasks))
}

// logUtilization logs how much of the site is in use, for debugging.
func (pass *schedulingPass) logUtilization(idle map[*slot]bool) {
	n := pass.node
	idleSpot, spot, half := 0, 0, 0
	for _, slot := range pass.available.all {
		switch {
		case slot.spot && idle[slot]:
			idleSpot++
		case !idle[slot] && slot.gpus >= 1:
			half++
		}
		if slot.spot {
			spot++
		}
	}
	n.log(LogDebug, "utilization", "machines", len(pass.available.all), "spot", spot, "idle", len(idle), "idle_spot", idleSpot, "partly_free", half, "expected", len(pass.expected.all), "provisioning_requests", len(n.leader.autoscaler.provisions), "unplaced_tasks", pass.unplacedTasks)
}

// backfillShare is how many grants of backfill without a write left count as one pending
// record when the writes are shared.
const backfillShare = 3

// chargeGrants takes room for grants that their owners have not placed yet.
func (pass *schedulingPass) chargeGrants() {
	n := pass.node
	var byHost map[*machine]*slot
	for _, index := range n.replica.Live() {
		job := n.jobs[index]
		if job.Record.Spec == nil || job.Unplaced == 0 {
			continue
		}
		if byHost == nil {
			byHost = make(map[*machine]*slot, len(pass.available.all))
			for _, s := range pass.available.all {
				byHost[s.machine] = s
			}
		}
		for _, task := range job.Record.ActiveTasks {
			if task.Machine != "" {
				continue
			}
			s := byHost[n.leader.grantHints[taskKey{job.Index, task.Task, task.Attempt}]]
			if s == nil {
				s = pass.available.best(job, func(s *slot) bool { return s.shard == task.Shard }, nil)
			}
			if s != nil {
				s.take(job.Record.Spec)
			}
		}
	}
}

// forgetHints drops the machines that placed grants had in mind, so that the memory is
// bounded by the grants that wait rather than by a number.
func (n *Node) forgetHints() {
	for key := range n.leader.grantHints {
		if job := n.jobs[key.job]; !job.awaitsPlacement(key) && n.now-job.grantedAt > grantHintTime {
			delete(n.leader.grantHints, key)
		}
	}
}

// grantHintTime is how long the leader remembers the machine that a grant had in mind though
// its copy does not show the grant; a commit may take a while.
const grantHintTime = 20 * second

// unconfirmedTime is how long a machine that has not yet shown its owner's term may
// be planned with. A new one shows it with its second report; what only a late
// copy tells of, never.
const unconfirmedTime = 3 * second

// grantableSlot is a machine that tasks may be granted to. Its owner's word is
// used as long as it lasts; when the owner can be reached through the state
// service only, what it said last has to do.
func (n *Node) grantableSlot(machine *machine) *slot {
	v := &machine.view
	if machine.returned || !v.known || v.reclaimed || v.unhealthy || v.unreachable || machine.draining || v.unconfirmed && n.now-machine.unconfirmedSince > unconfirmedTime {
		return nil
	}
	shard := n.shards[machine.shard]
	if shard.Record == nil {
		return nil
	}
	if owner := n.peers[shard.Record.Owner]; shard.Record.Owner != n.cfg.Self && (owner == nil || n.now-owner.heardAt > 5*second) {
		if owner != nil && n.now-owner.heardAt > 3*n.cfg.WorkerLease || n.now-shard.ChangedAt > 3*n.cfg.WorkerLease && machine.viewTerm != shard.Term {
			return nil
		}
	} else if v.missedHeartbeats > 1 || machine.viewTerm != shard.Term && n.now-shard.ChangedAt > 4*n.cfg.HeartbeatInterval {
		return nil
	}
	if n.leader.autoscaler.draining[machine.name] {
		return nil
	}
	return n.slotOf(machine)
}

func (pass *schedulingPass) idleSlots() map[*slot]bool {
	idle := map[*slot]bool{}
	for _, s := range pass.available.all {
		if len(s.machine.placements) == 0 && s.isIdle() {
			idle[s] = true
		}
	}
	return idle
}

// grant writes tasks of a job to shards, as one attempt.
func (pass *schedulingPass) grant(job *job, tasks []int, slots []*slot) bool {
	n := pass.node
	record := pass.writer.job(job)
	if record == nil {
		pass.ungranted = min(pass.ungranted+1, 50)
		return false
	}
	was := record.NextAttempt
	attempt := pass.writer.attempt(job, record)
	parts := map[int]bool{}
	own := true
	for _, slot := range slots {
		parts[slot.shard] = true
		own = own && n.mayAssignMachine(slot)
	}
	own = own && (len(parts) == 1 || record.Spec.Shape != wire.ShapeGang)
	for i, t := range tasks {
		slot := slots[i]
		task := wire.ActiveTask{Task: t, Attempt: attempt, Shard: slot.shard, Admitted: pass.admission != nil}
		if own {
			task.Machine, task.Epoch = slot.machine.name, slot.machine.epoch
			pass.writer.shards[slot.shard] = true
			if pass.admission == nil {
				n.leader.pendingPlacements = append(n.leader.pendingPlacements, pendingPlacement{slot.machine, record.Spec})
			}
		} else {
			n.leader.grantHints[taskKey{job.Index, t, attempt}] = slot.machine
		}
		record.ActiveTasks = append(record.ActiveTasks, task)
	}
	if len(parts) > 1 && record.Spec.Shape == wire.ShapeGang {
		g := &wire.Gang{Attempt: attempt}
		for index := range n.shards {
			if parts[index] {
				g.Shards = append(g.Shards, index)
			}
		}
		key := wire.GangKey(job.ID, attempt)
		if !pass.writer.addWrite(Write{Key: key, Value: g}, Condition{Key: key, Revision: 0}) {
			record.ActiveTasks, record.NextAttempt = record.ActiveTasks[:len(record.ActiveTasks)-len(tasks)], was
			delete(pass.writer.attempts, job.Index)
			pass.ungranted = min(pass.ungranted+1, 50)
			return false
		}
	}
	pass.charge(job, len(tasks))
	pass.addAccountCondition(job, slots)
	job.grantedAt = n.now
	n.log(LogDebug, "tasks granted", "job", job.ID, "attempt", attempt, "tasks", len(tasks), "shard", n.shards[slots[0].shard].Name)
	return true
}

// mayAssignMachine tells whether the leader may choose the machine in the grant, since it
// owns the shard as well: one put does for both. The commit then rests on both
// keys. While our own owner's batch is under way, what that places is not known
// here yet.
func (n *Node) mayAssignMachine(slot *slot) bool {
	return slot.machine != nil && n.mayActAsOwner(n.shards[slot.shard]) && !n.batch.active && n.acceptsTasks(slot.machine)
}

// withinLimit tells whether a team's limit leaves the leader room for more tasks.
func (pass *schedulingPass) withinLimit(job *job, tasks int) bool {
	return job.Team >= 0 && pass.node.replica.Ledger().MayGrant(job.Team, pass.added[job.Team].Plus(job.Demand(tasks)), pass.node.replica.Revision())
}

// hasQuota tells whether the limit has room for tasks that wait, and notes where it has not.
func (pass *schedulingPass) hasQuota(job *job, tasks int) bool {
	if pass.withinLimit(job, tasks) {
		return true
	}
	if job.Team < 0 {
		return false
	}
	// A job that the limit has no room for at all is not worth gathering shares for.
	pass.atLimit[job.Team] = pass.atLimit[job.Team] || pass.node.replica.Ledger().Fits(job.Team, job.Demand(tasks))
	return false
}
