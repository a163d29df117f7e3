package failover

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats of a leader. Two heartbeats a second
	// are enough to detect a failure well within the target of five seconds; each costs the
	// leader a small message to each peer.
	HeartbeatInterval = 500 * time.Millisecond
	// silenceTimeout is the minimum silence after which a leader is suspected while the
	// connection to it is open: three missed heartbeats, and half an interval for delays. A
	// leader that pauses for a second is not suspected.
	silenceTimeout = 3*HeartbeatInterval + HeartbeatInterval/2
	// disconnectedTimeout is the minimum silence after which a leader is suspected once the
	// connection to it is broken. A live leader reconnects for its next heartbeat.
	disconnectedTimeout = 2 * HeartbeatInterval
	// gapRetention is how long a gap between two heartbeats affects the timeout after it has ended.
	gapRetention = time.Minute
)

// gap is a time between two heartbeats that was longer than HeartbeatInterval.
type gap struct {
	endedAt time.Duration
	length  time.Duration
}

// detector is the failure detector for the current leader. Its timeout adapts to a leader that has
// been slow recently: it is at least twice the longest recent gap, or the gap itself if the
// connection is broken, up to a maximum. The zero value has received no heartbeat.
type detector struct {
	maxTimeout      time.Duration // the longest timeout; 0: unlimited
	lastHeartbeatAt time.Duration // when the last heartbeat was received
	disconnectedAt  time.Duration // when the connection broke; 0: it is open
	gaps            []gap         // within gapRetention, each shorter than the one before it
}

// reset restarts the detector as if a heartbeat had been received now.
func (d *detector) reset(now time.Duration) {
	*d = detector{maxTimeout: d.maxTimeout, lastHeartbeatAt: now}
}

// recordHeartbeat records a heartbeat of the leader. It removes the recorded gaps that are not
// longer than the gap that ends now: the timeout depends on the longest gap only, and the new gap
// expires later than they do.
func (d *detector) recordHeartbeat(now time.Duration) {
	length := now - d.lastHeartbeatAt
	d.lastHeartbeatAt, d.disconnectedAt = now, 0
	for len(d.gaps) > 0 && d.gaps[len(d.gaps)-1].length <= length {
		d.gaps = d.gaps[:len(d.gaps)-1]
	}
	if length > HeartbeatInterval {
		d.gaps = append(d.gaps, gap{now, length})
	}
}

// markDisconnected records that the connection to the leader has broken.
func (d *detector) markDisconnected(now time.Duration) { d.disconnectedAt = now }

// connectionBroken reports whether the connection has broken since the last heartbeat.
func (d *detector) connectionBroken() bool { return d.disconnectedAt > 0 }

// silence returns the time since the last heartbeat.
func (d *detector) silence(now time.Duration) time.Duration { return now - d.lastHeartbeatAt }

// timeout returns the silence after which the leader is suspected. It removes the gaps that are
// older than gapRetention.
func (d *detector) timeout(now time.Duration) time.Duration {
	for len(d.gaps) > 0 && now-d.gaps[0].endedAt > gapRetention {
		d.gaps = d.gaps[1:]
	}
	longest := time.Duration(0)
	if len(d.gaps) > 0 {
		longest = d.gaps[0].length
	}
	timeout := max(silenceTimeout, 2*longest)
	if d.connectionBroken() {
		timeout = max(disconnectedTimeout, longest)
	}
	if d.maxTimeout > 0 {
		timeout = min(timeout, d.maxTimeout)
	}
	return timeout
}

// suspects reports whether the leader is suspected of having failed.
func (d *detector) suspects(now time.Duration) bool { return d.silence(now) > d.timeout(now) }
