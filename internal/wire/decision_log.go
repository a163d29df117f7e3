package wire

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// FactKind is a kind of what only the leader knows.
type FactKind int

// Kinds of facts. Their numbers stay: other versions read them.
const (
	FactBooting          FactKind = 1  // a machine rented and not up; At: when it was rented
	FactProvisioning     FactKind = 2  // a provisioning request under way, by the name of its request; At: when it was decided
	FactBootTime         FactKind = 3  // a machine that came up; At: when it was rented, Ratio: to its type's boot time
	FactBackoff          FactKind = 4  // a pool that is left alone until At
	FactCapacityShortage FactKind = 5  // a pool that had too few machines at At
	FactIdle             FactKind = 6  // a machine idle since At
	FactDraining         FactKind = 7  // a machine to go back
	FactUnreported       FactKind = 8  // a machine listed as running since At that nobody has heard of
	FactReserved         FactKind = 9  // a machine kept for the job Ref
	FactReturned         FactKind = 10 // a machine gone back at At
	FactWaitingSince     FactKind = 11 // a job that has not had room since At
	FactGangZone         FactKind = 12 // the zone in which room is made for a gang
	FactPreemptedAt      FactKind = 13 // a job for which nothing is stopped before At
	FactQueuePosition    FactKind = 14 // a gang that is being tried and had waited since At; Count: attempts dropped
)

// Fact is one thing that only the leader knows, named by its kind and name. Times are in
// milliseconds of the leader's steady clock.
type Fact struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack    struct{} `msgpack:",as_array"`
	Kind        FactKind
	Name        string
	Removed     bool // it holds no longer; the rest is empty
	At          int64
	MachineType string
	Zone        string
	Spot        bool
	Count       int
	Ratio       float64
	JobID       string
	Seen        bool
}

// ErrTooManyFacts says that a list of facts claims to be longer than any that is sent.
var ErrTooManyFacts = errors.New("too many facts")

// DecodeFacts reads a list of at most limit facts, as Encode writes it. The claimed length
// is checked first: the library allocates as many elements as a message claims to have, and
// five bytes can claim four thousand million.
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

// DecisionLog is a message of the leader's log to its standby, by net/rpc. Messages are
// numbered within a term; one with Reset begins anew with nothing. Format 5.
type DecisionLog struct {
	From, Life string
	Term       uint64
	Sequence   uint64
	Reset      bool
	NowMS      int64  // the leader's steady clock
	Facts      []byte // MessagePack of a list of Fact
	Checksum   uint32 // CRC-32 (IEEE) of Facts
}

// DecisionLogAck answers a message of the log.
type DecisionLogAck struct {
	Term     uint64
	Sequence uint64 // of the message
	Resync   bool   // it could not be taken in: the log is to begin anew
}
