package failover

import (
	"hash/crc32"
	"time"

	"micaport/internal/wire"
)

// Replica is the standby's end of the decision log; see Publisher.
type Replica struct {
	controller, incarnation string // of the leader
	term                    uint64
	sequence                uint64        // number of the last message accepted
	clockOffset             time.Duration // added to a time of the leader's monotonic clock, gives that of this process
	facts                   map[factKey]wire.Fact

	refusedMessages int // messages that were refused
}

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{facts: map[factKey]wire.Fact{}} }

// Receive processes a message of the decision log and returns its acknowledgement; leader is the
// claim that the records show. It accepts a message that starts the log or follows the last one,
// and acknowledges a repeated one again. A message of another leader, incarnation or term, and one
// that is damaged or out of order, is discarded and refused. The refusal contains the term of the
// message, so that a publisher with another term ignores it.
func (r *Replica) Receive(now time.Duration, leader Claim, message *wire.DecisionLog) wire.DecisionLogAck {
	ack := wire.DecisionLogAck{Term: message.Term, Sequence: message.Sequence}
	if message.From != leader.Controller || message.Life != leader.Incarnation || message.Term != leader.Term {
		return r.refuse(ack)
	}
	sameLog := r.matchesStoredLog(message)
	if sameLog && message.Sequence == r.sequence {
		return ack
	}
	inOrder := sameLog && message.Sequence == r.sequence+1
	if message.Reset {
		inOrder = !sameLog || message.Sequence > r.sequence
	}
	facts, err := wire.DecodeFacts(message.Facts, maxMessageFacts)
	if err != nil || crc32.ChecksumIEEE(message.Facts) != message.Checksum || !inOrder {
		return r.refuse(ack)
	}
	if message.Reset {
		r.controller = message.From
		r.incarnation = message.Life
		r.term = message.Term
		r.clockOffset = now - time.Duration(message.NowMS)*time.Millisecond
		clear(r.facts)
	}
	r.sequence = message.Sequence
	for _, fact := range facts {
		if fact.Removed {
			delete(r.facts, keyOf(&fact))
		} else {
			r.facts[keyOf(&fact)] = fact
		}
	}
	return ack
}

// refuse counts a refused message and returns the acknowledgement that requests a resync.
func (r *Replica) refuse(ack wire.DecisionLogAck) wire.DecisionLogAck {
	r.refusedMessages++
	ack.Resync = true
	return ack
}

// matchesStoredLog reports whether a message belongs to the log whose facts the replica has stored.
func (r *Replica) matchesStoredLog(message *wire.DecisionLog) bool {
	return r.controller == message.From && r.incarnation == message.Life && r.term == message.Term && message.Term > 0
}

// FactsOfTerm returns the stored facts, with their times converted to the monotonic clock of this
// process, or nil if they are not those of the leader of the given term.
func (r *Replica) FactsOfTerm(term uint64) []wire.Fact {
	if term == 0 || r.term != term {
		return nil
	}
	facts := make([]wire.Fact, 0, len(r.facts))
	for _, fact := range r.facts {
		if fact.At != 0 {
			fact.At += r.clockOffset.Milliseconds()
		}
		facts = append(facts, fact)
	}
	return facts
}

// LastAccepted returns the term of the log and the number of the last message accepted.
func (r *Replica) LastAccepted() (term, sequence uint64) { return r.term, r.sequence }

// FactCount returns the number of facts that the replica has stored.
func (r *Replica) FactCount() int { return len(r.facts) }

// RefusedMessages returns the number of messages that were refused.
func (r *Replica) RefusedMessages() int { return r.refusedMessages }
