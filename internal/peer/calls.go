package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"micaport/internal/wire"
)

// Methods of Service.
const (
	methodGossip      = serviceName + ".Gossip"
	methodHeartbeat   = serviceName + ".Heartbeat"
	methodDecisionLog = serviceName + ".DecisionLog"
	methodUser        = serviceName + ".User"
	methodStandby     = serviceName + ".Standby"
)

const (
	gossipTimeout = 1500 * time.Millisecond
	// callTimeout is for calls whose replies the core waits for.
	callTimeout = 1700 * time.Millisecond
)

// errNoReply says that a peer did not reply within the timeout of a call.
var errNoReply = errors.New("peer does not answer")

// SendGossip sends gossip to the peer, in place of any that has not been sent yet.
func (l *Link) SendGossip(message *wire.Gossip) { replace(l.gossip, message) }

// SendHeartbeat sends a heartbeat to the peer, in place of one that has not been sent yet.
func (l *Link) SendHeartbeat(message *wire.LeaderHeartbeat) { replace(l.heartbeats, message) }

// replace puts a message into a mailbox of one, in place of an older one.
func replace[M any](mailbox chan M, message M) {
	for {
		select {
		case mailbox <- message:
			return
		default:
		}
		select {
		case <-mailbox:
		default:
		}
	}
}

// SendDecisionLog sends a message of the decision log. Acknowledged is called, in another
// goroutine, if the peer replies in time.
func (l *Link) SendDecisionLog(message *wire.DecisionLog, acknowledged func(wire.DecisionLogAck)) {
	l.enqueue(func(ctx context.Context, client *rpc.Client) {
		if client == nil {
			return
		}
		l.running.Go(func() {
			var ack wire.DecisionLogAck
			if call(ctx, client, methodDecisionLog, message, &ack, callTimeout) == nil {
				acknowledged(ack)
			}
		})
	})
}

// Forward forwards a user's request. Answered is called with the answer, or with status 0 if
// there is none; it must not block.
func (l *Link) Forward(request wire.UserCall, answered func(wire.UserAnswer)) {
	queued := l.enqueue(func(ctx context.Context, client *rpc.Client) {
		if client == nil {
			answered(wire.UserAnswer{})
			return
		}
		l.running.Go(func() {
			var answer wire.UserAnswer
			if call(ctx, client, methodUser, &request, &answer, callTimeout) != nil {
				answer = wire.UserAnswer{}
			}
			answered(answer)
		})
	})
	if !queued {
		answered(wire.UserAnswer{})
	}
}

// enqueue has the actor run a function with the connection's client, which is nil if there is
// no connection. It reports whether there was room in the queue.
func (l *Link) enqueue(function func(context.Context, *rpc.Client)) bool {
	select {
	case l.calls <- function:
		return true
	default:
		return false
	}
}

// call makes a call and waits for the reply. Without one in time it returns errNoReply; the
// call may have been carried out.
func call(ctx context.Context, client *rpc.Client, method string, args, reply any, timeout time.Duration) error {
	pending := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		return pending.Error
	case <-time.After(timeout):
		return errNoReply
	case <-ctx.Done():
		return ctx.Err()
	}
}

// start makes a call whose reply nobody waits for. It reports whether the connection took it.
func start(client *rpc.Client, method string, args any) bool {
	pending := client.Go(method, args, &Ack{}, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		return pending.Error == nil
	default:
		return true
	}
}

// QueryLeadership asks the controller at an address (host:port) for its view of the leader
// and its standby. Connecting and the reply may each take up to timeout.
func QueryLeadership(ctx context.Context, address string, timeout time.Duration) (wire.LeadershipStatus, error) {
	var status wire.LeadershipStatus
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return status, err
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	err = call(ctx, client, methodStandby, &Ack{}, &status, timeout)
	return status, err
}
