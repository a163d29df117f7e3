package simulation

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"micaport/internal/wire"
)

// earlyTakeoverSimulation returns a simulation of five controllers with early takeovers and
// work.
func earlyTakeoverSimulation(seed uint64) *Simulation {
	settings := Defaults()
	settings.Seed, settings.ControllerZones, settings.EarlyTakeover = seed, loopbackZones, true
	settings.Capacity, settings.IdleTimeout = 20, 400*time.Second
	sim := New(settings, discardLog)
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

// TestThawAtEachStage: a frozen leader thaws at each stage of the takeover: before it is
// suspected, between suspicion, claim, the watch, the proof and the first decision, and
// after. No rule is violated, and it is replaced unless it thawed before it was suspected.
func TestThawAtEachStage(t *testing.T) {
	for ms := 1000; ms <= 4000; ms += 100 {
		t.Run(fmt.Sprintf("%dms", ms), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				sim := earlyTakeoverSimulation(seed + 1)
				sim.Run(40 * time.Second)
				sim.controllerNamed("leader").freeze(time.Duration(ms) * time.Millisecond)
				sim.Run(110 * time.Second)
				if len(sim.rules.violations) > 0 {
					t.Errorf("seed %d: %v", seed, sim.rules.violations)
				}
				// A heartbeat was sent up to half a second before, and the quorum has to agree.
				if early := sim.leadership.countEarly(); ms <= 1200 && early > 0 || ms >= 2400 && early != 1 {
					t.Errorf("seed %d: got %d takeovers of a leader frozen for %d ms", seed, early, ms)
				}
			}
		})
	}
}

// TestTwoClaimsAtOnce: two candidates claim the leadership of a leader that has crashed. The
// second does not see the first one's claim, as its watch hangs. Its own claim fails, and it
// follows the first.
func TestTwoClaimsAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		sim := earlyTakeoverSimulation(seed + 1)
		sim.Run(40 * time.Second)
		leader, first := sim.controllerNamed("leader"), sim.controllerNamed("standby")
		leader.crash(5 * time.Second)
		for _, ctrl := range sim.controllers {
			if ctrl != leader && ctrl != first {
				sim.store.hangWatch(ctrl, 4*time.Second)
			}
		}
		sim.Run(110 * time.Second)
		if sim.leadership.failedClaims == 0 || sim.leadership.countEarly() != 1 || len(sim.rules.violations) > 0 {
			t.Errorf("seed %d: got %d failed claims, %d takeovers and violations %v, want 1 at least, 1 and none", seed, sim.leadership.failedClaims, sim.leadership.countEarly(), sim.rules.violations)
		}
		if holder := sim.store.leader(); holder == nil || holder.Controller != first.label {
			t.Errorf("seed %d: %+v leads, want %s", seed, holder, first.label)
		}
	}
}

// decisionsOf returns what only a leader knows, by kind and name, with times of the
// simulation's clock.
func decisionsOf(ctrl *controller) map[string]wire.Fact {
	facts := map[string]wire.Fact{}
	for _, f := range ctrl.core.DecisionLogFacts() {
		if f.At != 0 {
			f.At = int64(float64(f.At)/ctrl.clockRate) + ctrl.startedAt.Milliseconds()
		}
		facts[fmt.Sprintf("%d %s", f.Kind, f.Name)] = f
	}
	return facts
}

// hasEnded reports whether a job has a record that says that it is over.
func (s *stateService) hasEnded(jobID string) bool {
	key := wire.JobKey(jobID)
	record := s.records[key]
	return record != nil && mustDecodeRecord(key, record.raw).(*wire.Job).State != wire.JobLive
}

// crowdedSimulation returns a simulation with two large gangs that wait while smaller work
// fills every machine, and no more machines can be provisioned.
func crowdedSimulation(seed uint64) *Simulation {
	settings := Defaults()
	settings.Seed, settings.EarlyTakeover, settings.Capacity = seed, true, 6
	settings.ControllerZones, settings.Zones = []string{"a", "a", "a", "a", "a"}, []string{"a"}
	sim := New(settings, discardLog)
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

// runUntilDecisionsSettle runs until the leader has reserved machines for a gang and has
// decided nothing new for a while, so that its standby must have received all of it.
func runUntilDecisionsSettle(sim *Simulation) (leader *controller, facts map[string]wire.Fact) {
	const quiet = 300 * time.Millisecond
	since := sim.now
	for sim.now < 140*time.Second {
		sim.Run(sim.now + 10*time.Millisecond)
		leader = sim.controllerNamed("leader")
		now, reserved := decisionsOf(leader), false
		for _, f := range now {
			reserved = reserved || f.Kind == wire.FactReserved
		}
		if !maps.Equal(now, facts) {
			facts, since = now, sim.now
		}
		if reserved && sim.now-since >= quiet {
			break
		}
	}
	return leader, facts
}

// TestTakeoverContinuesFromTheLog: the next leader continues from what only the last one
// knew: estimates of boot times, pools without machines, machines reserved for the gang that
// has waited longest. That gang keeps its place: it starts before the other.
func TestTakeoverContinuesFromTheLog(t *testing.T) {
	compared := map[wire.FactKind]int{}
	for seed := range uint64(4) {
		sim := crowdedSimulation(seed + 1)
		sim.Run(104 * time.Second)
		old, before := runUntilDecisionsSettle(sim)
		old.crash(8 * time.Second)
		for sim.leadership.countEarly() == 0 && sim.now < 150*time.Second {
			sim.Run(sim.now + 10*time.Millisecond)
		}
		sim.Run(sim.now + 60*time.Millisecond) // its watch shows its claim; it has made no pass
		first := ""
		after := decisionsOf(sim.controllerNamed("leader"))
		for key, f := range before {
			got, known := after[key]
			if !known && (f.Kind == wire.FactBackoff || f.Kind == wire.FactPreemptedAt) && f.At < sim.now.Milliseconds() {
				continue // over by now
			}
			if !known && sim.store.hasEnded(f.Name) {
				continue // the job has ended meanwhile
			}
			if f.Kind == wire.FactReserved {
				first = f.JobID
			}
			if off := got.At - f.At; !known || off < -50 || off > 50 {
				t.Errorf("seed %d: fact %+v became %+v", seed, f, got)
			}
			if got.At = f.At; known && got != f {
				t.Errorf("seed %d: fact %+v became %+v", seed, f, got)
			}
			compared[f.Kind]++
		}
		sim.Run(300 * time.Second)
		second := map[string]string{"wk-000001": "wk-000002", "wk-000002": "wk-000001"}[first]
		startedAt, secondStartedAt := sim.users.byJob[first].startedAt, sim.users.byJob[second].startedAt
		if startedAt == 0 || startedAt > 270*time.Second || secondStartedAt > 0 && secondStartedAt < startedAt || len(sim.rules.violations) > 0 {
			t.Errorf("seed %d: the gangs started at %v and %v; violations %v", seed, startedAt, secondStartedAt, sim.rules.violations)
		}
	}
	t.Log("facts compared by kind:", compared)
	for _, kind := range []wire.FactKind{wire.FactBootTime, wire.FactWaitingSince, wire.FactReserved, wire.FactBackoff} {
		if compared[kind] == 0 {
			t.Errorf("no fact of kind %d was compared", kind)
		}
	}
}
