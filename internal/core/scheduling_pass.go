package core

import (
	"slices"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// usage is what a team's tasks take.
type usage struct{ cores, cards float64 }

func (u *usage) add(sp *wire.JobSpec, k float64) {
	u.cores += sp.Cores * k
	u.cards += sp.GPUs * k
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
func (n *Node) runSchedulingPass(w *writer) int {
	p := n.newSchedulingPass(w)
	p.addMachines()
	p.chargeTeams()
	p.chargeGrants()
	n.addExpected(p)
	idle := p.idleSlots()
	queues, backfill := p.splitBackfill(n.queues())
	left := p.serveQueues(queues)
	if !slices.Equal(p.reservations, n.leader.reservations) {
		n.leader.reservations = p.reservations
		n.sendGossip(true)
	}
	p.planNextStages()
	p.planReserve()
	// Backfill must not claim the writes that others need.
	left += (p.serveQueues(backfill) - left) / backfillShare
	p.distributeShares()
	p.logUtilization(idle)
	n.scale(p, idle)
	return left
}

// newSchedulingPass begins a planning pass with nothing known.
func (n *Node) newSchedulingPass(w *writer) *schedulingPass {
	return &schedulingPass{
		node: n, writer: w, available: newSlotSet(n), expected: newSlotSet(n),
		used: make([]usage, n.names.Teams.Len()), added: make([]quota.Amount, n.names.Teams.Len()), atLimit: make([]bool, n.names.Teams.Len()), provisions: map[machinePool]int{}, poolSizes: map[machinePool]int{},
	}
}

// addMachines takes in the machines that tasks may be granted to.
func (p *schedulingPass) addMachines() {
	for _, x := range p.node.shards {
		for _, h := range x.machines {
			p.node.workCount++
			if s := p.node.grantableSlot(h); s != nil {
				p.available.add(s)
				p.poolSizes[s.pool()]++
			}
		}
	}
}

// chargeTeams takes what every team is charged: each active task, whatever its job's state.
func (p *schedulingPass) chargeTeams() {
	for team := range p.used {
		p.used[team].cores, p.used[team].cards = p.node.replica.Ledger().Used(team).Decimal()
	}
}

// charge counts tasks of a job against its team for the rest of the pass.
func (p *schedulingPass) charge(j *job, tasks int) {
	p.used[j.Team].add(j.Record.Spec, float64(tasks))
	p.added[j.Team] = p.added[j.Team].Plus(j.Demand(tasks))
}

// logUtilization logs how much of the site is in use, for debugging.
func (p *schedulingPass) logUtilization(idle map[*slot]bool) {
	n := p.node
	idleSpot, spot, half := 0, 0, 0
	for _, s := range p.available.all {
		switch {
		case s.spot && idle[s]:
			idleSpot++
		case !idle[s] && s.gpus >= 1:
			half++
		}
		if s.spot {
			spot++
		}
	}
	n.log(LogDebug, "utilization", "machines", len(p.available.all), "spot", spot, "idle", len(idle), "idle_spot", idleSpot, "partly_free", half, "expected", len(p.expected.all), "provisioning_requests", len(n.leader.autoscaler.provisions), "unplaced_tasks", p.unplacedTasks)
}

// backfillShare is how many grants of backfill without a write left count as one pending
// record when the writes are shared.
const backfillShare = 3

// chargeGrants takes room for grants that their owners have not placed yet.
func (p *schedulingPass) chargeGrants() {
	n := p.node
	var byHost map[*machine]*slot
	for _, jx := range n.replica.Live() {
		j := n.jobs[jx]
		if j.Record.Spec == nil || j.Unplaced == 0 {
			continue
		}
		if byHost == nil {
			byHost = make(map[*machine]*slot, len(p.available.all))
			for _, s := range p.available.all {
				byHost[s.machine] = s
			}
		}
		for _, a := range j.Record.ActiveTasks {
			if a.Machine != "" {
				continue
			}
			s := byHost[n.leader.grantHints[taskKey{j.Index, a.Task, a.Attempt}]]
			if s == nil {
				s = p.available.best(j, func(s *slot) bool { return s.shard == a.Shard }, nil)
			}
			if s != nil {
				s.take(j.Record.Spec)
			}
		}
	}
}

// forgetHints drops the machines that placed grants had in mind, so that the memory is
// bounded by the grants that wait rather than by a number.
func (n *Node) forgetHints() {
	for k := range n.leader.grantHints {
		if j := n.jobs[k.job]; !j.awaitsPlacement(k) && n.now-j.grantedAt > grantHintTime {
			delete(n.leader.grantHints, k)
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
func (n *Node) grantableSlot(h *machine) *slot {
	v := &h.view
	if h.returned || !v.known || v.reclaimed || v.unhealthy || v.unreachable || h.draining || v.unconfirmed && n.now-h.unconfirmedSince > unconfirmedTime {
		return nil
	}
	p := n.shards[h.shard]
	if p.Record == nil {
		return nil
	}
	if owner := n.peers[p.Record.Owner]; p.Record.Owner != n.cfg.Self && (owner == nil || n.now-owner.heardAt > 5*second) {
		if owner != nil && n.now-owner.heardAt > 3*n.cfg.WorkerLease || n.now-p.ChangedAt > 3*n.cfg.WorkerLease && h.viewTerm != p.Term {
			return nil
		}
	} else if v.missedHeartbeats > 1 || h.viewTerm != p.Term && n.now-p.ChangedAt > 4*n.cfg.HeartbeatInterval {
		return nil
	}
	if n.leader.autoscaler.draining[h.name] {
		return nil
	}
	return n.slotOf(h)
}

func (p *schedulingPass) idleSlots() map[*slot]bool {
	idle := map[*slot]bool{}
	for _, s := range p.available.all {
		if len(s.machine.placements) == 0 && s.isIdle() {
			idle[s] = true
		}
	}
	return idle
}

// grant writes tasks of a job to shards, as one attempt.
func (p *schedulingPass) grant(j *job, tasks []int, slots []*slot) bool {
	n := p.node
	rec := p.writer.job(j)
	if rec == nil {
		p.ungranted = min(p.ungranted+1, 50)
		return false
	}
	was := rec.NextAttempt
	attempt := p.writer.attempt(j, rec)
	parts := map[int]bool{}
	own := true
	for _, s := range slots {
		parts[s.shard] = true
		own = own && n.mayAssignMachine(s)
	}
	own = own && (len(parts) == 1 || rec.Spec.Shape != wire.ShapeGang)
	for i, t := range tasks {
		s := slots[i]
		a := wire.ActiveTask{Task: t, Attempt: attempt, Shard: s.shard, Admitted: p.admission != nil}
		if own {
			a.Machine, a.Epoch = s.machine.name, s.machine.epoch
			p.writer.shards[s.shard] = true
			if p.admission == nil {
				n.leader.pendingPlacements = append(n.leader.pendingPlacements, pendingPlacement{s.machine, rec.Spec})
			}
		} else {
			n.leader.grantHints[taskKey{j.Index, t, attempt}] = s.machine
		}
		rec.ActiveTasks = append(rec.ActiveTasks, a)
	}
	if len(parts) > 1 && rec.Spec.Shape == wire.ShapeGang {
		g := &wire.Gang{Attempt: attempt}
		for ix := range n.shards {
			if parts[ix] {
				g.Shards = append(g.Shards, ix)
			}
		}
		key := wire.GangKey(j.ID, attempt)
		if !p.writer.addWrite(Write{Key: key, Value: g}, Condition{Key: key, Revision: 0}) {
			rec.ActiveTasks, rec.NextAttempt = rec.ActiveTasks[:len(rec.ActiveTasks)-len(tasks)], was
			delete(p.writer.attempts, j.Index)
			p.ungranted = min(p.ungranted+1, 50)
			return false
		}
	}
	p.charge(j, len(tasks))
	p.addAccountCondition(j, slots)
	j.grantedAt = n.now
	n.log(LogDebug, "tasks granted", "job", j.ID, "attempt", attempt, "tasks", len(tasks), "shard", n.shards[slots[0].shard].Name)
	return true
}

// mayAssignMachine tells whether the leader may choose the machine in the grant, since it
// owns the shard as well: one put does for both. The commit then rests on both
// keys. While our own owner's batch is under way, what that places is not known
// here yet.
func (n *Node) mayAssignMachine(s *slot) bool {
	return s.machine != nil && n.mayActAsOwner(n.shards[s.shard]) && !n.batch.active && n.acceptsTasks(s.machine)
}

// withinLimit tells whether a team's limit leaves the leader room for more tasks.
func (p *schedulingPass) withinLimit(j *job, tasks int) bool {
	return j.Team >= 0 && p.node.replica.Ledger().MayGrant(j.Team, p.added[j.Team].Plus(j.Demand(tasks)), p.node.replica.Revision())
}

// hasQuota tells whether the limit has room for tasks that wait, and notes where it has not.
func (p *schedulingPass) hasQuota(j *job, tasks int) bool {
	if p.withinLimit(j, tasks) {
		return true
	}
	if j.Team < 0 {
		return false
	}
	// A job that the limit has no room for at all is not worth gathering shares for.
	p.atLimit[j.Team] = p.atLimit[j.Team] || p.node.replica.Ledger().Fits(j.Team, j.Demand(tasks))
	return false
}
