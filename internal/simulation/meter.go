package simulation

import "time"

// meter counts what a period costs, so that a script can bound it.
type meter struct {
	since          time.Duration // when the period began
	heartbeats     int           // of workers
	gossipBytes    int           // between controllers
	refusedCommits int           // by the write limit
	coreWork       uint64        // of all controllers when the period began
}

// coreWork returns how many machines the cores of all controllers have looked at so far.
func (s *Simulation) coreWork() uint64 {
	sum := uint64(0)
	for _, ctrl := range s.controllers {
		sum += ctrl.core.ExaminedMachines()
	}
	return sum
}
