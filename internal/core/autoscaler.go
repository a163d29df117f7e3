package core

import (
	"micaport/internal/wire"
)

// machinePool identifies the machines of one type, zone and price model. The cloud has a
// capacity and a price for each pool.
type machinePool struct {
	machineType, zone int // indices in Names.MachineTypes and Names.Zones
	spot              bool
}

// pool returns the pool that the slot's machine belongs to.
func (s *slot) pool() machinePool { return machinePool{s.machineType, s.zone, s.spot} }

// autoscaler is the leader's state of its calls to the cloud and of the machines that these
// calls concern. It is not stored in the state service: a new leader adopts the part of it that its
// replica of the previous leader's decision log contains, and rebuilds the rest from the cloud's
// machine list.
type autoscaler struct {
	requestSequence   int // number of the last provisioning request, part of its name
	pendingProvisions []*pendingProvision
	booting           map[string]*bootingMachine // by name
	recentBoots       []bootRecord               // newest last
	retryAt           map[machinePool]Time       // earliest time of the next request to the pool
	shortageAt        map[machinePool]Time       // when the pool last provided fewer machines than requested
	markedForDraining map[string]bool            // machines to be deprovisioned once they are empty
	idleSince         map[string]Time            // by name: since when the machine has been idle

	nextListAt            Time            // when the next fetch of the machine list is due
	listInProgress        bool            // a fetch of the machine list is in progress
	nextTypesAt           Time            // when the next fetch of the machine types is due
	nextDeprovisionAt     Time            // earliest time of the next deprovisioning call, set after a failed one
	nextScaleInAt         Time            // when the next search for machines to deprovision is due
	deprovisionInProgress bool            // a deprovisioning call is in progress
	unreportedSince       map[string]Time // by name: since when a machine that has not reported is listed as running
}

// pendingProvision is a request for machines of one pool whose outcome is not known yet.
type pendingProvision struct {
	pool           machinePool
	request        wire.ProvisionRequest
	callInProgress bool // a call with the request is in progress
	sendAt         Time // earliest time at which the request is sent or repeated
	decidedAt      Time // when the scheduler made the request
}

// bootingMachine is a provisioned machine whose worker has not reported yet.
type bootingMachine struct {
	pool          machinePool
	provisionedAt Time
	listed        bool // the machine list has contained the machine
}

func newAutoscaler() autoscaler {
	return autoscaler{
		booting: map[string]*bootingMachine{}, retryAt: map[machinePool]Time{}, shortageAt: map[machinePool]Time{}, markedForDraining: map[string]bool{},
		idleSince: map[string]Time{}, unreportedSince: map[string]Time{},
	}
}
