package core

import (
	"micaport/internal/kv"
	"micaport/internal/wire"
)

const (
	// mailboxStartDelay is the time after the start of the process in which no mailbox is
	// written: a peer without a message may merely not have been reached yet.
	mailboxStartDelay = 10 * second
	// maxMailboxNames is the maximum length of each list of machine names in a mailbox message.
	maxMailboxNames = 20
	// mailboxViewBytes is an upper estimate of the size of a machine's view with six images.
	mailboxViewBytes = 40
	// maxMailboxListEntries is the maximum number of reservations and of holds, for each machine
	// view, in a message that had to be shortened.
	maxMailboxListEntries = 8
)

// writeMailbox writes a message to this controller's mailbox, a key of the state service that the
// peers read, while a peer can't be reached directly. The message has as many view changes as fit
// into a value; the next message has further ones.
//
// Zones that are partitioned from each other may both reach the state service. Through the mailbox
// the leader still receives the views of the machines in the other zone. Correctness does not
// depend on it: a lost, late or old message only leads to worse scheduling decisions.
func (n *Node) writeMailbox(message wire.Gossip) {
	if n.now < n.nextMailboxWriteAt || !n.storeOK || n.now < mailboxStartDelay {
		return
	}
	base, unreachable := n.mailboxBase()
	if !unreachable {
		return
	}
	n.nextMailboxWriteAt = n.now + n.cfg.HeartbeatInterval
	value := n.mailboxMessage(message, base)
	if !n.valueFits(value) {
		return
	}
	if value.Ver < n.views.version {
		// More changes remain than fit this message. When hundreds of machines boot at once, the
		// leader would otherwise schedule without most of them until the regular interval ends.
		n.nextMailboxWriteAt = n.now + max(second, Time(float64(n.cfg.HeartbeatInterval)*n.writeScarcity()))
	}
	n.transact(ClassBackground, nil, []kv.Write{{Key: wire.MailboxPrefix + n.cfg.Self, Value: value}}, ignoreResult{})
}

// mailboxBase reports whether any peer can't be reached directly, and returns the version up to
// which all such peers have received this controller's views.
func (n *Node) mailboxBase() (base uint64, unreachable bool) {
	base = n.views.version
	for _, member := range n.cfg.Members {
		if member.Name == n.cfg.Self {
			continue
		}
		p := n.peers[member.Name]
		if p != nil && !p.viaMailbox && n.now-p.receivedAt <= peerAliveTime {
			continue
		}
		unreachable = true
		// A peer that has never sent a message may not run. Its first message will report the
		// version that it has received.
		if p != nil {
			base = min(base, n.versionSeenBy(member.Name))
		}
	}
	return base, unreachable
}

// mailboxMessage returns a copy of a message with view changes, shortened to the size limit of a
// value where possible.
func (n *Node) mailboxMessage(message wire.Gossip, base uint64) *wire.Gossip {
	// A report on the leader is evidence only if a peer sends it directly. Controllers that are
	// partitioned from each other but reach the state service would otherwise replace each
	// other as the leader in turns.
	message.Leader = nil
	drained := len(message.Retire)
	message.Returned = message.Returned[max(0, len(message.Returned)-maxMailboxNames):]
	message.Retire = message.Retire[:min(len(message.Retire), maxMailboxNames)]
	message.RetireCut = len(message.Retire) < drained
	message.Strays = message.Strays[:min(len(message.Strays), maxMailboxNames)]
	// The names and the other fields use well below a quarter of the size limit.
	value := n.withViewChanges(message, base, max(1, n.cfg.MaxValueBytes*5/8/mailboxViewBytes))
	for count := len(value.Hosts); count > 1 && !n.valueFits(value); {
		// If the size limit is small, the other fields use most of it.
		count /= 2
		message.Returned = message.Returned[:len(message.Returned)/2]
		message.Retire = message.Retire[:len(message.Retire)/2]
		message.RetireCut = len(message.Retire) < drained
		message.Strays = message.Strays[:len(message.Strays)/2]
		message.Kept, message.Holds = message.Kept[:min(len(message.Kept), maxMailboxListEntries*count)], message.Holds[:min(len(message.Holds), maxMailboxListEntries*count)]
		value = n.withViewChanges(message, base, count)
	}
	return value
}

// valueFits reports whether a value is within the size limit of the state service.
func (s *site) valueFits(v any) bool {
	size, err := wire.JSONSize(v)
	return err == nil && size <= s.cfg.MaxValueBytes
}

// applyMailboxMessage applies the message in a peer's mailbox, unless the peer is reachable directly
// or the message is not newer than the last one received from it.
func (n *Node) applyMailboxMessage(message *wire.Gossip) {
	if p := n.peers[message.From]; p != nil {
		direct := !p.viaMailbox && n.now-p.receivedAt < peerAliveTime
		old := p.message.Life == message.Life && message.UpS <= p.message.UpS
		if direct || old {
			return
		}
	}
	n.receiveGossip(message)
	if p := n.peers[message.From]; p != nil && p.message == message {
		p.viaMailbox = true
	}
}
