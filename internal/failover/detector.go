package failover

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats of a leader. Two a second are
	// enough to notice a failure well within the goal of five seconds; each costs the leader a
	// small message to each peer.
	HeartbeatInterval = 500 * time.Millisecond
	// silenceTimeout is the least silence after which a leader is suspected whose connection
	// still stands: three missed heartbeats and half an interval for delays. A leader that
	// pauses for a second stays below it.
	silenceTimeout = 3*HeartbeatInterval + HeartbeatInterval/2
	// disconnectedTimeout is the least silence after which a leader is suspected whose
	// connection is broken. A leader that lives connects anew for its next heartbeat.
	disconnectedTimeout = 2 * HeartbeatInterval
	// gapMemory is how long a gap between two heartbeats is taken into account.
	gapMemory = time.Minute
)

// gap is a pause between two heartbeats that was longer than HeartbeatInterval.
type gap struct {
	endedAt time.Duration
	length  time.Duration
}

// detector is the failure detector for the present leader. Its timeout adapts: a leader that has
// been slow lately is given twice its longest gap, up to a bound. The zero value has received
// nothing.
type detector struct {
	bound          time.Duration // the longest timeout; 0: unbounded
	heartbeatAt    time.Duration // of the last heartbeat
	disconnectedAt time.Duration // 0: the connection is not broken
	gaps           []gap         // of the last minute; each is shorter than those before it
}

// reset starts with a leader that counts as heard now.
func (d *detector) reset(now time.Duration) {
	*d = detector{bound: d.bound, heartbeatAt: now}
}

// heartbeat records a heartbeat of the leader. Gaps that are not longer than the one that it
// ends are dropped: the later one outlives them.
func (d *detector) heartbeat(now time.Duration) {
	length := now - d.heartbeatAt
	d.heartbeatAt, d.disconnectedAt = now, 0
	for len(d.gaps) > 0 && d.gaps[len(d.gaps)-1].length <= length {
		d.gaps = d.gaps[:len(d.gaps)-1]
	}
	if length > HeartbeatInterval {
		d.gaps = append(d.gaps, gap{now, length})
	}
}

// disconnected records that the connection to the leader has broken.
func (d *detector) disconnected(now time.Duration) { d.disconnectedAt = now }

// broken reports whether the connection has broken since the last heartbeat.
func (d *detector) broken() bool { return d.disconnectedAt > 0 }

// silence returns the time since the last heartbeat.
func (d *detector) silence(now time.Duration) time.Duration { return now - d.heartbeatAt }

// timeout returns the silence after which the leader is suspected.
func (d *detector) timeout(now time.Duration) time.Duration {
	for len(d.gaps) > 0 && now-d.gaps[0].endedAt > gapMemory {
		d.gaps = d.gaps[1:]
	}
	longest := time.Duration(0)
	if len(d.gaps) > 0 {
		longest = d.gaps[0].length
	}
	timeout := max(silenceTimeout, 2*longest)
	if d.broken() {
		timeout = max(disconnectedTimeout, longest)
	}
	if d.bound > 0 {
		timeout = min(timeout, d.bound)
	}
	return timeout
}

// suspects reports whether the leader seems to have failed.
func (d *detector) suspects(now time.Duration) bool { return d.silence(now) > d.timeout(now) }
