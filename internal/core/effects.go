package core

import (
	"micaport/internal/kv"
	"micaport/internal/wire"
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

// Effects.
type (
	// Commit is a transaction on the state service.
	Commit struct {
		ID         uint64
		Conditions []kv.Condition
		Writes     []kv.Write
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
