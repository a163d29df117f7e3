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
	go Serve(l, func(in core.Input) { heard <- in.(core.Gossiped).Msg }, func(input func(uint64) core.Input) (core.Reply, bool) {
		u := input(5).(core.UserRequest)
		if !u.Forwarded {
			t.Error("a forwarded request could be forwarded on")
		}
		return core.Reply{Req: 5, Status: 200, Body: wire.JobStatus{Ref: u.Ref, Status: "done"}}, true
	})
	link := Dial(l.Addr().String(), func() {})
	link.Send(&wire.Gossip{From: "n0", Hosts: []wire.HostInfo{{Name: "vm-1", Images: []int{7}}}, Holds: []wire.Hold{{Ref: "wk-1", Attempt: 3, OK: true}}})
	select {
	case m := <-heard:
		if m.From != "n0" || m.Hosts[0].Images[0] != 7 || !m.Holds[0].OK {
			t.Errorf("heard %+v", m)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("nothing heard")
	}
	got := make(chan wire.UserAnswer, 1)
	link.Ask(wire.UserCall{Kind: wire.Poll, Ref: "wk-1"}, func(a wire.UserAnswer) { got <- a })
	a := <-got
	var s wire.JobStatus
	if err := wire.Decode(a.Body, &s); err != nil || a.Status != 200 || s.Ref != "wk-1" || s.Status != "done" {
		t.Errorf("got %+v %+v %v", a, s, err)
	}
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
	Dial(addr, func() {}).Ask(wire.UserCall{Kind: wire.Poll, Ref: "wk-1"}, func(a wire.UserAnswer) { got <- a })
	select {
	case a := <-got:
		if a.Status != 0 {
			t.Errorf("got %+v", a)
		}
	case <-time.After(5 * time.Second):
		t.Error("the request hangs")
	}
}
