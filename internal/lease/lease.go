// Package lease tracks leases on the state service: when each is to be renewed, and how long
// ago the last successful renewal was sent. It has no input or output.
package lease

import (
	"time"

	"micaport/internal/kv"
)

// retryInterval is the time between the answer to a failed request for a lease and the next
// request.
const retryInterval = 500 * time.Millisecond

// Lease is a lease on the state service. If it is not renewed within its TTL, it expires and the
// keys that are attached to it are removed. The zero value with a TTL is a lease yet to be created.
type Lease struct {
	ID            uint64        // 0: there is none
	TTL           time.Duration // time to live
	RenewalSentAt time.Duration // when the last successful renewal was sent

	nextRequestAt time.Duration // when the next request is due
	renewing      bool          // a request is in flight
}

// Due reports whether a request for the lease is to be sent now.
func (l *Lease) Due(now time.Duration) bool { return !l.renewing && now >= l.nextRequestAt }

// Renewal is a request for a lease that is in flight.
type Renewal struct {
	lease  *Lease
	id     uint64 // of the lease to be extended; 0: a new one is created
	sentAt time.Duration
}

// ID returns the ID of the lease to be extended; 0 if a new one is requested.
func (r Renewal) ID() uint64 { return r.id }

// StartRenewal records that a request is sent now, and returns it.
func (l *Lease) StartRenewal(now time.Duration) Renewal {
	l.renewing = true
	return Renewal{lease: l, id: l.ID, sentAt: now}
}

// Complete processes the answer to the request. After a successful request the next one is due when
// the interval, or a quarter of the TTL if that is shorter, has passed since it was sent.
func (r Renewal) Complete(now time.Duration, outcome kv.Outcome, id uint64, interval time.Duration) {
	l := r.lease
	l.renewing = false
	l.nextRequestAt = now + retryInterval
	switch outcome {
	case kv.OK:
		if r.id == 0 {
			l.ID = id
		}
		l.RenewalSentAt = r.sentAt
		l.nextRequestAt = r.sentAt + min(l.TTL/4, interval)
	case kv.NotFound:
		l.MarkExpired(now)
	}
}

// MarkExpired records that the lease has expired. A request for a new one is due at once.
func (l *Lease) MarkExpired(now time.Duration) { l.ID, l.nextRequestAt = 0, now }

// Discard discards a lease that may have expired, without requesting a new one.
func (l *Lease) Discard() { l.ID = 0 }

// RenewNow makes a request due now.
func (l *Lease) RenewNow(now time.Duration) { l.nextRequestAt = min(l.nextRequestAt, now) }

// Age returns the time since the last successful renewal was sent.
func (l *Lease) Age(now time.Duration) time.Duration { return now - l.RenewalSentAt }

// Usable reports whether a claim may be made under the lease: it exists, and at least half of
// its TTL is left.
func (l *Lease) Usable(now time.Duration) bool { return l.ID != 0 && l.Age(now) <= l.TTL/2 }
