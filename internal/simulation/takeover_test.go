package simulation

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"micaport/internal/wire"
)

// earlySite is a simulated site of five controllers with early takeovers and work.
func earlySite(seed uint64) *World {
	s := Defaults()
	s.Seed, s.Nodes, s.EarlyTakeover, s.Capacity, s.Idle = seed, []string{"a", "b", "a", "b", "a"}, true, 20, 400*time.Second
	w := New(s, func(string, ...any) {})
	must(w.submitLine([]string{"wk-000001", "shape=daemon", "frames=6", "ordinary", "team=wide"}))
	count := 0
	w.every(400*time.Millisecond, func() {
		if w.now < 70*time.Second {
			must(w.submitLine([]string{fmt.Sprintf("wk-%06d", 100+count), "frames=2", "run=6", "team=huge"}))
			count++
		}
	})
	return w
}

// A leader that stands still wakes at each stage of the takeover: before it is suspected,
// between suspicion, claim, the watch, the proof and the first decision, and after. No rule
// is broken, and it is replaced unless it woke before it was suspected.
func TestWakingAtEachStage(t *testing.T) {
	for ms := 1000; ms <= 4000; ms += 100 {
		t.Run(fmt.Sprintf("%dms", ms), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				w := earlySite(seed + 1)
				w.Run(40 * time.Second)
				w.Freeze(w.controller("leader"), time.Duration(ms)*time.Millisecond)
				w.Run(110 * time.Second)
				if len(w.Broken) > 0 {
					t.Errorf("seed %d: %v", seed, w.Broken)
				}
				// A heartbeat was sent up to half a second before, and the quorum has to agree.
				if early := w.takeovers.early(); ms <= 1200 && early > 0 || ms >= 2400 && early != 1 {
					t.Errorf("seed %d: %d takeovers", seed, early)
				}
			}
		})
	}
}

// Two candidates claim the leadership of one that has ended: the second does not see the
// first one's claim, as its watch hangs. Its own fails, and it follows the first.
func TestTwoClaimsAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		w := earlySite(seed + 1)
		w.Run(40 * time.Second)
		leader, first := w.controller("leader"), w.controller("standby")
		w.Crash(leader, 5*time.Second)
		for ix := range w.nodes {
			if ix != leader && ix != first {
				w.HangWatch(ix, 4*time.Second)
			}
		}
		w.Run(110 * time.Second)
		if w.takeovers.lostClaims == 0 || w.takeovers.early() != 1 || len(w.Broken) > 0 {
			t.Errorf("seed %d: %d claims lost, %d takeovers, %v", seed, w.takeovers.lostClaims, w.takeovers.early(), w.Broken)
		}
		if holder := w.holder(); holder == nil || holder.Controller != w.nodes[first].label {
			t.Errorf("seed %d: %+v leads, not %s", seed, holder, w.nodes[first].label)
		}
	}
}

// decisionsOf lists what a leader alone knows, with times of the world's clock.
func decisionsOf(n *node) map[string]wire.Fact {
	facts := map[string]wire.Fact{}
	for _, f := range n.core.Decisions() {
		if f.At != 0 {
			f.At = int64(float64(f.At)/n.drift) + n.boot.Milliseconds()
		}
		facts[fmt.Sprintf("%d %s", f.Kind, f.Name)] = f
	}
	return facts
}

// crowdedSite has two large gangs that wait while smaller work fills every machine, and no
// more machines are to be had.
func crowdedSite(seed uint64) *World {
	s := Defaults()
	s.Seed, s.Nodes, s.EarlyTakeover, s.Capacity, s.Zones = seed, []string{"a", "a", "a", "a", "a"}, true, 6, []string{"a"}
	w := New(s, func(string, ...any) {})
	for _, line := range []string{
		"bulk 290 0 frames=1 run=5 ordinary team=wide class=small",
		"bulk 290 0 frames=1 run=8 ordinary team=huge class=urgent urgency=high",
	} {
		words := strings.Fields(line)
		must(w.command(words[0], words[1:]))
	}
	w.after(30*time.Second, func() {
		must(w.submitLine(strings.Fields("wk-000001 shape=gang frames=5 cards=2 cores=14 ordinary run=30 class=large one_zone")))
	})
	w.after(31*time.Second, func() {
		must(w.submitLine(strings.Fields("wk-000002 shape=gang frames=5 cards=2 cores=14 ordinary run=30 class=large one_zone team=wide")))
	})
	return w
}

// settledDecisions runs until the leader keeps machines for a gang and has decided nothing
// new for a while, so that its standby must have heard all of it.
func settledDecisions(w *World) (leader *node, facts map[string]wire.Fact) {
	const quiet = 300 * time.Millisecond
	since := w.now
	for w.now < 140*time.Second {
		w.Run(w.now + 10*time.Millisecond)
		leader = w.nodes[w.controller("leader")]
		now, kept := decisionsOf(leader), false
		for _, f := range now {
			kept = kept || f.Kind == wire.FactReserved
		}
		if !maps.Equal(now, facts) {
			facts, since = now, w.now
		}
		if kept && w.now-since >= quiet {
			break
		}
	}
	return leader, facts
}

// The next leader goes on from what only the last one knew: estimates of boots, pools
// without machines, machines kept for the gang that has waited longest. That gang keeps its
// place: it begins before the other.
func TestTakeoverGoesOnFromTheLog(t *testing.T) {
	compared := map[wire.FactKind]int{}
	for seed := range uint64(4) {
		w := crowdedSite(seed + 1)
		w.Run(104 * time.Second)
		old, before := settledDecisions(w)
		w.Crash(old.ix, 8*time.Second)
		for w.takeovers.early() == 0 && w.now < 150*time.Second {
			w.Run(w.now + 10*time.Millisecond)
		}
		w.Run(w.now + 60*time.Millisecond) // its watch shows its claim; it has made no pass
		first := ""
		after := decisionsOf(w.nodes[w.controller("leader")])
		for key, f := range before {
			got, known := after[key]
			if !known && (f.Kind == wire.FactBackoff || f.Kind == wire.FactPreemptedAt) && f.At < w.now.Milliseconds() {
				continue // over by now
			}
			if k := w.store.keys[wire.JobKey(f.Name)]; !known && k != nil && decode(wire.JobKey(f.Name), k.raw).(*wire.Job).State != wire.JobLive {
				continue // the job has ended meanwhile
			}
			if f.Kind == wire.FactReserved {
				first = f.JobID
			}
			if off := got.At - f.At; !known || off < -50 || off > 50 {
				t.Errorf("seed %d: %+v became %+v", seed, f, got)
			}
			if got.At = f.At; known && got != f {
				t.Errorf("seed %d: %+v became %+v", seed, f, got)
			}
			compared[f.Kind]++
		}
		w.Run(300 * time.Second)
		second := map[string]string{"wk-000001": "wk-000002", "wk-000002": "wk-000001"}[first]
		begun, later := w.users[first].begun, w.users[second].begun
		if begun == 0 || begun > 270*time.Second || later > 0 && later < begun || len(w.Broken) > 0 {
			t.Errorf("seed %d: the gangs began at %v and %v; %v", seed, begun, later, w.Broken)
		}
	}
	t.Log("facts compared by kind:", compared)
	for _, kind := range []wire.FactKind{wire.FactBootTime, wire.FactWaitingSince, wire.FactReserved, wire.FactBackoff} {
		if compared[kind] == 0 {
			t.Errorf("no fact of kind %d was compared", kind)
		}
	}
}
