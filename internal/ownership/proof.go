package ownership

import (
	"slices"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

const (
	minProofInterval = time.Second
	maxProofInterval = 3 * time.Second
	// proofRequestShare is the share of the state service's request rate that the proofs and
	// lease renewals of all controllers together may use. Each controller sends
	// requestsPerInterval of them in an interval.
	proofRequestShare   = 1.0 / 10
	requestsPerInterval = 2
	// minProofsPerValidity is the minimum number of proofs sent within the validity of one.
	minProofsPerValidity = 8
)

// pendingProof is a Proof that succeeded at a revision.
type pendingProof struct {
	sentAt   Time
	revision uint64
	terms    map[int]uint64 // terms of the shards that it covers, by index
}

// ProofInterval returns the longest time between two renewals of an owner's lease, and between two
// proofs of its claims. The interval is as short as proofRequestShare permits, within
// minProofInterval and maxProofInterval: the older the last proof is when an owner loses the state
// service, the sooner its workers lose their tasks.
func (t *Table) ProofInterval() Time {
	if t.cfg.StateRPS <= 0 {
		return minProofInterval
	}
	interval := Time(float64(requestsPerInterval*len(t.cfg.Members)) / (t.cfg.StateRPS * proofRequestShare) * float64(time.Second))
	return max(minProofInterval, min(interval, maxProofInterval))
}

// Proof is a transaction without writes, to be sent now. Its conditions are the claims of this
// process, so its success proves that they were current when it was sent.
type Proof struct {
	Conditions []kv.Condition
	sentAt     Time
	terms      map[int]uint64 // terms of the shards that it covers, by index
}

// NextProofs returns the proofs to be sent now and schedules the next ones; nil if none are due.
// Together the proofs cover all claims of this process, each up to MaxConditions of them.
func (t *Table) NextProofs(now Time) []Proof {
	if now < t.nextProofAt {
		return nil
	}
	t.nextProofAt = now + min(t.cfg.Validity/minProofsPerValidity, t.ProofInterval())
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

// AddProof records that a proof has succeeded at a revision. The proof takes effect once the
// replica has reached the revision: otherwise an owner whose watch hangs could keep tasks alive
// whose cancellation it has not seen. Proofs that were sent before a stall are ignored.
func (t *Table) AddProof(p Proof, revision uint64) {
	if p.sentAt >= t.resumedAt {
		t.pending = append(t.pending, pendingProof{sentAt: p.sentAt, revision: revision, terms: p.terms})
	}
}

// ApplyReachedProofs applies the pending proofs whose revisions the replica has reached. A proof
// extends the validity of the shards that it covers, except for shards whose terms have changed
// since it was sent. See AddProof for why a proof does not take effect earlier.
func (t *Table) ApplyReachedProofs(now Time, revision uint64) {
	t.pending = slices.DeleteFunc(t.pending, func(p pendingProof) bool {
		if p.revision > revision {
			return false
		}
		t.provenAt = max(t.provenAt, p.sentAt)
		for index, term := range p.terms {
			if s := t.shards[index]; s.Term == term {
				t.extendValidity(now, s, p.sentAt)
			}
		}
		return true
	})
}

// extendValidity makes the validity of a shard start when a proof was sent, or when the lease of
// the claim was last renewed if that was earlier.
func (t *Table) extendValidity(now Time, s *Shard, sentAt Time) {
	if !t.MayAct(now, s) {
		s.MayActSince = now
	}
	s.validityStart = max(s.validityStart, min(sentAt, t.Lease.RenewalSentAt))
	s.proven = true
}

// ProvenAt returns when the latest proof that has taken effect was sent; 0 if none has. Records
// that the replica shows only later were committed after this time.
func (t *Table) ProvenAt() Time { return t.provenAt }
