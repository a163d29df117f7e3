package quota

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const modelSteps = 120

// Whatever is admitted, granted, removed, distributed or revoked, changed by operators, lost,
// late or restarted, and in whatever order, no revision charges the team more than its limit.
func TestNoInterleavingExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(noGuard, func(name string, below int) int { return rapid.IntRange(0, below-1).Draw(t, name) })
		if fault := m.run(modelSteps); fault != "" {
			t.Fatal(fault)
		}
	})
}

// Each guard is needed: without it some interleaving exceeds the limit.
func TestEachGuardIsNeeded(t *testing.T) {
	const seeds = 20_000
	// firstFault returns the first fault of the seeds, "" if there is none.
	firstFault := func(missing guard) (seed uint64, fault string) {
		for seed := range uint64(seeds) {
			rng := rand.New(rand.NewPCG(seed, 1))
			m := newModel(missing, func(_ string, below int) int { return rng.IntN(below) })
			if fault := m.run(modelSteps); fault != "" {
				return seed, fault
			}
		}
		return 0, ""
	}
	if seed, fault := firstFault(noGuard); fault != "" {
		t.Fatalf("seed %d, no guard is missing: %s", seed, fault)
	}
	for missing := noGuard + 1; missing <= oneAtATime; missing++ {
		t.Run(missing.String(), func(t *testing.T) {
			if _, fault := firstFault(missing); fault == "" {
				t.Errorf("without the guard the limit is kept in all of %d seeds", seeds)
			}
		})
	}
}
