package wire

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// This file holds the messages of the decision log, by which the leader tells its standby what
// is not in the records. They are carried by net/rpc and gob, which carries the names of the
// fields of DecisionLog and DecisionLogAck, so they stay: Life is an incarnation. The facts in a
// message are MessagePack arrays, which carry the order of the fields of Fact.

// FactKind is the kind of a Fact.
type FactKind int

// Kinds of facts. Their numbers are sent to controllers of other versions. Unless said otherwise,
// Name is the name of a machine.
const (
	FactBooting          FactKind = 1  // a machine that is provisioned and not up; At: when it was provisioned
	FactProvisioning     FactKind = 2  // a provisioning request in flight; Name: of the request; At: when it was decided
	FactBootTime         FactKind = 3  // a machine that came up; At: when it was provisioned; Ratio: its boot time to its type's
	FactBackoff          FactKind = 4  // a pool that is not asked for machines before At; Name: of the pool
	FactCapacityShortage FactKind = 5  // a pool that lacked capacity at At; Name: of the pool
	FactIdle             FactKind = 6  // a machine that has been idle since At
	FactDraining         FactKind = 7  // a machine that is drained for deprovisioning
	FactUnreported       FactKind = 8  // a machine listed as running since At that no controller has heard from
	FactReserved         FactKind = 9  // a machine that is reserved for the job JobID
	FactReturned         FactKind = 10 // a machine that was deprovisioned at At
	FactWaitingSince     FactKind = 11 // a job that has lacked room since At; Name: job ID
	FactGangZone         FactKind = 12 // the zone in which room is made for a gang; Name: job ID
	FactPreemptedAt      FactKind = 13 // a job for which nothing is preempted before At; Name: job ID
	FactQueuePosition    FactKind = 14 // a gang that is tried and had waited since At; Name: job ID; Count: attempts dropped
)

// Fact is something that only the leader knows, identified by its kind and name. The fields that
// a kind does not use are zero.
type Fact struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack    struct{} `msgpack:",as_array"`
	Kind        FactKind
	Name        string
	Removed     bool   // the fact no longer holds; all but Kind and Name are empty
	At          int64  // ms of the steady clock of the leader's process; 0: no time
	MachineType string // of the pool, machine or request
	Zone        string
	Spot        bool
	Count       int     // machines requested, or attempts dropped
	Ratio       float64 // 1: the nominal boot time
	JobID       string
	Seen        bool // the cloud's list has shown the machine
}

// ErrTooManyFacts is returned by DecodeFacts for a list that claims to be longer than allowed.
var ErrTooManyFacts = errors.New("too many facts")

// DecodeFacts reads a list of at most limit facts that Encode has written. It checks the claimed
// length first: the library allocates as many elements as a message claims to have, and five
// bytes can claim 2^32 - 1.
func DecodeFacts(raw []byte, limit int) ([]Fact, error) {
	decoder := msgpack.NewDecoder(bytes.NewReader(raw))
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return nil, fmt.Errorf("decode facts: %w", err)
	}
	if count > limit {
		return nil, fmt.Errorf("%w: %d", ErrTooManyFacts, count)
	}
	facts := make([]Fact, max(0, count))
	for i := range facts {
		if err := decoder.Decode(&facts[i]); err != nil {
			return nil, fmt.Errorf("decode fact %d: %w", i, err)
		}
	}
	return facts, nil
}

// DecisionLog is a message of the leader to its standby. Messages are numbered consecutively
// within a term. Format 5.
type DecisionLog struct {
	From, Life string // name and incarnation of the leader
	Term       uint64
	Sequence   uint64 // number of the message
	Reset      bool   // the standby is to discard what it holds first
	NowMS      int64  // steady clock of the leader's process
	Facts      []byte // changed facts: a MessagePack list of Fact
	Checksum   uint32 // CRC-32 (IEEE) of Facts
}

// DecisionLogAck is the standby's answer to a DecisionLog.
type DecisionLogAck struct {
	Term     uint64
	Sequence uint64 // of the message
	Resync   bool   // the message was dropped: the leader is to send everything anew
}
