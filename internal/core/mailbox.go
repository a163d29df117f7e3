package core

import (
	"micaport/internal/wire"
)

// The message to peers that is left with the state service while one can't be heard.

// writeMailbox leaves the message with the state service while some peer
// can't be heard. Zones that are cut from each other both reach the service,
// so the leader goes on knowing the machines on the other side. Nothing rests
// on it: a message that is lost, late or old costs a better choice, no more.
// It holds as many changes as fit a value; the rest follows with the next.
func (n *Node) writeMailbox(m wire.Gossip) {
	if n.now < n.mailboxAt || !n.storeOK || n.now < 10*second {
		return
	}
	silent, base := false, n.version
	for _, x := range n.cfg.Members {
		if x.Name == n.cfg.Self {
			continue
		}
		if p := n.peers[x.Name]; p == nil || p.byMailbox || n.now-p.heardAt > 3*second {
			silent = true
			if p != nil { // one that was never heard may be dead; it will ask
				base = min(base, n.versionSeenBy(x.Name))
			}
		}
	}
	if !silent {
		return
	}
	n.mailboxAt = n.now + n.cfg.HeartbeatInterval
	// Controllers that are cut from each other but all reach the service would otherwise
	// replace each other's leader in turns: only who can be heard directly is evidence.
	m.Leader = nil
	m.Returned = m.Returned[max(0, len(m.Returned)-20):]
	m.Retire = m.Retire[:min(len(m.Retire), 20)]
	m.Strays = m.Strays[:min(len(m.Strays), 20)]
	// 40 bytes are ample for a machine, with six images; names and the rest
	// stay well within a quarter of the value.
	short := n.withViewChanges(m, base, max(1, n.cfg.MaxValueBytes*5/8/40))
	for k := len(short.Hosts); k > 1 && !n.valueFits(short); {
		// Where values are small the rest of the message takes most of one.
		k /= 2
		m.Returned, m.Retire, m.Strays = m.Returned[:len(m.Returned)/2], m.Retire[:len(m.Retire)/2], m.Strays[:len(m.Strays)/2]
		m.Kept, m.Holds = m.Kept[:min(len(m.Kept), 8*k)], m.Holds[:min(len(m.Holds), 8*k)]
		short = n.withViewChanges(m, base, k)
	}
	if !n.valueFits(short) {
		return
	}
	if short.Ver < n.version {
		// More is to be told than fits. With hundreds of machines up at once
		// the leader would plan without most of them for a while.
		n.mailboxAt = n.now + max(second, Time(float64(n.cfg.HeartbeatInterval)*n.writeScarcity()))
	}
	n.commit(ClassBackground, nil, []Write{{Key: wire.MailboxPrefix + n.cfg.Self, Value: short}}, func(Committed) {})
}

// valueFits tells whether a value is within the limits.
func (n *Node) valueFits(v any) bool {
	size, err := wire.JSONSize(v)
	return err == nil && size <= n.cfg.MaxValueBytes
}

// readMailbox takes a message left with the state service, unless the
// peer can be heard directly or the message is an old one.
func (n *Node) readMailbox(message *wire.Gossip) {
	if p := n.peers[message.From]; p != nil && (!p.byMailbox && n.now-p.heardAt < 3*second || p.message.Life == message.Life && message.UpS <= p.message.UpS) {
		return
	}
	n.gossipReceived(message)
	if p := n.peers[message.From]; p != nil && p.message == message {
		p.byMailbox = true
	}
}
