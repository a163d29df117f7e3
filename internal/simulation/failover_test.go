package simulation

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"micaport/internal/wire"
)

// earlyTakeoverSimulation returns a simulation of five controllers with early takeovers, a
// service and a steady load of jobs.
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

// TestThawAtEachStage resumes a frozen leader before it is suspected, between the stages of
// the takeover (see wire.Takeover.StagesMS), and after the takeover. No rule may be violated,
// and the leader must be replaced unless it resumed before it was suspected.
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
				// The last heartbeat may be half a second old when the leader freezes, and the
				// quorum must agree on the suspicion. Between 1.2 s and 2.4 s both results are valid.
				if early := sim.leadership.countEarlyTakeovers(); ms <= 1200 && early > 0 || ms >= 2400 && early != 1 {
					t.Errorf("seed %d: got %d takeovers of a leader frozen for %d ms", seed, early, ms)
				}
			}
		})
	}
}

// TestTwoClaimsAtOnce makes two candidates claim the leadership after the leader has crashed.
// The second does not see the claim of the first because its watch hangs. Its own claim must
// fail, and the first must stay the leader.
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
		if sim.leadership.failedClaims == 0 || sim.leadership.countEarlyTakeovers() != 1 || len(sim.rules.violations) > 0 {
			t.Errorf("seed %d: got %d failed claims, %d takeovers and violations %v, want 1 at least, 1 and none", seed, sim.leadership.failedClaims, sim.leadership.countEarlyTakeovers(), sim.rules.violations)
		}
		if holder := sim.store.leader(); holder == nil || holder.Controller != first.label {
			t.Errorf("seed %d: %+v leads, want %s", seed, holder, first.label)
		}
	}
}

// decisionFacts returns the facts of a leader's decision log, by kind and name, with their
// times converted to the simulation's clock.
func decisionFacts(ctrl *controller) map[string]wire.Fact {
	facts := map[string]wire.Fact{}
	for _, f := range ctrl.core.DecisionLogFacts() {
		if f.At != 0 {
			f.At = int64(float64(f.At)/ctrl.clockRate) + ctrl.startedAt.Milliseconds()
		}
		facts[fmt.Sprintf("%d %s", f.Kind, f.Name)] = f
	}
	return facts
}

// hasEnded reports whether a job has a record in which it is no longer live.
func (s *stateService) hasEnded(jobID string) bool {
	key := wire.JobKey(jobID)
	record := s.records[key]
	return record != nil && mustDecodeRecord(key, record.raw).(*wire.Job).State != wire.JobLive
}

// fullCapacitySimulation returns a simulation in which two large gangs wait while smaller jobs
// occupy every machine and no more machines can be provisioned.
func fullCapacitySimulation(seed uint64) *Simulation {
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

// runUntilDecisionsSettle runs until the leader has reserved machines for a gang and its
// decisions have not changed for 300 ms, so that its standby must have received all of them.
func runUntilDecisionsSettle(sim *Simulation) (leader *controller, facts map[string]wire.Fact) {
	const quiet = 300 * time.Millisecond
	since := sim.now
	for sim.now < 140*time.Second {
		sim.Run(sim.now + 10*time.Millisecond)
		leader = sim.controllerNamed("leader")
		current, reserved := decisionFacts(leader), false
		for _, f := range current {
			reserved = reserved || f.Kind == wire.FactReserved
		}
		if !maps.Equal(current, facts) {
			facts, since = current, sim.now
		}
		if reserved && sim.now-since >= quiet {
			break
		}
	}
	return leader, facts
}

// TestTakeoverContinuesFromTheLog checks that a new leader continues with the facts that are
// only in the decision log of its predecessor: estimates of boot times, pools without
// capacity, and machines reserved for the gang that has waited longest. This gang keeps its
// position in the queue and starts before the other.
func TestTakeoverContinuesFromTheLog(t *testing.T) {
	compared := map[wire.FactKind]int{}
	for seed := range uint64(4) {
		sim := fullCapacitySimulation(seed + 1)
		sim.Run(104 * time.Second)
		old, before := runUntilDecisionsSettle(sim)
		old.crash(8 * time.Second)
		for sim.leadership.countEarlyTakeovers() == 0 && sim.now < 150*time.Second {
			sim.Run(sim.now + 10*time.Millisecond)
		}
		sim.Run(sim.now + 60*time.Millisecond) // the new leader has seen its claim in its watch, and has made no scheduling pass yet
		first := ""
		after := decisionFacts(sim.controllerNamed("leader"))
		for key, f := range before {
			got, found := after[key]
			if !found && (f.Kind == wire.FactBackoff || f.Kind == wire.FactPreemptionBackoff) && f.At < sim.now.Milliseconds() {
				continue // has expired
			}
			if !found && sim.store.hasEnded(f.Name) {
				continue // the job has ended meanwhile
			}
			if f.Kind == wire.FactReserved {
				first = f.JobID
			}
			// The times may differ by up to 50 ms; everything else must be equal.
			if difference := got.At - f.At; !found || difference < -50 || difference > 50 {
				t.Errorf("seed %d: fact %+v became %+v", seed, f, got)
			}
			if got.At = f.At; found && got != f {
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
