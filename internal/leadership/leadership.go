// Package leadership holds what a controller knows of its own way to the leadership and
// away from it: the claim that stands, when it may claim, and when it resigns. The claim is
// a record under a lease; its revision is the leader's term. Whether a live leader is to be
// replaced before its lease ends is decided by package failover. There is no input or
// output.
package leadership

import (
	"time"

	"micaport/internal/kv"
	"micaport/internal/lease"
	"micaport/internal/wire"
)

// Time is the steady clock of the process, counted from its start.
type Time = time.Duration

// Config is what a controller's leadership follows from.
type Config struct {
	Self        string // name of this controller
	Incarnation string // tells this process from earlier ones of the same name
	Rank        int    // place of this controller among all, from 0
	LeaseTTL    Time
	// HeartbeatInterval is that of the workers.
	HeartbeatInterval Time
	// EarlyFailover says that leaders may be replaced before their lease ends.
	EarlyFailover bool
}

const (
	// claimInterval lies between two claims of this controller.
	claimInterval = 500 * time.Millisecond
	// claimDelayEach spaces the candidates for a leadership that nobody has.
	claimDelayEach = 400 * time.Millisecond
	// isolatedClaimDelay is left to candidates that reach more of the site.
	isolatedClaimDelay = 5 * time.Second
	// unseenClaimTimeout is how long a claim may stand before the replica shows it, and
	// unseenClaimBackoff how long no other is made after it was given up.
	unseenClaimTimeout = 2 * time.Second
	unseenClaimBackoff = 10 * time.Second
	// minTermBeforeResigning is how long a leader leads before it resigns, and
	// resignInterval lies between two resignations.
	minTermBeforeResigning = 5 * time.Second
	resignInterval         = 10 * time.Second
	// isolationNotice is how long peers that are isolated too may need to say so, besides
	// the heartbeat interval of the workers.
	isolationNotice = 2 * time.Second
)

// Leadership is a controller's view of who leads, and its own claim.
type Leadership struct {
	cfg Config
	// Lease is the lease that this controller's claims are attached to.
	Lease lease.Lease

	record *wire.Leader // the claim that stands; nil: there is none
	term   uint64       // revision of the claim or of its end
	since  Time         // when the replica last showed another leader

	lastClaimTerm uint64 // of the last claim, whose leader may be gone
	claimLeaseID  uint64 // the lease of this controller's last claim
	nextClaimAt   Time
	acceptedTerm  uint64 // of the last claim of this controller that was answered
	acceptedAt    Time
	abandonedTerm uint64 // of a claim of this process that it gave up, or that was replaced

	nextResignAt  Time
	isolatedSince Time // 0: this controller is not isolated, or does not lead
}

// New makes a leadership that knows of no leader.
func New(cfg Config) *Leadership {
	return &Leadership{cfg: cfg, Lease: lease.Lease{TTL: cfg.LeaseTTL}}
}

// Record is the claim that stands, as the replica shows it; nil: there is none.
func (l *Leadership) Record() *wire.Leader { return l.record }

// Term is the revision of the claim that stands, or of the end of the last.
func (l *Leadership) Term() uint64 { return l.term }

// Since is when the replica last showed another leader.
func (l *Leadership) Since() Time { return l.since }

// HoldsClaim tells whether the replica shows a claim of this process, abandoned or not.
func (l *Leadership) HoldsClaim() bool {
	return l.record != nil && l.record.Controller == l.cfg.Self && l.record.Incarnation == l.cfg.Incarnation
}

// IsLeader tells whether this process leads.
func (l *Leadership) IsLeader() bool { return l.HoldsClaim() && l.term != l.abandonedTerm }

// AnotherLeads tells whether the claim that stands is another controller's.
func (l *Leadership) AnotherLeads() bool {
	return !l.IsLeader() && l.record != nil && l.record.Controller != l.cfg.Self
}

// Change is what a new record of the leadership means to this process.
type Change int

// Kinds of changes.
const (
	Stale     Change = iota // an old record: nothing was changed
	Other                   // none of the following
	Acquired                // this process begins to lead
	Reclaimed               // it goes on leading under another term
	Lost                    // a claim of this process has ended, also one that it had abandoned
)

// Put applies the claim of the leadership, or its end, at a revision. Previous is the term
// of the claim before, where this is a new claim.
func (l *Leadership) Put(now Time, record *wire.Leader, revision uint64) (change Change, previous uint64) {
	if revision <= l.term {
		return Stale, 0
	}
	held, led := l.HoldsClaim(), l.IsLeader()
	if record != nil && revision > l.lastClaimTerm {
		previous, l.lastClaimTerm = l.lastClaimTerm, revision
	}
	l.record, l.term = record, revision
	if led && l.IsLeader() {
		return Reclaimed, previous
	}
	l.since = now
	switch {
	case l.IsLeader():
		return Acquired, previous
	case held:
		return Lost, previous
	}
	return Other, previous
}

// Claim is how the leadership may be claimed now.
type Claim int

// Kinds of claims.
const (
	NoClaim     Claim = iota
	ClaimVacant       // nobody has it
	ClaimOwn          // an earlier incarnation of this controller, or an abandoned claim, has it
	ClaimEarly        // a live leader is to be replaced
)

// NextClaim tells whether and how the leadership may be claimed now. Isolated says that
// this controller reaches few others; replace is asked whether the leader is to be replaced.
func (l *Leadership) NextClaim(now Time, isolated, replace func() bool) Claim {
	if l.IsLeader() || !l.Lease.Usable(now) || now < l.nextClaimAt {
		return NoClaim
	}
	switch {
	case l.record == nil:
		if now-l.since >= l.claimDelay(isolated()) {
			return ClaimVacant
		}
	case l.record.Controller == l.cfg.Self:
		return ClaimOwn
	case replace():
		return ClaimEarly
	}
	return NoClaim
}

// claimDelay spaces the candidates for a leadership that nobody has.
func (l *Leadership) claimDelay(isolated bool) Time {
	delay := Time(l.cfg.Rank) * claimDelayEach
	if isolated {
		delay += isolatedClaimDelay
	}
	return delay
}

// ClaimSent notes that a claim is sent now.
func (l *Leadership) ClaimSent(now Time) {
	l.nextClaimAt = now + claimInterval
	l.claimLeaseID = l.Lease.ID
}

// ClaimAnswered takes in the answer to a claim.
func (l *Leadership) ClaimAnswered(now Time, outcome kv.Outcome, revision uint64) {
	switch outcome {
	case kv.LeaseExpired:
		l.Lease.Ended(now)
	case kv.OK:
		l.acceptedTerm, l.acceptedAt = revision, now
	}
}

// MayClaimAgain tells whether a leader may replace its own claim by another now.
func (l *Leadership) MayClaimAgain(now Time) bool {
	return now >= l.nextClaimAt && l.Lease.ID == l.claimLeaseID && l.Lease.Age(now) <= l.Lease.TTL/2
}

// LeaseHolds tells whether the lease of the claim can't have ended. A leader that the state
// service refuses may have lost the leadership without seeing it; nor does a new lease renew
// what was claimed under one that has ended.
func (l *Leadership) LeaseHolds(now Time) bool {
	return l.Lease.Age(now) <= l.Lease.TTL && l.Lease.ID == l.claimLeaseID
}

// UnseenClaim gives up a claim that was accepted a while ago and that the replica, which
// has reached a revision, does not show: the watch hangs. Kept alive by renewals, it would
// leave the site without a leader that decides.
func (l *Leadership) UnseenClaim(now Time, revision uint64) (term uint64, unseen bool) {
	if l.acceptedTerm <= revision || now-l.acceptedAt < unseenClaimTimeout || !l.cfg.EarlyFailover {
		return 0, false
	}
	term = l.acceptedTerm
	l.acceptedTerm, l.nextClaimAt = 0, now+unseenClaimBackoff
	return term, true
}

// Replaced notes that a claim of this process has been replaced, which the replica does not
// show yet.
func (l *Leadership) Replaced(term uint64) { l.abandonedTerm = term }

// Resign decides whether to resign now: this leader is isolated while the state service
// serves it, and successor says that a controller which is not isolated could take over.
// When all are isolated, nobody would do better. From then on this process does not lead,
// even if its watch hangs and never shows it.
func (l *Leadership) Resign(now Time, isolated bool, successor func() bool) bool {
	if !isolated {
		l.isolatedSince = 0
		return false
	}
	if l.isolatedSince == 0 {
		l.isolatedSince = now
	}
	if now < l.nextResignAt || now-l.since < minTermBeforeResigning ||
		now-l.isolatedSince < l.cfg.HeartbeatInterval+isolationNotice ||
		!successor() {
		return false
	}
	l.nextResignAt = now + resignInterval
	l.abandonedTerm = l.term
	return true
}

// ResignRefused takes a resignation back that the state service certainly has not carried
// out.
func (l *Leadership) ResignRefused() { l.abandonedTerm = 0 }

// Resumed forgets what a stall of the process has made stale.
func (l *Leadership) Resumed() { l.isolatedSince = 0 }
