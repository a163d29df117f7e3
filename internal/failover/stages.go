package failover

import "time"

// Takeover follows the stages of a takeover by this controller, for the log, the record
// of takeovers and measurements.
type Takeover struct {
	From     string // the replaced leader
	Evidence Evidence
	active   bool
	begunAt  time.Duration // when the leader was last heard
	at       [stages]time.Duration
}

// Stage is a step of a takeover.
type Stage int

// Stages of a takeover, in order.
const (
	Suspected Stage = iota // the leader's silence has exceeded the timeout
	Claimed                // the claim was sent, on a quorum's evidence
	Seen                   // the copy of the records shows the claim
	CaughtUp               // a proof sent after that has settled, and no own commit is unsettled
	Decided                // the first pass over the queues was made
	stages
)

// Begin starts a takeover with the claim.
func (t *Takeover) Begin(now time.Duration, from string, suspectedAt time.Duration, e Evidence) {
	*t = Takeover{From: from, Evidence: e, active: true, begunAt: now - e.Silence}
	t.at[Suspected], t.at[Claimed] = suspectedAt, now
}

// Active tells whether a takeover is under way.
func (t *Takeover) Active() bool { return t.active }

// Reach notes that a stage has been reached, the first time that it is said. It tells
// whether that was so.
func (t *Takeover) Reach(s Stage, now time.Duration) bool {
	if !t.active || t.at[s] > 0 {
		return false
	}
	t.at[s] = now
	return true
}

// Reached tells whether a stage has been reached.
func (t *Takeover) Reached(s Stage) bool { return t.active && t.at[s] > 0 }

// End forgets the takeover: it is over, or somebody else has the leadership.
func (t *Takeover) End() { t.active = false }

// After is how long after the last sign of the replaced leader a stage was reached; 0 if
// it was not.
func (t *Takeover) After(s Stage) time.Duration {
	if t.at[s] == 0 {
		return 0
	}
	return t.at[s] - t.begunAt
}
