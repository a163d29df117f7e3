package core

import "micaport/internal/wire"

// gossipState is what this controller tells the others and hears from them.
type gossipState struct {
	peers              map[string]*peer
	gossipAt           Time
	gossipSentAt       Time
	version            uint64       // of our view of our own machines
	changeLog          []viewChange // of our machines, in order of version
	strayMachines      []int        // machines of others that came here lately
	reservedMachines   map[int]int  // machines that the leader keeps for a job
	reservedMachinesAt Time
	draining           []int // machines that the leader wants emptied
	ownViewAt          Time

	refusedSince map[string]Time
	mailboxAt    Time
}

// peer is what was last heard from another controller.
type peer struct {
	heardAt   Time
	message   *wire.Gossip
	version   uint64 // how far we have taken in its changes
	byMailbox bool   // heard through the state service only
	broken    bool   // our connection to it has broken since
}
