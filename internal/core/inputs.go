package core

import (
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Input is an event that Node.Step processes: one of the types below.
type Input interface{ input() }

// Result is an input that carries the result of an effect with an ID.
type Result interface {
	Input
	result()
}

func (Tick) input()                    {}
func (WorkerReported) input()          {}
func (UserRequest) input()             {}
func (ForwardAnswered) input()         {}
func (Committed) input()               {}
func (CommandsAnswered) input()        {}
func (JobRead) input()                 {}
func (LeaseAnswered) input()           {}
func (RecordsChanged) input()          {}
func (CloudAnswered) input()           {}
func (GossipReceived) input()          {}
func (HeartbeatReceived) input()       {}
func (Disconnected) input()            {}
func (StatusRequest) input()           {}
func (DecisionLogReceived) input()     {}
func (DecisionLogAcknowledged) input() {}

func (Committed) result()        {}
func (CommandsAnswered) result() {}
func (JobRead) result()          {}
func (LeaseAnswered) result()    {}
func (CloudAnswered) result()    {}

// Types of Input.
type (
	// Tick only runs the timers that are due.
	Tick struct{}
	// WorkerReported is a worker's heartbeat.
	WorkerReported struct {
		RequestID uint64
		Heartbeat *wire.WorkerHeartbeat
	}
	// UserRequest is a user's API request, received directly or forwarded by a peer.
	UserRequest struct {
		RequestID uint64
		Kind      wire.RequestKind
		JobID     string
		Body      []byte
		Forwarded bool
	}
	// ForwardAnswered is a peer's answer to a Forward; status 0 means that the peer did not
	// answer.
	ForwardAnswered struct {
		RequestID uint64
		Answer    wire.UserAnswer
	}
	// Committed is the result of a Commit.
	Committed struct {
		ID          uint64
		Outcome     kv.Outcome
		Revision    uint64
		FailedKeys  []string // after kv.Conflict: the keys whose conditions did not hold
		RateLimited bool     // at least one attempt was refused because of the service's rate limit
	}
	// CommandsAnswered is the result of a SendCommands: kv.OK when the worker has executed
	// the commands, kv.Conflict when it has rejected them permanently, because it has another
	// epoch or token, and kv.Refused when they were not sent.
	CommandsAnswered struct {
		ID      uint64
		Outcome kv.Outcome
	}
	// JobRead is the result of a ReadJob.
	JobRead struct {
		ID       uint64
		Outcome  kv.Outcome
		Revision uint64
		Job      *wire.Job
	}
	// LeaseAnswered is the result of a RenewLease.
	LeaseAnswered struct {
		ID      uint64
		Outcome kv.Outcome
		LeaseID uint64
	}
	// RecordsChanged carries events of the watch, in order, up to Revision. If Reset is set,
	// the events are a full listing: records that are not in it do not exist.
	RecordsChanged struct {
		Reset    bool
		Revision uint64
		Events   []kv.Event
	}
	// CloudAnswered is the result of a CallCloud.
	CloudAnswered struct {
		ID           uint64
		Outcome      kv.Outcome
		MachineTypes []wire.MachineType
		Machines     []wire.CloudMachine
		Names        []string // of the provisioned machines
	}
	// GossipReceived is a gossip message from a peer.
	GossipReceived struct{ Message *wire.Gossip }
	// HeartbeatReceived is a heartbeat from the leader.
	HeartbeatReceived struct{ Message *wire.LeaderHeartbeat }
	// Disconnected reports that the connection to a peer has broken.
	Disconnected struct{ Peer string }
	// DecisionLogReceived is a message of the leader's decision log. The Reply to it carries a
	// wire.DecisionLogAck.
	DecisionLogReceived struct {
		RequestID uint64
		Message   *wire.DecisionLog
	}
	// DecisionLogAcknowledged is the standby's answer to a SendDecisionLog.
	DecisionLogAcknowledged struct{ Ack wire.DecisionLogAck }
	// StatusRequest asks for the leader and the standby. The Reply to it carries a
	// wire.LeadershipStatus.
	StatusRequest struct{ RequestID uint64 }
)
