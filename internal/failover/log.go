package failover

import (
	"hash/crc32"
	"time"

	"micaport/internal/wire"
)

// The decision log carries what only the leader knows to its standby. It is a hint that
// saves a new leader time: the records decide, and what contradicts them is dropped.

const (
	// logMessageFacts is how many facts a message holds, some 60 KB; what is more follows
	// in the next.
	logMessageFacts = 1000
	// ackPatience is how long an acknowledgement is waited for before the log begins anew.
	ackPatience = 2 * time.Second
	// resyncPause lies between a refused message and the next: a standby whose copy of the
	// records does not show the leader's claim yet refuses all.
	resyncPause = 500 * time.Millisecond
)

// factKey names a fact.
type factKey struct {
	kind wire.FactKind
	name string
}

func keyOf(f *wire.Fact) factKey { return factKey{f.Kind, f.Name} }

// Publisher is the leader's end of the log. One message is on its way at a time; what
// changes meanwhile is gathered by fact, so what waits is never more than there are facts,
// and a standby that lags or is gone never holds the leader up.
type Publisher struct {
	to       string
	term     uint64
	sequence uint64 // of the last message
	facts    map[factKey]wire.Fact
	dirty    map[factKey]bool // changed since they were last sent
	reset    bool             // the next message begins anew
	sentAt   time.Duration
	waiting  bool // for an acknowledgement
	pausedAt time.Duration
	paused   bool // since a message was refused

	acknowledged uint64
	resyncs      int
}

// NewPublisher makes a publisher that has nothing to tell.
func NewPublisher() *Publisher {
	return &Publisher{facts: map[factKey]wire.Fact{}, dirty: map[factKey]bool{}}
}

// Direct sends the log to a standby, "" for none, under a term. The log begins anew when
// either changes.
func (p *Publisher) Direct(to string, term uint64) {
	if p.to == to && p.term == term {
		return
	}
	p.to, p.term, p.waiting = to, term, false
	p.restart()
}

// restart has the next message tell everything.
func (p *Publisher) restart() {
	p.reset = true
	clear(p.dirty)
	for key := range p.facts {
		p.dirty[key] = true
	}
}

// Publish takes in all facts as they are now.
func (p *Publisher) Publish(now []wire.Fact) {
	held := make(map[factKey]bool, len(now))
	for _, f := range now {
		key := keyOf(&f)
		held[key] = true
		if was, known := p.facts[key]; !known || was != f {
			p.facts[key], p.dirty[key] = f, true
		}
	}
	for key := range p.facts {
		if !held[key] {
			delete(p.facts, key)
			p.dirty[key] = true
		}
	}
}

// Next gives the message to be sent now, if there is one.
func (p *Publisher) Next(now time.Duration, from, life string) (to string, m *wire.DecisionLog) {
	if p.to == "" {
		return "", nil
	}
	if p.waiting && now-p.sentAt > ackPatience {
		// Whether the standby has it is not known.
		p.waiting = false
		p.resyncs++
		p.restart()
	}
	if p.waiting || len(p.dirty) == 0 && !p.reset || p.paused && now-p.pausedAt < resyncPause {
		return "", nil
	}
	raw, err := wire.Encode(p.changes())
	if err != nil {
		return "", nil
	}
	p.sequence++
	m = &wire.DecisionLog{From: from, Life: life, Term: p.term, Sequence: p.sequence, Reset: p.reset,
		NowMS: now.Milliseconds(), Facts: raw, Checksum: crc32.ChecksumIEEE(raw)}
	p.reset, p.waiting, p.sentAt, p.paused = false, true, now, false
	return p.to, m
}

// changes takes the changed facts that fit one message.
func (p *Publisher) changes() []wire.Fact {
	var list []wire.Fact
	for key := range p.dirty {
		if len(list) == logMessageFacts {
			break
		}
		fact, held := p.facts[key]
		if !held {
			fact = wire.Fact{Kind: key.kind, Name: key.name, Removed: true}
		}
		list = append(list, fact)
		delete(p.dirty, key)
	}
	return list
}

// Acknowledged takes in the standby's answer. Those to earlier messages are ignored.
func (p *Publisher) Acknowledged(now time.Duration, ack wire.DecisionLogAck) {
	if !p.waiting || ack.Term != p.term || ack.Sequence != p.sequence {
		return
	}
	p.waiting = false
	if ack.Resync {
		p.resyncs++
		p.paused, p.pausedAt = true, now
		p.restart()
		return
	}
	p.acknowledged = ack.Sequence
}

// Lag is how many messages and changed facts the standby is behind.
func (p *Publisher) Lag() (messages uint64, facts int) {
	return p.sequence - p.acknowledged, len(p.dirty)
}

// Resyncs counts how often the log had to begin anew.
func (p *Publisher) Resyncs() int { return p.resyncs }

// Replica is the standby's end of the log.
type Replica struct {
	node, life string
	term       uint64
	sequence   uint64
	offset     time.Duration // from the leader's steady clock to ours
	facts      map[factKey]wire.Fact

	dropped int // messages that could not be taken in
}

// NewReplica makes a replica that has heard nothing.
func NewReplica() *Replica { return &Replica{facts: map[factKey]wire.Fact{}} }

// Take takes in a message of the leader whose claim the records show. One of another
// leader or term is dropped without an answer that could restart the present one's log;
// a repeated one is answered once more; one that is damaged or out of order asks for the
// log to begin anew.
func (r *Replica) Take(now time.Duration, leader Claim, m *wire.DecisionLog) wire.DecisionLogAck {
	ack := wire.DecisionLogAck{Term: m.Term, Sequence: m.Sequence}
	if m.From != leader.Controller || m.Life != leader.Incarnation || m.Term != leader.Term {
		r.dropped++
		ack.Resync = true
		return ack
	}
	if r.follows(m) && m.Sequence == r.sequence {
		return ack
	}
	facts, err := wire.DecodeFacts(m.Facts, logMessageFacts)
	damaged := err != nil || crc32.ChecksumIEEE(m.Facts) != m.Checksum
	if damaged || !m.Reset && !(r.follows(m) && m.Sequence == r.sequence+1) || m.Reset && r.follows(m) && m.Sequence < r.sequence {
		r.dropped++
		ack.Resync = true
		return ack
	}
	if m.Reset {
		r.node, r.life, r.term = m.From, m.Life, m.Term
		r.offset = now - time.Duration(m.NowMS)*time.Millisecond
		clear(r.facts)
	}
	r.sequence = m.Sequence
	for _, f := range facts {
		if f.Removed {
			delete(r.facts, keyOf(&f))
		} else {
			r.facts[keyOf(&f)] = f
		}
	}
	return ack
}

// follows tells whether a message is of the log that the replica holds.
func (r *Replica) follows(m *wire.DecisionLog) bool {
	return r.node == m.From && r.life == m.Life && r.term == m.Term && m.Term > 0
}

// Of gives the facts that the replica holds of a term, with times of our clock; none if it
// holds another's.
func (r *Replica) Of(term uint64) []wire.Fact {
	if term == 0 || r.term != term {
		return nil
	}
	facts := make([]wire.Fact, 0, len(r.facts))
	for _, f := range r.facts {
		if f.At != 0 {
			f.At += r.offset.Milliseconds()
		}
		facts = append(facts, f)
	}
	return facts
}

// Sequence is the last message taken in, and of which term.
func (r *Replica) Sequence() (term, sequence uint64) { return r.term, r.sequence }

// Facts counts what the replica holds.
func (r *Replica) Facts() int { return len(r.facts) }

// Dropped counts the messages that could not be taken in.
func (r *Replica) Dropped() int { return r.dropped }
