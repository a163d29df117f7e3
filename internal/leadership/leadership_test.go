package leadership

import (
	"testing"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

const (
	self        = "n1"
	incarnation = "x"
)

func newLeadership() *Leadership {
	l := New(Config{Self: self, Incarnation: incarnation, Rank: 1, LeaseTTL: 5 * time.Second, HeartbeatInterval: 3 * time.Second, EarlyFailover: true})
	l.Lease.StartRenewal(0).Complete(0, kv.OK, 7, time.Second)
	return l
}

func claimOf(controller, incarnation string) *wire.Leader {
	return &wire.Leader{Controller: controller, Incarnation: incarnation}
}

func always() bool { return true }
func never() bool  { return false }

// Each change of the record, in order, has the expected effect on this process.
func TestPutReturnsChange(t *testing.T) {
	l := newLeadership()
	for i, step := range []struct {
		record   *wire.Leader
		revision uint64
		want     Change
		leads    bool
	}{
		{claimOf("n0", "a"), 5, Unaffected, false},
		{claimOf(self, incarnation), 4, Stale, false},
		{claimOf(self, "earlier"), 6, Unaffected, false},
		{claimOf(self, incarnation), 7, Acquired, true},
		{claimOf(self, incarnation), 8, ClaimedAgain, true},
		{nil, 9, Lost, false},
		{claimOf(self, incarnation), 10, Acquired, true},
		{claimOf("n0", "a"), 11, Lost, false},
	} {
		if got, _ := l.Put(Time(i)*time.Second, step.record, step.revision); got != step.want || l.IsLeader() != step.leads {
			t.Errorf("step %d: change %d, leads %v; want %d, %v", i, got, l.IsLeader(), step.want, step.leads)
		}
	}
}

// The previous term is that of the claim before, also if that claim has ended in between.
func TestPreviousTerm(t *testing.T) {
	l := newLeadership()
	l.Put(0, claimOf("n0", "a"), 5)
	l.Put(0, nil, 6)
	if _, previous := l.Put(0, claimOf(self, incarnation), 7); previous != 5 {
		t.Errorf("previous term %d, want 5", previous)
	}
}

// The kind of claim depends on the current leader and on the lease of this controller.
func TestNextClaim(t *testing.T) {
	for _, c := range []struct {
		name     string
		record   *wire.Leader
		at       Time
		isolated func() bool
		replace  func() bool
		want     Claim
	}{
		{"vacant, too early", nil, claimDelayPerRank - 1, never, never, NoClaim},
		{"vacant", nil, claimDelayPerRank, never, never, ClaimVacant},
		{"vacant, isolated", nil, claimDelayPerRank, always, never, NoClaim},
		{"an earlier incarnation", claimOf(self, "earlier"), time.Second, never, never, ClaimOwn},
		{"another leads", claimOf("n0", "a"), time.Second, never, never, NoClaim},
		{"another is to be replaced", claimOf("n0", "a"), time.Second, never, always, ClaimEarly},
		{"leads already", claimOf(self, incarnation), time.Second, never, always, NoClaim},
		{"lease too old", nil, 3 * time.Second, never, never, NoClaim},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeadership()
			if c.record != nil {
				l.Put(0, c.record, 5)
			}
			if got := l.NextClaim(c.at, c.isolated, c.replace); got != c.want {
				t.Errorf("got claim %d, want %d", got, c.want)
			}
		})
	}
}

// An isolated leader resigns once it has been isolated for long enough and another controller
// could lead. It leads again only if the resignation was refused.
func TestResign(t *testing.T) {
	l := newLeadership()
	l.Put(0, claimOf(self, incarnation), 5)
	isolatedAt := 10 * time.Second
	if l.ResignIfIsolated(isolatedAt, true, always) {
		t.Error("resigned as soon as it was isolated")
	}
	later := isolatedAt + l.cfg.HeartbeatInterval + isolationReportTime
	if l.ResignIfIsolated(later, true, never) {
		t.Error("resigned without a successor")
	}
	if !l.ResignIfIsolated(later, true, always) || l.IsLeader() {
		t.Error("did not resign")
	}
	l.RevertResignation()
	if !l.IsLeader() {
		t.Error("does not lead although the resignation was refused")
	}
	if l.ResignIfIsolated(later+time.Second, true, always) {
		t.Error("resigned again before the resign interval has passed")
	}
}

// An accepted claim that the replica does not show is abandoned once, after a timeout.
func TestAbandonUnseenClaim(t *testing.T) {
	l := newLeadership()
	l.RecordClaimSent(0)
	l.RecordClaimAnswer(time.Second, kv.OK, 9)
	for _, c := range []struct {
		at       Time
		revision uint64
		want     bool
	}{
		{time.Second + unseenClaimTimeout - 1, 8, false},
		{time.Second + unseenClaimTimeout, 9, false},
		{time.Second + unseenClaimTimeout, 8, true},
		{time.Second + 2*unseenClaimTimeout, 8, false}, // abandoned only once
	} {
		if _, unseen := l.AbandonUnseenClaim(c.at, c.revision); unseen != c.want {
			t.Errorf("at %v, revision %d: unseen %v, want %v", c.at, c.revision, unseen, c.want)
		}
	}
}
