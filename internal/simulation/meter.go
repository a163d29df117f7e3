package simulation

import (
	"time"
)

// meter counts what a day costs, so that a test can bound how the cost grows.
type meter struct {
	since                   time.Duration
	heartbeats, gossipBytes int
	refusedCommits          int
	coreWork                uint64 // of all controllers when it was set to zero
}

func (sim *Simulation) coreWork() uint64 {
	sum := uint64(0)
	for _, ctrl := range sim.controllers {
		sum += ctrl.core.Work()
	}
	return sum
}
