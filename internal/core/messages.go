package core

import "micaport/internal/wire"

// Outcome of a request to the state service or the cloud.
type Outcome int

// Outcomes. Only OK, Conflict and Missing say for certain what happened;
// Refused says that nothing did.
const (
	OK Outcome = iota
	Conflict
	Missing
	Refused
	Unknown
	BadLease
	Full     // the cloud has no capacity
	TooLarge // a value or a transaction beyond the limits: not carried out, ever
)

// Cond demands that a key is at a revision; 0 means absent.
type Cond struct {
	Key string
	Rev uint64
}

// Write puts or drops a key. Value is a record of package wire.
type Write struct {
	Key   string
	Value wire.Record // nil drops the key
	Lease uint64
}

// Class orders requests when the budget is short.
type Class int

// Classes, most pressing first.
const (
	Vital Class = iota // renewals and claims
	User               // submissions, withdrawals, polls
	Bulk               // everything else
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

func (Commit) effect()       {}
func (Read) effect()         {}
func (Lease) effect()        {}
func (Cloud) effect()        {}
func (Direct) effect()       {}
func (Send) effect()         {}
func (CloudAllowed) effect() {}
func (Heartbeat) effect()    {}
func (SendLog) effect()      {}
func (Forward) effect()      {}
func (Reply) effect()        {}
func (Log) effect()          {}

func (Tick) input()              {}
func (Reported) input()          {}
func (UserRequest) input()       {}
func (Forwarded) input()         {}
func (Committed) input()         {}
func (Directed) input()          {}
func (GotJob) input()            {}
func (Leased) input()            {}
func (Changes) input()           {}
func (Clouded) input()           {}
func (Gossiped) input()          {}
func (HeartbeatReceived) input() {}
func (Disconnected) input()      {}
func (StatusRequest) input()     {}
func (LogReceived) input()       {}
func (LogAcknowledged) input()   {}

func (Committed) result() {}
func (Directed) result()  {}
func (GotJob) result()    {}
func (Leased) result()    {}
func (Clouded) result()   {}

// Effects.
type (
	// Commit is a transaction on the state service.
	Commit struct {
		ID     uint64
		If     []Cond
		Writes []Write
		Class  Class
	}
	// Read fetches a job's record.
	Read struct {
		ID  uint64
		Ref string
	}
	// Lease creates (Lease 0) or extends a lease.
	Lease struct {
		ID    uint64
		Lease uint64
		TTL   Time
	}
	// Cloud is a call to the cloud; exactly one of the fields says which.
	Cloud struct {
		ID      uint64
		Flavors bool
		List    bool
		Hire    *wire.Hire
		Return  []string
		Within  Time // how long after this a hire or return may be sent
		// Term, if not 0, is that of the claim under which the call was decided: it may be
		// sent for as long as the last CloudAllowed says, also while it waits for its turn.
		Term uint64
	}
	// CloudAllowed lets hires and returns of a term, and of no other, be sent until a time of
	// the core's clock: a pause between the step and what carries this out prolongs nothing.
	CloudAllowed struct {
		Term  uint64
		Until Time
	}
	// Direct sends orders to a worker's own address; Directed says what became
	// of them.
	Direct struct {
		ID     uint64
		Addr   string
		Orders wire.Orders
	}
	// Send is a message to a peer.
	Send struct {
		To  string
		Msg *wire.Gossip
	}
	// Heartbeat tells a peer that we lead. A newer one takes the place of one that has
	// not been sent.
	Heartbeat struct {
		To  string
		Msg *wire.Heartbeat
	}
	// SendLog sends a message of the decision log to the standby; LogAcknowledged answers it,
	// if it is answered.
	SendLog struct {
		To  string
		Msg *wire.DecisionLog
	}
	// Forward hands a user's request to a peer; the answer comes as Forwarded.
	Forward struct {
		Req  uint64
		To   string
		Call wire.UserCall
	}
	// Reply answers a request of a user or a worker.
	Reply struct {
		Req    uint64
		Status int
		Body   any
		RetryS int
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
	// Reported is a worker's report.
	Reported struct {
		Req    uint64
		Report *wire.Report
	}
	// UserRequest is a user's request at the API, or one handed on by a peer.
	UserRequest struct {
		Req       uint64
		Kind      wire.RequestKind
		Ref       string
		Body      []byte
		Forwarded bool
	}
	// Forwarded is a peer's answer to Forward; Status 0 means none came.
	Forwarded struct {
		Req    uint64
		Answer wire.UserAnswer
	}
	// Committed is the result of Commit.
	Committed struct {
		ID      uint64
		Outcome Outcome
		Rev     uint64
		Failed  []string // after Conflict: the keys that were not as demanded
		Limited bool     // the service said that there were too many puts
	}
	// Directed is the result of Direct: OK when the worker has carried the
	// orders out, Conflict when it never will, as its session or token is
	// another, Refused when they were not sent.
	Directed struct {
		ID      uint64
		Outcome Outcome
	}
	// GotJob is the result of Read.
	GotJob struct {
		ID      uint64
		Outcome Outcome
		Rev     uint64
		Job     *wire.Job
	}
	// Leased is the result of Lease.
	Leased struct {
		ID      uint64
		Outcome Outcome
		Lease   uint64
	}
	// Changes are events of the watch, in order, up to revision Rev. Reset
	// says that they are a full listing: everything else is absent.
	Changes struct {
		Reset  bool
		Rev    uint64
		Events []Event
	}
	// Clouded is the result of Cloud.
	Clouded struct {
		ID       uint64
		Outcome  Outcome
		Flavors  []wire.Flavor
		Machines []wire.Machine
		Hosts    []string
	}
	// Gossiped is a message from a peer.
	Gossiped struct{ Msg *wire.Gossip }
	// HeartbeatReceived is a leader's heartbeat.
	HeartbeatReceived struct{ Msg *wire.Heartbeat }
	// Disconnected says that the connection to a peer has broken.
	Disconnected struct{ Peer string }
	// LogReceived is a message of the leader's decision log; Reply has a
	// wire.DecisionLogAck.
	LogReceived struct {
		Req uint64
		Msg *wire.DecisionLog
	}
	// LogAcknowledged is the standby's answer to SendLog.
	LogAcknowledged struct{ Ack wire.DecisionLogAck }
	// StatusRequest asks who leads and who stands by; Reply has a wire.StandbyStatus.
	StatusRequest struct{ Req uint64 }
)

// Event is a change of a key; Value is nil when it was dropped.
type Event struct {
	Key   string
	Rev   uint64
	Value wire.Record
}
