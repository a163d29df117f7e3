package core

import (
	"time"

	"micaport/internal/wire"
)

// Gossip tells the other controllers which shards this one owns, how their machines are,
// and what it decides as the leader. A message has the views of the machines that changed
// since the version that its receiver has seen (view_changes.go).

const (
	// gossipInterval is the time between two messages when nothing presses.
	gossipInterval = second
	// minGossipInterval is the least time between two messages: what happens on
	// many machines at the same time goes into one message.
	minGossipInterval = 150 * time.Millisecond
)

// sendGossip sends a message to each peer if it is time, or, with now set, has one sent as
// soon as possible.
func (n *Node) sendGossip(now bool) {
	if now {
		n.gossipAt = min(n.gossipAt, n.gossipSentAt+minGossipInterval)
		return
	}
	if n.now < n.gossipAt {
		return
	}
	n.gossipAt, n.gossipSentAt = n.now+gossipInterval, n.now
	n.updateOwnViews()
	message := n.gossipMessage()
	// Peers that have seen the same version get the same message.
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

// gossipMessage makes a message that lacks the views of machines.
func (n *Node) gossipMessage() wire.Gossip {
	message := wire.Gossip{
		From: n.cfg.Self, Life: n.cfg.Incarnation, UpS: n.now.Seconds(), StoreOK: n.storeOK, CutOff: n.isolated(),
		Holds: n.gangHolds(), Strays: n.missedMachineNames(), Seen: map[string]wire.SeenVersion{}, Need: n.budget.pendingRecords,
		Leader: n.leaderView(),
	}
	for _, shard := range n.shards {
		if n.mayActAsOwner(shard) {
			message.Parts = append(message.Parts, shard.Index)
			message.Terms = append(message.Terms, shard.Term)
		}
	}
	for name, p := range n.peers {
		message.Seen[name] = wire.SeenVersion{Life: p.message.Life, Ver: p.version}
	}
	if n.isLeader() {
		n.addLeaderInstructions(&message)
		n.followLeader(&message)
	}
	return message
}

// addLeaderInstructions adds what the leader asks of the owners of shards.
func (n *Node) addLeaderInstructions(message *wire.Gossip) {
	message.Retire = n.leader.drainList(n)
	message.Returned = n.leader.recentlyReturned(n)
	message.Kept = n.leader.reservations
	message.Tries = n.gangs.Announced()
}

// versionSeenBy is the version of the views of this controller's machines that a peer has
// taken in. It is 0 for a peer that names no version of this incarnation.
func (n *Node) versionSeenBy(name string) uint64 {
	if p := n.peers[name]; p != nil {
		if seen := p.message.Seen[n.cfg.Self]; seen.Life == n.cfg.Incarnation {
			return seen.Ver
		}
	}
	return 0
}
