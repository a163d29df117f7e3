package core

import (
	"net/http"
	"time"

	"micaport/internal/wire"
)

// The decision log: what only the leader knows, told to its standby, which goes on from it
// when it takes over. All of it is a hint: what the records or the owners contradict is
// dropped.

const (
	// publishInterval lies between two looks at what the leader knows, and
	// publishIntervalPerFact is added for each live job and each fact: a look at 4,000 facts
	// takes some milliseconds, of which a controller with a tenth of a core has few.
	publishInterval        = 200 * time.Millisecond
	publishIntervalPerFact = 100 * time.Microsecond
)

// publishDecisionLog tells the standby what has changed of what only the leader knows.
func (n *Node) publishDecisionLog() {
	s := &n.failover
	if !n.fenced() {
		return
	}
	s.publisher.Direct(s.standby, n.leadership.Term())
	if s.standby == "" || n.now < s.publishAt {
		return
	}
	facts := n.leaderFacts()
	s.publishAt = n.now + publishInterval + Time(len(n.replica.Live())+len(facts))*publishIntervalPerFact
	s.publisher.Publish(facts)
	if to, m := s.publisher.Next(n.now, n.cfg.Self, n.cfg.Incarnation); m != nil {
		n.emit(SendDecisionLog{To: to, Message: m})
	}
}

// decisionLogReceived receives a message of the leader's log and acknowledges it.
func (n *Node) decisionLogReceived(received DecisionLogReceived) {
	ack := wire.DecisionLogAck{Resync: true}
	if received.Message != nil {
		ack = n.failover.replica.Take(n.now, n.failover.follower.Claim(), received.Message)
	}
	n.emit(Reply{RequestID: received.RequestID, Status: http.StatusOK, Body: ack})
}
