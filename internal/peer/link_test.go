package peer

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// receiveTimeout is how long the tests wait for events that should occur at once.
const receiveTimeout = 5 * time.Second

// listen returns a listener on loopback that is closed when the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// receive returns the next value of a channel; what describes it in the error message.
func receive[T any](t *testing.T, values <-chan T, what string) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(receiveTimeout):
		t.Fatalf("no %s within %v", what, receiveTimeout)
		panic("unreachable")
	}
}

func TestGossipAndForwardedRequests(t *testing.T) {
	listener := listen(t)
	received := make(chan *wire.Gossip, 10)
	post := func(input core.Input) { received <- input.(core.GossipReceived).Message }
	dispatch := func(newInput func(uint64) core.Input) (core.Reply, bool) {
		request := newInput(5).(core.UserRequest)
		if !request.Forwarded {
			t.Error("the request is not marked as forwarded, so it could be forwarded again")
		}
		return core.Reply{RequestID: 5, Status: http.StatusOK, Body: wire.JobStatus{JobID: request.JobID, Status: "done"}}, true
	}
	go Serve(t.Context(), listener, post, dispatch)
	link := Dial(t.Context(), listener.Addr().String(), func() {})
	link.SendGossip(&wire.Gossip{From: "n0", Hosts: []wire.MachineInfo{{Name: "vm-1", Images: []int{7}}}, Holds: []wire.GangHold{{Ref: "wk-1", Attempt: 3, OK: true}}})
	if message := receive(t, received, "gossip"); message.From != "n0" || message.Hosts[0].Images[0] != 7 || !message.Holds[0].OK {
		t.Errorf("received %+v", message)
	}
	answers := make(chan wire.UserAnswer, 1)
	link.Forward(wire.UserCall{Kind: wire.RequestStatus, Ref: "wk-1"}, func(answer wire.UserAnswer) { answers <- answer })
	answer := receive(t, answers, "answer")
	var status wire.JobStatus
	if err := wire.Decode(answer.Body, &status); err != nil || answer.Status != http.StatusOK || status.JobID != "wk-1" || status.Status != "done" {
		t.Errorf("got %+v %+v %v", answer, status, err)
	}
}

// The standby receives the leader's heartbeats and decision log, and acknowledges the log.
// Operators can query the status. The link reports at once that its connection has broken.
func TestLeaderMessages(t *testing.T) {
	listener := listen(t)
	received := make(chan core.Input, 10)
	accepted := make(chan net.Conn, 10)
	post := func(input core.Input) { received <- input }
	dispatch := func(newInput func(uint64) core.Input) (core.Reply, bool) {
		switch input := newInput(5).(type) {
		case core.DecisionLogReceived:
			return core.Reply{Body: wire.DecisionLogAck{Term: input.Message.Term, Sequence: input.Message.Sequence}}, true
		case core.StatusRequest:
			return core.Reply{Body: wire.LeadershipStatus{Leader: "n0", Revision: 7}}, true
		}
		return core.Reply{}, false
	}
	go Serve(t.Context(), recordingListener{listener, accepted}, post, dispatch)
	broken := make(chan bool, 10)
	link := Dial(t.Context(), listener.Addr().String(), func() { broken <- true })
	link.SendHeartbeat(&wire.LeaderHeartbeat{From: "n0", Term: 4, Standby: "n1"})
	if message := receive(t, received, "heartbeat").(core.HeartbeatReceived).Message; message.Term != 4 || message.Standby != "n1" {
		t.Errorf("received %+v", message)
	}
	acks := make(chan wire.DecisionLogAck, 1)
	link.SendDecisionLog(&wire.DecisionLog{Term: 4, Sequence: 9}, func(ack wire.DecisionLogAck) { acks <- ack })
	if ack := receive(t, acks, "acknowledgement"); ack.Term != 4 || ack.Sequence != 9 {
		t.Errorf("got %+v", ack)
	}
	if status, err := QueryLeadership(t.Context(), listener.Addr().String(), time.Second); err != nil || status.Leader != "n0" || status.Revision != 7 {
		t.Errorf("got %+v, %v", status, err)
	}
	listener.Close() // so that the link can't reconnect
	receive(t, accepted, "connection").Close()
	receive(t, broken, "report of the broken connection")
}

// recordingListener also sends the connections that it accepts to a channel.
type recordingListener struct {
	net.Listener
	accepted chan net.Conn
}

func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- conn
	}
	return conn, err
}

// A request that is forwarded to a peer that is down gets an answer with status 0.
func TestPeerDown(t *testing.T) {
	listener := listen(t)
	listener.Close()
	answers := make(chan wire.UserAnswer, 1)
	link := Dial(t.Context(), listener.Addr().String(), func() {})
	link.Forward(wire.UserCall{Kind: wire.RequestStatus, Ref: "wk-1"}, func(answer wire.UserAnswer) { answers <- answer })
	if answer := receive(t, answers, "answer"); answer.Status != 0 {
		t.Errorf("got %+v", answer)
	}
}

// When the context ends, a link and its calls end at once, and Serve closes its listener and
// connections.
func TestContextEndsLinkAndServer(t *testing.T) {
	listener := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	called, release := make(chan bool, 1), make(chan struct{})
	t.Cleanup(func() { close(release) })
	dispatch := func(func(uint64) core.Input) (core.Reply, bool) {
		called <- true
		<-release
		return core.Reply{}, false
	}
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, listener, func(core.Input) {}, dispatch) }()
	link := Dial(ctx, listener.Addr().String(), func() {})
	answers := make(chan wire.UserAnswer, 1)
	link.Forward(wire.UserCall{Kind: wire.RequestStatus, Ref: "wk-1"}, func(answer wire.UserAnswer) { answers <- answer })
	receive(t, called, "call")
	cancel()
	if answer := receive(t, answers, "answer"); answer.Status != 0 {
		t.Errorf("got %+v", answer)
	}
	if err := receive(t, served, "end of the server"); err == nil {
		t.Error("the server ended without an error")
	}
	link.Wait()
}
