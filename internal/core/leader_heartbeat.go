package core

import (
	"time"

	"micaport/internal/failover"
	"micaport/internal/wire"
)

// sendHeartbeats elects the standby and sends heartbeats that name it to all peers, if they are due
// and this process is a leader that may be replaced early. The standby is the first to claim the
// leadership after a failure.
func (n *Node) sendHeartbeats() {
	s := &n.failover
	if !n.isFencedLeader() || n.now < s.nextHeartbeatAt {
		return
	}
	s.nextHeartbeatAt = n.now + failover.HeartbeatInterval
	if elected := failover.Elect(s.electedStandby, n.standbyCandidates()); elected != s.electedStandby {
		s.electedStandby = elected
		n.log(LogInfo, "standby elected", "controller", elected)
	}
	for _, m := range n.cfg.Members {
		if m.Name != n.cfg.Self {
			n.emit(SendHeartbeat{To: m.Name, Message: &wire.LeaderHeartbeat{
				From:    n.cfg.Self,
				Life:    n.cfg.Incarnation,
				Term:    n.leadership.Term(),
				Standby: s.electedStandby,
			}})
		}
	}
}

// standbyCandidates returns the peers among which the standby is elected: those that can be reached
// directly.
func (n *Node) standbyCandidates() []failover.Candidate {
	var list []failover.Candidate
	for _, m := range n.cfg.Members {
		if p := n.peers[m.Name]; p != nil && m.Name != n.cfg.Self && !p.viaMailbox && !p.disconnected {
			list = append(list, failover.Candidate{
				Name:    m.Name,
				Silence: n.now - p.receivedAt,
				StoreOK: p.message.StoreOK,
				CutOff:  p.message.CutOff,
			})
		}
	}
	return list
}

// receiveLeaderHeartbeat records a leader's heartbeat for the failure detector. An input without a
// message is ignored.
func (n *Node) receiveLeaderHeartbeat(m *wire.LeaderHeartbeat) {
	if m != nil {
		n.failover.follower.ReceiveHeartbeat(n.now, m.From, m.Life, m.Term, m.Standby)
	}
}

// peerDisconnected records that the connection to a peer has broken.
func (n *Node) peerDisconnected(name string) {
	n.failover.follower.MarkDisconnected(n.now, name)
	if p := n.peers[name]; p != nil {
		p.disconnected = true
	}
}

// leaderView returns this controller's report on the leader, for the peers; nil if the leader
// may not be replaced early or is this controller.
func (n *Node) leaderView() *wire.LeaderView {
	if n.leadership.Record() == nil || !n.leadership.Record().Fenced || n.leadership.Record().Controller == n.cfg.Self {
		return nil
	}
	report := n.failover.follower.SuspicionReport(n.now)
	return &wire.LeaderView{Term: report.Term, SilenceMS: report.Silence.Milliseconds(), Broken: report.Broken, Suspected: report.Suspected}
}

// receiveLeaderView stores a peer's report on the leader.
func (n *Node) receiveLeaderView(from string, v *wire.LeaderView) {
	if v != nil {
		n.failover.follower.ReceiveSuspicionReport(n.now, from, failover.SuspicionReport{
			Term: v.Term, Silence: Time(v.SilenceMS) * time.Millisecond, Broken: v.Broken, Suspected: v.Suspected,
		})
	}
}
