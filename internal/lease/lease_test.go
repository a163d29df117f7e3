package lease

import (
	"testing"
	"time"

	"micaport/internal/kv"
)

// What becomes of a lease by the answer to a request for it.
func TestAnswers(t *testing.T) {
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
		{"made", 0, kv.OK, 7, true, sentAt + interval},
		{"extended", 5, kv.OK, 5, true, sentAt + interval},
		{"it had ended", 5, kv.NotFound, 0, false, now},
		{"refused", 5, kv.Refused, 5, false, now + retryInterval},
		{"no answer", 5, kv.Unknown, 5, false, now + retryInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := Lease{ID: c.id, TTL: ttl}
			renewal := l.Renew(sentAt)
			if l.Due(sentAt + time.Hour) {
				t.Error("a second request is due while one is under way")
			}
			renewal.Answered(now, c.outcome, 7, interval)
			if l.ID != c.wantID {
				t.Errorf("lease %d, want %d", l.ID, c.wantID)
			}
			if renewed := l.SentAt == sentAt; renewed != c.renewed {
				t.Errorf("renewed: %v, want %v", renewed, c.renewed)
			}
			if l.Due(c.dueAt-1) || !l.Due(c.dueAt) {
				t.Errorf("the next request is not due at %v", c.dueAt)
			}
		})
	}
}

// A claim needs half of the time to live.
func TestUsable(t *testing.T) {
	l := Lease{TTL: 8 * time.Second}
	if l.Usable(0) {
		t.Error("usable before it was made")
	}
	l.Renew(time.Second).Answered(2*time.Second, kv.OK, 3, time.Second)
	if !l.Usable(5*time.Second) || l.Usable(5*time.Second+1) {
		t.Error("not usable for just half of its time, counted from when the renewal was sent")
	}
}
