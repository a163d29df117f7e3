// Package peer connects the controllers of a deployment by net/rpc over TCP, with gob encoding.
// Controllers exchange gossip, the leader's heartbeats and decision log, and forwarded user
// requests; operators' commands query a controller's status. Service is the server side, and
// Link is the connection of one controller to another.
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
	// redialInterval is the least time between a failed attempt to connect and the next one.
	redialInterval = time.Second
	// callQueueSize is how many calls may wait while the actor sends gossip, which may
	// take gossipTimeout. On a site of 4,000 machines users make about 500 requests a second,
	// and a controller whose requests the state service refuses forwards all of them.
	callQueueSize = 4096
)

// Link is the connection to one peer. A goroutine of its own, the actor, runs run and owns the
// connection: it connects when it has something to send, and reconnects after the connection
// has broken.
//
// Gossip and heartbeats each have a mailbox with a capacity of one message. A newer message
// replaces an older one, which is not needed any more, as each message is complete. Calls wait
// in a queue.
type Link struct {
	address    string
	onBroken   func()
	gossip     chan *wire.Gossip
	heartbeats chan *wire.LeaderHeartbeat
	calls      chan func(context.Context, *rpc.Client)
	running    sync.WaitGroup // goroutines of the actor and of its calls

	// The following fields are used by the actor only.
	client     *rpc.Client // nil while not connected
	nextDialAt time.Time   // earliest time of the next attempt to connect
}

// Dial returns a link to the peer at an address (host:port) and starts its actor, which ends
// when ctx ends. Whenever the connection breaks or can't be made, onBroken is called in another
// goroutine.
func Dial(ctx context.Context, address string, onBroken func()) *Link {
	l := &Link{
		address: address, onBroken: onBroken,
		gossip: make(chan *wire.Gossip, 1), heartbeats: make(chan *wire.LeaderHeartbeat, 1),
		calls: make(chan func(context.Context, *rpc.Client), callQueueSize),
	}
	l.running.Go(func() { l.run(ctx) })
	return l
}

// Wait waits until the actor and all calls have ended. They do after the context has ended.
func (l *Link) Wait() { l.running.Wait() }

// run sends messages and calls until ctx ends, and then closes the connection.
func (l *Link) run(ctx context.Context) {
	defer l.disconnect()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-l.heartbeats:
			// Not waiting for the reply keeps one late heartbeat from delaying the next.
			if l.connect(ctx) && !startCall(l.client, methodHeartbeat, message) {
				l.disconnect()
			}
		case message := <-l.gossip:
			if l.connect(ctx) && call(ctx, l.client, methodGossip, message, &Ack{}, gossipTimeout) != nil {
				l.disconnect()
			}
		case sendCall := <-l.calls:
			l.connect(ctx)
			sendCall(ctx, l.client)
		}
	}
}

// connect connects to the peer, unless the link is connected already or the last attempt failed
// less than redialInterval ago. It reports whether the link is connected.
func (l *Link) connect(ctx context.Context) bool {
	if l.client != nil || time.Now().Before(l.nextDialAt) {
		return l.client != nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		l.nextDialAt = time.Now().Add(redialInterval)
		l.running.Go(l.onBroken)
		return false
	}
	l.client = rpc.NewClient(monitoredConn{limitMessages(conn), l.onBroken})
	return true
}

// disconnect closes the connection, if any; calls in progress fail.
func (l *Link) disconnect() {
	if l.client != nil {
		l.client.Close()
		l.client = nil
	}
}

// monitoredConn is a connection that calls onBroken when it fails or the peer closes it.
type monitoredConn struct {
	net.Conn
	onBroken func()
}

// Read reads from the connection, and calls onBroken after an error unless this side has closed
// the connection. An rpc.Client reads continuously and stops at the first error, so a broken
// connection is detected at once, and reported once.
func (c monitoredConn) Read(buffer []byte) (int, error) {
	read, err := c.Conn.Read(buffer)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.onBroken()
	}
	return read, err
}
