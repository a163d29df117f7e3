package core

import (
	"micaport/internal/ownership"
	"micaport/internal/replica"
)

// site is the state of a controller that does not depend on its role: the settings, the time, the
// replica of the records, and the machine types, shards and machines. Its methods emit no effects
// and do not use the state of any role.
type site struct {
	cfg Config
	now Time // time of the current step

	topology
	replica   *replica.Replica
	jobs      []*job // by index of their id, as in the replica
	ownership *ownership.Table
}
