// Package peer connects the controllers of a deployment by net/rpc over TCP, with gob. The
// protocol between controllers is the project's own: gossip, the leader's heartbeats and its
// decision log, user requests that are forwarded, and the status that operators ask for.
// Service serves it, and Link is one controller's connection to another.
package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"micaport/internal/wire"
)

const (
	dialTimeout = time.Second
	// redialInterval is the least time between an attempt to connect that failed and the next.
	redialInterval = time.Second
	// forwardQueueSize is how many calls may wait while gossip is on its way to the peer,
	// which may take gossipTimeout. On a site of 4,000 machines users make some 500 requests
	// a second, and a controller that the state service refuses forwards all of them.
	forwardQueueSize = 4096
)

// Link is the connection to one peer. An actor, run, owns it: it connects when there is
// something to send, and again after the connection has broken.
//
// Gossip and heartbeats wait in mailboxes of one message, where a newer message replaces an
// older one, as each is complete by itself. Calls wait in a queue.
type Link struct {
	address    string
	broken     func()
	gossip     chan *wire.Gossip
	heartbeats chan *wire.LeaderHeartbeat
	calls      chan func(context.Context, *rpc.Client)
	running    sync.WaitGroup // the actor and its calls

	// What follows belongs to the actor.
	client   *rpc.Client // nil while there is no connection
	redialAt time.Time
}

// Dial starts the actor of a link to the peer at an address (host:port), which ends with ctx.
// Broken is called, in another goroutine, whenever the connection has broken or can't be made.
func Dial(ctx context.Context, address string, broken func()) *Link {
	l := &Link{
		address: address, broken: broken,
		gossip: make(chan *wire.Gossip, 1), heartbeats: make(chan *wire.LeaderHeartbeat, 1),
		calls: make(chan func(context.Context, *rpc.Client), forwardQueueSize),
	}
	l.running.Go(func() { l.run(ctx) })
	return l
}

// Wait returns when the actor and all calls have ended, after the end of the context.
func (l *Link) Wait() { l.running.Wait() }

// run is the actor. It closes the connection when ctx ends.
func (l *Link) run(ctx context.Context) {
	defer l.disconnect()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-l.heartbeats:
			// The reply is not waited for: a late heartbeat is followed by the next.
			if l.connect(ctx) && !start(l.client, methodHeartbeat, message) {
				l.disconnect()
			}
		case message := <-l.gossip:
			if l.connect(ctx) && call(ctx, l.client, methodGossip, message, &Ack{}, gossipTimeout) != nil {
				l.disconnect()
			}
		case forward := <-l.calls:
			l.connect(ctx)
			forward(ctx, l.client)
		}
	}
}

// connect connects unless there is a connection, or the last attempt failed too recently. It
// reports whether there is a connection.
func (l *Link) connect(ctx context.Context) bool {
	if l.client != nil || time.Now().Before(l.redialAt) {
		return l.client != nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		l.redialAt = time.Now().Add(redialInterval)
		l.running.Go(l.broken)
		return false
	}
	l.client = rpc.NewClient(monitoredConn{conn, l.broken})
	return true
}

// disconnect closes the connection, if there is one; calls in progress fail.
func (l *Link) disconnect() {
	if l.client != nil {
		l.client.Close()
		l.client = nil
	}
}

// monitoredConn is a connection that calls broken when the peer or the network has broken it.
type monitoredConn struct {
	net.Conn
	broken func()
}

// Read calls broken after an error, unless this side has closed the connection. An
// rpc.Client reads all the time, and does not read again after an error.
func (c monitoredConn) Read(buffer []byte) (int, error) {
	read, err := c.Conn.Read(buffer)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.broken()
	}
	return read, err
}
