// Package leadership tracks the current claim of the leadership, and decides when this
// controller may claim it and when it resigns. The claim is a record attached to a lease;
// its revision is the leader's term. Whether a live leader is replaced before its lease
// expires is decided by package failover. The package has no input or output.
package leadership

import (
	"time"

	"micaport/internal/kv"
	"micaport/internal/lease"
	"micaport/internal/wire"
)

// Time is a time of the monotonic clock of the process, counted from its start.
type Time = time.Duration

// Config is the leadership configuration of a controller.
type Config struct {
	Self        string // name of this controller
	Incarnation string // distinguishes this process from earlier ones of the same name
	Rank        int    // position of this controller among all, from 0
	LeaseTTL    Time
	// HeartbeatInterval is the time between two heartbeats of a worker.
	HeartbeatInterval Time
	// EarlyFailover is set if leaders may be replaced before their lease expires.
	EarlyFailover bool
}

const (
	// claimInterval is the minimum time between two claims of this controller.
	claimInterval = 500 * time.Millisecond
	// claimDelayPerRank is the delay between the claims of two successive candidates for a
	// vacant leadership.
	claimDelayPerRank = 400 * time.Millisecond
	// isolatedClaimDelay is the additional delay of an isolated controller, which lets
	// candidates that are not isolated claim first.
	isolatedClaimDelay = 5 * time.Second
	// unseenClaimTimeout is how long the replica may fail to show an accepted claim before
	// the claim is abandoned. No other claim is made for unseenClaimBackoff after that.
	unseenClaimTimeout = 2 * time.Second
	unseenClaimBackoff = 10 * time.Second
	// minTenureBeforeResigning is the minimum time for which a leader leads before it resigns, and
	// resignInterval the minimum time between two resignations.
	minTenureBeforeResigning = 5 * time.Second
	resignInterval           = 10 * time.Second
	// isolationReportTime is how long peers that are isolated too may need to report their
	// isolation, in addition to the heartbeat interval of the workers.
	isolationReportTime = 2 * time.Second
)

// Leadership is a controller's view of the current leader, and the state of its own claims.
type Leadership struct {
	cfg Config
	// Lease is the lease that this controller's claims are attached to.
	Lease lease.Lease

	record          *wire.Leader // the current claim; nil: there is none
	term            uint64       // revision of the current claim, or of the end of the last one
	leaderChangedAt Time         // when the replica last showed a change of the leader

	lastClaimTerm uint64 // of the last claim, even if it has ended since
	claimLeaseID  uint64 // lease of this controller's last claim
	nextClaimAt   Time   // earliest time of the next claim
	acceptedTerm  uint64 // of the last claim of this controller that was accepted; 0: none, or abandoned since
	acceptedAt    Time
	abandonedTerm uint64 // of a claim of this process from which it has resigned or that was replaced, even if the replica still shows it

	nextResignAt  Time // earliest time of the next resignation
	isolatedSince Time // 0: this controller is not isolated, or does not lead
}

// New returns a Leadership without a leader or a lease.
func New(cfg Config) *Leadership {
	return &Leadership{cfg: cfg, Lease: lease.Lease{TTL: cfg.LeaseTTL}}
}

// Record returns the current claim, as the replica shows it; nil if there is none.
func (l *Leadership) Record() *wire.Leader { return l.record }

// Term returns the revision of the current claim, or of the end of the last one.
func (l *Leadership) Term() uint64 { return l.term }

// LeaderChangedAt returns when the replica last showed a change of the leader.
func (l *Leadership) LeaderChangedAt() Time { return l.leaderChangedAt }

// HoldsClaim reports whether the replica shows a claim of this process, abandoned or not.
func (l *Leadership) HoldsClaim() bool {
	return l.record != nil && l.record.Controller == l.cfg.Self && l.record.Incarnation == l.cfg.Incarnation
}

// IsLeader reports whether this process is the leader.
func (l *Leadership) IsLeader() bool { return l.HoldsClaim() && l.term != l.abandonedTerm }

// AnotherLeads reports whether the current claim is that of another controller.
func (l *Leadership) AnotherLeads() bool {
	return !l.IsLeader() && l.record != nil && l.record.Controller != l.cfg.Self
}

// Change is the effect that a new record of the leadership has on this process.
type Change int

// Kinds of changes.
const (
	Stale        Change = iota // the record is outdated and was ignored
	Unaffected                 // this process has neither become the leader nor lost a claim
	Acquired                   // this process has become the leader
	ClaimedAgain               // this process remains the leader, under a new term
	Lost                       // a claim of this process has ended, possibly one that it had abandoned
)

// Put applies a claim of the leadership, or its end if the record is nil, at a revision, and
// returns the effect on this process. If the record is a new claim, previousTerm is the term of the
// claim before it, otherwise 0.
func (l *Leadership) Put(now Time, record *wire.Leader, revision uint64) (change Change, previousTerm uint64) {
	if revision <= l.term {
		return Stale, 0
	}
	held, led := l.HoldsClaim(), l.IsLeader()
	if record != nil && revision > l.lastClaimTerm {
		previousTerm, l.lastClaimTerm = l.lastClaimTerm, revision
	}
	l.record, l.term = record, revision
	if led && l.IsLeader() {
		return ClaimedAgain, previousTerm
	}
	l.leaderChangedAt = now
	switch {
	case l.IsLeader():
		return Acquired, previousTerm
	case held:
		return Lost, previousTerm
	}
	return Unaffected, previousTerm
}

// Claim is the kind of claim that this process may make.
type Claim int

// Kinds of claims.
const (
	NoClaim     Claim = iota
	ClaimVacant       // there is no leader
	ClaimOwn          // replaces a claim of this controller: that of an earlier incarnation, or an abandoned one
	ClaimEarly        // replaces a live leader before its lease expires
)

// NextClaim returns the kind of claim that may be made now. Isolated reports whether this
// controller has lost the cloud or all other controllers; mayReplace reports whether another
// controller's claim may be replaced early. Each is called only where the result depends on
// it.
func (l *Leadership) NextClaim(now Time, isolated, mayReplace func() bool) Claim {
	if l.IsLeader() || !l.Lease.Usable(now) || now < l.nextClaimAt {
		return NoClaim
	}
	switch {
	case l.record == nil:
		if now-l.leaderChangedAt >= l.claimDelay(isolated()) {
			return ClaimVacant
		}
	case l.record.Controller == l.cfg.Self:
		return ClaimOwn
	case mayReplace():
		return ClaimEarly
	}
	return NoClaim
}

// claimDelay returns how long this controller waits before it claims a vacant leadership.
func (l *Leadership) claimDelay(isolated bool) Time {
	delay := Time(l.cfg.Rank) * claimDelayPerRank
	if isolated {
		delay += isolatedClaimDelay
	}
	return delay
}

// RecordClaimSent records that a claim is sent now.
func (l *Leadership) RecordClaimSent(now Time) {
	l.nextClaimAt = now + claimInterval
	l.claimLeaseID = l.Lease.ID
}

// RecordClaimAnswer processes the answer to a claim.
func (l *Leadership) RecordClaimAnswer(now Time, outcome kv.Outcome, revision uint64) {
	switch outcome {
	case kv.LeaseExpired:
		l.Lease.MarkExpired(now)
	case kv.OK:
		l.acceptedTerm, l.acceptedAt = revision, now
	}
}

// MayClaimAgain reports whether a leader may replace its own claim by a new one now. The new claim
// is made under the same lease, of which at least half of the TTL must be left.
func (l *Leadership) MayClaimAgain(now Time) bool {
	return now >= l.nextClaimAt && l.Lease.ID == l.claimLeaseID && l.Lease.Age(now) <= l.Lease.TTL/2
}

// LeaseValid reports whether the lease of the claim cannot have expired yet. A leader that the
// state service refuses to serve may have lost the leadership without seeing it. A new lease
// does not extend a claim that was made under an expired one.
func (l *Leadership) LeaseValid(now Time) bool {
	return l.Lease.Age(now) <= l.Lease.TTL && l.Lease.ID == l.claimLeaseID
}

// AbandonUnseenClaim abandons a claim that was accepted at least unseenClaimTimeout ago and that
// the replica, which has reached a revision, does not show yet because the watch hangs. It returns
// the term of the claim and whether there was one; without EarlyFailover it does nothing. Renewals
// of the lease would keep such a claim alive and leave the site without a leader that decides.
func (l *Leadership) AbandonUnseenClaim(now Time, revision uint64) (term uint64, unseen bool) {
	if l.acceptedTerm <= revision || now-l.acceptedAt < unseenClaimTimeout || !l.cfg.EarlyFailover {
		return 0, false
	}
	term = l.acceptedTerm
	l.acceptedTerm, l.nextClaimAt = 0, now+unseenClaimBackoff
	return term, true
}

// MarkReplaced records that a claim of this process has been replaced, before the replica shows
// it.
func (l *Leadership) MarkReplaced(term uint64) { l.abandonedTerm = term }

// ResignIfIsolated abandons the claim if this leader is to resign now, and reports whether it did.
// An isolated leader that the state service still serves resigns if hasSuccessor reports that
// another controller, which is not isolated, could take over. If all controllers are isolated,
// another leader would be no better. After a resignation this process does not lead, even if its
// watch hangs and never shows the end of the claim.
func (l *Leadership) ResignIfIsolated(now Time, isolated bool, hasSuccessor func() bool) bool {
	if !isolated {
		l.isolatedSince = 0
		return false
	}
	if l.isolatedSince == 0 {
		l.isolatedSince = now
	}
	if now < l.nextResignAt || now-l.leaderChangedAt < minTenureBeforeResigning ||
		now-l.isolatedSince < l.cfg.HeartbeatInterval+isolationReportTime ||
		!hasSuccessor() {
		return false
	}
	l.nextResignAt = now + resignInterval
	l.abandonedTerm = l.term
	return true
}

// RevertResignation reverts a resignation that the state service has certainly not carried out.
func (l *Leadership) RevertResignation() { l.abandonedTerm = 0 }

// ResetAfterStall discards the state that a stall of the process has made outdated.
func (l *Leadership) ResetAfterStall() { l.isolatedSince = 0 }
