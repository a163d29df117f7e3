package core

import (
	"net/http"
	"time"

	"micaport/internal/wire"
)

const (
	// publishInterval is the time between two publications of the leader's facts, to which
	// publishIntervalPerFact is added for each live job and each fact: collecting 4,000 facts
	// takes some milliseconds, and a controller may have as little as a tenth of a core.
	publishInterval        = 200 * time.Millisecond
	publishIntervalPerFact = 100 * time.Microsecond
)

// publishDecisionLog sends the changes of the decision log to the standby. The log carries the
// leader's state that is not in the records, so that the standby can continue from it after a
// takeover. All of it is a hint: facts that the records or the owners contradict are ignored.
func (n *Node) publishDecisionLog() {
	s := &n.failover
	if !n.isFencedLeader() {
		return
	}
	s.logPublisher.SetStandby(s.electedStandby, n.leadership.Term())
	if s.electedStandby == "" || n.now < s.nextPublishAt {
		return
	}
	facts := n.leaderFacts()
	s.nextPublishAt = n.now + publishInterval + Time(len(n.replica.Live())+len(facts))*publishIntervalPerFact
	s.logPublisher.Publish(facts)
	if to, m := s.logPublisher.Next(n.now, n.cfg.Self, n.cfg.Incarnation); m != nil {
		n.emit(SendDecisionLog{To: to, Message: m})
	}
}

// receiveDecisionLog applies a message of the leader's decision log and acknowledges it. A request
// without a message is refused.
func (n *Node) receiveDecisionLog(received DecisionLogReceived) {
	ack := wire.DecisionLogAck{Resync: true}
	if received.Message != nil {
		ack = n.failover.logReplica.Receive(n.now, n.failover.follower.Claim(), received.Message)
	}
	n.emit(Reply{RequestID: received.RequestID, Status: http.StatusOK, Body: ack})
}
