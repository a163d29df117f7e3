package core

import (
	"slices"
	"sort"
	"time"

	"micaport/internal/wire"
)

// sendGossip tells the peers what we own and what has changed on it.
func (n *Node) sendGossip(now bool) {
	if now {
		n.gossipAt = min(n.gossipAt, n.gossipSentAt+minGossipInterval)
		return
	}
	if n.now < n.gossipAt {
		return
	}
	n.gossipAt, n.gossipSentAt = n.now+second, n.now
	n.updateOwnViews()
	m := wire.Gossip{
		From: n.cfg.Self, Life: n.cfg.Incarnation, UpS: n.now.Seconds(), StoreOK: n.storeOK, CutOff: n.isolated(),
		Holds: n.gangHolds(), Strays: n.strayMachineNames(), Seen: map[string]wire.SeenVersion{}, Need: n.budget.pendingRecords,
		Leader: n.leaderView(),
	}
	for _, p := range n.shards {
		if n.mayActAsOwner(p) {
			m.Parts = append(m.Parts, p.Index)
			m.Terms = append(m.Terms, p.Term)
		}
	}
	for label, p := range n.peers {
		m.Seen[label] = wire.SeenVersion{Life: p.message.Life, Ver: p.version}
	}
	if n.isLeader() {
		m.Retire = n.leader.drainList(n)
		m.Returned = n.leader.recentlyReturned(n)
		m.Kept = n.leader.reservations
		for _, key := range n.gangKeys() {
			if g := n.gangs[key]; g.Record.State != wire.GangDropped {
				m.Tries = append(m.Tries, wire.GangHold{Ref: g.JobID, Attempt: g.Record.Attempt, OK: g.Record.State == wire.GangConfirmed})
			}
		}
		n.followLeader(&m)
	}
	// Peers that have seen as much get the same message.
	made := map[uint64]*wire.Gossip{}
	for _, x := range n.cfg.Members {
		if x.Name == n.cfg.Self {
			continue
		}
		base := n.versionSeenBy(x.Name)
		if made[base] == nil {
			made[base] = n.withViewChanges(m, base, len(n.machines))
		}
		n.emit(SendGossip{To: x.Name, Message: made[base]})
	}
	n.writeMailbox(m)
}

// minGossipInterval is the least time between two messages: what happens at once on
// many machines is told at once.
const minGossipInterval = 150 * time.Millisecond

// versionSeenBy is how far a peer has taken in what we tell of our machines. A peer
// that says nothing of this incarnation of ours is told everything.
func (n *Node) versionSeenBy(label string) uint64 {
	if p := n.peers[label]; p != nil {
		if s := p.message.Seen[n.cfg.Self]; s.Life == n.cfg.Incarnation {
			return s.Ver
		}
	}
	return 0
}

// noteViewChange puts a change of our own view of a machine on the list that the peers
// get.
func (n *Node) noteViewChange(h *machine) {
	n.version++
	h.viewVersion = n.version
	n.changeLog = append(n.changeLog, viewChange{n.version, h.index})
	if len(n.changeLog) > 2*len(n.machines)+64 {
		n.changeLog = slices.DeleteFunc(n.changeLog, func(c viewChange) bool { return n.machines[c.machine].viewVersion != c.version })
	}
}

// viewChange is an entry of the list of changes; it is out of date once the
// machine has a later one.
type viewChange struct {
	version uint64
	machine int
}

// withViewChanges completes a message with up to limit machines that changed after
// base. It always takes the earliest, so that the receiver has all there is
// up to the version that the message names, and a lost or repeated one does no
// harm.
func (n *Node) withViewChanges(m wire.Gossip, base uint64, limit int) *wire.Gossip {
	m.Since, m.Ver = base, n.version
	var names wire.Interner
	at := sort.Search(len(n.changeLog), func(i int) bool { return n.changeLog[i].version > base })
	for _, c := range n.changeLog[at:] {
		h := n.machines[c.machine]
		n.workCount++
		if h.viewVersion != c.version || h.shard < 0 || !n.mayActAsOwner(n.shards[h.shard]) || !h.view.known {
			continue
		}
		if len(m.Hosts) >= limit {
			m.Ver = c.version - 1
			break
		}
		i := wire.MachineInfo{Name: h.name, Zone: names.Of(n.names.Zones.Name(h.zone)), Errors: h.view.errors,
			Flags: wire.Flags(h.spot, h.view.reclaimed, h.view.draining, h.view.unhealthy, h.view.unreachable, h.view.unconfirmed) + h.view.missedHeartbeats<<8}
		if h.machineType >= 0 {
			i.Rig = names.Of(n.names.MachineTypes.Name(h.machineType))
		}
		h.images.Each(func(im int) { i.Images = append(i.Images, names.Of(n.names.Images.Name(im))) })
		m.Hosts = append(m.Hosts, i)
	}
	for i := range names.Len() {
		m.Names = append(m.Names, names.Name(i))
	}
	return &m
}

// updateOwnViews brings our view of our own machines up to date.
func (n *Node) updateOwnViews() {
	for _, p := range n.shards {
		if !n.mayActAsOwner(p) {
			continue
		}
		fresh, all := 0, 0
		for _, h := range p.machines {
			if h.term == p.Term && !h.returned {
				all++
				if n.now-h.heartbeatAt < 2*n.cfg.HeartbeatInterval {
					fresh++
				}
			}
		}
		for _, h := range p.machines {
			n.workCount++
			if h.term != p.Term {
				continue
			}
			silent := n.now - h.heartbeatAt
			h.unhealthy = h.unhealthy && n.failedJobCount(h) > 0 // the jobs may have turned out to be at fault
			v := machineView{known: true, reclaimed: h.reclaimAt > 0, draining: h.draining, unhealthy: h.unhealthy, unconfirmed: !h.tokenConfirmed && !h.newlyBooted,
				errors: n.failedJobCount(h), images: n.imageCount(h)}
			switch {
			case silent > 3*n.cfg.HeartbeatInterval:
				v.missedHeartbeats = 2
			case silent > 2*n.cfg.HeartbeatInterval:
				v.missedHeartbeats = 1
			}
			// Machines could not report to us before we could answer. A unresponsive
			// one is as good as lost: all it does ends with its lease.
			v.unreachable = h.unresponsive || n.isUnreachable(h, min(silent, n.now-p.ValidSince), 2*fresh > all)
			if v != h.view || h.viewTerm != p.Term {
				n.setView(h, v, p.Term)
				n.noteViewChange(h)
				n.leader.planNeeded = true
			}
		}
	}
}

// setView takes what the owner of a machine says of it.
func (n *Node) setView(h *machine, v machineView, term uint64) {
	if v.unconfirmed && (!h.view.unconfirmed || h.viewTerm != term) {
		h.unconfirmedSince = n.now
	}
	h.view, h.viewTerm = v, term
}

// gossipReceived takes a peer's message.
func (n *Node) gossipReceived(m *wire.Gossip) {
	if m == nil || !slices.ContainsFunc(n.cfg.Members, func(x Member) bool { return x.Name == m.From }) || m.From == n.cfg.Self {
		return
	}
	was := n.peers[m.From]
	if !m.StoreOK && (was == nil || was.message.StoreOK) {
		n.refusedSince[m.From] = n.now
	}
	if !slices.IsSorted(m.Strays) { // from a version that tells them as they came
		m.Strays = slices.Sorted(slices.Values(m.Strays))
	}
	p := &peer{heardAt: n.now, message: m}
	if was != nil && was.message.Life == m.Life {
		if p.version = was.version; m.UpS < was.message.UpS {
			return // overtaken by a newer one
		}
	}
	n.peers[m.From] = p
	// Changes after a version that we have not reached leave a gap: what we
	// say we have seen makes the peer tell it again.
	if m.Since <= p.version && m.Ver >= p.version {
		p.version = m.Ver
		n.receiveMachines(m)
	}
	n.receiveGangHolds(m.Holds)
	n.receiveLeaderView(m.From, m.Leader)
	// A newer term than the replica shows means that we have lost the shard and
	// can't see it: we are refused by the state service.
	for i, ix := range m.Parts {
		if ix >= 0 && ix < len(n.shards) && i < len(m.Terms) && m.Terms[i] > n.shards[ix].Term {
			n.putShard(n.shards[ix], &wire.Shard{Owner: m.From, Incarnation: m.Life}, m.Terms[i])
		}
	}
	n.followLeader(m)
}

// receiveMachines takes what a peer says of its machines.
func (n *Node) receiveMachines(m *wire.Gossip) {
	name := func(i int) string {
		if i < 0 || i >= len(m.Names) {
			return ""
		}
		return m.Names[i]
	}
	for i := range m.Hosts {
		n.workCount++
		info := &m.Hosts[i]
		part := n.shardOf(n.names.Zones.Find(name(info.Zone)), info.Name)
		if part < 0 {
			continue
		}
		h := n.machineNamed(info.Name)
		if n.owns(n.shards[part]) {
			continue // we know better
		}
		// One that has lost the shard without having seen it finds its machines
		// silent; heeded, they were returned with all that ran on them.
		term := uint64(0)
		for k, ix := range m.Parts {
			if ix == part && k < len(m.Terms) {
				term = m.Terms[k]
			}
		}
		if term < n.shards[part].Term {
			continue
		}
		n.setShard(h, part)
		if rig := name(info.Rig); rig != "" {
			h.machineType = n.names.MachineTypes.Of(rig)
		}
		f := info.Flags
		h.spot = f&wire.FlagSpot != 0
		v := machineView{known: true, reclaimed: f&wire.FlagReclaimed != 0, draining: f&wire.FlagDraining != 0, unhealthy: f&wire.FlagUnhealthy != 0,
			unreachable: f&wire.FlagUnreachable != 0, unconfirmed: f&wire.FlagUnconfirmed != 0, missedHeartbeats: f >> 8, errors: info.Errors}
		n.setView(h, v, term)
		h.draining = h.view.draining
		if h.view.missedHeartbeats == 0 {
			h.bouncedAt = 0 // it has reached its owner
		}
		for _, im := range info.Images {
			h.images.Add(n.names.Images.Of(name(im)))
		}
	}
	n.leader.planNeeded = n.leader.planNeeded || len(m.Hosts) > 0
}

// followLeader does what the leader asks of owners.
func (n *Node) followLeader(m *wire.Gossip) {
	if n.leader.record == nil || n.leader.record.Controller != m.From {
		return
	}
	for _, name := range m.Returned {
		if ix := n.names.Machines.Find(name); ix >= 0 {
			n.machines[ix].returned = true
		}
	}
	// Owners choose the machines. Without knowing which ones the leader keeps
	// for a gang they filled them again as soon as a task on them had ended.
	clear(n.reservedMachines)
	n.reservedMachinesAt = n.now
	for _, k := range m.Kept {
		if h, j := n.names.Machines.Find(k.Host), n.names.Jobs.Find(k.Ref); h >= 0 && j >= 0 {
			n.reservedMachines[h] = j
		}
	}
	asked := make(map[string]bool, len(m.Retire))
	for _, name := range m.Retire {
		asked[name] = true
		if ix := n.names.Machines.Find(name); ix >= 0 {
			h := n.machines[ix]
			if h.shard >= 0 && n.owns(n.shards[h.shard]) && len(h.placements) == 0 && len(h.reportedTasks) == 0 && !h.draining {
				h.draining = true
				n.draining = append(n.draining, h.index)
				n.sendGossip(true)
			}
		}
	}
	n.draining = slices.DeleteFunc(n.draining, func(ix int) bool {
		h := n.machines[ix]
		// A leader that was replaced early may still return what it had asked for.
		if h.draining && !asked[h.name] && n.now >= n.cloudOpensAt() {
			h.draining = false
		}
		return !h.draining || h.returned
	})
}
