package core

import (
	"micaport/internal/ownership"
	"micaport/internal/replica"
)

// site is what a controller knows of its site, whatever its role: the settings, the time, the
// records, and machine types, shards and machines. Its methods emit no effects and touch
// nothing that a role remembers.
type site struct {
	cfg Config
	now Time // of the present step

	topology
	replica   *replica.Replica
	jobs      []*job // by index of their id, as in the replica
	ownership *ownership.Table
}
