package core

import (
	"maps"
	"slices"
	"sort"

	"micaport/internal/wire"
)

// gang is our copy of the record of a gang attempt that spans parts.
type gang struct {
	key  string
	ref  string
	rec  *wire.Gang
	rev  uint64
	seen Time
	// As an owner: the room held for each task, until the record settles.
	held map[int]*host
	// As the leader: the parts that agreed.
	agreed map[int]bool
	denied bool
}

// gangPlace is the place among those that wait of a gang whose attempt is being tried.
type gangPlace struct {
	since   Time // since when it had waited when it was granted; 0: none
	denials int  // attempts that have been dropped since it was last placed
}

// deniedAttempts is how many dropped attempts cost a gang nothing. An owner that has just
// come back denies what its machines can't take yet, and could take a moment later. One
// whose attempts go on failing waits anew, so that it does not keep room from others for
// ever.
const deniedAttempts = 3

// takePlace remembers since when a gang that is granted now has waited.
func (j *job) takePlace() {
	if j.blockedSince != 0 {
		j.place.since = j.blockedSince
	}
	j.blockedSince = 0
}

// giveBackPlace lets a gang whose attempt was dropped wait on from when it had waited.
// Before this, a gang that had waited longest was overtaken by the next one, which was
// given the same machines half a second later.
func (j *job) giveBackPlace() {
	if j.blockedSince == 0 && j.place.since != 0 && j.place.denials < deniedAttempts {
		j.place.denials++
		j.blockedSince = j.place.since
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
		g = &gang{key: key, ref: ref, seen: n.now, agreed: map[int]bool{}}
		n.gangs[key] = g
	}
	if rev > g.rev {
		g.rec, g.rev = rec, rev
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

// takeHolds subtracts the room that is pending for gangs.
func (n *Node) takeHolds(slots *slotSet) {
	for _, key := range n.gangKeys() {
		g := n.gangs[key]
		j := n.jobNamed(g.ref)
		if j == nil || j.rec == nil || j.rec.Spec == nil {
			continue
		}
		for _, task := range slices.Sorted(maps.Keys(g.held)) {
			h := g.held[task]
			if slices.ContainsFunc(j.rec.Active, func(a wire.Active) bool { return a.Task == task && a.Attempt == g.rec.Attempt && a.Host != "" }) {
				continue // placed: counted by its record
			}
			for _, s := range slots.all {
				if s.h == h {
					s.take(j.rec.Spec)
				}
			}
		}
	}
}

func (n *Node) jobNamed(ref string) *job {
	if ix := n.refs.Find(ref); ix >= 0 {
		return n.jobs[ix]
	}
	return nil
}

// placeGang places a gang that fits this part as a whole, and holds room for
// our share of a larger one.
func (n *Node) placeGang(w *writer, j *job, slots *slotSet) {
	var mine []wire.Active
	attempt := uint64(0)
	for _, a := range j.rec.Active {
		if a.Host == "" && n.valid(n.parts[a.Part]) {
			mine = append(mine, a)
			attempt = a.Attempt
		}
	}
	g := n.gangs[wire.GangKey(j.ref, attempt)]
	if g != nil {
		n.ownerGang(w, j, g, mine, slots)
		return
	}
	whole := !slices.ContainsFunc(j.rec.Active, func(a wire.Active) bool { return a.Part != mine[0].Part || a.Host != "" })
	k := taskKey{j.ix, mine[0].Task, attempt}
	if !whole {
		// Its record is not known here yet, or has been settled and removed.
		if n.outOfPatience(k) {
			if rec := w.job(j); rec != nil {
				n.giveBack(w, rec)
				failGang(rec, attempt)
			}
		}
		return
	}
	chosen := n.chooseAll(j, mine, slots)
	if chosen == nil && !n.outOfPatience(k) {
		return
	}
	rec := w.job(j)
	if rec == nil {
		return
	}
	w.parts[mine[0].Part] = true
	if chosen == nil {
		n.giveBack(w, rec)
		return
	}
	for i := range mine {
		chosen[i].take(j.rec.Spec)
		setHost(rec, &mine[i], chosen[i].h)
	}
}

// chooseAll finds machines for all the tasks or for none.
func (n *Node) chooseAll(j *job, tasks []wire.Active, slots *slotSet) []*slot {
	var chosen []*slot
	sp := j.rec.Spec
	for _, a := range tasks {
		s := slots.best(j, func(s *slot) bool { return s.part == a.Part }, nil)
		if s == nil {
			break
		}
		s.take(sp)
		chosen = append(chosen, s)
	}
	for _, s := range chosen {
		s.give(sp, 1)
	}
	if len(chosen) < len(tasks) {
		return nil
	}
	return chosen
}

// ownerGang plays the owner's side of try, confirm and cancel.
func (n *Node) ownerGang(w *writer, j *job, g *gang, mine []wire.Active, slots *slotSet) {
	switch g.rec.State {
	case wire.GangTrying:
		if g.held == nil {
			n.tryHold(j, g, mine, slots)
		}
	case wire.GangConfirmed:
		n.placeConfirmed(w, j, g, mine, slots)
	}
}

// tryHold holds room for our share of a gang, or denies it.
func (n *Node) tryHold(j *job, g *gang, mine []wire.Active, slots *slotSet) {
	chosen := n.chooseAll(j, mine, slots)
	if chosen == nil {
		if !g.denied {
			g.denied = true
			n.gossip(true)
		}
		return
	}
	g.held = map[int]*host{}
	g.denied = false
	for i, s := range chosen {
		s.take(j.rec.Spec)
		g.held[mine[i].Task] = s.h
	}
	n.gossip(true)
}

// placeConfirmed places our share of a confirmed gang on the machines that were held for
// it, or on others where a hold went with its machine or its owner.
func (n *Node) placeConfirmed(w *writer, j *job, g *gang, mine []wire.Active, slots *slotSet) {
	hosts := n.heldHosts(g, mine)
	if hosts == nil {
		g.held = nil
		for _, s := range n.chooseAll(j, mine, slots) {
			s.take(j.rec.Spec)
			hosts = append(hosts, s.h)
		}
	}
	if hosts == nil && !n.outOfPatience(taskKey{j.ix, mine[0].Task, g.rec.Attempt}) {
		return
	}
	rec := w.job(j)
	if rec == nil {
		return
	}
	for _, a := range mine {
		w.parts[a.Part] = true
	}
	if hosts == nil {
		n.giveBack(w, rec)
		failGang(rec, g.rec.Attempt)
		return
	}
	for i := range mine {
		setHost(rec, &mine[i], hosts[i])
	}
}

// heldHosts gives the machines held for the tasks of a gang, or nil unless all are usable.
func (n *Node) heldHosts(g *gang, mine []wire.Active) []*host {
	hosts := make([]*host, len(mine))
	for i, a := range mine {
		h := g.held[a.Task]
		if h == nil || !n.usable(h) {
			return nil
		}
		hosts[i] = h
	}
	return hosts
}

// settleGangs lets a pending hold cancel itself: at its deadline the owner
// marks the record dropped, conditional on nobody having confirmed it, and
// only when our copy shows it dropped does the hold go.
func (n *Node) settleGangs(w *writer) {
	for _, key := range n.gangKeys() {
		g := n.gangs[key]
		switch g.rec.State {
		case wire.GangDropped:
			g.held = nil
		case wire.GangTrying:
			if n.now-g.seen > 3*n.cfg.Report && slices.ContainsFunc(g.rec.Parts, func(p int) bool { return n.valid(n.parts[p]) }) {
				rec := *g.rec
				rec.State = wire.GangDropped
				w.also(Write{Key: g.key, Value: &rec}, Cond{g.key, g.rev})
			}
		}
	}
}

// holdsToTell lists what we, as owners, say about gangs being tried.
func (n *Node) holdsToTell() []wire.Hold {
	var out []wire.Hold
	for _, key := range n.gangKeys() {
		g := n.gangs[key]
		if g.rec.State != wire.GangTrying || (g.held == nil && !g.denied) {
			continue
		}
		for _, p := range g.rec.Parts {
			if n.valid(n.parts[p]) {
				out = append(out, wire.Hold{Ref: g.ref, Attempt: g.rec.Attempt, Part: p, OK: g.held != nil})
			}
		}
	}
	return out
}

// hearHolds takes owners' answers; only the leader acts on them.
func (n *Node) hearHolds(holds []wire.Hold) {
	for _, h := range holds {
		if g := n.gangs[wire.GangKey(h.Ref, h.Attempt)]; g != nil && g.rec.State == wire.GangTrying {
			if h.OK {
				g.agreed[h.Part] = true
			} else {
				g.denied = true
			}
			n.leader.dirty = true
		}
	}
}

// leadGangs confirms gangs whose owners all agree, drops those that one
// denies, and removes the records of settled ones.
func (n *Node) leadGangs(w *writer) {
	n.hearHolds(n.holdsToTell())
	for _, key := range n.gangKeys() {
		g := n.gangs[key]
		j := n.jobNamed(g.ref)
		unplaced := j != nil && j.rec != nil && slices.ContainsFunc(j.rec.Active, func(a wire.Active) bool {
			return a.Attempt == g.rec.Attempt && a.Host == ""
		})
		switch g.rec.State {
		case wire.GangTrying:
			all := true
			for _, p := range g.rec.Parts {
				all = all && g.agreed[p]
			}
			rec := *g.rec
			switch {
			case all && unplaced && j.rec.State == wire.Live:
				rec.State = wire.GangConfirmed
			case g.denied || !unplaced || n.now-g.seen > 4*n.cfg.Report:
				rec.State = wire.GangDropped
			default:
				continue
			}
			w.also(Write{Key: g.key, Value: &rec}, Cond{g.key, g.rev})
		case wire.GangDropped:
			if unplaced {
				rec := w.job(j)
				if rec == nil {
					return
				}
				rec.Active = slices.DeleteFunc(rec.Active, func(a wire.Active) bool {
					return a.Attempt == g.rec.Attempt && a.Host == ""
				})
				j.giveBackPlace()
			}
			w.also(Write{Key: g.key}, Cond{g.key, g.rev})
		case wire.GangConfirmed:
			if !unplaced {
				if j != nil {
					j.place = gangPlace{}
				}
				w.also(Write{Key: g.key}, Cond{g.key, g.rev})
			}
		}
	}
}
