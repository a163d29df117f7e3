package failover

import "time"

// Stage is a step of a takeover.
type Stage int

// Stages of a takeover, in order.
const (
	Suspected Stage = iota // the leader's silence has exceeded the timeout
	Claimed                // a quorum suspected the leader, and the claim was sent
	Seen                   // the replica of the records shows the claim
	CaughtUp               // a proof of the claim has taken effect, and no commit of this controller has an unknown outcome
	Decided                // the first scheduling pass has completed
	stageCount
)

// Takeover records when a takeover by this controller reaches each stage, for the log, the record
// of takeovers and measurements.
type Takeover struct {
	From     string   // the replaced leader
	Evidence Evidence // at the claim

	active          bool
	lastHeartbeatAt time.Duration // when the last heartbeat of the replaced leader was received
	reachedAt       [stageCount]time.Duration
}

// Begin starts a takeover when its claim is sent; the stages Suspected and Claimed have then been
// reached.
func (t *Takeover) Begin(now time.Duration, from string, suspectedAt time.Duration, evidence Evidence) {
	*t = Takeover{From: from, Evidence: evidence, active: true, lastHeartbeatAt: now - evidence.Silence}
	t.reachedAt[Suspected], t.reachedAt[Claimed] = suspectedAt, now
}

// Active reports whether a takeover is in progress.
func (t *Takeover) Active() bool { return t.active }

// Reach records that a stage of the takeover in progress has been reached, and reports whether
// it was reached for the first time.
func (t *Takeover) Reach(stage Stage, now time.Duration) bool {
	if !t.active || t.reachedAt[stage] > 0 {
		return false
	}
	t.reachedAt[stage] = now
	return true
}

// Reached reports whether a stage of the takeover in progress has been reached.
func (t *Takeover) Reached(stage Stage) bool { return t.active && t.reachedAt[stage] > 0 }

// End marks the takeover as completed, or as failed because another controller leads.
func (t *Takeover) End() { t.active = false }

// SinceLastHeartbeat returns the time from the last heartbeat of the replaced leader until a stage
// was reached; 0 if it has not been reached.
func (t *Takeover) SinceLastHeartbeat(stage Stage) time.Duration {
	if t.reachedAt[stage] == 0 {
		return 0
	}
	return t.reachedAt[stage] - t.lastHeartbeatAt
}
