package core

import (
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// The mailbox: gossip that is left with the state service while a peer can't be reached.
// Zones that are cut off from each other both reach the service, so the leader goes on
// knowing the machines on the other side. Nothing depends on it: a message that is lost,
// late or old costs a better choice, no more.

const (
	// mailboxStartDelay is the time after the start before which peers may not yet have
	// been reached, which then says nothing.
	mailboxStartDelay = 10 * second
	// mailboxNames bounds each list of machines' names in a mailbox message.
	mailboxNames = 20
	// mailboxMachineBytes is ample for the view of a machine with six images.
	mailboxMachineBytes = 40
	// mailboxListEntries bounds the reservations and holds in a message that had to be
	// shortened, for each machine that it shows.
	mailboxListEntries = 8
)

// writeMailbox writes a message to the state service while some peer can't be reached. It
// has as many view changes as fit a value; the rest follows with the next.
func (n *Node) writeMailbox(message wire.Gossip) {
	if n.now < n.mailboxAt || !n.storeOK || n.now < mailboxStartDelay {
		return
	}
	base, silent := n.mailboxBase()
	if !silent {
		return
	}
	n.mailboxAt = n.now + n.cfg.HeartbeatInterval
	value := n.mailboxMessage(message, base)
	if !n.valueFits(value) {
		return
	}
	if value.Ver < n.views.version {
		// There are more changes than fit. With hundreds of machines up at once
		// the leader would plan without most of them for a while.
		n.mailboxAt = n.now + max(second, Time(float64(n.cfg.HeartbeatInterval)*n.writeScarcity()))
	}
	n.transact(ClassBackground, nil, []kv.Write{{Key: wire.MailboxPrefix + n.cfg.Self, Value: value}}, ignoreResult{})
}

// mailboxBase reports whether some peer can't be reached directly, and gives the version
// of the views that all those have seen.
func (n *Node) mailboxBase() (base uint64, silent bool) {
	base = n.views.version
	for _, member := range n.cfg.Members {
		if member.Name == n.cfg.Self {
			continue
		}
		p := n.peers[member.Name]
		if p != nil && !p.byMailbox && n.now-p.receivedAt <= peerAliveTime {
			continue
		}
		silent = true
		if p != nil { // one that was never reached may not exist; if it does, it will name a version
			base = min(base, n.versionSeenBy(member.Name))
		}
	}
	return base, silent
}

// mailboxMessage completes a message with view changes, shortened to what fits a value if
// possible.
func (n *Node) mailboxMessage(message wire.Gossip, base uint64) *wire.Gossip {
	// Controllers that are cut off from each other but all reach the service would otherwise
	// replace each other's leader in turns: only what a peer says directly is evidence.
	message.Leader = nil
	message.Returned = message.Returned[max(0, len(message.Returned)-mailboxNames):]
	message.Retire = message.Retire[:min(len(message.Retire), mailboxNames)]
	message.Strays = message.Strays[:min(len(message.Strays), mailboxNames)]
	// Names and the rest stay well within a quarter of the value.
	value := n.withViewChanges(message, base, max(1, n.cfg.MaxValueBytes*5/8/mailboxMachineBytes))
	for count := len(value.Hosts); count > 1 && !n.valueFits(value); {
		// Where values are small the rest of the message takes most of one.
		count /= 2
		message.Returned = message.Returned[:len(message.Returned)/2]
		message.Retire = message.Retire[:len(message.Retire)/2]
		message.Strays = message.Strays[:len(message.Strays)/2]
		message.Kept, message.Holds = message.Kept[:min(len(message.Kept), mailboxListEntries*count)], message.Holds[:min(len(message.Holds), mailboxListEntries*count)]
		value = n.withViewChanges(message, base, count)
	}
	return value
}

// valueFits reports whether a value is within the limits of the state service.
func (s *site) valueFits(v any) bool {
	size, err := wire.JSONSize(v)
	return err == nil && size <= s.cfg.MaxValueBytes
}

// readMailbox takes in a message that was left with the state service, unless the
// peer is reachable directly or the message is an old one.
func (n *Node) readMailbox(message *wire.Gossip) {
	if p := n.peers[message.From]; p != nil {
		direct := !p.byMailbox && n.now-p.receivedAt < peerAliveTime
		old := p.message.Life == message.Life && message.UpS <= p.message.UpS
		if direct || old {
			return
		}
	}
	n.gossipReceived(message)
	if p := n.peers[message.From]; p != nil && p.message == message {
		p.byMailbox = true
	}
}
