package failover

import (
	"hash/crc32"
	"time"

	"micaport/internal/wire"
)

const (
	// ackTimeout is how long an acknowledgement is waited for before everything is sent anew.
	ackTimeout = 2 * time.Second
	// resyncDelay is the time between a refused message and the next one: a standby whose
	// replica of the records does not show the leader's claim yet refuses all messages.
	resyncDelay = 500 * time.Millisecond
)

// Publisher is the leader's side of the decision log, which carries what only the leader knows to
// its standby. The log is a hint that saves a new leader time: the records decide, and what they
// contradict is dropped.
//
// One message is in flight at a time. Meanwhile changes are collected by fact, so there are never
// more changes than facts, and a standby that is slow or gone never delays the leader.
type Publisher struct {
	standby  string // "": none
	term     uint64
	sequence uint64 // of the last message
	facts    map[factKey]wire.Fact
	changed  map[factKey]bool // facts that have changed since they were last sent, removed ones included
	reset    bool             // the next message tells the standby to discard what it holds

	inFlight  bool // a message waits for its acknowledgement
	sentAt    time.Duration
	refused   bool // the last message was refused
	refusedAt time.Duration

	acknowledged uint64 // sequence of the last message that was accepted
	resyncs      int
}

// NewPublisher returns a publisher that knows no facts.
func NewPublisher() *Publisher {
	return &Publisher{facts: map[factKey]wire.Fact{}, changed: map[factKey]bool{}}
}

// Direct sets the standby, "" for none, and the leader's term. A change of either sends everything
// anew.
func (p *Publisher) Direct(standby string, term uint64) {
	if p.standby == standby && p.term == term {
		return
	}
	p.standby = standby
	p.term = term
	p.inFlight = false
	p.restart()
}

// restart makes the next messages send everything anew.
func (p *Publisher) restart() {
	p.reset = true
	clear(p.changed)
	for key := range p.facts {
		p.changed[key] = true
	}
}

// Publish takes in all facts as they are now.
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

// Next returns the message to be sent now and to whom; nil if there is none. The name and the
// incarnation are those of this controller.
func (p *Publisher) Next(now time.Duration, self, incarnation string) (to string, message *wire.DecisionLog) {
	if p.standby == "" {
		return "", nil
	}
	if p.inFlight && now-p.sentAt > ackTimeout {
		// It is not known whether the standby has the message.
		p.inFlight = false
		p.resyncs++
		p.restart()
	}
	delayed := p.refused && now-p.refusedAt < resyncDelay
	if p.inFlight || len(p.changed) == 0 && !p.reset || delayed {
		return "", nil
	}
	raw, err := wire.Encode(p.takeChanges())
	if err != nil {
		return "", nil // facts have no values that can't be encoded
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

// takeChanges removes and returns as many changes as a message holds.
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

// Acknowledged takes in the standby's answer. Answers to earlier messages are ignored.
func (p *Publisher) Acknowledged(now time.Duration, ack wire.DecisionLogAck) {
	if !p.inFlight || ack.Term != p.term || ack.Sequence != p.sequence {
		return
	}
	p.inFlight = false
	if ack.Resync {
		p.resyncs++
		p.refused, p.refusedAt = true, now
		p.restart()
		return
	}
	p.acknowledged = ack.Sequence
}

// Lag returns the number of messages that the standby has not accepted and of changed facts that
// have not been sent.
func (p *Publisher) Lag() (messages uint64, facts int) {
	return p.sequence - p.acknowledged, len(p.changed)
}

// Resyncs returns how often everything had to be sent anew because a message was refused or not
// answered.
func (p *Publisher) Resyncs() int { return p.resyncs }
