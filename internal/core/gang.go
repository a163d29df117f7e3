package core

import (
	"maps"
	"slices"
	"sort"

	"micaport/internal/wire"
)

// gang is the replica of the record of a gang attempt that spans shards.
type gang struct {
	Key      string
	JobID    string
	Record   *wire.Gang
	Revision uint64
	SeenAt   Time
	// As an owner: the room held for each task, until the record settles.
	held map[int]*machine
	// As the leader: the shards that agreed.
	Agreed map[int]bool
	Denied bool
}

// queuePosition is the place among those that wait of a gang whose attempt is being tried.
type queuePosition struct {
	waitingSince    Time // since when it had waited when it was granted; 0: none
	droppedAttempts int  // attempts that have been dropped since it was last placed
}

// maxDroppedAttempts is how many dropped attempts cost a gang nothing. An owner that has just
// come back denies what its machines can't take yet, and could take a moment later. One
// whose attempts go on failing waits anew, so that it does not keep room from others for
// ever.
const maxDroppedAttempts = 3

// rememberPosition remembers since when a gang that is granted now has waited.
func (job *job) rememberPosition() {
	if job.waitingSince != 0 {
		job.queuePosition.waitingSince = job.waitingSince
	}
	job.waitingSince = 0
}

// restorePosition lets a gang whose attempt was dropped wait on from when it had waited.
// Before this, a gang that had waited longest was overtaken by the next one, which was
// given the same machines half a second later.
func (job *job) restorePosition() {
	if job.waitingSince == 0 && job.queuePosition.waitingSince != 0 && job.queuePosition.droppedAttempts < maxDroppedAttempts {
		job.queuePosition.droppedAttempts++
		job.waitingSince = job.queuePosition.waitingSince
	}
}

func (n *Node) putGang(key string, rec *wire.Gang, rev uint64) {
	g := n.gangs[key]
	if g == nil {
		id := key[len(wire.GangPrefix):]
		for i := len(id) - 1; i >= 0; i-- {
			if id[i] == '/' {
				id = id[:i]
				break
			}
		}
		g = &gang{Key: key, JobID: id, SeenAt: n.now, Agreed: map[int]bool{}}
		n.gangs[key] = g
	}
	if rev > g.Revision {
		g.Record, g.Revision = rec, rev
	}
}

func (n *Node) gangKeys() []string {
	keys := make([]string, 0, len(n.gangs))
	for k := range n.gangs {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// subtractHolds subtracts the room that is pending for gangs.
func (n *Node) subtractHolds(slots *slotSet) {
	for _, key := range n.gangKeys() {
		gang := n.gangs[key]
		job := n.jobNamed(gang.JobID)
		if job == nil || job.Record == nil || job.Record.Spec == nil {
			continue
		}
		for _, task := range slices.Sorted(maps.Keys(gang.held)) {
			machine := gang.held[task]
			if slices.ContainsFunc(job.Record.ActiveTasks, func(a wire.ActiveTask) bool {
				return a.Task == task && a.Attempt == gang.Record.Attempt && a.Machine != ""
			}) {
				continue // placed: counted by its record
			}
			for _, slot := range slots.all {
				if slot.machine == machine {
					slot.take(job.Record.Spec)
				}
			}
		}
	}
}

func (n *Node) jobNamed(id string) *job {
	if index := n.names.Jobs.Find(id); index >= 0 {
		return n.jobs[index]
	}
	return nil
}

// placeGang places a gang that fits this shard as a whole, and holds room for
// our share of a larger one.
func (n *Node) placeGang(writer *writer, job *job, slots *slotSet) {
	var mine []wire.ActiveTask
	attempt := uint64(0)
	for _, task := range job.Record.ActiveTasks {
		if task.Machine == "" && n.mayActAsOwner(n.shards[task.Shard]) {
			mine = append(mine, task)
			attempt = task.Attempt
		}
	}
	gang := n.gangs[wire.GangKey(job.ID, attempt)]
	if gang != nil {
		n.advanceOwnedGang(writer, job, gang, mine, slots)
		return
	}
	whole := !slices.ContainsFunc(job.Record.ActiveTasks, func(task wire.ActiveTask) bool { return task.Shard != mine[0].Shard || task.Machine != "" })
	key := taskKey{job.Index, mine[0].Task, attempt}
	if !whole {
		// Its record is not known here yet, or has been settled and removed.
		if n.grantTimedOut(key) {
			if record := writer.job(job); record != nil {
				n.revokeUnplaced(writer, record)
				abandonGang(record, attempt)
			}
		}
		return
	}
	chosen := n.chooseAll(job, mine, slots)
	if chosen == nil && !n.grantTimedOut(key) {
		return
	}
	record := writer.job(job)
	if record == nil {
		return
	}
	writer.shards[mine[0].Shard] = true
	if chosen == nil {
		n.revokeUnplaced(writer, record)
		return
	}
	for i := range mine {
		chosen[i].take(job.Record.Spec)
		assignMachine(record, &mine[i], chosen[i].machine)
	}
}

// chooseAll finds machines for all the tasks or for none.
func (n *Node) chooseAll(job *job, tasks []wire.ActiveTask, slots *slotSet) []*slot {
	var chosen []*slot
	spec := job.Record.Spec
	for _, task := range tasks {
		s := slots.best(job, func(s *slot) bool { return s.shard == task.Shard }, nil)
		if s == nil {
			break
		}
		s.take(spec)
		chosen = append(chosen, s)
	}
	for _, s := range chosen {
		s.release(spec, 1)
	}
	if len(chosen) < len(tasks) {
		return nil
	}
	return chosen
}

// advanceOwnedGang plays the owner's side of try, confirm and cancel.
func (n *Node) advanceOwnedGang(writer *writer, job *job, gang *gang, mine []wire.ActiveTask, slots *slotSet) {
	switch gang.Record.State {
	case wire.GangTrying:
		if gang.held == nil {
			n.holdForGang(job, gang, mine, slots)
		}
	case wire.GangConfirmed:
		n.placeConfirmedGang(writer, job, gang, mine, slots)
	}
}

// holdForGang holds room for our share of a gang, or denies it.
func (n *Node) holdForGang(job *job, gang *gang, mine []wire.ActiveTask, slots *slotSet) {
	chosen := n.chooseAll(job, mine, slots)
	if chosen == nil {
		if !gang.Denied {
			gang.Denied = true
			n.sendGossip(true)
		}
		return
	}
	gang.held = map[int]*machine{}
	gang.Denied = false
	for i, slot := range chosen {
		slot.take(job.Record.Spec)
		gang.held[mine[i].Task] = slot.machine
	}
	n.sendGossip(true)
}

// placeConfirmedGang places our share of a confirmed gang on the machines that were held for
// it, or on others where a hold went with its machine or its owner.
func (n *Node) placeConfirmedGang(writer *writer, job *job, gang *gang, mine []wire.ActiveTask, slots *slotSet) {
	hosts := n.heldMachines(gang, mine)
	if hosts == nil {
		gang.held = nil
		for _, slot := range n.chooseAll(job, mine, slots) {
			slot.take(job.Record.Spec)
			hosts = append(hosts, slot.machine)
		}
	}
	if hosts == nil && !n.grantTimedOut(taskKey{job.Index, mine[0].Task, gang.Record.Attempt}) {
		return
	}
	record := writer.job(job)
	if record == nil {
		return
	}
	for _, task := range mine {
		writer.shards[task.Shard] = true
	}
	if hosts == nil {
		n.revokeUnplaced(writer, record)
		abandonGang(record, gang.Record.Attempt)
		return
	}
	for i := range mine {
		assignMachine(record, &mine[i], hosts[i])
	}
}

// heldMachines gives the machines held for the tasks of a gang, or nil unless all are usable.
func (n *Node) heldMachines(gang *gang, mine []wire.ActiveTask) []*machine {
	hosts := make([]*machine, len(mine))
	for i, task := range mine {
		h := gang.held[task.Task]
		if h == nil || !n.acceptsTasks(h) {
			return nil
		}
		hosts[i] = h
	}
	return hosts
}

// expireGangHolds lets a pending hold cancel itself: at its deadline the owner
// marks the record dropped, conditional on nobody having confirmed it, and
// only when the replica shows it dropped does the hold go.
func (n *Node) expireGangHolds(writer *writer) {
	for _, key := range n.gangKeys() {
		gang := n.gangs[key]
		switch gang.Record.State {
		case wire.GangDropped:
			gang.held = nil
		case wire.GangTrying:
			if n.now-gang.SeenAt > 3*n.cfg.HeartbeatInterval && slices.ContainsFunc(gang.Record.Shards, func(p int) bool { return n.mayActAsOwner(n.shards[p]) }) {
				rec := *gang.Record
				rec.State = wire.GangDropped
				writer.addWrite(Write{Key: gang.Key, Value: &rec}, Condition{Key: gang.Key, Revision: gang.Revision})
			}
		}
	}
}

// gangHolds lists what we, as owners, say about gangs being tried.
func (n *Node) gangHolds() []wire.GangHold {
	var out []wire.GangHold
	for _, key := range n.gangKeys() {
		gang := n.gangs[key]
		if gang.Record.State != wire.GangTrying || (gang.held == nil && !gang.Denied) {
			continue
		}
		for _, p := range gang.Record.Shards {
			if n.mayActAsOwner(n.shards[p]) {
				out = append(out, wire.GangHold{Ref: gang.JobID, Attempt: gang.Record.Attempt, Part: p, OK: gang.held != nil})
			}
		}
	}
	return out
}

// receiveGangHolds takes owners' answers; only the leader acts on them.
func (n *Node) receiveGangHolds(holds []wire.GangHold) {
	for _, h := range holds {
		if gang := n.gangs[wire.GangKey(h.Ref, h.Attempt)]; gang != nil && gang.Record.State == wire.GangTrying {
			if h.OK {
				gang.Agreed[h.Part] = true
			} else {
				gang.Denied = true
			}
			n.leader.planNeeded = true
		}
	}
}

// advanceGangs confirms gangs whose owners all agree, drops those that one
// denies, and removes the records of settled ones.
func (n *Node) advanceGangs(writer *writer) {
	n.receiveGangHolds(n.gangHolds())
	for _, key := range n.gangKeys() {
		gang := n.gangs[key]
		job := n.jobNamed(gang.JobID)
		unplaced := job != nil && job.Record != nil && slices.ContainsFunc(job.Record.ActiveTasks, func(task wire.ActiveTask) bool {
			return task.Attempt == gang.Record.Attempt && task.Machine == ""
		})
		switch gang.Record.State {
		case wire.GangTrying:
			all := true
			for _, p := range gang.Record.Shards {
				all = all && gang.Agreed[p]
			}
			rec := *gang.Record
			switch {
			case all && unplaced && job.Record.State == wire.JobLive:
				rec.State = wire.GangConfirmed
			case gang.Denied || !unplaced || n.now-gang.SeenAt > 4*n.cfg.HeartbeatInterval:
				rec.State = wire.GangDropped
			default:
				continue
			}
			writer.addWrite(Write{Key: gang.Key, Value: &rec}, Condition{Key: gang.Key, Revision: gang.Revision})
		case wire.GangDropped:
			if unplaced {
				record := writer.job(job)
				if record == nil {
					return
				}
				record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool {
					return task.Attempt == gang.Record.Attempt && task.Machine == ""
				})
				job.restorePosition()
			}
			writer.addWrite(Write{Key: gang.Key}, Condition{Key: gang.Key, Revision: gang.Revision})
		case wire.GangConfirmed:
			if !unplaced {
				if job != nil {
					job.queuePosition = queuePosition{}
				}
				writer.addWrite(Write{Key: gang.Key}, Condition{Key: gang.Key, Revision: gang.Revision})
			}
		}
	}
}
