package failover

import (
	"testing"
	"time"
)

// The times of the stages are counted from the last heartbeat of the replaced leader, and each
// stage is reached only once.
func TestTakeoverStages(t *testing.T) {
	var takeover Takeover
	if takeover.Reach(Seen, time.Second) {
		t.Error("a stage is reached without a takeover")
	}
	takeover.Begin(10*time.Second, "a", 9*time.Second, Evidence{Silence: 2 * time.Second})
	if !takeover.Reach(Seen, 11*time.Second) {
		t.Error("a stage is not reached")
	}
	if takeover.Reach(Seen, 12*time.Second) {
		t.Error("a stage is reached twice")
	}
	if takeover.Reached(Decided) {
		t.Error("a later stage is reached too early")
	}
	for stage, want := range map[Stage]time.Duration{Suspected: time.Second, Claimed: 2 * time.Second, Seen: 3 * time.Second} {
		if got := takeover.SinceLastHeartbeat(stage); got != want {
			t.Errorf("stage %d is reached after %v, want %v", stage, got, want)
		}
	}
}
