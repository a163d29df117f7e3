package core

import (
	"time"

	"micaport/internal/failover"
	"micaport/internal/wire"
)

// Heartbeats of a leader that may be replaced early, and what controllers tell each other
// of it.

// sendHeartbeats tells the peers that we lead, and who is to take over first.
func (n *Node) sendHeartbeats() {
	s := &n.failover
	if !n.fenced() || n.now < s.heartbeatAt {
		return
	}
	s.heartbeatAt = n.now + failover.HeartbeatInterval
	if elected := failover.Elect(s.standby, n.candidates()); elected != s.standby {
		s.standby = elected
		n.log(LogInfo, "standby elected", "controller", elected)
	}
	for _, m := range n.cfg.Members {
		if m.Name != n.cfg.Self {
			n.emit(SendHeartbeat{To: m.Name, Message: &wire.LeaderHeartbeat{
				From:    n.cfg.Self,
				Life:    n.cfg.Incarnation,
				Term:    n.leadership.Term(),
				Standby: s.standby,
			}})
		}
	}
}

// candidates are the peers that may stand by.
func (n *Node) candidates() []failover.Candidate {
	var list []failover.Candidate
	for _, m := range n.cfg.Members {
		if p := n.peers[m.Name]; p != nil && m.Name != n.cfg.Self && !p.byMailbox && !p.broken {
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

// leaderHeartbeat takes in a leader's heartbeat.
func (n *Node) leaderHeartbeat(m *wire.LeaderHeartbeat) {
	if m != nil {
		n.failover.follower.Heartbeat(n.now, m.From, m.Life, m.Term, m.Standby)
	}
}

// disconnected takes in that the connection to a peer has broken.
func (n *Node) disconnected(label string) {
	n.failover.follower.Disconnected(n.now, label)
	if p := n.peers[label]; p != nil {
		p.broken = true
	}
}

// leaderView is what we tell the peers of a leader that may be replaced early.
func (n *Node) leaderView() *wire.LeaderView {
	if n.leadership.Record() == nil || !n.leadership.Record().Fenced || n.leadership.Record().Controller == n.cfg.Self {
		return nil
	}
	o := n.failover.follower.Opinion(n.now)
	return &wire.LeaderView{Term: o.Term, SilenceMS: o.Silence.Milliseconds(), Broken: o.Broken, Suspected: o.Suspected}
}

// receiveLeaderView takes in what a peer tells of the leader.
func (n *Node) receiveLeaderView(from string, v *wire.LeaderView) {
	if v != nil {
		n.failover.follower.ReceiveOpinion(n.now, from, failover.Opinion{
			Term: v.Term, Silence: Time(v.SilenceMS) * time.Millisecond, Broken: v.Broken, Suspected: v.Suspected,
		})
	}
}
