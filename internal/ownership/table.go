package ownership

import (
	"time"

	"micaport/internal/kv"
	"micaport/internal/lease"
	"micaport/internal/wire"
)

// Config is the ownership configuration of a controller.
type Config struct {
	Self        string // name of this controller
	Incarnation string // distinguishes this process from earlier ones of the same name
	Zone        int    // index of this controller's zone
	Members     []Member
	// Validity is how long an owner may act after it sent a proof.
	Validity Time
	// StateRPS is the number of requests a second that the state service accepts from all
	// controllers together; 0: unlimited.
	StateRPS float64
	// MaxConditions is the maximum number of conditions in a transaction.
	MaxConditions int
}

// Table holds all shards of the deployment, and tracks for which of them this controller may
// act as the owner.
type Table struct {
	cfg        Config
	shards     []*Shard
	zoneRanges []zoneRange

	// Lease is the lease that this controller's claims are attached to.
	Lease lease.Lease

	nextProofAt Time           // when the next proof is due
	pending     []pendingProof // proofs that succeeded at a revision that the replica has not reached
	provenAt    Time           // when the latest proof that has taken effect was sent
	resumedAt   Time           // when the process last resumed after a stall
}

// New returns a table in which no shard has an owner. Zones is the number of zones, and
// zoneIndex returns the index of a zone by its name.
func New(cfg Config, ids []ShardID, zones int, zoneIndex func(string) int) *Table {
	t := &Table{cfg: cfg, Lease: lease.Lease{TTL: cfg.Validity}}
	t.shards, t.zoneRanges = makeShards(ids, zones, zoneIndex)
	return t
}

// Shards returns all shards by index.
func (t *Table) Shards() []*Shard { return t.shards }

// Owns reports whether the replica shows a claim of this process to the shard.
func (t *Table) Owns(s *Shard) bool {
	return s.Record != nil && s.Record.Owner == t.cfg.Self && s.Record.Incarnation == t.cfg.Incarnation
}

// MayAct reports whether this controller may act as the owner of a shard now.
func (t *Table) MayAct(now Time, s *Shard) bool {
	return t.Owns(s) && s.proven && now < s.validityStart+t.cfg.Validity
}

// Change is the effect that a new record of a shard has on this process.
type Change int

// Kinds of changes.
const (
	Stale      Change = iota // the record is outdated and was ignored
	Unaffected               // this process neither was nor is the owner
	Claimed                  // this process has become the owner, or remains it under a new term
	Lost                     // this process is no longer the owner
)

// Put applies a claim of a shard, or its end if the record is nil, at a revision.
func (t *Table) Put(now Time, s *Shard, record *wire.Shard, revision uint64) Change {
	if revision <= s.Term {
		return Stale
	}
	before, owned := s.Record, t.Owns(s)
	s.Record = record
	s.Term = revision
	s.claimWaitStart = now
	s.ChangedAt = now
	if before != nil && record != nil && before.Owner != record.Owner {
		// The shard was taken over from a live owner, which may act until the validity of its last
		// proof has expired, whoever claims the shard next. A claim by the same owner, or after the
		// end of a claim, does not change this time: an owner that took the shard over, lost it and
		// claims it again is the sole owner only from this time on.
		s.earlierOwnersMayActUntil = now + t.cfg.Validity
	}
	s.proven, s.validityStart = false, 0
	s.newTermWanted = false
	switch {
	case t.Owns(s):
		// An owner whose claim was removed with its lease had stopped acting before that, and an
		// earlier incarnation no longer runs. But an owner from which the shard was recently taken
		// over may still reply to workers.
		s.SoleOwnerSince = max(now, s.earlierOwnersMayActUntil)
		t.nextProofAt = 0
		return Claimed
	case owned:
		return Lost
	}
	return Unaffected
}

// AssumeRecentTakeovers assumes that each shard has just been taken over from a live owner, which
// may still act. It is called after a full listing, which does not show earlier claims.
func (t *Table) AssumeRecentTakeovers(now Time) {
	for _, s := range t.shards {
		s.earlierOwnersMayActUntil = now + t.cfg.Validity
	}
}

// ResetAfterStall invalidates all proofs after a stall of the process, during which shards may have
// been taken over.
func (t *Table) ResetAfterStall(now Time) {
	t.resumedAt = now
	t.pending = nil
	t.nextProofAt = 0
	for _, s := range t.shards {
		s.proven = false
	}
}

// Rank returns the position of this controller among all by name. Claims are delayed according to
// the rank, so that no two controllers claim at the same time.
func (t *Table) Rank() int {
	rank := 0
	for _, member := range t.cfg.Members {
		if member.Name < t.cfg.Self {
			rank++
		}
	}
	return rank
}

// claim returns the condition and the write that claim a shard for this process.
func (t *Table) claim(s *Shard) (kv.Condition, kv.Write) {
	key := wire.ShardKey(s.Name)
	revision := s.Term
	if s.Record == nil {
		revision = 0
	}
	return kv.Condition{Key: key, Revision: revision},
		kv.Write{Key: key, Value: &wire.Shard{Owner: t.cfg.Self, Incarnation: t.cfg.Incarnation}, LeaseID: t.Lease.ID}
}

const (
	// claimInterval is the minimum time between two claims of a shard.
	claimInterval = 300 * time.Millisecond
	// claimCheckInterval is the minimum time between two checks whether to claim a shard.
	claimCheckInterval = 200 * time.Millisecond
)

// RequestNewTerm makes NextClaim return a claim for a shard that this process owns, until the shard
// has a new term.
func (t *Table) RequestNewTerm(s *Shard) { s.newTermWanted = true }

// NextClaim returns the claim to be sent now for a shard that this process does not own or for which
// a new term was requested; due is false if there is none. Permitted reports whether the shard may be claimed, and is called only if
// a check is due.
func (t *Table) NextClaim(now Time, s *Shard, permitted func() bool) (condition kv.Condition, write kv.Write, due bool) {
	if t.Owns(s) && !s.newTermWanted || now < s.claimWaitStart+claimInterval || now < s.claimCheckedAt+claimCheckInterval {
		return condition, write, false
	}
	s.claimCheckedAt = now
	if !permitted() {
		return condition, write, false
	}
	s.claimWaitStart = max(s.claimWaitStart, now) // the waits before the next claim start again
	condition, write = t.claim(s)
	return condition, write, true
}
