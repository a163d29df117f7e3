// Package lease keeps track of leases on the state service: when each is to be renewed, and
// how long ago a renewal that succeeded was sent. It has no input or output.
package lease

import (
	"time"

	"micaport/internal/kv"
)

// retryInterval lies between two requests for a lease while they are not answered with one.
const retryInterval = 500 * time.Millisecond

// Lease is one lease. The state service ends it, with the keys attached to it, when it is
// not renewed for its time to live. The zero value with a TTL is a lease to be made.
type Lease struct {
	ID     uint64        // 0: there is none
	TTL    time.Duration // time to live
	SentAt time.Duration // when the last renewal that succeeded was sent

	renewAt  time.Duration // when the next request is due
	renewing bool          // a request is under way
}

// Due tells whether a request for the lease is to be sent now.
func (l *Lease) Due(now time.Duration) bool { return !l.renewing && now >= l.renewAt }

// Renewal is a request for a lease under way.
type Renewal struct {
	lease  *Lease
	id     uint64 // that is extended; 0: a new one is made
	sentAt time.Duration
}

// ID is the lease that is extended; 0 asks for a new one.
func (r Renewal) ID() uint64 { return r.id }

// Renew notes that a request is sent now.
func (l *Lease) Renew(now time.Duration) Renewal {
	l.renewing = true
	return Renewal{lease: l, id: l.ID, sentAt: now}
}

// Answered takes in the answer to a request. Interval is how often a lease is renewed at
// least; a quarter of its time to live bounds it.
func (r Renewal) Answered(now time.Duration, outcome kv.Outcome, id uint64, interval time.Duration) {
	l := r.lease
	l.renewing = false
	l.renewAt = now + retryInterval
	switch outcome {
	case kv.OK:
		if r.id == 0 {
			l.ID = id
		}
		l.SentAt = r.sentAt
		l.renewAt = r.sentAt + min(l.TTL/4, interval)
	case kv.NotFound:
		l.Ended(now)
	}
}

// Ended notes that the lease has ended: a new one is asked for at once.
func (l *Lease) Ended(now time.Duration) { l.ID, l.renewAt = 0, now }

// Forget drops a lease that may have ended, without asking for a new one.
func (l *Lease) Forget() { l.ID = 0 }

// RenewNow makes a request due now.
func (l *Lease) RenewNow(now time.Duration) { l.renewAt = min(l.renewAt, now) }

// Age is how long ago the last renewal that succeeded was sent.
func (l *Lease) Age(now time.Duration) time.Duration { return now - l.SentAt }

// Usable tells whether a claim may be made under the lease: there is one, and it has at
// least half of its time left.
func (l *Lease) Usable(now time.Duration) bool { return l.ID != 0 && l.Age(now) <= l.TTL/2 }
