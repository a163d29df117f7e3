package core

import (
	"slices"

	"micaport/internal/ownership"
	"micaport/internal/wire"
)

// gossipReceived takes in a peer's message.
func (n *Node) gossipReceived(message *wire.Gossip) {
	if message == nil || !n.isPeer(message.From) {
		return
	}
	last := n.peers[message.From]
	if !message.StoreOK && (last == nil || last.message.StoreOK) {
		n.refusedSince[message.From] = n.now
	}
	if !slices.IsSorted(message.Strays) { // a peer of an earlier version doesn't sort them
		message.Strays = slices.Sorted(slices.Values(message.Strays))
	}
	p := &peer{receivedAt: n.now, message: message}
	if last != nil && last.message.Life == message.Life {
		if message.UpS < last.message.UpS {
			return // overtaken by a newer one
		}
		p.version = last.version
	}
	n.peers[message.From] = p
	// Changes after a version that is not known here leave a gap: the version that our
	// next message names makes the peer send them again.
	if message.Since <= p.version && message.Ver >= p.version {
		p.version = message.Ver
		n.receiveMachines(message)
	}
	n.receiveGangHolds(message.Holds)
	n.receiveLeaderView(message.From, message.Leader)
	n.receiveShards(message)
	n.followLeader(message)
}

// isPeer reports whether a name is that of another controller.
func (s *site) isPeer(name string) bool {
	return name != s.cfg.Self &&
		slices.ContainsFunc(s.cfg.Members, func(member ownership.Member) bool { return member.Name == name })
}

// receiveShards takes in which shards a peer owns. A newer term than the replica shows
// means that a shard has changed hands and this controller can't see it: the state service
// refuses it.
func (n *Node) receiveShards(message *wire.Gossip) {
	for i, index := range message.Parts {
		if index >= 0 && index < len(n.shards) && i < len(message.Terms) && message.Terms[i] > n.shards[index].Term {
			n.putShard(n.shards[index], &wire.Shard{Owner: message.From, Incarnation: message.Life}, message.Terms[i])
		}
	}
}

// receiveMachines takes in a peer's views of its machines.
func (n *Node) receiveMachines(message *wire.Gossip) {
	for i := range message.Hosts {
		n.workCount++
		n.receiveMachine(message, &message.Hosts[i])
	}
	n.leader.passNeeded = n.leader.passNeeded || len(message.Hosts) > 0
}

func (n *Node) receiveMachine(message *wire.Gossip, info *wire.MachineInfo) {
	index := n.ownership.ShardOf(n.names.Zones.Find(messageName(message, info.Zone)), info.Name)
	if index < 0 {
		return
	}
	machine := n.machineNamed(info.Name)
	shard := n.shards[index]
	if n.owns(shard) {
		return // our own view is better
	}
	// A peer that has lost the shard without having seen it finds its machines
	// silent. When that counted, they were returned with all that ran on them.
	term := termIn(message, index)
	if term < shard.Term {
		return
	}
	n.setShard(machine, index)
	if machineType := messageName(message, info.Rig); machineType != "" {
		machine.machineType = n.names.MachineTypes.Of(machineType)
	}
	machine.spot = info.Flags&wire.FlagSpot != 0
	n.setView(machine, viewOf(info), term)
	machine.draining = machine.view.draining
	if machine.view.missedHeartbeats == 0 {
		machine.bouncedAt = 0 // it has reached its owner
	}
	for _, image := range info.Images {
		machine.images.Add(n.names.Images.Of(messageName(message, image)))
	}
}

// messageName is the name with an index in a message, or "".
func messageName(message *wire.Gossip, i int) string {
	if i < 0 || i >= len(message.Names) {
		return ""
	}
	return message.Names[i]
}

// termIn is the term in which the sender of a message owns a shard, or 0.
func termIn(message *wire.Gossip, shard int) uint64 {
	term := uint64(0)
	for i, index := range message.Parts {
		if index == shard && i < len(message.Terms) {
			term = message.Terms[i]
		}
	}
	return term
}
