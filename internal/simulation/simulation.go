// Package simulation models the environment of the controllers: the state service, the
// cloud, the workers, the users and the network between them. It runs any number of
// controller cores in simulated time; loses, delays, duplicates and reorders messages
// according to a seed; and checks the rules of the protocol while they run. With Loopback
// the controllers are real processes instead. Only tests use this package.
package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"micaport/internal/core"
)

// Simulation runs controllers against models of their environment. All of it runs on one
// goroutine, and the seed determines every random draw.
type Simulation struct {
	Settings
	eventLoop
	rng *rand.Rand

	controllers []*controller
	network     *network
	replays     *heartbeatReplays
	store       *stateService
	cloud       *cloud
	fleet       *workerFleet
	users       *userSet
	rules       *ruleChecker
	quota       *quotaAccounting
	leadership  *leadershipMonitor
	meter       meter

	logf    func(format string, args ...any) // receives the log lines of the controllers
	observe effectObserver
}

// effectObserver receives the effects of each step of a controller. It may be nil.
type effectObserver func(now time.Duration, controller string, effects []core.Effect)

// New returns a simulation whose controllers have been started. Logf receives their log
// lines.
func New(settings Settings, logf func(format string, args ...any)) *Simulation {
	sim := newSimulation(settings, logf)
	sim.start()
	return sim
}

// newSimulation returns a simulation whose controllers have not been started.
func newSimulation(settings Settings, logf func(format string, args ...any)) *Simulation {
	sim := &Simulation{Settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, mainStream)), logf: logf}
	sim.network = &network{sim: sim, cuts: map[string]int{}, held: map[string]bool{}}
	sim.replays = &heartbeatReplays{sim: sim}
	sim.fleet = &workerFleet{sim: sim, workers: map[string]*simWorker{}}
	sim.users = &userSet{sim: sim, byJob: map[string]*simUser{}, completedTasks: map[string]bool{}}
	sim.rules = &ruleChecker{sim: sim, startsByJob: map[string]int{}, attemptStarts: map[string]attemptStart{}}
	sim.store = newStateService(sim)
	sim.quota = newQuotaAccounting(sim)
	sim.cloud = newCloud(sim)
	sim.leadership = newLeadershipMonitor(sim)
	for i, zone := range settings.ControllerZones {
		sim.controllers = append(sim.controllers, &controller{
			sim: sim, index: i, label: fmt.Sprintf("n%d", i), zone: zone, oldVersion: settings.OldFormat > 0,
			clockRate: 1 + maxClockDrift*float64(i)/float64(len(settings.ControllerZones)),
		})
	}
	return sim
}

// Streams of random numbers that are derived from a seed. Heartbeats of leaders use a
// separate stream, so that all other draws are the same with and without them.
const (
	mainStream      = 7
	heartbeatStream = 11
)

// maxClockDrift is the largest relative difference between the rate of a controller's or
// worker's clock and that of the simulation.
const maxClockDrift = 0.0005

// start starts the controllers and the periodic check of the rules.
func (s *Simulation) start() {
	for _, ctrl := range s.controllers {
		ctrl.start()
	}
	s.every(ruleCheckInterval, s.rules.check)
}

// Run runs the simulation until the given time, or until a rule is violated.
func (s *Simulation) Run(until time.Duration) {
	s.runUntil(until, func() bool { return len(s.rules.violations) > 0 })
}

// must panics on an error that only a bug in the simulation itself can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// sortedKeys returns the sorted keys of a map. Ranging over the map itself would make runs
// with the same seed differ.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
