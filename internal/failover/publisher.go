package failover

import (
	"hash/crc32"
	"time"

	"micaport/internal/wire"
)

const (
	// ackTimeout is how long to wait for an acknowledgement before all facts are sent again.
	ackTimeout = 2 * time.Second
	// resyncDelay is the time between a refused message and the next one: a standby refuses all
	// messages until its replica of the records shows the leader's claim.
	resyncDelay = 500 * time.Millisecond
)

// Publisher is the leader's end of the decision log, which replicates to the standby the state that
// is not in the records. The log is a hint that saves a new leader time: the records are
// authoritative, and facts that contradict them are discarded.
//
// One message is in flight at a time. Meanwhile changes are merged by fact, so there is at most one
// pending change for each fact, and a standby that is slow or has failed never delays the leader.
type Publisher struct {
	standby  string // "": none
	term     uint64
	sequence uint64 // number of the last message
	facts    map[factKey]wire.Fact
	changed  map[factKey]bool // facts that have changed since they were last sent, removed ones included
	reset    bool             // the next message instructs the standby to discard its facts

	inFlight  bool // a message has not been acknowledged yet
	sentAt    time.Duration
	refused   bool // the last message was refused
	refusedAt time.Duration

	acknowledged uint64 // number of the last message that was accepted
	resyncs      int
}

// NewPublisher returns a publisher without facts or a standby.
func NewPublisher() *Publisher {
	return &Publisher{facts: map[factKey]wire.Fact{}, changed: map[factKey]bool{}}
}

// SetStandby sets the standby, "" for none, and the leader's term. A change of either causes all
// facts to be sent again.
func (p *Publisher) SetStandby(standby string, term uint64) {
	if p.standby == standby && p.term == term {
		return
	}
	p.standby = standby
	p.term = term
	p.inFlight = false
	p.resendAll()
}

// resendAll causes all facts to be sent again. The next message instructs the standby to discard
// the facts that it has.
func (p *Publisher) resendAll() {
	p.reset = true
	clear(p.changed)
	for key := range p.facts {
		p.changed[key] = true
	}
}

// Publish replaces all facts by the given ones, and records which of them have changed.
func (p *Publisher) Publish(facts []wire.Fact) {
	present := make(map[factKey]bool, len(facts))
	for _, fact := range facts {
		key := keyOf(&fact)
		present[key] = true
		if before, known := p.facts[key]; !known || before != fact {
			p.facts[key], p.changed[key] = fact, true
		}
	}
	for key := range p.facts {
		if !present[key] {
			delete(p.facts, key)
			p.changed[key] = true
		}
	}
}

// Next returns the message to be sent now and its recipient, and marks it as in flight. The message
// is nil if none is to be sent. Self and incarnation are the name and the incarnation of this
// controller.
func (p *Publisher) Next(now time.Duration, self, incarnation string) (to string, message *wire.DecisionLog) {
	if p.standby == "" {
		return "", nil
	}
	if p.inFlight && now-p.sentAt > ackTimeout {
		// The standby may or may not have received the message.
		p.inFlight = false
		p.resyncs++
		p.resendAll()
	}
	delayed := p.refused && now-p.refusedAt < resyncDelay
	if p.inFlight || len(p.changed) == 0 && !p.reset || delayed {
		return "", nil
	}
	raw, err := wire.Encode(p.takeChanges())
	if err != nil {
		return "", nil // does not happen: all values of a fact can be encoded
	}
	p.sequence++
	message = &wire.DecisionLog{
		From: self, Life: incarnation, Term: p.term, Sequence: p.sequence, Reset: p.reset,
		NowMS: now.Milliseconds(), Facts: raw, Checksum: crc32.ChecksumIEEE(raw),
	}
	p.reset = false
	p.inFlight = true
	p.sentAt = now
	p.refused = false
	return p.standby, message
}

// takeChanges removes and returns pending changes, as many as fit into a message.
func (p *Publisher) takeChanges() []wire.Fact {
	var changes []wire.Fact
	for key := range p.changed {
		if len(changes) == maxMessageFacts {
			break
		}
		fact, present := p.facts[key]
		if !present {
			fact = wire.Fact{Kind: key.kind, Name: key.name, Removed: true}
		}
		changes = append(changes, fact)
		delete(p.changed, key)
	}
	return changes
}

// ReceiveAck processes the standby's acknowledgement. It ignores those of earlier messages.
func (p *Publisher) ReceiveAck(now time.Duration, ack wire.DecisionLogAck) {
	if !p.inFlight || ack.Term != p.term || ack.Sequence != p.sequence {
		return
	}
	p.inFlight = false
	if ack.Resync {
		p.resyncs++
		p.refused, p.refusedAt = true, now
		p.resendAll()
		return
	}
	p.acknowledged = ack.Sequence
}

// Lag returns the number of messages that the standby has not accepted, and the number of changed
// facts that have not been sent.
func (p *Publisher) Lag() (messages uint64, facts int) {
	return p.sequence - p.acknowledged, len(p.changed)
}

// Resyncs returns how often all facts were sent again because a message was refused or not
// acknowledged.
func (p *Publisher) Resyncs() int { return p.resyncs }
