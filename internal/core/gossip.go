package core

import (
	"time"

	"micaport/internal/wire"
)

const (
	// gossipInterval is the time between two messages when nothing is urgent.
	gossipInterval = second
	// minGossipInterval is the least time between two messages, so that simultaneous changes of
	// many machines are sent in one message.
	minGossipInterval = 150 * time.Millisecond
)

// sendOrExpediteGossip sends a message to each peer if one is due. With expedite set it sends
// nothing, but makes the next message due as soon as minGossipInterval allows.
//
// Gossip messages carry the shards that this controller owns, its views of their machines, and the
// leader's instructions. Each receiver gets the views that have changed since the version that
// it has received; see viewLog.
func (n *Node) sendOrExpediteGossip(expedite bool) {
	if expedite {
		n.nextGossipAt = min(n.nextGossipAt, n.gossipSentAt+minGossipInterval)
		return
	}
	if n.now < n.nextGossipAt {
		return
	}
	n.nextGossipAt, n.gossipSentAt = n.now+gossipInterval, n.now
	n.updateOwnViews()
	message := n.gossipMessage()
	// Peers that have received the same version get the same message.
	byVersion := map[uint64]*wire.Gossip{}
	for _, member := range n.cfg.Members {
		if member.Name == n.cfg.Self {
			continue
		}
		base := n.versionSeenBy(member.Name)
		if byVersion[base] == nil {
			byVersion[base] = n.withViewChanges(message, base, len(n.machines))
		}
		n.emit(SendGossip{To: member.Name, Message: byVersion[base]})
	}
	n.writeMailbox(message)
}

// gossipMessage returns a message without views of machines, which withViewChanges adds. A leader
// also applies the instructions in the message to itself, as the owner of its own shards.
func (n *Node) gossipMessage() wire.Gossip {
	message := wire.Gossip{
		From: n.cfg.Self, Life: n.cfg.Incarnation, UpS: n.now.Seconds(), StoreOK: n.storeOK, CutOff: n.isIsolated(),
		Holds: n.ownGangAnswers(), Strays: n.machinesMissedByOwners(), Seen: map[string]wire.SeenVersion{}, Need: n.budget.pendingRecords,
		Leader: n.leaderView(),
	}
	for _, shard := range n.shards {
		if n.mayActAsOwner(shard) {
			message.Parts = append(message.Parts, shard.Index)
			message.Terms = append(message.Terms, shard.Term)
		}
	}
	for name, p := range n.peers {
		message.Seen[name] = wire.SeenVersion{Life: p.message.Life, Ver: p.viewVersion}
	}
	if n.isLeader() {
		n.addLeaderInstructions(&message)
		n.applyLeaderInstructions(&message)
	}
	return message
}

// addLeaderInstructions adds the leader's instructions to the owners of shards.
func (n *Node) addLeaderInstructions(message *wire.Gossip) {
	message.Retire = n.leader.machinesToDrain(n)
	message.Returned = n.leader.recentlyDeprovisioned(n)
	message.Kept = n.leader.reservations
	message.Tries = n.gangs.Announced()
}

// versionSeenBy returns the version up to which a peer has received this controller's machine
// views, as its last message reports; 0 if that message reports no version of this incarnation.
func (n *Node) versionSeenBy(name string) uint64 {
	if p := n.peers[name]; p != nil {
		if seen := p.message.Seen[n.cfg.Self]; seen.Life == n.cfg.Incarnation {
			return seen.Ver
		}
	}
	return 0
}
