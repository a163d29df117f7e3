package ownership

import (
	"time"

	"micaport/internal/kv"
	"micaport/internal/lease"
	"micaport/internal/wire"
)

// Config is what ownership follows from.
type Config struct {
	Self        string // name of this controller
	Incarnation string // tells this process from earlier ones of the same name
	Zone        int    // index of this controller's zone
	Members     []Member
	// Validity is how long an owner may act after it sent a proof.
	Validity Time
	// StateRPS is how many requests a second the state service takes from all controllers;
	// 0 is no limit.
	StateRPS float64
	// MaxConditions bounds the conditions of one transaction.
	MaxConditions int
}

// Table holds all shards of the deployment, and this controller's right to act as the owner
// of some.
type Table struct {
	cfg        Config
	shards     []*Shard
	zoneRanges []zoneRange

	// Lease is the lease that this controller's claims are attached to.
	Lease lease.Lease

	checkAt   Time    // when the next proof is due
	pending   []proof // that succeeded at a revision that the replica has not reached
	provenAt  Time    // when the last proof that counts was sent
	resumedAt Time    // when the process last found out that it had been stalled
}

// New makes a table in which no shard has an owner. Zones is the number of zones, and
// zoneIndex gives the index of one by its name.
func New(cfg Config, ids []ShardID, zones int, zoneIndex func(string) int) *Table {
	t := &Table{cfg: cfg, Lease: lease.Lease{TTL: cfg.Validity}}
	t.shards, t.zoneRanges = makeShards(ids, zones, zoneIndex)
	return t
}

// Shards lists all shards by index.
func (t *Table) Shards() []*Shard { return t.shards }

// Owns tells whether the replica shows a claim of this process.
func (t *Table) Owns(s *Shard) bool {
	return s.Record != nil && s.Record.Owner == t.cfg.Self && s.Record.Incarnation == t.cfg.Incarnation
}

// MayAct tells whether this controller may act as the owner of a shard now.
func (t *Table) MayAct(now Time, s *Shard) bool {
	return t.Owns(s) && s.proven && now < s.validFrom+t.cfg.Validity
}

// Change is what a new record of a shard means to this controller.
type Change int

// Kinds of changes.
const (
	Stale   Change = iota // an old record: nothing was changed
	Other                 // neither of the following
	Claimed               // this process owns the shard now
	Lost                  // this process owned the shard
)

// Put applies the claim of a shard, or its end, at a revision.
func (t *Table) Put(now Time, s *Shard, record *wire.Shard, revision uint64) Change {
	if revision <= s.Term {
		return Stale
	}
	before, owned := s.Record, t.Owns(s)
	s.Record = record
	s.Term = revision
	s.ClaimableSince = now
	s.ChangedAt = now
	if before != nil && record != nil && before.Owner != record.Owner {
		// Taken over while its owner lived, which may act until its validity has run out,
		// whoever claims the shard next, and when. An owner that took a shard, ended and
		// came back must not forget that.
		s.previousOwnerUntil = now + t.cfg.Validity
	}
	s.proven, s.validFrom = false, 0
	switch {
	case t.Owns(s):
		// An owner whose key went with its lease had stopped before, and an earlier
		// incarnation is dead; but who was taken over lately may still answer.
		s.OwnedSince = max(now, s.previousOwnerUntil)
		t.checkAt = 0
		return Claimed
	case owned:
		return Lost
	}
	return Other
}

// AssumeRecentOwners assumes that each shard has just been taken over from an owner that
// lives: what happened before a full listing is not known.
func (t *Table) AssumeRecentOwners(now Time) {
	for _, s := range t.shards {
		s.previousOwnerUntil = now + t.cfg.Validity
	}
}

// Resumed voids all proofs after a stall of the process, as much may have changed.
func (t *Table) Resumed(now Time) {
	t.resumedAt = now
	t.pending = nil
	t.checkAt = 0
	for _, s := range t.shards {
		s.proven = false
	}
}

// Rank is this controller's place among all by name, so that two don't claim at once.
func (t *Table) Rank() int {
	rank := 0
	for _, member := range t.cfg.Members {
		if member.Name < t.cfg.Self {
			rank++
		}
	}
	return rank
}

// claim is the write that claims a shard for this process.
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
	// claimInterval lies between two claims of one shard.
	claimInterval = 300 * time.Millisecond
	// claimCheckInterval lies between two considerations of a claim.
	claimCheckInterval = 200 * time.Millisecond
)

// NextClaim gives the claim of a shard that another controller or nobody owns, if it is
// time to consider one and permitted says that it may be made.
func (t *Table) NextClaim(now Time, s *Shard, permitted func() bool) (condition kv.Condition, write kv.Write, due bool) {
	if t.Owns(s) || now < s.ClaimableSince+claimInterval || now < s.claimCheckedAt+claimCheckInterval {
		return condition, write, false
	}
	s.claimCheckedAt = now
	if !permitted() {
		return condition, write, false
	}
	s.ClaimableSince = max(s.ClaimableSince, now) // wait before the next try
	condition, write = t.claim(s)
	return condition, write, true
}
