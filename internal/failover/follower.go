package failover

import "time"

// Config is the failover configuration of a controller.
type Config struct {
	Self    string   // name of this controller
	Members []string // names of all controllers, this one included
	// Early enables early takeovers: this controller replaces a failed leader as soon as a
	// quorum suspects it, without waiting for the leader's lease to expire.
	Early bool
	// LeaseTTL is the lifetime of a leader's lease.
	LeaseTTL time.Duration
}

// Claim is the current claim of the leadership, as the records show it.
type Claim struct {
	Controller, Incarnation string // name and process of the leader
	Term                    uint64 // fencing token: the revision of the claim
	// Fenced is set if the leader calls the cloud only while proofs of this claim are valid.
	// Only such a leader may be replaced before its lease expires.
	Fenced bool
	// Streak is the number of consecutive claims, each of which replaced a live leader soon
	// after the previous claim.
	Streak int
}

// Follower monitors the leader on behalf of a controller that is not the leader.
type Follower struct {
	config              Config
	claim               Claim
	claimSeenAt         time.Duration
	detector            detector
	peerReports         map[string]peerReport // by controller name
	standby             string                // named by the leader; "": none
	suspectedSince      time.Duration         // since when this controller has suspected the leader; 0: it does not
	quorumSuspectsSince time.Duration         // since when a quorum has suspected the leader; 0: it does not
}

// NewFollower returns a follower without a leader.
func NewFollower(config Config) *Follower {
	return &Follower{config: config, detector: detector{maxTimeout: config.LeaseTTL}, peerReports: map[string]peerReport{}}
}

// SetClaim sets the current claim of the leadership. If the claim has changed, its leader is
// treated as if it had sent a heartbeat now.
func (f *Follower) SetClaim(now time.Duration, claim Claim) {
	if claim.Term == f.claim.Term && claim.Controller == f.claim.Controller {
		return
	}
	f.claim, f.claimSeenAt = claim, now
	f.detector.reset(now)
	f.standby = ""
	f.suspectedSince, f.quorumSuspectsSince = 0, 0
}

// ReceiveHeartbeat records a heartbeat of the leader. Heartbeats of another controller, incarnation
// or term are outdated and ignored.
func (f *Follower) ReceiveHeartbeat(now time.Duration, controller, incarnation string, term uint64, standby string) {
	if controller != f.claim.Controller || incarnation != f.claim.Incarnation || term != f.claim.Term {
		return
	}
	f.detector.recordHeartbeat(now)
	f.standby = standby
}

// MarkDisconnected records that the connection to a peer has broken, and discards the peer's
// report.
func (f *Follower) MarkDisconnected(now time.Duration, peer string) {
	if peer == f.claim.Controller {
		f.detector.markDisconnected(now)
	}
	delete(f.peerReports, peer)
}

// ResetAfterStall discards the state that a stall of this process has made outdated: no message was
// received during the stall, so the leader and all peers seem silent.
func (f *Follower) ResetAfterStall(now time.Duration) {
	f.detector.reset(now)
	f.suspectedSince, f.quorumSuspectsSince = 0, 0
	clear(f.peerReports)
}

// mayReplaceEarly reports whether there is a leader that this controller may replace early.
func (f *Follower) mayReplaceEarly() bool {
	return f.config.Early && f.claim.Fenced && f.claim.Controller != "" && f.claim.Controller != f.config.Self
}

// Advice is the action that a controller should take with regard to the leader.
type Advice int

// Kinds of advice.
const (
	Follow  Advice = iota // none: the leader is not suspected, or may not be replaced early
	Prepare               // renew the lease for a claim, notify the peers at once, and wait
	Replace               // claim the leadership now
)

// Advise returns the action to take now. It also records since when this controller, and a quorum,
// have suspected the leader.
func (f *Follower) Advise(now time.Duration) Advice {
	if !f.mayReplaceEarly() || !f.detector.suspects(now) {
		f.suspectedSince, f.quorumSuspectsSince = 0, 0
		return Follow
	}
	if f.suspectedSince == 0 {
		f.suspectedSince = now
	}
	if !f.Evidence(now).Quorum() {
		f.quorumSuspectsSince = 0
		return Prepare
	}
	if f.quorumSuspectsSince == 0 {
		f.quorumSuspectsSince = now
	}
	if now-f.claimSeenAt < f.MinTenure() || now-f.quorumSuspectsSince < f.claimDelay() {
		return Prepare
	}
	return Replace
}

// SuspectedSince returns since when this controller has suspected the leader, as of the last call
// of Advise; 0 if it does not.
func (f *Follower) SuspectedSince() time.Duration { return f.suspectedSince }

// Standby returns the standby that the leader has named; "" if there is none.
func (f *Follower) Standby() string { return f.standby }

// IsStandby reports whether the leader has named this controller as its standby.
func (f *Follower) IsStandby() bool { return f.mayReplaceEarly() && f.standby == f.config.Self }

// Claim returns the claim of the current leader.
func (f *Follower) Claim() Claim { return f.claim }

// Silence returns the time since the last heartbeat of the leader.
func (f *Follower) Silence(now time.Duration) time.Duration { return f.detector.silence(now) }
