// Package peer carries messages between controllers over net/rpc.
package peer

import (
	"errors"
	"net"
	"net/rpc"
	"time"

	"micaport/internal/api"
	"micaport/internal/core"
	"micaport/internal/wire"
)

// Service is what controllers offer each other.
type Service struct {
	post func(core.Input)
	ask  api.Ask
}

// Ack is the empty answer.
type Ack struct{}

// Gossip takes a peer's message.
func (s *Service) Gossip(m *wire.Gossip, _ *Ack) error {
	s.post(core.Gossiped{Msg: m})
	return nil
}

// User serves a request that a peer could not serve itself.
func (s *Service) User(c *wire.UserCall, a *wire.UserAnswer) error {
	r, ok := s.ask(func(req uint64) core.Input {
		return core.UserRequest{Req: req, Kind: c.Kind, Ref: c.Ref, Body: c.Body, Forwarded: true}
	})
	if !ok {
		return errors.New("overloaded")
	}
	b, err := wire.Encode(r.Body)
	if err != nil {
		return err
	}
	a.Status, a.Body = r.Status, b
	return nil
}

// Serve accepts peers until the listener closes.
func Serve(l net.Listener, post func(core.Input), ask api.Ask) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Peer", &Service{post: post, ask: ask}); err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go srv.ServeConn(timed{c})
	}
}

// timed is a connection that ends when nothing has come for a while. A peer
// speaks every second; what is left of one that has gone without a word must
// not take the place of its next life.
type timed struct{ net.Conn }

const peerSilence = 20 * time.Second

func (c timed) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(peerSilence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// forwardQueue is how many forwarded calls wait while a message is on its way to the
// peer, which may take 1.5 s. At a site of 4,000 machines users ask some 500 times a
// second, and a controller that is refused by the state service forwards all that it gets.
const forwardQueue = 4096

// Link is the way to one peer. Messages wait in a mailbox of one, where a
// newer message replaces an older: each says all that there is to say.
type Link struct {
	addr string
	box  chan *wire.Gossip
	jobs chan func(*rpc.Client)
}

// Dial starts the actor that keeps the connection.
func Dial(addr string) *Link {
	l := &Link{addr: addr, box: make(chan *wire.Gossip, 1), jobs: make(chan func(*rpc.Client), forwardQueue)}
	go l.run()
	return l
}

// Send leaves a message for the peer.
func (l *Link) Send(m *wire.Gossip) {
	for {
		select {
		case l.box <- m:
			return
		default:
		}
		select {
		case <-l.box:
		default:
		}
	}
}

// Ask forwards a user's request; done gets status 0 when no answer came.
func (l *Link) Ask(c wire.UserCall, done func(wire.UserAnswer)) {
	job := func(cl *rpc.Client) {
		if cl == nil {
			done(wire.UserAnswer{})
			return
		}
		go func() {
			var a wire.UserAnswer
			if call(cl, "Peer.User", &c, &a, 1700*time.Millisecond) != nil {
				a = wire.UserAnswer{}
			}
			done(a)
		}()
	}
	select {
	case l.jobs <- job:
	default:
		done(wire.UserAnswer{})
	}
}

func call(cl *rpc.Client, method string, args, reply any, patience time.Duration) error {
	c := cl.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-c.Done:
		return c.Error
	case <-time.After(patience):
		return errors.New("peer does not answer")
	}
}

func (l *Link) run() {
	var cl *rpc.Client
	var retry time.Time
	connect := func() {
		if cl != nil || time.Now().Before(retry) {
			return
		}
		c, err := net.DialTimeout("tcp", l.addr, time.Second)
		if err != nil {
			retry = time.Now().Add(time.Second)
			return
		}
		cl = rpc.NewClient(c)
	}
	for {
		select {
		case m := <-l.box:
			if connect(); cl == nil {
				continue
			}
			if err := call(cl, "Peer.Gossip", m, &Ack{}, 1500*time.Millisecond); err != nil {
				cl.Close()
				cl = nil
			}
		case f := <-l.jobs:
			connect()
			f(cl)
		}
	}
}
