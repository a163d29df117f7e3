package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"micaport/internal/api"
	"micaport/internal/core"
	"micaport/internal/wire"
)

// serviceName is the name of Service in net/rpc. It and the names of the methods must not
// change, as they are the protocol between controllers of different versions.
const serviceName = "Peer"

// errOverloaded is returned for calls that the core could not accept or answer in time.
var errOverloaded = errors.New(api.OverloadedText)

// Service implements the net/rpc methods that controllers call on each other.
type Service struct {
	post     func(core.Input)
	dispatch api.Dispatch
}

// Ack is an empty argument or reply.
type Ack struct{}

// Gossip passes a peer's gossip to the core.
func (s *Service) Gossip(message *wire.Gossip, _ *Ack) error {
	s.post(core.GossipReceived{Message: message})
	return nil
}

// Heartbeat passes a leader's heartbeat to the core.
func (s *Service) Heartbeat(message *wire.LeaderHeartbeat, _ *Ack) error {
	s.post(core.HeartbeatReceived{Message: message})
	return nil
}

// DecisionLog passes a message of the leader's decision log to the core, which acknowledges it.
func (s *Service) DecisionLog(message *wire.DecisionLog, ack *wire.DecisionLogAck) error {
	reply, ok := s.dispatch(func(requestID uint64) core.Input {
		return core.DecisionLogReceived{RequestID: requestID, Message: message}
	})
	if !ok {
		return errOverloaded
	}
	*ack = reply.Body.(wire.DecisionLogAck)
	return nil
}

// Standby returns this controller's view of the leader and its standby, for operators.
func (s *Service) Standby(_ Ack, status *wire.LeadershipStatus) error {
	reply, ok := s.dispatch(func(requestID uint64) core.Input { return core.StatusRequest{RequestID: requestID} })
	if !ok {
		return errOverloaded
	}
	*status = reply.Body.(wire.LeadershipStatus)
	return nil
}

// User serves a user's request that a peer has forwarded. It is not forwarded again.
func (s *Service) User(call *wire.UserCall, answer *wire.UserAnswer) error {
	reply, ok := s.dispatch(func(requestID uint64) core.Input {
		return core.UserRequest{RequestID: requestID, Kind: call.Kind, JobID: call.Ref, Body: call.Body, Forwarded: true}
	})
	if !ok {
		return errOverloaded
	}
	body, err := wire.Encode(reply.Body)
	if err != nil {
		return err
	}
	answer.Status, answer.Body = reply.Status, body
	return nil
}

// Serve accepts connections of peers until the listener fails or ctx ends, then closes the
// listener and all connections, and returns the listener's error. It does not wait for calls in
// progress.
func Serve(ctx context.Context, listener net.Listener, post func(core.Input), dispatch api.Dispatch) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{post: post, dispatch: dispatch}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { listener.Close() })
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return err
		}
		unregister := context.AfterFunc(ctx, func() { accepted.Close() })
		go func() {
			defer unregister()
			server.ServeCodec(newServerCodec(limitMessages(idleTimeoutConn{accepted}))) // closes the connection
		}()
	}
}

// peerIdleTimeout is how long a connection may be idle; peers send a message every second. A
// peer that failed may have left connections open. They must be closed, as the number of
// connections is limited and the peer needs new ones after its restart.
const peerIdleTimeout = 20 * time.Second

// idleTimeoutConn is a connection whose reads fail after peerIdleTimeout without data. After
// such an error net/rpc closes the connection.
type idleTimeoutConn struct{ net.Conn }

func (c idleTimeoutConn) Read(buffer []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(peerIdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(buffer)
}
