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
func (j *job) rememberPosition() {
	if j.waitingSince != 0 {
		j.queuePosition.waitingSince = j.waitingSince
	}
	j.waitingSince = 0
}

// restorePosition lets a gang whose attempt was dropped wait on from when it had waited.
// Before this, a gang that had waited longest was overtaken by the next one, which was
// given the same machines half a second later.
func (j *job) restorePosition() {
	if j.waitingSince == 0 && j.queuePosition.waitingSince != 0 && j.queuePosition.droppedAttempts < maxDroppedAttempts {
		j.queuePosition.droppedAttempts++
		j.waitingSince = j.queuePosition.waitingSince
	}
}

func (n *Node) putGang(key string, rec *wire.Gang, rev uint64) {
	g := n.gangs[key]
	if g == nil {
		ref := key[len(wire.GangPrefix):]
		for i := len(ref) - 1; i >= 0; i-- {
			if ref[i] == '/' {
				ref = ref[:i]
				break
			}
		}
		g = &gang{Key: key, JobID: ref, SeenAt: n.now, Agreed: map[int]bool{}}
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
		g := n.gangs[key]
		j := n.jobNamed(g.JobID)
		if j == nil || j.Record == nil || j.Record.Spec == nil {
			continue
		}
		for _, task := range slices.Sorted(maps.Keys(g.held)) {
			h := g.held[task]
			if slices.ContainsFunc(j.Record.ActiveTasks, func(a wire.ActiveTask) bool {
				return a.Task == task && a.Attempt == g.Record.Attempt && a.Machine != ""
			}) {
				continue // placed: counted by its record
			}
			for _, s := range slots.all {
				if s.machine == h {
					s.take(j.Record.Spec)
				}
			}
		}
	}
}

func (n *Node) jobNamed(ref string) *job {
	if ix := n.names.Jobs.Find(ref); ix >= 0 {
		return n.jobs[ix]
	}
	return nil
}

// placeGang places a gang that fits this shard as a whole, and holds room for
// our share of a larger one.
func (n *Node) placeGang(w *writer, j *job, slots *slotSet) {
	var mine []wire.ActiveTask
	attempt := uint64(0)
	for _, a := range j.Record.ActiveTasks {
		if a.Machine == "" && n.mayActAsOwner(n.shards[a.Shard]) {
			mine = append(mine, a)
			attempt = a.Attempt
		}
	}
	g := n.gangs[wire.GangKey(j.ID, attempt)]
	if g != nil {
		n.advanceOwnedGang(w, j, g, mine, slots)
		return
	}
	whole := !slices.ContainsFunc(j.Record.ActiveTasks, func(a wire.ActiveTask) bool { return a.Shard != mine[0].Shard || a.Machine != "" })
	k := taskKey{j.Index, mine[0].Task, attempt}
	if !whole {
		// Its record is not known here yet, or has been settled and removed.
		if n.grantTimedOut(k) {
			if rec := w.job(j); rec != nil {
				n.revokeUnplaced(w, rec)
				abandonGang(rec, attempt)
			}
		}
		return
	}
	chosen := n.chooseAll(j, mine, slots)
	if chosen == nil && !n.grantTimedOut(k) {
		return
	}
	rec := w.job(j)
	if rec == nil {
		return
	}
	w.shards[mine[0].Shard] = true
	if chosen == nil {
		n.revokeUnplaced(w, rec)
		return
	}
	for i := range mine {
		chosen[i].take(j.Record.Spec)
		assignMachine(rec, &mine[i], chosen[i].machine)
	}
}

// chooseAll finds machines for all the tasks or for none.
func (n *Node) chooseAll(j *job, tasks []wire.ActiveTask, slots *slotSet) []*slot {
	var chosen []*slot
	sp := j.Record.Spec
	for _, a := range tasks {
		s := slots.best(j, func(s *slot) bool { return s.shard == a.Shard }, nil)
		if s == nil {
			break
		}
		s.take(sp)
		chosen = append(chosen, s)
	}
	for _, s := range chosen {
		s.release(sp, 1)
	}
	if len(chosen) < len(tasks) {
		return nil
	}
	return chosen
}

// advanceOwnedGang plays the owner's side of try, confirm and cancel.
func (n *Node) advanceOwnedGang(w *writer, j *job, g *gang, mine []wire.ActiveTask, slots *slotSet) {
	switch g.Record.State {
	case wire.GangTrying:
		if g.held == nil {
			n.holdForGang(j, g, mine, slots)
		}
	case wire.GangConfirmed:
		n.placeConfirmedGang(w, j, g, mine, slots)
	}
}

// holdForGang holds room for our share of a gang, or denies it.
func (n *Node) holdForGang(j *job, g *gang, mine []wire.ActiveTask, slots *slotSet) {
	chosen := n.chooseAll(j, mine, slots)
	if chosen == nil {
		if !g.Denied {
			g.Denied = true
			n.sendGossip(true)
		}
		return
	}
	g.held = map[int]*machine{}
	g.Denied = false
	for i, s := range chosen {
		s.take(j.Record.Spec)
		g.held[mine[i].Task] = s.machine
	}
	n.sendGossip(true)
}

// placeConfirmedGang places our share of a confirmed gang on the machines that were held for
// it, or on others where a hold went with its machine or its owner.
func (n *Node) placeConfirmedGang(w *writer, j *job, g *gang, mine []wire.ActiveTask, slots *slotSet) {
	hosts := n.heldMachines(g, mine)
	if hosts == nil {
		g.held = nil
		for _, s := range n.chooseAll(j, mine, slots) {
			s.take(j.Record.Spec)
			hosts = append(hosts, s.machine)
		}
	}
	if hosts == nil && !n.grantTimedOut(taskKey{j.Index, mine[0].Task, g.Record.Attempt}) {
		return
	}
	rec := w.job(j)
	if rec == nil {
		return
	}
	for _, a := range mine {
		w.shards[a.Shard] = true
	}
	if hosts == nil {
		n.revokeUnplaced(w, rec)
		abandonGang(rec, g.Record.Attempt)
		return
	}
	for i := range mine {
		assignMachine(rec, &mine[i], hosts[i])
	}
}

// heldMachines gives the machines held for the tasks of a gang, or nil unless all are usable.
func (n *Node) heldMachines(g *gang, mine []wire.ActiveTask) []*machine {
	hosts := make([]*machine, len(mine))
	for i, a := range mine {
		h := g.held[a.Task]
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
func (n *Node) expireGangHolds(w *writer) {
	for _, key := range n.gangKeys() {
		g := n.gangs[key]
		switch g.Record.State {
		case wire.GangDropped:
			g.held = nil
		case wire.GangTrying:
			if n.now-g.SeenAt > 3*n.cfg.HeartbeatInterval && slices.ContainsFunc(g.Record.Shards, func(p int) bool { return n.mayActAsOwner(n.shards[p]) }) {
				rec := *g.Record
				rec.State = wire.GangDropped
				w.addWrite(Write{Key: g.Key, Value: &rec}, Condition{Key: g.Key, Revision: g.Revision})
			}
		}
	}
}

// gangHolds lists what we, as owners, say about gangs being tried.
func (n *Node) gangHolds() []wire.GangHold {
	var out []wire.GangHold
	for _, key := range n.gangKeys() {
		g := n.gangs[key]
		if g.Record.State != wire.GangTrying || (g.held == nil && !g.Denied) {
			continue
		}
		for _, p := range g.Record.Shards {
			if n.mayActAsOwner(n.shards[p]) {
				out = append(out, wire.GangHold{Ref: g.JobID, Attempt: g.Record.Attempt, Part: p, OK: g.held != nil})
			}
		}
	}
	return out
}

// receiveGangHolds takes owners' answers; only the leader acts on them.
func (n *Node) receiveGangHolds(holds []wire.GangHold) {
	for _, h := range holds {
		if g := n.gangs[wire.GangKey(h.Ref, h.Attempt)]; g != nil && g.Record.State == wire.GangTrying {
			if h.OK {
				g.Agreed[h.Part] = true
			} else {
				g.Denied = true
			}
			n.leader.planNeeded = true
		}
	}
}

// advanceGangs confirms gangs whose owners all agree, drops those that one
// denies, and removes the records of settled ones.
func (n *Node) advanceGangs(w *writer) {
	n.receiveGangHolds(n.gangHolds())
	for _, key := range n.gangKeys() {
		g := n.gangs[key]
		j := n.jobNamed(g.JobID)
		unplaced := j != nil && j.Record != nil && slices.ContainsFunc(j.Record.ActiveTasks, func(a wire.ActiveTask) bool {
			return a.Attempt == g.Record.Attempt && a.Machine == ""
		})
		switch g.Record.State {
		case wire.GangTrying:
			all := true
			for _, p := range g.Record.Shards {
				all = all && g.Agreed[p]
			}
			rec := *g.Record
			switch {
			case all && unplaced && j.Record.State == wire.JobLive:
				rec.State = wire.GangConfirmed
			case g.Denied || !unplaced || n.now-g.SeenAt > 4*n.cfg.HeartbeatInterval:
				rec.State = wire.GangDropped
			default:
				continue
			}
			w.addWrite(Write{Key: g.Key, Value: &rec}, Condition{Key: g.Key, Revision: g.Revision})
		case wire.GangDropped:
			if unplaced {
				rec := w.job(j)
				if rec == nil {
					return
				}
				rec.ActiveTasks = slices.DeleteFunc(rec.ActiveTasks, func(a wire.ActiveTask) bool {
					return a.Attempt == g.Record.Attempt && a.Machine == ""
				})
				j.restorePosition()
			}
			w.addWrite(Write{Key: g.Key}, Condition{Key: g.Key, Revision: g.Revision})
		case wire.GangConfirmed:
			if !unplaced {
				if j != nil {
					j.queuePosition = queuePosition{}
				}
				w.addWrite(Write{Key: g.Key}, Condition{Key: g.Key, Revision: g.Revision})
			}
		}
	}
}
