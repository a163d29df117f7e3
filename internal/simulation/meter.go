package simulation

import "time"

// meter counts the costs of a period, so that a script can check them against bounds.
type meter struct {
	since          time.Duration // start of the period
	heartbeats     int           // sent by workers
	gossipBytes    int           // sent between controllers
	refusedCommits int           // refused because of the write limit
	coreWork       uint64        // result of Simulation.coreWork at the start of the period
}

// coreWork returns the number of machines that the cores of all controllers have examined
// since they were started.
func (s *Simulation) coreWork() uint64 {
	sum := uint64(0)
	for _, ctrl := range s.controllers {
		sum += ctrl.core.ExaminedMachines()
	}
	return sum
}
