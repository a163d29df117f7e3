package core

import (
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Types of requests to the state service and of what is known of them.
type (
	// Condition demands that a key is at a revision.
	Condition = kv.Condition
	// Write puts or deletes a key.
	Write = kv.Write
	// Event is a change of a key.
	Event = kv.Event
	// Outcome is what is known of a request.
	Outcome = kv.Outcome
)

// Outcomes; see package kv.
const (
	OK           = kv.OK
	Conflict     = kv.Conflict
	NotFound     = kv.NotFound
	Refused      = kv.Refused
	Unknown      = kv.Unknown
	LeaseExpired = kv.LeaseExpired
	NoCapacity   = kv.NoCapacity
	TooLarge     = kv.TooLarge
)

// RequestClass orders requests when the budget is short.
type RequestClass int

// Classes, most pressing first.
const (
	ClassLease      RequestClass = iota // renewals and claims
	ClassUser                           // submissions, cancellations, polls
	ClassBackground                     // everything else
)

// LogLevel says how much a line of the log matters.
type LogLevel int

// Levels of the log.
const (
	LogDebug LogLevel = iota
	LogInfo
	LogError
)

// Effect is something that the core wants done: one of the types below.
type Effect interface{ effect() }

// Input is something that the core is told: one of the types below.
type Input interface{ input() }

// Result is an input that answers an effect with an id.
type Result interface {
	Input
	result()
}

func (Commit) effect()          {}
func (ReadJob) effect()         {}
func (RenewLease) effect()      {}
func (CallCloud) effect()       {}
func (SendCommands) effect()    {}
func (SendGossip) effect()      {}
func (AllowCloudCalls) effect() {}
func (SendHeartbeat) effect()   {}
func (SendDecisionLog) effect() {}
func (Forward) effect()         {}
func (Reply) effect()           {}
func (Log) effect()             {}

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

// Effects.
type (
	// Commit is a transaction on the state service.
	Commit struct {
		ID         uint64
		Conditions []Condition
		Writes     []Write
		Class      RequestClass
	}
	// ReadJob fetches a job's record.
	ReadJob struct {
		ID    uint64
		JobID string
	}
	// RenewLease creates (Lease 0) or extends a lease.
	RenewLease struct {
		ID      uint64
		LeaseID uint64
		TTL     Time
	}
	// CallCloud is a call to the cloud; exactly one of the fields says which.
	CallCloud struct {
		ID           uint64
		ListTypes    bool
		ListMachines bool
		Provision    *wire.ProvisionRequest
		Deprovision  []string
		ValidFor     Time // how long after this a provisioning or deprovisioning call may be sent
		// Term, if not 0, is that of the claim under which the call was decided: it may be
		// sent for as long as the last AllowCloudCalls says, also while it waits for its turn.
		Term uint64
	}
	// AllowCloudCalls lets provisioning and deprovisioning calls of a term, and of no other, be sent until a time of
	// the core's clock: a pause between the step and what carries this out prolongs nothing.
	AllowCloudCalls struct {
		Term  uint64
		Until Time
	}
	// SendCommands sends orders to a worker's own address; Directed says what became
	// of them.
	SendCommands struct {
		ID      uint64
		Address string
		Batch   wire.CommandBatch
	}
	// SendGossip is a message to a peer.
	SendGossip struct {
		To      string
		Message *wire.Gossip
	}
	// SendHeartbeat tells a peer that we lead. A newer one takes the place of one that has
	// not been sent.
	SendHeartbeat struct {
		To      string
		Message *wire.LeaderHeartbeat
	}
	// SendDecisionLog sends a message of the decision log to the standby; DecisionLogAcknowledged answers it,
	// if it is answered.
	SendDecisionLog struct {
		To      string
		Message *wire.DecisionLog
	}
	// Forward hands a user's request to a peer; the answer comes as Forwarded.
	Forward struct {
		RequestID uint64
		To        string
		Call      wire.UserCall
	}
	// Reply answers a request of a user or a worker.
	Reply struct {
		RequestID   uint64
		Status      int
		Body        any
		RetryAfterS int
	}
	// Log is a line for the log.
	Log struct {
		Level LogLevel
		Text  string
		Args  []any
	}
)

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
		Outcome  Outcome
		Revision uint64
		Failed   []string // after Conflict: the keys that were not as demanded
		Limited  bool     // the service said that there were too many puts
	}
	// CommandsAnswered is the result of Direct: OK when the worker has carried the
	// orders out, Conflict when it never will, as its epoch or token is
	// another, Refused when they were not sent.
	CommandsAnswered struct {
		ID      uint64
		Outcome Outcome
	}
	// JobRead is the result of Read.
	JobRead struct {
		ID       uint64
		Outcome  Outcome
		Revision uint64
		Job      *wire.Job
	}
	// LeaseAnswered is the result of Lease.
	LeaseAnswered struct {
		ID      uint64
		Outcome Outcome
		LeaseID uint64
	}
	// RecordsChanged are events of the watch, in order, up to revision Rev. Reset
	// says that they are a full listing: everything else is absent.
	RecordsChanged struct {
		Reset    bool
		Revision uint64
		Events   []Event
	}
	// CloudAnswered is the result of Cloud.
	CloudAnswered struct {
		ID           uint64
		Outcome      Outcome
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
