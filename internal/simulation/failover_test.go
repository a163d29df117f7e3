package simulation

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"micaport/internal/wire"
)

// earlyTakeoverSimulation is a simulated site of five controllers with early takeovers and work.
func earlyTakeoverSimulation(seed uint64) *Simulation {
	s := Defaults()
	s.Seed, s.ControllerZones, s.EarlyTakeover, s.Capacity, s.IdleTimeout = seed, []string{"a", "b", "a", "b", "a"}, true, 20, 400*time.Second
	sim := New(s, func(string, ...any) {})
	must(sim.users.submitLine([]string{"wk-000001", "shape=daemon", "frames=6", "ordinary", "team=wide"}))
	count := 0
	sim.every(400*time.Millisecond, func() {
		if sim.now < 70*time.Second {
			must(sim.users.submitLine([]string{fmt.Sprintf("wk-%06d", 100+count), "frames=2", "run=6", "team=huge"}))
			count++
		}
	})
	return sim
}

// A leader that stands still wakes at each stage of the takeover: before it is suspected,
// between suspicion, claim, the watch, the proof and the first decision, and after. No rule
// is broken, and it is replaced unless it woke before it was suspected.
func TestWakingAtEachStage(t *testing.T) {
	for ms := 1000; ms <= 4000; ms += 100 {
		t.Run(fmt.Sprintf("%dms", ms), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				sim := earlyTakeoverSimulation(seed + 1)
				sim.Run(40 * time.Second)
				sim.freeze(sim.controllerIndex("leader"), time.Duration(ms)*time.Millisecond)
				sim.Run(110 * time.Second)
				if len(sim.rules.violations) > 0 {
					t.Errorf("seed %d: %v", seed, sim.rules.violations)
				}
				// A heartbeat was sent up to half a second before, and the quorum has to agree.
				if early := sim.leadership.countEarly(); ms <= 1200 && early > 0 || ms >= 2400 && early != 1 {
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
		sim := earlyTakeoverSimulation(seed + 1)
		sim.Run(40 * time.Second)
		leader, first := sim.controllerIndex("leader"), sim.controllerIndex("standby")
		sim.crash(leader, 5*time.Second)
		for ix := range sim.controllers {
			if ix != leader && ix != first {
				sim.store.hangWatch(ix, 4*time.Second)
			}
		}
		sim.Run(110 * time.Second)
		if sim.leadership.failedClaims == 0 || sim.leadership.countEarly() != 1 || len(sim.rules.violations) > 0 {
			t.Errorf("seed %d: %d claims lost, %d takeovers, %v", seed, sim.leadership.failedClaims, sim.leadership.countEarly(), sim.rules.violations)
		}
		if holder := sim.store.leader(); holder == nil || holder.Controller != sim.controllers[first].label {
			t.Errorf("seed %d: %+v leads, not %s", seed, holder, sim.controllers[first].label)
		}
	}
}

// decisionsOf lists what a leader alone knows, with times of the world's clock.
func decisionsOf(ctrl *controller) map[string]wire.Fact {
	facts := map[string]wire.Fact{}
	for _, f := range ctrl.core.Decisions() {
		if f.At != 0 {
			f.At = int64(float64(f.At)/ctrl.clockRate) + ctrl.startedAt.Milliseconds()
		}
		facts[fmt.Sprintf("%d %s", f.Kind, f.Name)] = f
	}
	return facts
}

// crowdedSimulation has two large gangs that wait while smaller work fills every machine, and no
// more machines are to be had.
func crowdedSimulation(seed uint64) *Simulation {
	s := Defaults()
	s.Seed, s.ControllerZones, s.EarlyTakeover, s.Capacity, s.Zones = seed, []string{"a", "a", "a", "a", "a"}, true, 6, []string{"a"}
	sim := New(s, func(string, ...any) {})
	for _, line := range []string{
		"bulk 290 0 frames=1 run=5 ordinary team=wide class=small",
		"bulk 290 0 frames=1 run=8 ordinary team=huge class=urgent urgency=high",
	} {
		words := strings.Fields(line)
		must(sim.runCommand(words[0], words[1:]))
	}
	sim.after(30*time.Second, func() {
		must(sim.users.submitLine(strings.Fields("wk-000001 shape=gang frames=5 cards=2 cores=14 ordinary run=30 class=large one_zone")))
	})
	sim.after(31*time.Second, func() {
		must(sim.users.submitLine(strings.Fields("wk-000002 shape=gang frames=5 cards=2 cores=14 ordinary run=30 class=large one_zone team=wide")))
	})
	return sim
}

// runUntilDecisionsSettle runs until the leader keeps machines for a gang and has decided nothing
// new for a while, so that its standby must have heard all of it.
func runUntilDecisionsSettle(sim *Simulation) (leader *controller, facts map[string]wire.Fact) {
	const quiet = 300 * time.Millisecond
	since := sim.now
	for sim.now < 140*time.Second {
		sim.Run(sim.now + 10*time.Millisecond)
		leader = sim.controllers[sim.controllerIndex("leader")]
		now, kept := decisionsOf(leader), false
		for _, f := range now {
			kept = kept || f.Kind == wire.FactReserved
		}
		if !maps.Equal(now, facts) {
			facts, since = now, sim.now
		}
		if kept && sim.now-since >= quiet {
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
		sim := crowdedSimulation(seed + 1)
		sim.Run(104 * time.Second)
		old, before := runUntilDecisionsSettle(sim)
		sim.crash(old.index, 8*time.Second)
		for sim.leadership.countEarly() == 0 && sim.now < 150*time.Second {
			sim.Run(sim.now + 10*time.Millisecond)
		}
		sim.Run(sim.now + 60*time.Millisecond) // its watch shows its claim; it has made no pass
		first := ""
		after := decisionsOf(sim.controllers[sim.controllerIndex("leader")])
		for key, f := range before {
			got, known := after[key]
			if !known && (f.Kind == wire.FactBackoff || f.Kind == wire.FactPreemptedAt) && f.At < sim.now.Milliseconds() {
				continue // over by now
			}
			if record := sim.store.records[wire.JobKey(f.Name)]; !known && record != nil && mustDecodeRecord(wire.JobKey(f.Name), record.raw).(*wire.Job).State != wire.JobLive {
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
		sim.Run(300 * time.Second)
		second := map[string]string{"wk-000001": "wk-000002", "wk-000002": "wk-000001"}[first]
		begun, later := sim.users.byJob[first].startedAt, sim.users.byJob[second].startedAt
		if begun == 0 || begun > 270*time.Second || later > 0 && later < begun || len(sim.rules.violations) > 0 {
			t.Errorf("seed %d: the gangs began at %v and %v; %v", seed, begun, later, sim.rules.violations)
		}
	}
	t.Log("facts compared by kind:", compared)
	for _, kind := range []wire.FactKind{wire.FactBootTime, wire.FactWaitingSince, wire.FactReserved, wire.FactBackoff} {
		if compared[kind] == 0 {
			t.Errorf("no fact of kind %d was compared", kind)
		}
	}
}
