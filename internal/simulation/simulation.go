// Package simulation is a model of everything around the controllers: the state service,
// the cloud, the workers, the users and the network between them. It runs any number of
// controller cores in simulated time, drops, delays, duplicates and reorders what passes
// between them under a seed, and checks the rules of the protocol after every step. With
// Loopback the controllers are real processes instead. Only tests use this package.
package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"micaport/internal/core"
)

// Simulation runs controllers against models of what surrounds them. All of it runs on one
// goroutine, and a seed determines every random draw.
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
	leadership  *leadershipWatch
	meter       meter

	logf    func(format string, args ...any) // takes the controllers' log lines
	observe effectObserver
}

// effectObserver is given the effects of one step of a controller; nil observes nothing.
type effectObserver func(now time.Duration, controller string, effects []core.Effect)

// New makes a simulation whose controllers start at once. Logf takes their log lines.
func New(settings Settings, logf func(format string, args ...any)) *Simulation {
	sim := newSimulation(settings, logf)
	sim.start()
	return sim
}

// newSimulation makes a simulation in which nothing runs yet.
func newSimulation(settings Settings, logf func(format string, args ...any)) *Simulation {
	sim := &Simulation{Settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, mainStream)), logf: logf}
	sim.network = &network{sim: sim, cuts: map[string]int{}, held: map[string]bool{}}
	sim.replays = &heartbeatReplays{sim: sim}
	sim.fleet = &workerFleet{sim: sim, workers: map[string]*simWorker{}}
	sim.users = &userSet{sim: sim, byJob: map[string]*simUser{}, completedTasks: map[string]bool{}}
	sim.rules = &ruleChecker{sim: sim, starts: map[string]int{}, attemptMachines: map[string]string{}}
	sim.store = newStateService(sim)
	sim.quota = newQuotaAccounting(sim)
	sim.cloud = newCloud(sim)
	sim.leadership = newLeadershipWatch(sim)
	for i, zone := range settings.ControllerZones {
		sim.controllers = append(sim.controllers, &controller{
			sim: sim, index: i, label: fmt.Sprintf("n%d", i), zone: zone, oldVersion: settings.OldFormat > 0,
			clockRate: 1 + maxClockDrift*float64(i)/float64(len(settings.ControllerZones)),
		})
	}
	return sim
}

// Streams of the random numbers of a seed. Heartbeats of leaders have one of their own, so
// that all other draws are the same with and without them.
const (
	mainStream      = 7
	heartbeatStream = 11
)

// maxClockDrift is how much faster or slower than the simulation's clock others run.
const maxClockDrift = 0.0005

// start starts the controllers and the checks.
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

// must panics on an error that can't happen unless the simulation itself is wrong.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// sortedKeys returns the keys of a map in order, since the order of a range over a map
// would make runs of the same seed differ.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
