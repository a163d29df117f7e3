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
	ask  api.Dispatch
}

// Ack is the empty answer.
type Ack struct{}

// Gossip takes a peer's message.
func (s *Service) Gossip(m *wire.Gossip, _ *Ack) error {
	s.post(core.GossipReceived{Message: m})
	return nil
}

// Heartbeat takes a leader's heartbeat.
func (s *Service) Heartbeat(m *wire.LeaderHeartbeat, _ *Ack) error {
	s.post(core.HeartbeatReceived{Message: m})
	return nil
}

// DecisionLog takes a message of the leader's decision log.
func (s *Service) DecisionLog(m *wire.DecisionLog, ack *wire.DecisionLogAck) error {
	r, ok := s.ask(func(req uint64) core.Input { return core.DecisionLogReceived{RequestID: req, Message: m} })
	if !ok {
		return errOverloaded
	}
	*ack = r.Body.(wire.DecisionLogAck)
	return nil
}

// Standby tells operators who leads and who stands by.
func (s *Service) Standby(_ Ack, status *wire.LeadershipStatus) error {
	r, ok := s.ask(func(req uint64) core.Input { return core.StatusRequest{RequestID: req} })
	if !ok {
		return errOverloaded
	}
	*status = r.Body.(wire.LeadershipStatus)
	return nil
}

var errOverloaded = errors.New("overloaded")

// User serves a request that a peer could not serve itself.
func (s *Service) User(c *wire.UserCall, a *wire.UserAnswer) error {
	r, ok := s.ask(func(req uint64) core.Input {
		return core.UserRequest{RequestID: req, Kind: c.Kind, JobID: c.Ref, Body: c.Body, Forwarded: true}
	})
	if !ok {
		return errOverloaded
	}
	b, err := wire.Encode(r.Body)
	if err != nil {
		return err
	}
	a.Status, a.Body = r.Status, b
	return nil
}

// Serve accepts peers until the listener closes.
func Serve(l net.Listener, post func(core.Input), ask api.Dispatch) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Peer", &Service{post: post, ask: ask}); err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go srv.ServeConn(idleTimeoutConn{c})
	}
}

// idleTimeoutConn is a connection that ends when nothing has come for a while. A peer
// speaks every second; what is left of one that has gone without a word must
// not take the place of its next incarnation.
type idleTimeoutConn struct{ net.Conn }

const peerIdleTimeout = 20 * time.Second

func (c idleTimeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(peerIdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// forwardQueueSize is how many forwarded calls wait while a message is on its way to the
// peer, which may take 1.5 s. At a site of 4,000 machines users ask some 500 times a
// second, and a controller that is refused by the state service forwards all that it gets.
const forwardQueueSize = 4096

// Link is the way to one peer. Messages and heartbeats wait in mailboxes of one, where a
// newer message replaces an older: each says all that there is to say.
type Link struct {
	addr       string
	broken     func() // called when the connection has broken
	gossip     chan *wire.Gossip
	heartbeats chan *wire.LeaderHeartbeat
	calls      chan func(*rpc.Client)
}

// Dial starts the actor that keeps the connection; broken is called, in a goroutine of
// its own, whenever it breaks or can't be made.
func Dial(addr string, broken func()) *Link {
	l := &Link{addr: addr, broken: broken, gossip: make(chan *wire.Gossip, 1), heartbeats: make(chan *wire.LeaderHeartbeat, 1),
		calls: make(chan func(*rpc.Client), forwardQueueSize)}
	go l.run()
	return l
}

// replace leaves a message in a mailbox of one, in place of an older one.
func replace[M any](box chan M, m M) {
	for {
		select {
		case box <- m:
			return
		default:
		}
		select {
		case <-box:
		default:
		}
	}
}

// Send leaves a message for the peer.
func (l *Link) Send(m *wire.Gossip) { replace(l.gossip, m) }

// SendHeartbeat leaves a heartbeat for the peer.
func (l *Link) SendHeartbeat(m *wire.LeaderHeartbeat) { replace(l.heartbeats, m) }

// SendDecisionLog sends a message of the decision log; done gets the answer, if one comes in time.
func (l *Link) SendLog(m *wire.DecisionLog, done func(wire.DecisionLogAck)) {
	l.do(func(cl *rpc.Client) {
		if cl == nil {
			return
		}
		go func() {
			var ack wire.DecisionLogAck
			if call(cl, "Peer.DecisionLog", m, &ack, 1700*time.Millisecond) == nil {
				done(ack)
			}
		}()
	})
}

// do runs a job with the connection, which is nil if there is none. It tells whether there
// was room for it.
func (l *Link) do(job func(*rpc.Client)) bool {
	select {
	case l.calls <- job:
		return true
	default:
		return false
	}
}

// monitoredConn is a connection that tells when it has broken.
type monitoredConn struct {
	net.Conn
	broken func()
}

// Read reports the first failure; the client reads all the time, and ends with it.
func (c monitoredConn) Read(b []byte) (int, error) {
	read, err := c.Conn.Read(b)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.broken()
	}
	return read, err
}

// Ask forwards a user's request; done gets status 0 when no answer came.
func (l *Link) Ask(c wire.UserCall, done func(wire.UserAnswer)) {
	taken := l.do(func(cl *rpc.Client) {
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
	})
	if !taken {
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

// begin sends a call whose answer nobody waits for. It tells whether the connection took it.
func begin(cl *rpc.Client, method string, args any) bool {
	c := cl.Go(method, args, &Ack{}, make(chan *rpc.Call, 1))
	select {
	case <-c.Done:
		return c.Error == nil
	default:
		return true
	}
}

// QueryLeadership asks the controller at an address who leads and who stands by.
func QueryLeadership(address string, patience time.Duration) (wire.LeadershipStatus, error) {
	var status wire.LeadershipStatus
	connection, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		return status, err
	}
	cl := rpc.NewClient(connection)
	defer cl.Close()
	return status, call(cl, "Peer.Standby", &Ack{}, &status, patience)
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
			go l.broken()
			return
		}
		cl = rpc.NewClient(monitoredConn{c, l.broken})
	}
	for {
		select {
		case m := <-l.heartbeats:
			// Not waited for: a heartbeat that is late is followed by the next.
			if connect(); cl != nil && !begin(cl, "Peer.Heartbeat", m) {
				cl.Close()
				cl = nil
			}
		case m := <-l.gossip:
			if connect(); cl == nil {
				continue
			}
			if err := call(cl, "Peer.Gossip", m, &Ack{}, 1500*time.Millisecond); err != nil {
				cl.Close()
				cl = nil
			}
		case f := <-l.calls:
			connect()
			f(cl)
		}
	}
}
