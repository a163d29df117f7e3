package peer

import (
	"net"
	"testing"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

func TestPeers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	heard := make(chan *wire.Gossip, 10)
	go Serve(l, func(in core.Input) { heard <- in.(core.GossipReceived).Message }, func(input func(uint64) core.Input) (core.Reply, bool) {
		u := input(5).(core.UserRequest)
		if !u.Forwarded {
			t.Error("a forwarded request could be forwarded on")
		}
		return core.Reply{RequestID: 5, Status: 200, Body: wire.JobStatus{JobID: u.JobID, Status: "done"}}, true
	})
	link := Dial(l.Addr().String(), func() {})
	link.Send(&wire.Gossip{From: "n0", Hosts: []wire.MachineInfo{{Name: "vm-1", Images: []int{7}}}, Holds: []wire.GangHold{{Ref: "wk-1", Attempt: 3, OK: true}}})
	select {
	case m := <-heard:
		if m.From != "n0" || m.Hosts[0].Images[0] != 7 || !m.Holds[0].OK {
			t.Errorf("heard %+v", m)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("nothing heard")
	}
	got := make(chan wire.UserAnswer, 1)
	link.Ask(wire.UserCall{Kind: wire.RequestStatus, Ref: "wk-1"}, func(a wire.UserAnswer) { got <- a })
	a := <-got
	var s wire.JobStatus
	if err := wire.Decode(a.Body, &s); err != nil || a.Status != 200 || s.JobID != "wk-1" || s.Status != "done" {
		t.Errorf("got %+v %+v %v", a, s, err)
	}
}

// A leader's heartbeats and its log reach its standby, which answers the log; operators are
// answered, and the end of a connection is noticed at once.
func TestLeaderMessages(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	heard := make(chan core.Input, 10)
	connections := make(chan net.Conn, 10)
	go Serve(accepting{l, connections}, func(in core.Input) { heard <- in }, func(input func(uint64) core.Input) (core.Reply, bool) {
		switch x := input(5).(type) {
		case core.DecisionLogReceived:
			return core.Reply{Body: wire.DecisionLogAck{Term: x.Message.Term, Sequence: x.Message.Sequence}}, true
		case core.StatusRequest:
			return core.Reply{Body: wire.LeadershipStatus{Leader: "n0", Revision: 7}}, true
		}
		return core.Reply{}, false
	})
	broken := make(chan bool, 10)
	link := Dial(l.Addr().String(), func() { broken <- true })
	link.SendHeartbeat(&wire.LeaderHeartbeat{From: "n0", Term: 4, Standby: "n1"})
	if m := (<-heard).(core.HeartbeatReceived).Message; m.Term != 4 || m.Standby != "n1" {
		t.Errorf("heard %+v", m)
	}
	acks := make(chan wire.DecisionLogAck, 1)
	link.SendLog(&wire.DecisionLog{Term: 4, Sequence: 9}, func(ack wire.DecisionLogAck) { acks <- ack })
	if ack := <-acks; ack.Term != 4 || ack.Sequence != 9 {
		t.Errorf("answered %+v", ack)
	}
	if status, err := QueryLeadership(l.Addr().String(), time.Second); err != nil || status.Leader != "n0" || status.Revision != 7 {
		t.Errorf("answered %+v, %v", status, err)
	}
	l.Close()
	(<-connections).Close()
	select {
	case <-broken:
	case <-time.After(5 * time.Second):
		t.Error("the end of the connection is not noticed")
	}
}

// accepting is a listener that tells of its connections.
type accepting struct {
	net.Listener
	connections chan net.Conn
}

func (a accepting) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err == nil {
		a.connections <- c
	}
	return c, err
}

// A peer that is down answers nothing; the user's request must not hang.
func TestPeerDown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	got := make(chan wire.UserAnswer, 1)
	Dial(addr, func() {}).Ask(wire.UserCall{Kind: wire.RequestStatus, Ref: "wk-1"}, func(a wire.UserAnswer) { got <- a })
	select {
	case a := <-got:
		if a.Status != 0 {
			t.Errorf("got %+v", a)
		}
	case <-time.After(5 * time.Second):
		t.Error("the request hangs")
	}
}
