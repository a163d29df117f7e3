package failover

import (
	"testing"
	"time"
)

const leaseTTL = 5 * time.Second

var members = []string{"a", "b", "c", "d", "e"}

// lastHeartbeat is the time of the last heartbeat of the leader of newFollower.
const lastHeartbeat = time.Minute

// newFollower returns the follower of a controller at a site with five controllers. The fenced
// leader "a" has led since 0 under term 7, and its heartbeats name "b" as the standby.
func newFollower(self string) *Follower {
	f := NewFollower(Config{Self: self, Members: members, Early: true, LeaseTTL: leaseTTL})
	f.SetClaim(0, Claim{Controller: "a", Incarnation: "a1", Term: 7, Fenced: true})
	for at := time.Duration(0); at <= lastHeartbeat; at += HeartbeatInterval {
		f.ReceiveHeartbeat(at, "a", "a1", 7, "b")
	}
	return f
}

// suspect delivers reports of peers that suspect the leader of a term.
func suspect(f *Follower, now time.Duration, term uint64, peers ...string) {
	for _, peer := range peers {
		f.ReceiveSuspicionReport(now, peer, SuspicionReport{Term: term, Suspected: true})
	}
}

// Heartbeats of another term, incarnation or controller are ignored.
func TestOutdatedHeartbeatsAreIgnored(t *testing.T) {
	f := newFollower("b")
	now := lastHeartbeat + 2*time.Second
	f.ReceiveHeartbeat(now, "a", "a1", 6, "c")
	f.ReceiveHeartbeat(now, "a", "a0", 7, "c")
	f.ReceiveHeartbeat(now, "c", "a1", 7, "c")
	if f.Silence(now) != 2*time.Second || f.Standby() != "b" {
		t.Errorf("silence %v, standby %q, want 2s and b", f.Silence(now), f.Standby())
	}
}

// A leader is replaced early only if a quorum of all controllers suspects it. Expired reports and
// those about another term are ignored.
func TestAdviceNeedsQuorum(t *testing.T) {
	now := lastHeartbeat + 2*time.Second
	doesNotSuspect := func(f *Follower, peer string) { f.ReceiveSuspicionReport(now, peer, SuspicionReport{Term: 7}) }
	for _, c := range []struct {
		name    string
		reports func(*Follower)
		want    Advice
	}{
		{"no reports", func(*Follower) {}, Prepare},
		{"one of two peers suspects", func(f *Follower) { suspect(f, now, 7, "c"); doesNotSuspect(f, "d") }, Prepare},
		{"two peers suspect", func(f *Follower) { suspect(f, now, 7, "c", "d") }, Replace},
		{"two peers suspect, one does not", func(f *Follower) { suspect(f, now, 7, "c", "d"); doesNotSuspect(f, "e") }, Replace},
		{"the reports have expired", func(f *Follower) { suspect(f, now-suspicionReportLifetime-1, 7, "c", "d") }, Prepare},
		{"the reports are about another term", func(f *Follower) { suspect(f, now, 6, "c", "d") }, Prepare},
		{"a suspecting peer has disconnected", func(f *Follower) { suspect(f, now, 7, "c", "d"); f.MarkDisconnected(now, "c") }, Prepare},
		{"the leader suspects itself", func(f *Follower) { suspect(f, now, 7, "a", "c") }, Prepare},
		{"this process has stalled", func(f *Follower) { f.ResetAfterStall(now); suspect(f, now, 7, "c", "d") }, Follow},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFollower("b")
			c.reports(f)
			if got := f.Advise(now); got != c.want {
				t.Errorf("advice %v, want %v", got, c.want)
			}
		})
	}
}

// A leader is not replaced early if its claim is not fenced, nor by a controller whose early
// takeovers are disabled.
func TestOnlyFencedLeadersAreReplaced(t *testing.T) {
	now := lastHeartbeat + 2*time.Second
	t.Run("early takeovers are disabled", func(t *testing.T) {
		f := newFollower("b")
		f.config.Early = false
		suspect(f, now, 7, "c", "d")
		if got := f.Advise(now); got != Prepare && got != Follow {
			t.Errorf("advice %v, want %v or %v", got, Prepare, Follow)
		}
	})
	t.Run("the claim is not fenced", func(t *testing.T) {
		f := newFollower("b")
		f.SetClaim(lastHeartbeat, Claim{Controller: "a", Incarnation: "a1", Term: 8})
		suspect(f, now, 8, "c", "d")
		if got := f.Advise(now); got != Follow {
			t.Errorf("advice %v, want %v", got, Follow)
		}
	})
}
