package failover

import "time"

const (
	// maxMinTenure bounds the minimum tenure, and with it the streaks that are told apart.
	maxMinTenure = 80 * time.Second
	// stableTenureFactor is the number of minimum tenures after which a leader counts as
	// stable, which ends the streak.
	stableTenureFactor = 3
)

// MinTenure returns how long the present leader leads at least before it is replaced early: half
// the lifetime of a lease, which is about as long as a takeover takes, and twice as long for each
// claim of its streak. A site whose leaders flap therefore soon waits for leases to end, as it
// would without early takeovers.
func (f *Follower) MinTenure() time.Duration { return minTenure(f.config.LeaseTTL, f.claim.Streak) }

// minTenure returns the minimum tenure of a leader whose claim has a streak.
func minTenure(leaseTTL time.Duration, streak int) time.Duration {
	tenure := leaseTTL / 2
	for range streak {
		if tenure *= 2; tenure >= maxMinTenure {
			return maxMinTenure
		}
	}
	return tenure
}

// Streak returns the streak of a claim that replaces the present leader early now: one more than
// that of the present claim, or 1 if the present leader is stable.
func (f *Follower) Streak(now time.Duration) int {
	if now-f.claimSeenAt >= stableTenureFactor*f.MinTenure() {
		return 1
	}
	return f.claim.Streak + 1
}
