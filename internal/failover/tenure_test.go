package failover

import (
	"fmt"
	"testing"
	"time"
)

// The minimum tenure doubles with each early takeover that soon follows another.
func TestMinTenure(t *testing.T) {
	f := newFollower("b")
	now := lastHeartbeat
	for streak, tenure := range []time.Duration{2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second, maxMinTenure, maxMinTenure} {
		t.Run(fmt.Sprintf("streak %d", streak), func(t *testing.T) {
			term := uint64(10 + streak)
			f.SetClaim(now, Claim{Controller: "a", Incarnation: "a1", Term: term, Fenced: true, Streak: streak})
			if got := f.MinTenure(); got != tenure {
				t.Errorf("minimum tenure %v, want %v", got, tenure)
			}
			if got := f.NextStreak(now + stableTenureFactor*tenure - 1); got != streak+1 {
				t.Errorf("next streak %d, want %d", got, streak+1)
			}
			if got := f.NextStreak(now + stableTenureFactor*tenure); got != 1 {
				t.Errorf("next streak after a stable leader %d, want 1", got)
			}
			failedAt := now + tenure/2
			for at := now; at <= failedAt; at += HeartbeatInterval {
				f.ReceiveHeartbeat(at, "a", "a1", term, "b")
			}
			for _, at := range []time.Duration{now + tenure - 1, max(now+tenure, failedAt+silenceTimeout+HeartbeatInterval)} {
				suspect(f, at, term, "c", "d")
				if got := f.Advise(at); (got == Replace) != (at >= now+tenure) {
					t.Errorf("advice after %v: %v", at-now, got)
				}
			}
		})
		now += 10 * maxMinTenure
	}
}
