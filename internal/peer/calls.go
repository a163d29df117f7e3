package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"micaport/internal/wire"
)

// Names of the methods of Service in net/rpc.
const (
	methodGossip      = serviceName + ".Gossip"
	methodHeartbeat   = serviceName + ".Heartbeat"
	methodDecisionLog = serviceName + ".DecisionLog"
	methodUser        = serviceName + ".User"
	methodStandby     = serviceName + ".Standby"
)

const (
	gossipTimeout = 1500 * time.Millisecond
	// callTimeout limits calls whose replies the core needs.
	callTimeout = 1700 * time.Millisecond
)

// errNoReply is returned when a peer does not reply within the timeout of a call.
var errNoReply = errors.New("peer does not answer")

// SendGossip sends gossip to the peer. It replaces gossip that has not been sent yet.
func (l *Link) SendGossip(message *wire.Gossip) { replaceMessage(l.gossip, message) }

// SendHeartbeat sends a heartbeat to the peer. It replaces a heartbeat that has not been sent
// yet.
func (l *Link) SendHeartbeat(message *wire.LeaderHeartbeat) { replaceMessage(l.heartbeats, message) }

// replaceMessage puts a message into a mailbox with a capacity of one. An older message that is
// still in the mailbox is discarded.
func replaceMessage[M any](mailbox chan M, message M) {
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

// SendDecisionLog sends a message of the decision log. If the peer replies in time,
// acknowledged is called in another goroutine; otherwise it is not called.
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

// Forward forwards a user's request. It calls answered with the answer, or with status 0 if the
// peer does not answer. The call may be made in any goroutine, so answered must not block.
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

// enqueue queues a function for the actor, which calls it with the connection's client, or with
// nil if the link is not connected. It reports whether the queue had space for the function.
func (l *Link) enqueue(function func(context.Context, *rpc.Client)) bool {
	select {
	case l.calls <- function:
		return true
	default:
		return false
	}
}

// call makes a call and waits for the reply. It returns errNoReply if the reply does not arrive
// in time; the peer may have executed the call nevertheless.
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

// startCall makes a call without waiting for the reply. It returns false if the call failed at
// once.
func startCall(client *rpc.Client, method string, args any) bool {
	pending := client.Go(method, args, &Ack{}, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		return pending.Error == nil
	default:
		return true
	}
}

// QueryLeadership queries the controller at an address (host:port) for its view of the leader
// and the standby. The timeout applies to connecting and to the reply separately.
func QueryLeadership(ctx context.Context, address string, timeout time.Duration) (wire.LeadershipStatus, error) {
	var status wire.LeadershipStatus
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return status, err
	}
	client := rpc.NewClient(limitMessages(conn))
	defer client.Close()
	err = call(ctx, client, methodStandby, &Ack{}, &status, timeout)
	return status, err
}
