package lease

import (
	"testing"
	"time"

	"micaport/internal/kv"
)

// Each answer to a request updates the lease and the time of the next request.
func TestRenewalComplete(t *testing.T) {
	const (
		ttl      = 8 * time.Second
		interval = time.Second
		sentAt   = 10 * time.Second
		now      = 10*time.Second + 100*time.Millisecond
	)
	for _, c := range []struct {
		name    string
		id      uint64 // before
		outcome kv.Outcome
		wantID  uint64
		renewed bool
		dueAt   time.Duration
	}{
		{"created", 0, kv.OK, 7, true, sentAt + interval},
		{"extended", 5, kv.OK, 5, true, sentAt + interval},
		{"had expired", 5, kv.NotFound, 0, false, now},
		{"refused", 5, kv.Refused, 5, false, now + retryInterval},
		{"no answer", 5, kv.Unknown, 5, false, now + retryInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := Lease{ID: c.id, TTL: ttl}
			renewal := l.StartRenewal(sentAt)
			if l.Due(sentAt + time.Hour) {
				t.Error("a second request is due while one is in flight")
			}
			renewal.Complete(now, c.outcome, 7, interval)
			if l.ID != c.wantID {
				t.Errorf("lease %d, want %d", l.ID, c.wantID)
			}
			if renewed := l.RenewalSentAt == sentAt; renewed != c.renewed {
				t.Errorf("renewed: %v, want %v", renewed, c.renewed)
			}
			if l.Due(c.dueAt-1) || !l.Due(c.dueAt) {
				t.Errorf("the next request is not due at %v", c.dueAt)
			}
		})
	}
}

// A lease is usable for claims during the first half of its TTL.
func TestUsable(t *testing.T) {
	l := Lease{TTL: 8 * time.Second}
	if l.Usable(0) {
		t.Error("usable before it was created")
	}
	l.StartRenewal(time.Second).Complete(2*time.Second, kv.OK, 3, time.Second)
	if !l.Usable(5*time.Second) || l.Usable(5*time.Second+1) {
		t.Error("not usable for exactly half of its TTL, counted from when the renewal was sent")
	}
}
