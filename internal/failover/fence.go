package failover

import "time"

const (
	// MaxLeaseAge is the maximum age of the new leader's lease, counted from its last renewal,
	// when it claims the leadership early.
	MaxLeaseAge = 500 * time.Millisecond
	// CallTransit is the maximum time that a call takes to reach the cloud after it was sent. A
	// network that delays calls for longer causes the same problem with a single leader: the
	// cloud may then execute calls minutes late whichever controller leads.
	CallTransit = time.Second
	// ProofInterval is the time between two proofs of a leader.
	ProofInterval = time.Second
	// driftDivisor is the inverse of the maximum relative drift between two monotonic clocks, each
	// of which may be off by 0.05%.
	driftDivisor = 1000
)

// drift returns how far two monotonic clocks may drift apart within a duration.
func drift(d time.Duration) time.Duration { return d / driftDivisor }

// ProofValidity returns how long a leader may call the cloud after it sent a proof.
func ProofValidity(leaseTTL time.Duration) time.Duration {
	return leaseTTL - MaxLeaseAge - CallTransit - drift(leaseTTL)
}

// CloudFenceTime returns how long a leader must not call the cloud after its controller has seen
// the last claim that replaced a leader early, be it this leader's claim or an earlier one.
func CloudFenceTime(leaseTTL time.Duration) time.Duration {
	return ProofValidity(leaseTTL) + CallTransit + drift(leaseTTL)
}

// Fence limits the time in which a leader may call the cloud.
//
// The cloud executes the calls of any sender, so fencing tokens don't keep a replaced leader from
// calling it. A leader therefore calls the cloud only for a limited time after it sent a proof: a
// transaction that succeeded in comparing the revision of the leader key with that of its claim.
// The next leader waits until the last proof that can have succeeded has expired:
//
//	MaxLeaseAge + ProofValidity + CallTransit + drift(leaseTTL) <= leaseTTL
//
// The left side is the latest time at which a call of the replaced leader can arrive, counted from
// the last renewal of the new leader's lease before its claim. By the inequality this time has
// passed when that lease expires. If the new leader fails before it has done anything, its
// successor therefore need not consider the replaced leader.
type Fence struct {
	validity    time.Duration // of a proof
	allowedFrom time.Duration // earliest time of a call; until then a replaced leader may still call the cloud
	provenAt    time.Duration // when the latest proof that has taken effect was sent
	proven      bool          // at least one proof has taken effect
	nextProofAt time.Duration // when the next proof is due
	pending     []proof       // proofs that have succeeded but not taken effect yet
}

// proof is a comparison of the leader key that has succeeded.
type proof struct {
	sentAt   time.Duration
	revision uint64
}

// Begin starts the fence of a leader that has just seen its claim. The leader may not call the
// cloud before allowedFrom, because until then a replaced leader may still call it.
func (f *Fence) Begin(now, leaseTTL, allowedFrom time.Duration) {
	*f = Fence{validity: ProofValidity(leaseTTL), nextProofAt: now, allowedFrom: allowedFrom}
}

// ResetAfterStall invalidates all proofs after a stall of the process, during which the leader may
// have been replaced.
func (f *Fence) ResetAfterStall(now time.Duration) {
	f.proven = false
	f.pending = nil
	f.nextProofAt = now
}

// StartProofIfDue reports whether a proof is due now. If so, it schedules the next one, and the
// caller must send this one.
func (f *Fence) StartProofIfDue(now time.Duration) bool {
	if now < f.nextProofAt {
		return false
	}
	f.nextProofAt = now + ProofInterval
	return true
}

// AddProof records that a proof has succeeded at a revision. It takes effect later; see
// ApplyReachedProofs.
func (f *Fence) AddProof(sentAt time.Duration, revision uint64) {
	f.pending = append(f.pending, proof{sentAt, revision})
}

// ApplyReachedProofs applies the pending proofs whose revisions the controller's replica of the
// records has reached. From then on they count for CaughtUp and RemainingCallTime.
func (f *Fence) ApplyReachedProofs(revision uint64) {
	pending := f.pending[:0]
	for _, p := range f.pending {
		if p.revision > revision {
			pending = append(pending, p)
			continue
		}
		f.provenAt, f.proven = max(f.provenAt, p.sentAt), true
	}
	f.pending = pending
}

// CaughtUp reports whether a proof that succeeded since the claim was seen, and since the last
// stall of the process, has taken effect. This shows that the replica contains all records up to
// the revision of the proof.
func (f *Fence) CaughtUp() bool { return f.proven }

// RemainingCallTime returns for how much longer the leader may call the cloud; 0 if it may not.
func (f *Fence) RemainingCallTime(now time.Duration) time.Duration {
	if !f.proven || now < f.allowedFrom {
		return 0
	}
	return max(0, f.provenAt+f.validity-now)
}
