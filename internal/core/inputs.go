package core

import (
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Input is something that the core is told: one of the types below.
type Input interface{ input() }

// Result is an input that answers an effect with an id.
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

// Inputs.
type (
	// Tick lets timers fire.
	Tick struct{}
	// WorkerReported is a worker's report.
	WorkerReported struct {
		RequestID uint64
		Heartbeat *wire.WorkerHeartbeat
	}
	// UserRequest is a user's request at the API, or one handed on by a peer.
	UserRequest struct {
		RequestID uint64
		Kind      wire.RequestKind
		JobID     string
		Body      []byte
		Forwarded bool
	}
	// ForwardAnswered is a peer's answer to Forward; Status 0 means none came.
	ForwardAnswered struct {
		RequestID uint64
		Answer    wire.UserAnswer
	}
	// Committed is the result of Commit.
	Committed struct {
		ID       uint64
		Outcome  kv.Outcome
		Revision uint64
		Failed   []string // after Conflict: the keys that were not as demanded
		Limited  bool     // the service said that there were too many puts
	}
	// CommandsAnswered is the result of Direct: kv.OK when the worker has carried the
	// orders out, Conflict when it never will, as its epoch or token is
	// another, Refused when they were not sent.
	CommandsAnswered struct {
		ID      uint64
		Outcome kv.Outcome
	}
	// JobRead is the result of Read.
	JobRead struct {
		ID       uint64
		Outcome  kv.Outcome
		Revision uint64
		Job      *wire.Job
	}
	// LeaseAnswered is the result of Lease.
	LeaseAnswered struct {
		ID      uint64
		Outcome kv.Outcome
		LeaseID uint64
	}
	// RecordsChanged are events of the watch, in order, up to revision Rev. Reset
	// says that they are a full listing: everything else is absent.
	RecordsChanged struct {
		Reset    bool
		Revision uint64
		Events   []kv.Event
	}
	// CloudAnswered is the result of Cloud.
	CloudAnswered struct {
		ID           uint64
		Outcome      kv.Outcome
		MachineTypes []wire.MachineType
		Machines     []wire.CloudMachine
		Names        []string
	}
	// GossipReceived is a message from a peer.
	GossipReceived struct{ Message *wire.Gossip }
	// HeartbeatReceived is a leader's heartbeat.
	HeartbeatReceived struct{ Message *wire.LeaderHeartbeat }
	// Disconnected says that the connection to a peer has broken.
	Disconnected struct{ Peer string }
	// DecisionLogReceived is a message of the leader's decision log; Reply has a
	// wire.DecisionLogAck.
	DecisionLogReceived struct {
		RequestID uint64
		Message   *wire.DecisionLog
	}
	// DecisionLogAcknowledged is the standby's answer to SendDecisionLog.
	DecisionLogAcknowledged struct{ Ack wire.DecisionLogAck }
	// StatusRequest asks who leads and who stands by; Reply has a wire.LeadershipStatus.
	StatusRequest struct{ RequestID uint64 }
)
