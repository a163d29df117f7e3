package failover

import (
	"testing"
	"time"
)

// A leader is not suspected for a pause of a second. It is suspected after three missed heartbeats,
// or after two if the connection has broken as well.
func TestDetector(t *testing.T) {
	for _, c := range []struct {
		name    string
		silence time.Duration
		broken  bool
		want    bool
	}{
		{"a pause of a second", HeartbeatInterval + time.Second, false, false},
		{"up to the timeout", silenceTimeout, false, false},
		{"beyond the timeout", silenceTimeout + 1, false, true},
		{"broken, up to the timeout", disconnectedTimeout, true, false},
		{"broken, beyond the timeout", disconnectedTimeout + 1, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFollower("b")
			if c.broken {
				f.MarkDisconnected(lastHeartbeat+1, "a")
			}
			if got := f.detector.suspects(lastHeartbeat + c.silence); got != c.want {
				t.Errorf("suspected after %v: %v, want %v", c.silence, got, c.want)
			}
		})
	}
}

// The timeout is twice the longest gap of the last minute, up to the lifetime of the lease.
func TestDetectorAdapts(t *testing.T) {
	d := detector{maxTimeout: leaseTTL}
	d.reset(0)
	for _, c := range []struct{ at, timeout time.Duration }{
		{500 * time.Millisecond, silenceTimeout}, {2 * time.Second, 3 * time.Second}, {3 * time.Second, 3 * time.Second},
		{7 * time.Second, leaseTTL}, {8 * time.Second, leaseTTL}, {68 * time.Second, leaseTTL}, {129 * time.Second, leaseTTL},
	} {
		d.recordHeartbeat(c.at)
		if got := d.timeout(c.at); got != c.timeout {
			t.Errorf("timeout after the heartbeat at %v: %v, want %v", c.at, got, c.timeout)
		}
	}
	if got := d.timeout(200 * time.Second); got != silenceTimeout {
		t.Errorf("timeout after the gaps have expired: %v, want %v", got, silenceTimeout)
	}
}
