package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"micaport/internal/wire"
)

// noteTaskExit notes the end of a task for its record and what it says of the
// machine.
func (n *Node) noteTaskExit(h *machine, k taskKey, t *wire.TaskStatus) {
	if _, known := n.outcomes[k]; known {
		return
	}
	n.outcomes[k] = taskOutcome{h.name, t.ExitCause, n.now, h.shardTerm(n)}
	j := n.jobs[k.job]
	switch t.ExitCause {
	case wire.CauseDone:
		h.failedJobs, h.unhealthy = nil, false
		h.images.Add(j.Image)
	case wire.CauseError:
		if h.failedJobs == nil {
			h.failedJobs = map[int]bool{}
		}
		if j.Record.ConsecutiveErrors < 3 {
			h.failedJobs[k.job] = true
		}
		// Two jobs failing here, or one that runs elsewhere, speak against
		// the machine rather than the job.
		if n.failedJobCount(h) >= 2 || j.Record.DoneTasks.Count() > 0 {
			h.unhealthy = true
		}
		n.ownViewAt = 0 // before more is granted to it
	case wire.CauseNoCapacity:
		h.noCapacityUntil = n.now + 2*n.cfg.HeartbeatInterval
	}
	n.log(LogDebug, "task exited", "job", j.ID, "task", k.task, "attempt", k.attempt, "machine", h.name, "cause", t.ExitCause)
}

// failedJobCount counts the jobs that failed on a machine since something last succeeded
// there. A job that has failed on three machines and never succeeded says nothing
// against them: a few such jobs once put one sound machine after the other under
// quarantine, until their users withdrew them.
func (n *Node) failedJobCount(h *machine) int {
	c := 0
	for jx := range h.failedJobs {
		c += boolToInt(!n.jobs[jx].suspect)
	}
	return c
}

// acceptsTasks tells whether an owner may place tasks on a machine of its own.
func (n *Node) acceptsTasks(h *machine) bool {
	if h.shard < 0 {
		return false
	}
	p := n.shards[h.shard]
	return h.term == p.Term && (h.tokenConfirmed || h.newlyBooted) && h.ignoredReplies == 0 && n.now-h.heartbeatAt < 3*n.cfg.HeartbeatInterval && h.reclaimAt == 0 &&
		!h.unhealthy && !h.draining && !h.returned && n.now >= h.noCapacityUntil
}

// runOwner writes what has become of tasks, and places granted ones.
func (n *Node) runOwner() {
	if n.now < n.placementAt {
		return
	}
	n.placementAt = n.now + 60*time.Millisecond + Time(len(n.replica.Live()))*20*time.Microsecond
	anyValid := false
	for _, p := range n.shards {
		if n.mayActAsOwner(p) {
			anyValid = true
			n.expireSilentMachines(p)
		}
	}
	if !anyValid {
		n.batch.drop()
		return
	}
	if !n.batch.ready(n) {
		return
	}
	w := newWriter(n)
	var room lazySlots
	n.applyOutcomes(w, &room, true)
	n.stopReclaimedGangs(w)
	n.expireGangHolds(w)
	n.placeGranted(w, &room)
	n.applyOutcomes(w, &room, false)
	n.admitWork(w, &room)
	w.send(&n.batch, nil)
}

// expireSilentMachines gives up the tasks of machines whose lease must have run out.
func (n *Node) expireSilentMachines(p *shard) {
	limit := n.cfg.WorkerLease + n.cfg.WorkerLease/1000 + second
	for _, h := range p.machines {
		if len(h.placements) == 0 {
			continue
		}
		last := p.OwnedSince
		if h.term == p.Term {
			last = max(last, h.answeredAt)
		}
		if !h.returned && n.now-last <= limit {
			continue
		}
		for i := range h.placements {
			k := h.placements[i].taskKey
			if _, known := n.outcomes[k]; !known && h.placements[i].shard == p.Index {
				n.outcomes[k] = taskOutcome{h.name, causeLost, n.now, h.shardTerm(n)}
				n.log(LogInfo, "task lost", "job", n.jobs[k.job].ID, "task", k.task, "machine", h.name)
			}
		}
	}
}

// forgetMachines lets go of machines that are gone, so that nothing is spent on
// what has been.
func (n *Node) forgetMachines() {
	if n.now < n.cleanupAt {
		return
	}
	n.cleanupAt = n.now + 5*second
	n.forgetPlacedGrants()
	for _, p := range n.shards {
		for i := len(p.machines) - 1; i >= 0; i-- {
			h := p.machines[i]
			silent := n.mayActAsOwner(p) && h.term == p.Term && n.now-h.heartbeatAt > 3*n.cfg.WorkerLease
			if len(h.placements) == 0 && (h.returned || silent || h.view.unreachable && !n.owns(p) && n.now-p.ChangedAt > 3*n.cfg.WorkerLease) {
				n.setShard(h, -1)
				h.view, h.reportedTasks, h.startSentAt, h.directStarts, h.failedJobs, h.images = machineView{}, nil, nil, nil, nil, nil
				h.term = 0 // if it reports again, it is learnt anew
			}
		}
	}
}

// isUrgentOutcome tells whether others wait for the end of a task to be written: a
// daemon or gang that is to start anew, a user who waits for the end of a job.
// The end of one task of an array among others can wait behind placings; by
// the time its turn comes, one put often serves several.
func (n *Node) isUrgentOutcome(k taskKey, res taskOutcome) bool {
	j := n.jobs[k.job]
	if j.Record == nil || j.Record.State != wire.JobLive {
		return false
	}
	return j.Record.Spec.Shape != wire.ShapeArray || res.cause != wire.CauseDone || len(j.Record.ActiveTasks) == 1
}

// applyOutcomes writes what became of tasks, either what presses or the rest.
func (n *Node) applyOutcomes(w *writer, room *lazySlots, pressing bool) {
	keys := n.sortedOutcomes()
	oldest := map[int]Time{}
	for _, k := range keys {
		if at, seen := oldest[k.job]; !seen || n.outcomes[k].at < at {
			oldest[k.job] = n.outcomes[k].at
		}
	}
	slack := newRecordRoom(n, w)
	for _, k := range keys {
		res := n.outcomes[k]
		if w.exitedTasks[k] || n.isUrgentOutcome(k, res) != pressing && w.records[k.job] == nil || n.leader.batch.changes(n.jobs[k.job]) {
			continue
		}
		if n.awaitsNewEpoch(res) || n.now-oldest[k.job] < n.outcomeDelayFor(n.jobs[k.job]) {
			continue
		}
		a := n.activeTask(k, res.machine)
		if a == nil || !n.mayActAsOwner(n.shards[a.Shard]) || n.shards[a.Shard].Term != res.term {
			delete(n.outcomes, k) // written, or found out in a term that is over
			continue
		}
		if !slack.mayRemove(k, res.machine) {
			continue
		}
		rec := w.job(n.jobs[k.job])
		if rec == nil {
			return
		}
		// Once: an end that is applied twice would count an error twice and
		// put two tasks where one was.
		w.exitedTasks[k] = true
		w.shards[a.Shard] = true
		was := *a
		removeExitedTask(rec, k, slack.recordable(n.jobs[k.job], rec, k, res))
		if slack.mayAdd(n.jobs[k.job]) {
			n.replaceLostTask(w, rec, was, res, room)
		}
	}
}

// sortedOutcomes lists the tasks of which we know what became of them, in a fixed order.
func (n *Node) sortedOutcomes() []taskKey {
	return slices.SortedFunc(maps.Keys(n.outcomes), func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
	})
}

// awaitsNewEpoch tells whether a lost task should wait a moment for its machine: one
// that has lost its epoch is the best place for the same task, as it has the image,
// once it has shown that it knows our term.
func (n *Node) awaitsNewEpoch(res taskOutcome) bool {
	h := n.machineNamed(res.machine)
	return res.cause == causeLost && h.shard >= 0 && n.now-res.at < epochDelay && h.term == n.shards[h.shard].Term &&
		!h.tokenConfirmed && n.now-h.heartbeatAt < epochDelay
}

// replaceLostTask gives a task that its machine has lost another machine of the same
// shard: the grant stands, only the choice of the machine is the owner's. It
// saves two puts, and when a whole zone has lost its tasks that is most of the
// time it takes to have them back.
func (n *Node) replaceLostTask(w *writer, rec *wire.Job, was wire.ActiveTask, res taskOutcome, room *lazySlots) {
	if rec.State != wire.JobLive || rec.Spec.Shape == wire.ShapeGang || was.Stop != wire.StopNone ||
		res.cause != causeLost && res.cause != wire.CauseStopped {
		return
	}
	j := n.jobNamed(rec.Spec.ID)
	s := room.slots(n).best(j, func(s *slot) bool { return s.shard == was.Shard }, nil)
	if s == nil || s.machine.name == was.Machine && s.machine.epoch <= was.Epoch {
		return
	}
	s.take(rec.Spec)
	rec.ActiveTasks = append(rec.ActiveTasks, wire.ActiveTask{Task: was.Task, Attempt: w.attempt(j, rec), Shard: was.Shard, Machine: s.machine.name, Epoch: s.machine.epoch, Admitted: was.Admitted})
	n.log(LogDebug, "task replaced", "job", j.ID, "task", was.Task, "machine", s.machine.name)
}

// removeExitedTask takes a task that is gone out of its record.
func removeExitedTask(rec *wire.Job, k taskKey, res taskOutcome) {
	rec.ActiveTasks = slices.DeleteFunc(rec.ActiveTasks, func(a wire.ActiveTask) bool {
		return a.Task == k.task && a.Attempt == k.attempt && a.Machine == res.machine
	})
	gang := rec.Spec.Shape == wire.ShapeGang
	switch {
	case res.cause == wire.CauseDone && rec.State == wire.JobLive:
		rec.ConsecutiveErrors, rec.FailedMachines = 0, nil
		if gang {
			// The tasks of a gang complete together.
			rec.DoneTasks = wire.Range(0, rec.TaskCount)
		} else if rec.Spec.Shape == wire.ShapeArray {
			rec.DoneTasks = rec.DoneTasks.With(k.task)
		}
		return
	case res.cause == wire.CauseError:
		rec.ConsecutiveErrors++
		if !slices.Contains(rec.FailedMachines, res.machine) {
			rec.FailedMachines = append(rec.FailedMachines, res.machine)
		}
		if len(rec.FailedMachines) > 4 {
			rec.FailedMachines = rec.FailedMachines[1:]
		}
	}
	if gang && rec.State == wire.JobLive {
		abandonGang(rec, k.attempt)
	}
}

// abandonGang stops what is left of a gang's attempt. Tasks that are saving on
// order go on; those not yet placed are given up at once.
func abandonGang(rec *wire.Job, attempt uint64) {
	rec.ActiveTasks = slices.DeleteFunc(rec.ActiveTasks, func(a wire.ActiveTask) bool {
		return a.Attempt == attempt && a.Machine == ""
	})
	for i := range rec.ActiveTasks {
		if a := &rec.ActiveTasks[i]; a.Attempt == attempt && a.Stop == wire.StopNone {
			a.Stop = wire.StopAbandon
		}
	}
}

// stopReclaimedGangs marks gangs that have to leave a machine for an orderly stop.
func (n *Node) stopReclaimedGangs(w *writer) {
	var list []int
	for jx := range n.gangsToStop {
		list = append(list, jx)
	}
	slices.Sort(list)
	for _, jx := range list {
		j := n.jobs[jx]
		if j.Record == nil || j.Record.State != wire.JobLive || !slices.ContainsFunc(j.Record.ActiveTasks, func(a wire.ActiveTask) bool { return a.Stop == wire.StopNone }) {
			delete(n.gangsToStop, jx)
			continue
		}
		rec := w.job(j)
		if rec == nil {
			return
		}
		preemptAll(rec)
	}
}

// preemptAll asks every task of a job to save and exit.
func preemptAll(rec *wire.Job) {
	rec.ActiveTasks = slices.DeleteFunc(rec.ActiveTasks, func(a wire.ActiveTask) bool { return a.Machine == "" })
	for i := range rec.ActiveTasks {
		if rec.ActiveTasks[i].Stop == wire.StopNone {
			rec.ActiveTasks[i].Stop = wire.StopPreempt
		}
	}
}

// lazySlots is the room on our machines, worked out when it is first needed.
type lazySlots struct{ set *slotSet }

func (r *lazySlots) slots(n *Node) *slotSet {
	if r.set == nil {
		r.set = n.ownedSlots()
	}
	return r.set
}

// ownedSlots lists the room on the machines that we own, less what is held.
func (n *Node) ownedSlots() *slotSet {
	slots := newSlotSet(n)
	for _, p := range n.shards {
		if !n.mayActAsOwner(p) {
			continue
		}
		for _, h := range p.machines {
			n.workCount++
			if n.acceptsTasks(h) {
				if s := n.slotOf(h); s != nil {
					if j, kept := n.reservedMachines[h.index]; kept && n.now-n.reservedMachinesAt < 5*second {
						s.reservedFor = j + 1
					}
					// What is proven gone leaves its room, though its record
					// still shows it; the new placing goes into the same put.
					for i := range h.placements {
						if _, over := n.outcomes[h.placements[i].taskKey]; over && n.jobs[h.placements[i].job].Record.Spec != nil {
							s.release(n.jobs[h.placements[i].job].Record.Spec, 1)
						}
					}
					slots.add(s)
				}
			}
		}
	}
	n.subtractHolds(slots)
	if n.leader.batch.active {
		taken := map[*machine][]*wire.JobSpec{}
		for _, x := range n.leader.pendingPlacements {
			taken[x.machine] = append(taken[x.machine], x.spec)
		}
		for _, s := range slots.all {
			for _, sp := range taken[s.machine] {
				s.take(sp)
			}
		}
	}
	return slots
}

// placeGranted chooses machines for the tasks granted to our shards.
func (n *Node) placeGranted(w *writer, room *lazySlots) {
	for _, jx := range n.replica.Live() {
		j := n.jobs[jx]
		if j.Unplaced == 0 || n.leader.batch.changes(j) || !slices.ContainsFunc(j.Record.ActiveTasks, func(a wire.ActiveTask) bool {
			return a.Machine == "" && n.mayActAsOwner(n.shards[a.Shard])
		}) {
			continue
		}
		n.placeJob(w, j, room.slots(n))
	}
}

// grantTimeout is how long an owner looks for room for a grant before it
// gives it back.
const grantTimeout = 2500 * time.Millisecond

func (n *Node) placeJob(w *writer, j *job, slots *slotSet) {
	sp := j.Record.Spec
	if j.Record.State != wire.JobLive {
		if rec := w.job(j); rec != nil {
			n.revokeUnplaced(w, rec)
		}
		return
	}
	if sp.Shape == wire.ShapeGang {
		n.placeGang(w, j, slots)
		return
	}
	slack := newRecordRoom(n, w)
	var s *slot
	for i := range j.Record.ActiveTasks {
		a := &j.Record.ActiveTasks[i]
		if a.Machine != "" || !n.mayActAsOwner(n.shards[a.Shard]) {
			continue
		}
		if !j.LargeArray || s == nil || s.shard != a.Shard || !s.fits(sp) {
			if s = slots.best(j, func(s *slot) bool { return s.shard == a.Shard }, nil); s != nil && !slack.mayAdd(j) {
				s = nil
			}
		}
		k := taskKey{j.Index, a.Task, a.Attempt}
		if s == nil && !n.grantTimedOut(k) {
			continue
		}
		rec := w.job(j)
		if rec == nil {
			return
		}
		w.shards[a.Shard] = true
		if s == nil {
			rec.ActiveTasks = slices.DeleteFunc(rec.ActiveTasks, func(b wire.ActiveTask) bool {
				return b.Task == a.Task && b.Attempt == a.Attempt && b.Machine == ""
			})
			continue
		}
		s.take(sp)
		assignMachine(rec, a, s.machine)
	}
}

func assignMachine(rec *wire.Job, a *wire.ActiveTask, h *machine) {
	for i := range rec.ActiveTasks {
		if b := &rec.ActiveTasks[i]; b.Task == a.Task && b.Attempt == a.Attempt {
			b.Machine, b.Epoch = h.name, h.epoch
			return
		}
	}
}

// revokeUnplaced removes the grants to our shards that were never placed.
func (n *Node) revokeUnplaced(w *writer, rec *wire.Job) {
	rec.ActiveTasks = slices.DeleteFunc(rec.ActiveTasks, func(a wire.ActiveTask) bool {
		mine := a.Machine == "" && n.mayActAsOwner(n.shards[a.Shard])
		if mine {
			w.shards[a.Shard] = true
		}
		return mine
	})
}

// forgetPlacedGrants drops what is remembered of grants that have been placed or given
// back. It is called now and then; the memory is bounded by the grants that wait. A bound
// on their number would be one on the site: when it was reached everything was forgotten,
// so that with more grants waiting than it no grant ever ran out of timeout.
func (n *Node) forgetPlacedGrants() {
	for k := range n.grantSeenAt {
		if !n.jobs[k.job].awaitsPlacement(k) {
			delete(n.grantSeenAt, k)
		}
	}
}

// awaitsPlacement tells whether the record holds a grant that has no machine yet.
func (j *job) awaitsPlacement(k taskKey) bool {
	return j.Record != nil && j.Unplaced > 0 && slices.ContainsFunc(j.Record.ActiveTasks, func(a wire.ActiveTask) bool {
		return a.Task == k.task && a.Attempt == k.attempt && a.Machine == ""
	})
}

// grantTimedOut tells whether a grant has waited too long for room.
func (n *Node) grantTimedOut(k taskKey) bool {
	at, seen := n.grantSeenAt[k]
	if !seen {
		n.grantSeenAt[k] = n.now
		return false
	}
	return n.now-at > grantTimeout
}
