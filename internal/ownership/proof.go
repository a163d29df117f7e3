package ownership

import (
	"slices"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// An owner proves with transactions that only compare that its claims stood when they were
// sent. The older the last proof when the owner is cut off, the sooner its workers lose
// their tasks.

const (
	minProofInterval = time.Second
	maxProofInterval = 3 * time.Second
	// proofShare is the part of all requests to the state service that the proofs and
	// renewals of all controllers together may take; each sends two of them an interval.
	proofShare           = 1.0 / 10
	requestsEachInterval = 2
	// proofsEachValidity is how many proofs are sent in the time of a validity at least.
	proofsEachValidity = 8
)

// proof is a comparison of claims that succeeded.
type proof struct {
	sentAt   Time
	revision uint64
	terms    map[int]uint64 // of the shards that it covers, by index
}

// ProofInterval is how often an owner renews its lease and proves its claims.
func (t *Table) ProofInterval() Time {
	if t.cfg.StateRPS <= 0 {
		return minProofInterval
	}
	each := Time(float64(requestsEachInterval*len(t.cfg.Members)) / (t.cfg.StateRPS * proofShare) * float64(time.Second))
	return max(minProofInterval, min(each, maxProofInterval))
}

// Proof is a transaction that proves claims, to be sent now.
type Proof struct {
	Conditions []kv.Condition
	sentAt     Time
	terms      map[int]uint64
}

// NextProofs gives the proofs that are due, as few as the limit of conditions allows.
func (t *Table) NextProofs(now Time) []Proof {
	if now < t.checkAt {
		return nil
	}
	t.checkAt = now + min(t.cfg.Validity/proofsEachValidity, t.ProofInterval())
	var owned []*Shard
	for _, s := range t.shards {
		if t.Owns(s) {
			owned = append(owned, s)
		}
	}
	var proofs []Proof
	for chunk := range slices.Chunk(owned, max(1, t.cfg.MaxConditions)) {
		next := Proof{sentAt: now, terms: map[int]uint64{}}
		for _, s := range chunk {
			next.Conditions = append(next.Conditions, kv.Condition{Key: wire.ShardKey(s.Name), Revision: s.Term})
			next.terms[s.Index] = s.Term
		}
		proofs = append(proofs, next)
	}
	return proofs
}

// Succeeded takes in that a proof succeeded at a revision. It counts once the replica has
// reached that: an owner whose watch hangs could else keep tasks alive whose cancellation
// it has not seen. Proofs that were sent before a stall don't count.
func (t *Table) Succeeded(p Proof, revision uint64) {
	if p.sentAt >= t.resumedAt {
		t.pending = append(t.pending, proof{sentAt: p.sentAt, revision: revision, terms: p.terms})
	}
}

// Settle lets those proofs count whose revision the replica has reached.
func (t *Table) Settle(now Time, revision uint64) {
	t.pending = slices.DeleteFunc(t.pending, func(p proof) bool {
		if p.revision > revision {
			return false
		}
		t.provenAt = max(t.provenAt, p.sentAt)
		for index, term := range p.terms {
			if s := t.shards[index]; s.Term == term {
				t.extend(now, s, p.sentAt)
			}
		}
		return true
	})
}

// extend lets the validity of a shard count from a proof, and not from before the lease of
// the claim was last renewed.
func (t *Table) extend(now Time, s *Shard, sentAt Time) {
	if !t.MayAct(now, s) {
		s.ValidSince = now
	}
	s.validFrom = max(s.validFrom, min(sentAt, t.Lease.SentAt))
	s.proven = true
}

// ProvenAt is when the last proof that counts was sent; 0: there is none. What the replica
// shows only later was committed after this.
func (t *Table) ProvenAt() Time { return t.provenAt }
