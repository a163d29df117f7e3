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
	for _, shard := range n.shards {
		if n.mayActAsOwner(shard) {
			m.Parts = append(m.Parts, shard.Index)
			m.Terms = append(m.Terms, shard.Term)
		}
	}
	for label, p := range n.peers {
		m.Seen[label] = wire.SeenVersion{Life: p.message.Life, Ver: p.version}
	}
	if n.isLeader() {
		m.Retire = n.leader.drainList(n)
		m.Returned = n.leader.recentlyReturned(n)
		m.Kept = n.leader.reservations
		m.Tries = n.gangs.Announced()
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
func (n *Node) noteViewChange(machine *machine) {
	n.version++
	machine.viewVersion = n.version
	n.changeLog = append(n.changeLog, viewChange{n.version, machine.index})
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
		machine := n.machines[c.machine]
		n.workCount++
		if machine.viewVersion != c.version || machine.shard < 0 || !n.mayActAsOwner(n.shards[machine.shard]) || !machine.view.known {
			continue
		}
		if len(m.Hosts) >= limit {
			m.Ver = c.version - 1
			break
		}
		i := wire.MachineInfo{Name: machine.name, Zone: names.Of(n.names.Zones.Name(machine.zone)), Errors: machine.view.errors,
			Flags: wire.Flags(machine.spot, machine.view.reclaimed, machine.view.draining, machine.view.unhealthy, machine.view.unreachable, machine.view.unconfirmed) + machine.view.missedHeartbeats<<8}
		if machine.machineType >= 0 {
			i.Rig = names.Of(n.names.MachineTypes.Name(machine.machineType))
		}
		machine.images.Each(func(im int) { i.Images = append(i.Images, names.Of(n.names.Images.Name(im))) })
		m.Hosts = append(m.Hosts, i)
	}
	for i := range names.Len() {
		m.Names = append(m.Names, names.Name(i))
	}
	return &m
}

// updateOwnViews brings our view of our own machines up to date.
func (n *Node) updateOwnViews() {
	for _, shard := range n.shards {
		if !n.mayActAsOwner(shard) {
			continue
		}
		fresh, all := 0, 0
		for _, machine := range shard.machines {
			if machine.term == shard.Term && !machine.returned {
				all++
				if n.now-machine.heartbeatAt < 2*n.cfg.HeartbeatInterval {
					fresh++
				}
			}
		}
		for _, machine := range shard.machines {
			n.workCount++
			if machine.term != shard.Term {
				continue
			}
			silent := n.now - machine.heartbeatAt
			machine.unhealthy = machine.unhealthy && n.failedJobCount(machine) > 0 // the jobs may have turned out to be at fault
			v := machineView{known: true, reclaimed: machine.reclaimAt > 0, draining: machine.draining, unhealthy: machine.unhealthy, unconfirmed: !machine.tokenConfirmed && !machine.newlyBooted,
				errors: n.failedJobCount(machine), images: n.imageCount(machine)}
			switch {
			case silent > 3*n.cfg.HeartbeatInterval:
				v.missedHeartbeats = 2
			case silent > 2*n.cfg.HeartbeatInterval:
				v.missedHeartbeats = 1
			}
			// Machines could not report to us before we could answer. A unresponsive
			// one is as good as lost: all it does ends with its lease.
			v.unreachable = machine.unresponsive || n.isUnreachable(machine, min(silent, n.now-shard.ValidSince), 2*fresh > all)
			if v != machine.view || machine.viewTerm != shard.Term {
				n.setView(machine, v, shard.Term)
				n.noteViewChange(machine)
				n.leader.planNeeded = true
			}
		}
	}
}

// setView takes what the owner of a machine says of it.
func (n *Node) setView(machine *machine, v machineView, term uint64) {
	if v.unconfirmed && (!machine.view.unconfirmed || machine.viewTerm != term) {
		machine.unconfirmedSince = n.now
	}
	machine.view, machine.viewTerm = v, term
}

// gossipReceived takes a peer's message.
func (n *Node) gossipReceived(message *wire.Gossip) {
	if message == nil || !slices.ContainsFunc(n.cfg.Members, func(x Member) bool { return x.Name == message.From }) || message.From == n.cfg.Self {
		return
	}
	was := n.peers[message.From]
	if !message.StoreOK && (was == nil || was.message.StoreOK) {
		n.refusedSince[message.From] = n.now
	}
	if !slices.IsSorted(message.Strays) { // from a version that tells them as they came
		message.Strays = slices.Sorted(slices.Values(message.Strays))
	}
	p := &peer{heardAt: n.now, message: message}
	if was != nil && was.message.Life == message.Life {
		if p.version = was.version; message.UpS < was.message.UpS {
			return // overtaken by a newer one
		}
	}
	n.peers[message.From] = p
	// Changes after a version that we have not reached leave a gap: what we
	// say we have seen makes the peer tell it again.
	if message.Since <= p.version && message.Ver >= p.version {
		p.version = message.Ver
		n.receiveMachines(message)
	}
	n.receiveGangHolds(message.Holds)
	n.receiveLeaderView(message.From, message.Leader)
	// A newer term than the replica shows means that we have lost the shard and
	// can't see it: we are refused by the state service.
	for i, index := range message.Parts {
		if index >= 0 && index < len(n.shards) && i < len(message.Terms) && message.Terms[i] > n.shards[index].Term {
			n.putShard(n.shards[index], &wire.Shard{Owner: message.From, Incarnation: message.Life}, message.Terms[i])
		}
	}
	n.followLeader(message)
}

// receiveMachines takes what a peer says of its machines.
func (n *Node) receiveMachines(message *wire.Gossip) {
	name := func(i int) string {
		if i < 0 || i >= len(message.Names) {
			return ""
		}
		return message.Names[i]
	}
	for i := range message.Hosts {
		n.workCount++
		info := &message.Hosts[i]
		part := n.ownership.ShardOf(n.names.Zones.Find(name(info.Zone)), info.Name)
		if part < 0 {
			continue
		}
		machine := n.machineNamed(info.Name)
		if n.owns(n.shards[part]) {
			continue // we know better
		}
		// One that has lost the shard without having seen it finds its machines
		// silent; heeded, they were returned with all that ran on them.
		term := uint64(0)
		for k, index := range message.Parts {
			if index == part && k < len(message.Terms) {
				term = message.Terms[k]
			}
		}
		if term < n.shards[part].Term {
			continue
		}
		n.setShard(machine, part)
		if rig := name(info.Rig); rig != "" {
			machine.machineType = n.names.MachineTypes.Of(rig)
		}
		f := info.Flags
		machine.spot = f&wire.FlagSpot != 0
		v := machineView{known: true, reclaimed: f&wire.FlagReclaimed != 0, draining: f&wire.FlagDraining != 0, unhealthy: f&wire.FlagUnhealthy != 0,
			unreachable: f&wire.FlagUnreachable != 0, unconfirmed: f&wire.FlagUnconfirmed != 0, missedHeartbeats: f >> 8, errors: info.Errors}
		n.setView(machine, v, term)
		machine.draining = machine.view.draining
		if machine.view.missedHeartbeats == 0 {
			machine.bouncedAt = 0 // it has reached its owner
		}
		for _, im := range info.Images {
			machine.images.Add(n.names.Images.Of(name(im)))
		}
	}
	n.leader.planNeeded = n.leader.planNeeded || len(message.Hosts) > 0
}

// followLeader does what the leader asks of owners.
func (n *Node) followLeader(message *wire.Gossip) {
	if n.leadership.Record() == nil || n.leadership.Record().Controller != message.From {
		return
	}
	for _, name := range message.Returned {
		if index := n.names.Machines.Find(name); index >= 0 {
			n.machines[index].returned = true
		}
	}
	// Owners choose the machines. Without knowing which ones the leader keeps
	// for a gang they filled them again as soon as a task on them had ended.
	clear(n.reservedMachines)
	n.reservedMachinesAt = n.now
	for _, k := range message.Kept {
		if h, j := n.names.Machines.Find(k.Host), n.names.Jobs.Find(k.Ref); h >= 0 && j >= 0 {
			n.reservedMachines[h] = j
		}
	}
	asked := make(map[string]bool, len(message.Retire))
	for _, name := range message.Retire {
		asked[name] = true
		if index := n.names.Machines.Find(name); index >= 0 {
			machine := n.machines[index]
			if machine.shard >= 0 && n.owns(n.shards[machine.shard]) && len(machine.placements) == 0 && len(machine.reportedTasks) == 0 && !machine.draining {
				machine.draining = true
				n.draining = append(n.draining, machine.index)
				n.sendGossip(true)
			}
		}
	}
	n.draining = slices.DeleteFunc(n.draining, func(index int) bool {
		machine := n.machines[index]
		// A leader that was replaced early may still return what it had asked for.
		if machine.draining && !asked[machine.name] && n.now >= n.cloudOpensAt() {
			machine.draining = false
		}
		return !machine.draining || machine.returned
	})
}
