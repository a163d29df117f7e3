package failover

import "time"

// The cloud obeys whoever calls it, so records can't fence it. A leader calls it only for
// a while after it sent a proof, a comparison of the leader key that succeeded, and the
// next leader waits until the last proof that can have succeeded has run out:
//
//	MaxLeaseAge + validity + CallTransit + drift(LeaseTTL) <= LeaseTTL
//
// The left side bounds when the last call of a replaced leader arrives, counted from the
// last renewal of the lease under which it was replaced. So it has passed, too, when the
// new leader's own lease ends without its having done anything, and the leader after that
// need not know of the first.

const (
	// MaxLeaseAge is how long ago the lease was renewed, at most, under which a leader
	// is replaced early.
	MaxLeaseAge = 500 * time.Millisecond
	// CallTransit is how long a call that has been sent may be on its way to the cloud. A
	// network that holds calls for longer is the same trouble for one leader alone: the
	// cloud may carry them out minutes late whoever leads.
	CallTransit = time.Second
	// ProofInterval lies between two proofs of a leader.
	ProofInterval = time.Second
)

// drift is how far two steady clocks come apart in a time: 0.05% each way.
func drift(d time.Duration) time.Duration { return d / 1000 }

// ProofValidity is how long a leader may call the cloud after it sent a proof.
func ProofValidity(leaseTTL time.Duration) time.Duration {
	return leaseTTL - MaxLeaseAge - CallTransit - drift(leaseTTL)
}

// CloudFenceTime is how long a leader leaves the cloud alone, counted from when this controller
// saw a claim, its own or an earlier one, that replaced a leader early.
func CloudFenceTime(leaseTTL time.Duration) time.Duration {
	return ProofValidity(leaseTTL) + CallTransit + drift(leaseTTL)
}

// Fence is a leader's right to call the cloud.
type Fence struct {
	validity time.Duration
	opensAt  time.Duration // not before: a replaced leader may still call
	provenAt time.Duration // when the last proof that has settled was sent
	proven   bool
	nextAt   time.Duration // when the next proof is due
	pending  []proof       // succeeded, at a revision that the copy has not reached
}

// proof is a comparison of the leader key that succeeded.
type proof struct {
	sentAt   time.Duration
	revision uint64
}

// Begin starts the right of a leader that has just seen its claim. Until opensAt a leader
// that was replaced may still call.
func (f *Fence) Begin(now, leaseTTL, opensAt time.Duration) {
	*f = Fence{validity: ProofValidity(leaseTTL), nextAt: now, opensAt: opensAt}
}

// Resumed voids all proofs after a pause of the process, as much may have changed.
func (f *Fence) Resumed(now time.Duration) {
	f.proven, f.pending, f.nextAt = false, nil, now
}

// Due tells whether a proof is to be sent now, and takes it that it is.
func (f *Fence) Due(now time.Duration) bool {
	if now < f.nextAt {
		return false
	}
	f.nextAt = now + ProofInterval
	return true
}

// AddProof takes in that a proof sent at a time succeeded at a revision. It counts once
// this controller's copy of the records has reached that; see Settle.
func (f *Fence) AddProof(sentAt time.Duration, revision uint64) {
	f.pending = append(f.pending, proof{sentAt, revision})
}

// Settle lets those proofs count whose revision the copy has reached.
func (f *Fence) Settle(revision uint64) {
	kept := f.pending[:0]
	for _, p := range f.pending {
		if p.revision > revision {
			kept = append(kept, p)
			continue
		}
		f.provenAt, f.proven = max(f.provenAt, p.sentAt), true
	}
	f.pending = kept
}

// CaughtUp tells whether a proof of the claim has settled since it began or since the
// last pause: the copy of the records is current.
func (f *Fence) CaughtUp() bool { return f.proven }

// RemainingCallTime is for how much longer the cloud may be called; 0: not at all.
func (f *Fence) RemainingCallTime(now time.Duration) time.Duration {
	if !f.proven || now < f.opensAt {
		return 0
	}
	return max(0, f.provenAt+f.validity-now)
}
