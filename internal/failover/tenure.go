package failover

import "time"

// maxMinTenure bounds the pause between takeovers, and with it how high a streak counts.
const maxMinTenure = 80 * time.Second

// stableTenureFactor is how many pauses a leader must have led for the streak to end with it.
const stableTenureFactor = 3

// MinTenure is the least time for which the present leader leads before it is replaced early:
// half its lease, about what a takeover takes, and twice as long with each early claim
// that soon followed another. So a site whose leaders flap soon waits for leases as it
// would without early takeovers.
func (f *Follower) MinTenure() time.Duration { return minTenureAfter(f.cfg.LeaseTTL, f.claim.Streak) }

// minTenureAfter is the pause that follows a streak of early claims.
func minTenureAfter(leaseTTL time.Duration, streak int) time.Duration {
	pause := leaseTTL / 2
	for range streak {
		if pause *= 2; pause >= maxMinTenure {
			return maxMinTenure
		}
	}
	return pause
}

// Streak is that of a claim which replaces the present leader early: one more than the
// present, or the first again where the present leader has led for a good while.
func (f *Follower) Streak(now time.Duration) int {
	if now-f.seenAt >= stableTenureFactor*f.MinTenure() {
		return 1
	}
	return f.claim.Streak + 1
}
