package core

import "micaport/internal/wire"

// gossipState is the state of the gossip between controllers: the peers' last messages and the
// change log of this controller's own views.
type gossipState struct {
	peers              map[string]*peer // by name; without controllers that have sent no message
	storeRefusedSince  map[string]Time  // by name: since when the state service has refused a peer, by its own report
	nextGossipAt       Time             // when the next message is due
	gossipSentAt       Time             // when the last message was sent
	nextMailboxWriteAt Time             // earliest time of the next write to the mailbox

	views               viewLog
	nextViewUpdateAt    Time  // when the next update of the views of this controller's machines is due; 0: at once
	misdirectedMachines []int // indices of the machines of other owners that this controller has recently redirected

	reserved         reservations
	drainingMachines []int // this controller's machines that are draining at the leader's request
}

func newGossipState() gossipState {
	return gossipState{peers: map[string]*peer{}, storeRefusedSince: map[string]Time{}, reserved: reservations{jobs: map[int]int{}}}
}

// peer is the state of another controller, as of its last message.
type peer struct {
	receivedAt   Time
	message      *wire.Gossip
	viewVersion  uint64 // version up to which its machine views have been received
	viaMailbox   bool   // the message arrived by the mailbox
	disconnected bool   // the connection to it has broken since the message arrived
}
