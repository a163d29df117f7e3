package failover

import "time"

const (
	// maxMinTenure is the largest minimum tenure. All streaks that are long enough to reach it
	// are treated alike.
	maxMinTenure = 80 * time.Second
	// stableTenureFactor is the number of minimum tenures after which a leader is considered
	// stable, which ends the streak.
	stableTenureFactor = 3
)

// MinTenure returns the minimum time for which the current leader leads before it may be replaced
// early: half the lifetime of a lease, which is about the duration of a takeover, doubled for each
// claim of its streak. A site whose leaders flap therefore soon waits for leases to expire, as it
// would without early takeovers.
func (f *Follower) MinTenure() time.Duration { return minTenure(f.config.LeaseTTL, f.claim.Streak) }

// minTenure returns the minimum tenure of a leader whose claim has the given streak.
func minTenure(leaseTTL time.Duration, streak int) time.Duration {
	tenure := leaseTTL / 2
	for range streak {
		if tenure *= 2; tenure >= maxMinTenure {
			return maxMinTenure
		}
	}
	return tenure
}

// NextStreak returns the streak of a claim that would replace the current leader early now: one
// more than the streak of the current claim, or 1 if the current leader is stable.
func (f *Follower) NextStreak(now time.Duration) int {
	if now-f.claimSeenAt >= stableTenureFactor*f.MinTenure() {
		return 1
	}
	return f.claim.Streak + 1
}
