package core

import (
	"slices"

	"micaport/internal/ownership"
	"micaport/internal/wire"
)

// receiveGossip applies a gossip message of a peer.
func (n *Node) receiveGossip(message *wire.Gossip) {
	if message == nil || !n.isPeer(message.From) {
		return
	}
	last := n.peers[message.From]
	if !message.StoreOK && (last == nil || last.message.StoreOK) {
		n.storeRefusedSince[message.From] = n.now
	}
	if !slices.IsSorted(message.Strays) { // controllers of earlier versions don't sort them
		message.Strays = slices.Sorted(slices.Values(message.Strays))
	}
	p := &peer{receivedAt: n.now, message: message}
	if last != nil && last.message.Life == message.Life {
		if message.UpS < last.message.UpS {
			return // a newer message has already arrived
		}
		p.viewVersion = last.viewVersion
	}
	n.peers[message.From] = p
	// If the message starts after a version that this controller has not received, some views are
	// missing, and all are ignored. The next message to the peer contains the last version
	// received, so that the peer sends all views that have changed since.
	if message.Since <= p.viewVersion && message.Ver >= p.viewVersion {
		p.viewVersion = message.Ver
		n.receiveMachines(message)
	}
	n.applyGangAnswers(message.Holds)
	n.receiveLeaderView(message.From, message.Leader)
	n.receiveShards(message)
	n.applyLeaderInstructions(message)
}

// isPeer reports whether a name is that of another controller of the site.
func (s *site) isPeer(name string) bool {
	return name != s.cfg.Self &&
		slices.ContainsFunc(s.cfg.Members, func(member ownership.Member) bool { return member.Name == name })
}

// receiveShards applies a peer's list of the shards that it owns. A newer term than the replica
// shows means that the shard has a new owner whose claim this controller can't see, because the
// state service refuses to serve this controller.
func (n *Node) receiveShards(message *wire.Gossip) {
	for i, index := range message.Parts {
		if index >= 0 && index < len(n.shards) && i < len(message.Terms) && message.Terms[i] > n.shards[index].Term {
			n.applyShardClaim(n.shards[index], &wire.Shard{Owner: message.From, Incarnation: message.Life}, message.Terms[i])
		}
	}
}

// receiveMachines stores a peer's views of its machines.
func (n *Node) receiveMachines(message *wire.Gossip) {
	for i := range message.Hosts {
		n.examinedMachines++
		n.receiveMachine(message, &message.Hosts[i])
	}
	n.leader.passNeeded = n.leader.passNeeded || len(message.Hosts) > 0
}

// receiveMachine stores a peer's view of a machine, unless this controller owns the machine's shard
// or the view is of an earlier term.
func (n *Node) receiveMachine(message *wire.Gossip, info *wire.MachineInfo) {
	index := n.ownership.ShardOf(n.names.Zones.Find(messageName(message, info.Zone)), info.Name)
	if index < 0 {
		return
	}
	machine := n.getOrAddMachine(info.Name)
	shard := n.shards[index]
	if n.owns(shard) {
		return // this controller's own view takes precedence
	}
	// A peer that has lost the shard without noticing receives no heartbeats from its machines.
	// If its views were accepted, machines that run tasks would be deprovisioned as lost.
	term := senderTerm(message, index)
	if term < shard.Term {
		return
	}
	n.setShard(machine, index)
	if machineType := messageName(message, info.Rig); machineType != "" {
		machine.machineType = n.names.MachineTypes.Intern(machineType)
	}
	machine.spot = info.Flags&wire.FlagSpot != 0
	n.setView(machine, decodeView(info), term)
	machine.draining = machine.view.draining
	if machine.view.missedHeartbeats == 0 {
		machine.ownerUnreachableAt = 0 // its heartbeats reach its owner again
	}
	for _, image := range info.Images {
		machine.images.Add(n.names.Images.Intern(messageName(message, image)))
	}
}

// messageName returns the name at an index of a message's list of names, or "" if there is none.
func messageName(message *wire.Gossip, i int) string {
	if i < 0 || i >= len(message.Names) {
		return ""
	}
	return message.Names[i]
}

// senderTerm returns the term in which the sender of a message owns a shard, or 0 if it does not.
func senderTerm(message *wire.Gossip, shard int) uint64 {
	term := uint64(0)
	for i, index := range message.Parts {
		if index == shard && i < len(message.Terms) {
			term = message.Terms[i]
		}
	}
	return term
}
