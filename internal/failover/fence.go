package failover

import "time"

// The cloud executes the calls of whoever sends them, so fencing tokens don't keep a replaced
// leader from calling it. A leader therefore calls the cloud only for a limited time after it
// sent a proof, which is a comparison of the leader key that succeeded. The next leader waits
// until the last proof that can have succeeded has expired:
//
//	MaxLeaseAge + ProofValidity + CallTransit + drift(leaseTTL) <= leaseTTL
//
// The left side bounds when the last call of a replaced leader arrives, counted from the last
// renewal of the lease under which it was replaced. By the inequality this has passed when that
// lease ends. If the new leader ends without having done anything, the leader after it need not
// know of the first one.

const (
	// MaxLeaseAge is the longest time since the last renewal of the lease under which a leader
	// is replaced early.
	MaxLeaseAge = 500 * time.Millisecond
	// CallTransit is the longest time that a call which has been sent may take to reach the
	// cloud. A network that holds calls back for longer is as much of a problem with a single
	// leader: the cloud may execute calls minutes late whoever leads.
	CallTransit = time.Second
	// ProofInterval is the time between two proofs of a leader.
	ProofInterval = time.Second
	// driftDivisor is the inverse of the drift between two steady clocks: each may be off by
	// 0.05%.
	driftDivisor = 1000
)

// drift returns how far two steady clocks may drift apart within a time.
func drift(d time.Duration) time.Duration { return d / driftDivisor }

// ProofValidity returns how long a leader may call the cloud after it sent a proof.
func ProofValidity(leaseTTL time.Duration) time.Duration {
	return leaseTTL - MaxLeaseAge - CallTransit - drift(leaseTTL)
}

// CloudFenceTime returns how long a leader must not call the cloud after its controller saw a
// claim, its own or an earlier one, that replaced a leader early.
func CloudFenceTime(leaseTTL time.Duration) time.Duration {
	return ProofValidity(leaseTTL) + CallTransit + drift(leaseTTL)
}

// Fence is a leader's permission to call the cloud.
type Fence struct {
	validity time.Duration // of a proof
	opensAt  time.Duration // before that, a replaced leader may still call the cloud
	provenAt time.Duration // when the latest settled proof was sent
	proven   bool          // a proof has settled
	nextAt   time.Duration // when the next proof is due
	pending  []proof       // proofs that have succeeded but not settled
}

// proof is a comparison of the leader key that has succeeded.
type proof struct {
	sentAt   time.Duration
	revision uint64
}

// Begin starts the permission of a leader that has just seen its claim. Until opensAt a leader
// that was replaced may still call the cloud.
func (f *Fence) Begin(now, leaseTTL, opensAt time.Duration) {
	*f = Fence{validity: ProofValidity(leaseTTL), nextAt: now, opensAt: opensAt}
}

// Resumed voids all proofs after a pause of the process, in which the leader may have been
// replaced.
func (f *Fence) Resumed(now time.Duration) {
	f.proven = false
	f.pending = nil
	f.nextAt = now
}

// Due reports whether a proof is due, and if so schedules the next one.
func (f *Fence) Due(now time.Duration) bool {
	if now < f.nextAt {
		return false
	}
	f.nextAt = now + ProofInterval
	return true
}

// AddProof takes in that a proof succeeded at a revision. It counts once it has settled; see
// Settle.
func (f *Fence) AddProof(sentAt time.Duration, revision uint64) {
	f.pending = append(f.pending, proof{sentAt, revision})
}

// Settle lets those proofs count whose revision the controller's replica of the records has
// reached.
func (f *Fence) Settle(revision uint64) {
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

// CaughtUp reports whether a proof has settled since the claim was seen and since the last pause,
// which shows that the replica is current.
func (f *Fence) CaughtUp() bool { return f.proven }

// RemainingCallTime returns for how much longer the cloud may be called; 0 if it may not.
func (f *Fence) RemainingCallTime(now time.Duration) time.Duration {
	if !f.proven || now < f.opensAt {
		return 0
	}
	return max(0, f.provenAt+f.validity-now)
}
