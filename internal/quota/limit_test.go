package quota

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const modelSteps = 120

// TestNoInterleavingExceedsTheLimit checks that no revision charges the team more than its limit,
// in any order of admissions, grants, removals, distributions, limit changes, restarts and late
// or lost commits.
func TestNoInterleavingExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(noGuard, func(name string, below int) int { return rapid.IntRange(0, below-1).Draw(t, name) })
		if violation := m.run(modelSteps); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestEachGuardIsNeeded checks that the model detects each missing guard: without any one of them
// some interleaving exceeds the limit.
func TestEachGuardIsNeeded(t *testing.T) {
	const seeds = 20_000
	// firstViolation returns the first seed with a violation and its description, or "" if no seed
	// has one.
	firstViolation := func(missing guard) (seed uint64, violation string) {
		for seed := range uint64(seeds) {
			rng := rand.New(rand.NewPCG(seed, 1))
			m := newModel(missing, func(_ string, below int) int { return rng.IntN(below) })
			if violation := m.run(modelSteps); violation != "" {
				return seed, violation
			}
		}
		return 0, ""
	}
	if seed, violation := firstViolation(noGuard); violation != "" {
		t.Fatalf("seed %d violates the limit with all guards: %s", seed, violation)
	}
	for missing := noGuard + 1; missing <= oneCommitAtATime; missing++ {
		t.Run(missing.String(), func(t *testing.T) {
			if _, violation := firstViolation(missing); violation == "" {
				t.Errorf("no violation in %d seeds without the guard", seeds)
			}
		})
	}
}
