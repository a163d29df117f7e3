package machinetypes

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

const (
	// retryDelay is the time until the next write after one that has failed or whose outcome is
	// unknown.
	retryDelay = 2 * time.Second
	// errorDelay is the time until the next attempt to write a list that can't be stored.
	errorDelay = time.Minute
	// minPartBytes is the least size to which parts are reduced when the state service refuses
	// them as too large.
	minPartBytes = 512
)

// Limits are limits of the state service.
type Limits struct {
	ValueBytes        int // size of a value, at present and after an announced reduction
	CurrentValueBytes int // size of a value until the announced reduction; 0: ValueBytes
	Writes            int // writes in a transaction, at least 2
}

// Transaction is a write to the state service. It must also be conditional on the leadership of the
// controller that makes it.
type Transaction struct {
	Conditions []kv.Condition
	Writes     []kv.Write
}

// Publisher stores the leader's list of machine types in the state service, one transaction after
// the other. What it writes next follows from the catalog alone, so that it continues after any
// outcome: a list that differs from the stored one is written until the watch shows it.
type Publisher struct {
	catalog   *Catalog
	limits    Limits
	partBytes int // size up to which a part is written

	upgraded      bool         // see Deployment
	term          uint64       // of the leadership in which the following state was set
	lists         int          // lists that have been begun in the term
	pending       *pendingList // the list that is being written; nil: none
	inFlight      *Transaction // nil: none
	nextAt        Time         // earliest time of the next transaction
	awaitRevision uint64       // revision that the catalog must reach before the next transaction
	settled       uint64       // version of the catalog for which nothing is left to write

	// currentRefused is set when the state service has refused a record as too large that is within
	// CurrentValueBytes: the announced reduction has taken effect.
	currentRefused bool
}

// pendingList is a list of which not all parts and the head have been written.
type pendingList struct {
	list       List
	generation string
	parts      []*wire.MachineTypePart
}

// NewPublisher returns a publisher of a catalog.
func NewPublisher(catalog *Catalog, limits Limits) *Publisher {
	return &Publisher{catalog: catalog, limits: limits, partBytes: limits.ValueBytes}
}

// Deployment is what a leader's next transaction depends on besides the catalog.
type Deployment struct {
	Term     uint64 // of the leader
	Revision uint64 // up to which the catalog reflects the records
	// Upgraded is set once no controller of a version runs that reads the record of types beside a
	// list over several keys.
	Upgraded bool
}

// Next returns the leader's next transaction, or nil if none is due. It returns no other transaction
// until Answered has been called for the last one. The error is that of a list that can't be stored;
// it is returned again after some time.
func (p *Publisher) Next(now Time, deployment Deployment) (*Transaction, error) {
	if deployment.Term != p.term {
		p.term, p.lists, p.pending, p.inFlight, p.settled = deployment.Term, 0, nil, nil, 0
	}
	p.upgraded = deployment.Upgraded
	if p.inFlight != nil || now < p.nextAt || deployment.Revision < p.awaitRevision ||
		p.settled == p.catalog.version || !p.catalog.isAuthoritative() {
		return nil, nil
	}
	planned, err := p.plan()
	if err != nil {
		p.nextAt = now + errorDelay
		return nil, err
	}
	if planned == nil {
		p.settled = p.catalog.version
	}
	p.inFlight = planned
	return planned, nil
}

// Answered applies the outcome of a transaction. Revision is that of the state service after it.
func (p *Publisher) Answered(now Time, transaction *Transaction, outcome kv.Outcome, revision uint64) {
	if transaction != p.inFlight {
		return // of an earlier term
	}
	p.inFlight = nil
	if outcome == kv.OK {
		p.awaitRevision = revision
		return
	}
	p.nextAt = now + retryDelay
	if outcome != kv.TooLarge {
		return
	}
	if record, isRecord := transaction.Writes[0].Value.(*wire.MachineTypeCache); isRecord && !record.Whole && !p.currentRefused {
		p.currentRefused = true
		return
	}
	p.partBytes, p.pending = max(min(minPartBytes, p.partBytes), p.partBytes/2), nil
}

// plan returns the next transaction, or nil if the stored records are as they should be.
func (p *Publisher) plan() (*Transaction, error) {
	desired := p.catalog.desired()
	stored, whole := p.catalog.stored.list()
	if !whole || !sameOffer(stored.Offered, desired.Offered) || !sameOffer(stored.Withdrawn, desired.Withdrawn) {
		return p.planList(desired)
	}
	p.pending = nil
	if unused := p.planDeletions(); unused != nil || p.catalog.stored.head == nil {
		return unused, nil
	}
	return p.planPartial(desired.Offered)
}

// planList returns the next transaction that stores a list: the record if the list fits, otherwise a
// part that is missing, or the head if none is. The parts of a list have keys of their own, as its
// generation is never used again, so that the stored list stays whole until the head names the new
// one. In place of a record that is marked as whole there is a head from one transaction on, or the
// other way round.
func (p *Publisher) planList(desired List) (*Transaction, error) {
	stored := &p.catalog.stored
	record := &wire.MachineTypeCache{Types: desired.Offered, Withdrawn: desired.Withdrawn, Whole: true}
	size, err := wire.JSONSize(record)
	if err != nil {
		return nil, fmt.Errorf("machine types: %w", err)
	}
	if size <= p.partBytes {
		planned := newTransaction(wire.MachineTypesKey, stored.recordRevision, record)
		if stored.head != nil {
			planned.add(wire.MachineTypeHeadKey, stored.headRevision, nil)
		}
		return planned, nil
	}
	if err := p.beginList(desired); err != nil {
		return nil, err
	}
	for i, part := range p.pending.parts {
		key := wire.MachineTypePartKey(p.pending.generation, i+1)
		if stored.part(key) == nil {
			return newTransaction(key, 0, part), nil
		}
	}
	head := &wire.MachineTypeHead{Generation: p.pending.generation, Parts: len(p.pending.parts)}
	planned := newTransaction(wire.MachineTypeHeadKey, stored.headRevision, head)
	if stored.record != nil && stored.record.Whole {
		planned.add(wire.MachineTypesKey, stored.recordRevision, nil)
	}
	return planned, nil
}

// beginList splits a list into parts unless it is the one that is being written.
func (p *Publisher) beginList(desired List) error {
	if p.pending != nil && sameOffer(p.pending.list.Offered, desired.Offered) && sameOffer(p.pending.list.Withdrawn, desired.Withdrawn) {
		return nil
	}
	parts, err := desired.split(p.partBytes)
	if err != nil {
		return err
	}
	p.lists++
	p.pending = &pendingList{desired, fmt.Sprintf("%d-%d", p.term, p.lists), parts}
	return nil
}

// newTransaction returns a transaction that writes a key if it has a revision; see add.
func newTransaction(key string, revision uint64, value wire.Record) *Transaction {
	planned := &Transaction{}
	planned.add(key, revision, value)
	return planned
}

// add adds the write of a key on the condition that it has a revision; 0: that it is absent. Without
// a value the key is deleted.
func (t *Transaction) add(key string, revision uint64, value wire.Record) {
	t.Conditions = append(t.Conditions, kv.Condition{Key: key, Revision: revision})
	t.Writes = append(t.Writes, kv.Write{Key: key, Value: value})
}

// planDeletions returns a transaction that deletes parts which no head names, or nil if there are
// none. No other transaction uses their keys.
func (p *Publisher) planDeletions() *Transaction {
	stored, named := &p.catalog.stored, ""
	if stored.head != nil {
		named = wire.MachineTypePartPrefix + stored.head.Generation + "/"
	}
	deletions := &Transaction{}
	for _, key := range slices.Sorted(maps.Keys(stored.parts)) {
		unused := named == "" || !strings.HasPrefix(key, named)
		if unused && len(deletions.Writes) < max(1, p.limits.Writes) {
			deletions.add(key, stored.parts[key].revision, nil)
		}
	}
	if deletions.Writes == nil {
		return nil
	}
	return deletions
}

// planPartial returns the transaction that brings the record that earlier versions read up to date
// beside a list over several keys, or nil if it is. They take it for all types, so it is deleted if
// not all fit: without it they answer that the types are unknown. While such versions run it may be
// as large as the present limit allows.
func (p *Publisher) planPartial(offered []wire.MachineType) (*Transaction, error) {
	stored := &p.catalog.stored
	if stored.record != nil && sameOffer(stored.record.Types, offered) {
		return nil, nil
	}
	record := &wire.MachineTypeCache{Types: offered}
	size, err := wire.JSONSize(record)
	if err != nil {
		return nil, fmt.Errorf("machine types: %w", err)
	}
	limit := p.partBytes
	if !p.upgraded && !p.currentRefused {
		limit = max(limit, p.limits.CurrentValueBytes)
	}
	switch {
	case size <= limit:
		return newTransaction(wire.MachineTypesKey, stored.recordRevision, record), nil
	case stored.record != nil:
		return newTransaction(wire.MachineTypesKey, stored.recordRevision, nil), nil
	}
	return nil, nil
}
