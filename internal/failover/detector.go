package failover

import "time"

const (
	// HeartbeatInterval lies between two heartbeats of a leader. At two a second a
	// failure is noticed well within the aim of five seconds; each costs a leader one
	// small message to each peer.
	HeartbeatInterval = 500 * time.Millisecond
	// SilenceTimeout is the least silence after which a leader is suspected whose
	// connection still stands: three heartbeats missed in a row, and half an interval for
	// delays. A pause of one second stays below it.
	SilenceTimeout = 3*HeartbeatInterval + HeartbeatInterval/2
	// DisconnectedTimeout is the least silence after which a leader is suspected whose
	// connection has broken. A leader that lives connects anew for its next heartbeat.
	DisconnectedTimeout = 2 * HeartbeatInterval
	// gapMemory is how long a gap between two heartbeats is remembered.
	gapMemory = time.Minute
)

// gap is a long pause between two heartbeats.
type gap struct {
	endedAt time.Duration
	length  time.Duration
}

// Detector is the failure detector of one controller for the present leader. Its timeout
// adapts: a leader that has been slow lately is given twice its longest gap, up to a
// bound. The zero value has heard nothing.
type Detector struct {
	bound          time.Duration // no timeout is longer; 0: no bound
	heardAt        time.Duration
	disconnectedAt time.Duration // 0: the connection has not broken
	gaps           []gap         // the longest of the last minute first, each later one shorter
}

// Reset begins anew with a leader that counts as heard now.
func (d *Detector) Reset(now time.Duration) {
	*d = Detector{bound: d.bound, heardAt: now}
}

// Heartbeat notes a sign of life.
func (d *Detector) Heartbeat(now time.Duration) {
	length := now - d.heardAt
	d.heardAt, d.disconnectedAt = now, 0
	for len(d.gaps) > 0 && d.gaps[len(d.gaps)-1].length <= length {
		d.gaps = d.gaps[:len(d.gaps)-1]
	}
	if length > HeartbeatInterval {
		d.gaps = append(d.gaps, gap{now, length})
	}
}

// Disconnected notes that the connection to the leader has broken.
func (d *Detector) Disconnected(now time.Duration) { d.disconnectedAt = now }

// Broken tells whether the connection has broken and nothing has been heard since.
func (d *Detector) Broken() bool { return d.disconnectedAt > 0 }

// Silence is how long nothing has been heard.
func (d *Detector) Silence(now time.Duration) time.Duration { return now - d.heardAt }

// Timeout is the silence after which the leader is suspected.
func (d *Detector) Timeout(now time.Duration) time.Duration {
	for len(d.gaps) > 0 && now-d.gaps[0].endedAt > gapMemory {
		d.gaps = d.gaps[1:]
	}
	longest := time.Duration(0)
	if len(d.gaps) > 0 {
		longest = d.gaps[0].length
	}
	timeout := max(SilenceTimeout, 2*longest)
	if d.Broken() {
		timeout = max(DisconnectedTimeout, longest)
	}
	if d.bound > 0 {
		timeout = min(timeout, d.bound)
	}
	return timeout
}

// Suspects tells whether the leader seems to have failed.
func (d *Detector) Suspects(now time.Duration) bool { return d.Silence(now) > d.Timeout(now) }
