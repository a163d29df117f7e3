package wire

import (
	"errors"
	"fmt"
)

// This file defines the messages of the decision log, with which the leader replicates to its
// standby the state that is not in the records. They are sent by net/rpc and encoded by gob, which
// transmits the field names of DecisionLog and DecisionLogAck. These names therefore can't change;
// Life is an incarnation. The facts in a message are encoded as MessagePack arrays, so the order of
// the fields of Fact can't change either.

// FactKind is the kind of a Fact.
type FactKind int

// Kinds of facts. Their numbers are sent to controllers of other versions. Name is the name of a
// machine unless stated otherwise.
const (
	FactBooting           FactKind = 1  // a machine that is provisioned and still boots; At: when it was provisioned
	FactProvisioning      FactKind = 2  // a provisioning request in flight; Name: of the request; At: when it was decided
	FactBootTime          FactKind = 3  // a machine that has booted; At: when it was provisioned; Ratio: its boot time divided by its type's nominal one
	FactBackoff           FactKind = 4  // a pool from which no machines are requested before At; Name: of the pool
	FactCapacityShortage  FactKind = 5  // a pool that lacked capacity at At; Name: of the pool
	FactIdle              FactKind = 6  // a machine that has been idle since At
	FactDraining          FactKind = 7  // a machine that is drained for deprovisioning
	FactUnreported        FactKind = 8  // a machine listed as running since At from which no controller has received a heartbeat
	FactReserved          FactKind = 9  // a machine that is reserved for the job JobID
	FactDeprovisioned     FactKind = 10 // a machine that was deprovisioned at At
	FactWaitingSince      FactKind = 11 // a job that has waited for capacity since At; Name: job ID
	FactGangZone          FactKind = 12 // the zone in which capacity is freed for a gang; Name: job ID
	FactPreemptionBackoff FactKind = 13 // a job for which nothing is preempted before At; Name: job ID
	FactQueuePosition     FactKind = 14 // a gang with an attempt in progress that had waited since At; Name: job ID; Count: dropped attempts
)

// Fact is an item of the state that only the leader has, identified by its kind and name. The fields
// that a kind does not use are zero.
type Fact struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack    struct{} `msgpack:",as_array"`
	Kind        FactKind
	Name        string
	Removed     bool   // the fact no longer holds; the fields other than Kind and Name are zero
	At          int64  // ms on the monotonic clock of the leader's process; 0: no time
	MachineType string // of the pool, machine or request
	Zone        string
	Spot        bool
	Count       int     // number of requested machines, or of dropped attempts
	Ratio       float64 // actual boot time divided by the nominal one
	JobID       string
	Seen        bool // the cloud's list has shown the machine
}

// ErrTooManyFacts is returned by DecodeFacts for a list whose encoded length exceeds the limit.
var ErrTooManyFacts = errors.New("too many facts")

// DecodeFacts decodes a list of at most limit facts that was encoded by Encode. The error of a list
// that is not decoded at all wraps ErrTooManyFacts or one of the errors of Decode.
func DecodeFacts(raw []byte, limit int) ([]Fact, error) {
	scanner := encodingScanner{rest: raw}
	count, err := scanner.skipHeader()
	if err != nil {
		return nil, fmt.Errorf("decode facts: %w", err)
	}
	if count > uint64(limit) {
		return nil, fmt.Errorf("%w: %d", ErrTooManyFacts, count)
	}
	var facts []Fact
	if err := Decode(raw, &facts); err != nil {
		return nil, fmt.Errorf("facts: %w", err)
	}
	return facts, nil
}

// DecisionLog is a message from the leader to its standby. Messages are numbered consecutively
// within a term. Format 5.
type DecisionLog struct {
	From, Life string // name and incarnation of the leader
	Term       uint64
	Sequence   uint64 // number of the message
	Reset      bool   // the standby must first discard the facts that it holds
	NowMS      int64  // monotonic clock of the leader's process
	Facts      []byte // changed facts: a MessagePack list of Fact
	Checksum   uint32 // CRC-32 (IEEE) of Facts
}

// DecisionLogAck is the standby's response to a DecisionLog.
type DecisionLogAck struct {
	Term     uint64
	Sequence uint64 // of the message
	Resync   bool   // the message was discarded and the leader must send all facts again
}
