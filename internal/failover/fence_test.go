package failover

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The inequality that the fence rests on, see fence.go.
func TestFenceInequality(t *testing.T) {
	if MaxLeaseAge+ProofValidity(leaseTTL)+CallTransit+drift(leaseTTL) > leaseTTL {
		t.Error("a replaced leader's last call may come after the lease of the next has ended")
	}
	if ProofValidity(leaseTTL) < 3*ProofInterval {
		t.Error("a leader may not call the cloud any more after two lost proofs")
	}
}

// cloudCall is a leader's call to the cloud, with the true time at which it arrives.
type cloudCall struct {
	leader int
	at     time.Duration
}

// Leaders replace each other early or at the end of a lease, with clocks that drift apart, slow
// proofs, replicas that lag and calls in transit. No call of a leader arrives after one of a later
// leader.
func TestFenceKeepsLeadersApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		between := func(name string, from, to time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(from), int64(to)).Draw(t, name))
		}
		var calls []cloudCall
		claimedAt := 10 * time.Second
		early := false // the present leader has replaced one whose lease had not ended
		for leader := range 4 {
			rate := 1 + float64(rapid.IntRange(-500, 500).Draw(t, "drift"))/1e6
			clock := func(at time.Duration) time.Duration { return time.Duration(float64(at) * rate) }
			seenAt := claimedAt + between("watch", 0, 2*time.Second)
			opensAt := time.Duration(0) // by the leader's clock
			if early {
				opensAt = clock(seenAt) + CloudFenceTime(leaseTTL)
			}
			var fence Fence
			fence.Begin(clock(seenAt), leaseTTL, opensAt)
			replacedAt := claimedAt + between("leads", 0, 12*time.Second)
			byLease := rapid.Bool().Draw(t, "by lease")
			// The leader goes on for a while after it has been replaced, as its watch hangs.
			for at := seenAt; at < replacedAt+8*time.Second; at += between("step", 50*time.Millisecond, 700*time.Millisecond) {
				if fence.Due(clock(at)) {
					appliedAt := at + between("proof", time.Millisecond, 1500*time.Millisecond)
					if appliedAt < replacedAt {
						fence.AddProof(clock(at), 1)
						fence.Settle(1)
					}
				}
				if fence.RemainingCallTime(clock(at)) > 0 {
					calls = append(calls, cloudCall{leader, at + between("transit", 0, CallTransit)})
				}
			}
			claimedAt, early = replacedAt, !byLease
			if byLease {
				// Nothing renews the lease of a leader that has ended. The lease ends after its
				// lifetime, and was renewed MaxLeaseAge before the claim at the latest.
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

// A proof counts once the replica has reached its revision, and no longer after a pause.
func TestProofsSettle(t *testing.T) {
	var f Fence
	f.Begin(time.Second, leaseTTL, 0)
	f.AddProof(time.Second, 9)
	f.Settle(8)
	if f.CaughtUp() || f.RemainingCallTime(time.Second) > 0 {
		t.Error("a proof counts before its revision is reached")
	}
	f.Settle(9)
	if got, want := f.RemainingCallTime(2*time.Second), ProofValidity(leaseTTL)-time.Second; !f.CaughtUp() || got != want {
		t.Errorf("caught up %v, remaining call time %v, want %v", f.CaughtUp(), got, want)
	}
	f.Resumed(3 * time.Second)
	if f.CaughtUp() || f.RemainingCallTime(3*time.Second) > 0 || !f.Due(3*time.Second) {
		t.Error("a proof outlives a pause")
	}
}
