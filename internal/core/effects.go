package core

import (
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// RequestClass is the priority of a request when requests are rate-limited.
type RequestClass int

// Request classes, highest priority first.
const (
	ClassLease      RequestClass = iota // lease renewals, and claims and their proofs
	ClassUser                           // submissions, cancellations and status queries
	ClassBackground                     // everything else
)

// LogLevel is the severity of a log record.
type LogLevel int

// Log levels.
const (
	LogDebug LogLevel = iota
	LogInfo
	LogError
)

// Effect is an action that the caller of Node.Step carries out: one of the types below.
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

// Types of Effect.
type (
	// Commit sends a transaction to the state service.
	Commit struct {
		ID         uint64
		Conditions []kv.Condition
		Writes     []kv.Write
		Class      RequestClass
	}
	// ReadJob reads a job's record from the state service.
	ReadJob struct {
		ID    uint64
		JobID string
	}
	// RenewLease creates a lease (LeaseID 0) or extends one.
	RenewLease struct {
		ID      uint64
		LeaseID uint64
		TTL     Time
	}
	// CallCloud calls the cloud's API; CloudAnswered is the result. Exactly one of ListTypes,
	// ListMachines, Provision and Deprovision is set.
	CallCloud struct {
		ID           uint64
		ListTypes    bool
		ListMachines bool
		Provision    *wire.ProvisionRequest
		Deprovision  []string
		ValidFor     Time // how long a provisioning or deprovisioning call may be delayed before it is sent
		// Term, if not 0, is the leadership term in which the call was decided. The call is
		// then sent only if the last AllowCloudCalls has the same term and its time has not
		// passed, and ValidFor does not apply.
		Term uint64
	}
	// AllowCloudCalls permits provisioning and deprovisioning calls of one term only, until a
	// time of the core's clock. The time is absolute, so that a delay before this effect is
	// carried out does not extend the permission.
	AllowCloudCalls struct {
		Term  uint64
		Until Time
	}
	// SendCommands sends commands to a worker's own address; CommandsAnswered is the result.
	SendCommands struct {
		ID      uint64
		Address string
		Batch   wire.CommandBatch
	}
	// SendGossip sends a gossip message to a peer.
	SendGossip struct {
		To      string
		Message *wire.Gossip
	}
	// SendHeartbeat sends the leader's heartbeat to a peer. A newer heartbeat replaces one that
	// has not been sent yet.
	SendHeartbeat struct {
		To      string
		Message *wire.LeaderHeartbeat
	}
	// SendDecisionLog sends a message of the decision log to the standby. If the standby
	// answers, DecisionLogAcknowledged carries the answer.
	SendDecisionLog struct {
		To      string
		Message *wire.DecisionLog
	}
	// Forward sends a user's request to a peer; ForwardAnswered is the result.
	Forward struct {
		RequestID uint64
		To        string
		Call      wire.UserCall
	}
	// Reply answers a request by its ID: a user's, a worker's, a peer's or a StatusRequest.
	Reply struct {
		RequestID   uint64
		Status      int
		Body        any
		RetryAfterS int
	}
	// Log writes a log record.
	Log struct {
		Level LogLevel
		Text  string
		Args  []any
	}
)
