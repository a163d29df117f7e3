package core

import "micaport/internal/wire"

// gossipState is what this controller tells the others and what they have told.
type gossipState struct {
	peers        map[string]*peer // by name; a controller that was never heard is absent
	refusedSince map[string]Time  // by name: since when the state service has refused a peer
	gossipAt     Time             // when the next message is due
	gossipSentAt Time
	mailboxAt    Time // no message to the mailbox before this

	views               viewLog
	ownViewsAt          Time  // when the views of this controller's machines are next brought up to date
	misdirectedMachines []int // machines of other owners that came here lately

	reserved reservations
	draining []int // own machines that the leader wants to be emptied
}

func newGossipState() gossipState {
	return gossipState{peers: map[string]*peer{}, refusedSince: map[string]Time{}, reserved: reservations{jobs: map[int]int{}}}
}

// peer is the last message of another controller.
type peer struct {
	receivedAt Time
	message    *wire.Gossip
	version    uint64 // of its machines' views, up to which they have been taken in
	byMailbox  bool   // the message came through the state service
	broken     bool   // the connection to it has broken since
}
