package failover

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The inequality in the documentation of Fence holds.
func TestFenceInequality(t *testing.T) {
	if MaxLeaseAge+ProofValidity(leaseTTL)+CallTransit+drift(leaseTTL) > leaseTTL {
		t.Error("a replaced leader's last call may arrive after the lease of the next leader has expired")
	}
	if ProofValidity(leaseTTL) < 3*ProofInterval {
		t.Error("a leader may no longer call the cloud after two lost proofs")
	}
}

// cloudCall is a leader's call to the cloud, with the real time at which it arrives.
type cloudCall struct {
	leader int
	at     time.Duration
}

// No call of a leader arrives after one of a later leader, when leaders replace each other early or
// after a lease has expired, clocks drift apart, proofs are slow, replicas lag and calls are
// delayed.
func TestFenceOrdersCallsOfLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		between := func(name string, from, to time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(from), int64(to)).Draw(t, name))
		}
		var calls []cloudCall
		claimedAt := 10 * time.Second
		early := false // the leader of the present iteration has replaced one whose lease had not expired
		for leader := range 4 {
			rate := 1 + float64(rapid.IntRange(-500, 500).Draw(t, "drift"))/1e6
			clock := func(at time.Duration) time.Duration { return time.Duration(float64(at) * rate) }
			seenAt := claimedAt + between("watch", 0, 2*time.Second)
			allowedFrom := time.Duration(0) // by the leader's clock
			if early {
				allowedFrom = clock(seenAt) + CloudFenceTime(leaseTTL)
			}
			var fence Fence
			fence.Begin(clock(seenAt), leaseTTL, allowedFrom)
			replacedAt := claimedAt + between("leads", 0, 12*time.Second)
			byLease := rapid.Bool().Draw(t, "by lease")
			// The leader continues for a while after it has been replaced, because its
			// watch hangs.
			for at := seenAt; at < replacedAt+8*time.Second; at += between("step", 50*time.Millisecond, 700*time.Millisecond) {
				if fence.StartProofIfDue(clock(at)) {
					appliedAt := at + between("proof", time.Millisecond, 1500*time.Millisecond)
					if appliedAt < replacedAt {
						fence.AddProof(clock(at), 1)
						fence.ApplyReachedProofs(1)
					}
				}
				if fence.RemainingCallTime(clock(at)) > 0 {
					calls = append(calls, cloudCall{leader, at + between("transit", 0, CallTransit)})
				}
			}
			claimedAt, early = replacedAt, !byLease
			if byLease {
				// A failed leader no longer renews its lease, which expires after
				// its lifetime. It was last renewed at most MaxLeaseAge before the
				// claim.
				claimedAt += leaseTTL - MaxLeaseAge
			}
		}
		lastCall := map[int]time.Duration{}
		for _, call := range calls {
			lastCall[call.leader] = max(lastCall[call.leader], call.at)
		}
		for _, call := range calls {
			for earlier := range call.leader {
				if lastCall[earlier] > call.at {
					t.Fatalf("a call of leader %d arrives at %v, one of leader %d at %v", call.leader, call.at, earlier, lastCall[earlier])
				}
			}
		}
	})
}

// A proof takes effect once the replica has reached its revision, and is invalidated by a stall.
func TestLeaderProofTakesEffectOnceReached(t *testing.T) {
	var f Fence
	f.Begin(time.Second, leaseTTL, 0)
	f.AddProof(time.Second, 9)
	f.ApplyReachedProofs(8)
	if f.CaughtUp() || f.RemainingCallTime(time.Second) > 0 {
		t.Error("a proof takes effect before the replica has reached its revision")
	}
	f.ApplyReachedProofs(9)
	if got, want := f.RemainingCallTime(2*time.Second), ProofValidity(leaseTTL)-time.Second; !f.CaughtUp() || got != want {
		t.Errorf("caught up %v, remaining call time %v, want %v", f.CaughtUp(), got, want)
	}
	f.ResetAfterStall(3 * time.Second)
	if f.CaughtUp() || f.RemainingCallTime(3*time.Second) > 0 || !f.StartProofIfDue(3*time.Second) {
		t.Error("a proof is still valid after a stall")
	}
}
