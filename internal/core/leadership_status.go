package core

import "micaport/internal/wire"

// leadershipStatus returns the state of the leadership as this controller sees it, for operators.
func (n *Node) leadershipStatus() wire.LeadershipStatus {
	s := &n.failover
	status := wire.LeadershipStatus{
		Controller: n.cfg.Self, Term: n.leadership.Term(), Revision: n.replica.Revision(), Agreed: n.replica.AgreedFormat(), Served: n.storeOK, Early: n.cfg.EarlyFailover,
		Standby: s.follower.Standby(), PauseMS: s.follower.MinTenure().Milliseconds(),
	}
	if n.leadership.Record() == nil {
		return status
	}
	status.Leader = n.leadership.Record().Controller
	status.Fenced = n.leadership.Record().Fenced
	status.Streak = n.leadership.Record().Streak
	if n.isLeader() {
		status.Standby = s.electedStandby
		status.LogMessages, status.LogFacts = s.logPublisher.Lag()
		status.LogResyncs = s.logPublisher.Resyncs()
		return status
	}
	if term, _ := s.logReplica.LastAccepted(); term == n.leadership.Term() {
		status.LogHeld = s.logReplica.FactCount()
	}
	status.LogDropped = s.logReplica.RefusedMessages()
	evidence := s.follower.Evidence(n.now)
	status.SilenceMS = evidence.Silence.Milliseconds()
	status.Suspected = s.follower.SuspectedSince() > 0
	status.Suspecting = evidence.Suspecting
	return status
}
