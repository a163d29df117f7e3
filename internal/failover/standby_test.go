package failover

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const leaseTTL = 5 * time.Second

var members = []string{"a", "b", "c", "d", "e"}

// follower is that of a controller in a site of five whose fenced leader "a" began a
// minute ago and has sent heartbeats since, the last one at a minute.
func follower(self string) *Follower {
	f := NewFollower(Config{Self: self, Members: members, Early: true, LeaseTTL: leaseTTL})
	f.Observe(0, Claim{Controller: "a", Incarnation: "a1", Term: 7, Fenced: true})
	for at := time.Duration(0); at <= time.Minute; at += HeartbeatInterval {
		f.Heartbeat(at, "a", "a1", 7, "b")
	}
	return f
}

// suspecting tells a follower of peers that suspect the leader.
func (f *Follower) suspecting(now time.Duration, peers ...string) {
	for _, p := range peers {
		f.ReceiveOpinion(now, p, Opinion{Term: 7, Suspected: true})
	}
}

// A pause of a second is no failure; three missed heartbeats are, and two where the
// connection has broken as well.
func TestDetector(t *testing.T) {
	for _, c := range []struct {
		silence time.Duration
		broken  bool
		want    bool
	}{
		{HeartbeatInterval + time.Second, false, false}, {SilenceTimeout, false, false}, {SilenceTimeout + 1, false, true},
		{DisconnectedTimeout, true, false}, {DisconnectedTimeout + 1, true, true},
	} {
		f := follower("b")
		if c.broken {
			f.Disconnected(time.Minute+1, "a")
		}
		if got := f.detector.Suspects(time.Minute + c.silence); got != c.want {
			t.Errorf("after %v, broken %v: suspected %v", c.silence, c.broken, got)
		}
	}
}

// A leader that was slow in the last minute is given twice as long, up to its lease.
func TestDetectorAdapts(t *testing.T) {
	d := Detector{bound: leaseTTL}
	d.Reset(0)
	for _, c := range []struct{ at, timeout time.Duration }{
		{500 * time.Millisecond, SilenceTimeout}, {2 * time.Second, 3 * time.Second}, {3 * time.Second, 3 * time.Second},
		{7 * time.Second, leaseTTL}, {8 * time.Second, leaseTTL}, {68 * time.Second, leaseTTL}, {129 * time.Second, leaseTTL},
	} {
		d.Heartbeat(c.at)
		if got := d.Timeout(c.at); got != c.timeout {
			t.Errorf("at %v: %v, not %v", c.at, got, c.timeout)
		}
	}
	if got := d.Timeout(200 * time.Second); got != SilenceTimeout {
		t.Errorf("an old gap is remembered: %v", got)
	}
}

// Heartbeats of another term or life are late ones, and don't count.
func TestLateHeartbeats(t *testing.T) {
	f := follower("b")
	now := time.Minute + 2*time.Second
	f.Heartbeat(now, "a", "a1", 6, "c")
	f.Heartbeat(now, "a", "a0", 7, "c")
	f.Heartbeat(now, "c", "a1", 7, "c")
	if f.Silence(now) != 2*time.Second || f.Standby() != "b" {
		t.Errorf("silence %v, standby %q", f.Silence(now), f.Standby())
	}
}

// A quorum of all controllers has to suspect the leader; what peers told long ago, or of
// another term, is no evidence.
func TestAdviceNeedsQuorum(t *testing.T) {
	now := time.Minute + 2*time.Second
	cases := []struct {
		name string
		tell func(*Follower)
		want Advice
	}{
		{"nobody told anything", func(*Follower) {}, Prepare},
		{"one of two peers suspects", func(f *Follower) { f.suspecting(now, "c"); f.ReceiveOpinion(now, "d", Opinion{Term: 7}) }, Prepare},
		{"two peers suspect", func(f *Follower) { f.suspecting(now, "c", "d") }, Replace},
		{"two suspect, one hears", func(f *Follower) { f.suspecting(now, "c", "d"); f.ReceiveOpinion(now, "e", Opinion{Term: 7}) }, Replace},
		{"what they told is old", func(f *Follower) { f.suspecting(now-opinionLifetime-1, "c", "d") }, Prepare},
		{"they told of another term", func(f *Follower) {
			f.ReceiveOpinion(now, "c", Opinion{Term: 6, Suspected: true})
			f.ReceiveOpinion(now, "d", Opinion{Term: 6, Suspected: true})
		}, Prepare},
		{"one of them has ended", func(f *Follower) { f.suspecting(now, "c", "d"); f.Disconnected(now, "c") }, Prepare},
		{"the leader suspects itself", func(f *Follower) { f.suspecting(now, "a", "c") }, Prepare},
		{"this process stood still", func(f *Follower) { f.Resumed(now); f.suspecting(now, "c", "d") }, Follow},
	}
	for _, c := range cases {
		f := follower("b")
		c.tell(f)
		if got := f.Advise(now); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A leader that is not fenced, and one of a controller that waits for leases, is left alone.
func TestOnlyFencedLeadersAreReplaced(t *testing.T) {
	now := time.Minute + 2*time.Second
	f := follower("b")
	f.cfg.Early = false
	f.suspecting(now, "c", "d")
	if got := f.Advise(now); got != Prepare && got != Follow {
		t.Errorf("switched off: %v", got)
	}
	f = follower("b")
	f.Observe(time.Minute, Claim{Controller: "a", Incarnation: "a1", Term: 8})
	f.ReceiveOpinion(now, "c", Opinion{Term: 8, Suspected: true})
	f.ReceiveOpinion(now, "d", Opinion{Term: 8, Suspected: true})
	if got := f.Advise(now); got != Follow {
		t.Errorf("not fenced: %v", got)
	}
}

// The designated standby goes first, the others follow one by one.
func TestTurns(t *testing.T) {
	now := time.Minute + 2*time.Second
	for i, self := range []string{"b", "c", "d", "e"} {
		f := follower(self)
		var others []string
		for _, m := range members {
			if m != "a" && m != self {
				others = append(others, m)
			}
		}
		f.suspecting(now, others...)
		f.Advise(now)
		turn := time.Duration(i) * candidateDelay
		if i > 0 && f.Advise(now+turn-1) != Prepare {
			t.Errorf("%s goes before its turn", self)
		}
		if f.Advise(now+turn) != Replace {
			t.Errorf("%s does not go after %v", self, turn)
		}
	}
}

// The pause before the next takeover doubles with each that soon follows another.
func TestPacing(t *testing.T) {
	f := follower("b")
	now := time.Minute
	for streak, pause := range []time.Duration{2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second, maxMinTenure, maxMinTenure} {
		f.Observe(now, Claim{Controller: "a", Incarnation: "a1", Term: uint64(10 + streak), Fenced: true, Streak: streak})
		if f.MinTenure() != pause || f.Streak(now+stableTenureFactor*pause-1) != streak+1 || f.Streak(now+stableTenureFactor*pause) != 1 {
			t.Errorf("streak %d: pause %v, next %d, after calm %d", streak, f.MinTenure(), f.Streak(now+stableTenureFactor*pause-1), f.Streak(now+stableTenureFactor*pause))
		}
		failed := now + pause/2
		for at := now; at <= failed; at += HeartbeatInterval {
			f.Heartbeat(at, "a", "a1", uint64(10+streak), "b")
		}
		for _, at := range []time.Duration{now + pause - 1, max(now+pause, failed+SilenceTimeout+HeartbeatInterval)} {
			f.ReceiveOpinion(at, "c", Opinion{Term: uint64(10 + streak), Suspected: true})
			f.ReceiveOpinion(at, "d", Opinion{Term: uint64(10 + streak), Suspected: true})
			if got := f.Advise(at); (got == Replace) != (at >= now+pause) {
				t.Errorf("streak %d, after %v: %v", streak, at-now, got)
			}
		}
		now += 10 * maxMinTenure
	}
}

func TestElect(t *testing.T) {
	fit := func(label string) Candidate { return Candidate{Name: label, StoreOK: true} }
	cases := []struct {
		present    string
		candidates []Candidate
		want       string
	}{
		{"", []Candidate{fit("c"), fit("b")}, "b"},
		{"c", []Candidate{fit("b"), fit("c")}, "c"},
		{"c", []Candidate{fit("b"), {Name: "c"}}, "b"},
		{"c", []Candidate{{Name: "b", StoreOK: true, CutOff: true}, {Name: "c", StoreOK: true, Silence: maxCandidateSilence}, fit("d")}, "d"},
		{"c", nil, ""},
	}
	for _, c := range cases {
		if got := Elect(c.present, c.candidates); got != c.want {
			t.Errorf("%v with %q: %q", c.candidates, c.present, got)
		}
	}
}

// The sum that the fence rests on.
func TestFenceInequality(t *testing.T) {
	if MaxLeaseAge+ProofValidity(leaseTTL)+CallTransit+drift(leaseTTL) > leaseTTL {
		t.Error("a replaced leader's last call may come after the lease of the next has ended")
	}
	if ProofValidity(leaseTTL) < 3*ProofInterval {
		t.Error("a leader loses its right with two lost proofs")
	}
}

// cloudCall is when a leader's call arrives, in true time.
type cloudCall struct {
	leader int
	at     time.Duration
}

// Leaders replace each other early, or by the end of a lease, with clocks that run apart,
// slow proofs, pauses and calls on their way: no call of one arrives after a later one's.
func TestFenceKeepsLeadersApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		between := func(name string, from, to time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(from), int64(to)).Draw(t, name))
		}
		var calls []cloudCall
		claimedAt := 10 * time.Second
		opens := time.Duration(0) // true time from which the present leader's right may begin
		for leader := range 4 {
			rate := 1 + float64(rapid.IntRange(-500, 500).Draw(t, "drift"))/1e6
			clock := func(at time.Duration) time.Duration { return time.Duration(float64(at) * rate) }
			seenAt := claimedAt + between("watch", 0, 2*time.Second)
			var fence Fence
			early := leader > 0 && opens > 0
			openClock := time.Duration(0)
			if early {
				openClock = clock(seenAt) + CloudFenceTime(leaseTTL)
			}
			fence.Begin(clock(seenAt), leaseTTL, openClock)
			replacedAt := claimedAt + between("leads", 0, 12*time.Second)
			byLease := rapid.Bool().Draw(t, "by lease")
			// It goes on for a while after it has been replaced, and its watch hangs.
			for at := seenAt; at < replacedAt+8*time.Second; at += between("step", 50*time.Millisecond, 700*time.Millisecond) {
				if fence.Due(clock(at)) {
					carriedOut := at + between("proof", time.Millisecond, 1500*time.Millisecond)
					if carriedOut < replacedAt {
						fence.AddProof(clock(at), 1)
						fence.Settle(1)
					}
				}
				if fence.RemainingCallTime(clock(at)) > 0 {
					calls = append(calls, cloudCall{leader, at + between("travel", 0, CallTransit)})
				}
			}
			if claimedAt = replacedAt; byLease {
				// Its key goes with its lease, renewed MaxLeaseAge before its claim at the
				// latest; it has ended, so nothing renews it.
				claimedAt = max(replacedAt, claimedAt) + leaseTTL - MaxLeaseAge
				opens = 0
			} else {
				opens = claimedAt
			}
		}
		last := map[int]time.Duration{}
		for _, c := range calls {
			last[c.leader] = max(last[c.leader], c.at)
		}
		for _, c := range calls {
			for earlier := range c.leader {
				if last[earlier] > c.at {
					t.Fatalf("leader %d calls at %v, leader %d at %v", c.leader, c.at, earlier, last[earlier])
				}
			}
		}
	})
}

// A proof counts once the copy has reached its revision, and not after a pause.
func TestProofsSettle(t *testing.T) {
	var f Fence
	f.Begin(time.Second, leaseTTL, 0)
	f.AddProof(time.Second, 9)
	f.Settle(8)
	if f.CaughtUp() || f.RemainingCallTime(time.Second) > 0 {
		t.Error("a proof counts before its revision is reached")
	}
	f.Settle(9)
	if right := f.RemainingCallTime(2 * time.Second); !f.CaughtUp() || right != ProofValidity(leaseTTL)-time.Second {
		t.Errorf("right for %v", right)
	}
	f.Resumed(3 * time.Second)
	if f.CaughtUp() || f.RemainingCallTime(3*time.Second) > 0 || !f.Due(3*time.Second) {
		t.Error("a proof outlives a pause")
	}
}

// The stages of a takeover count from the last sign of the replaced leader.
func TestTakeoverStages(t *testing.T) {
	var takeover Takeover
	if takeover.Reach(Seen, time.Second) {
		t.Error("a stage of no takeover is reached")
	}
	takeover.Begin(10*time.Second, "a", 9*time.Second, Evidence{Silence: 2 * time.Second})
	if !takeover.Reach(Seen, 11*time.Second) || takeover.Reach(Seen, 12*time.Second) || takeover.Reached(Decided) {
		t.Error("stages are not reached once")
	}
	if takeover.After(Suspected) != time.Second || takeover.After(Claimed) != 2*time.Second || takeover.After(Seen) != 3*time.Second {
		t.Errorf("after %v, %v, %v", takeover.After(Suspected), takeover.After(Claimed), takeover.After(Seen))
	}
}
