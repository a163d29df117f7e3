package core

import (
	"micaport/internal/wire"
)

// machinePool is the machines of one type, zone and price model. Capacity and prices are
// those of a pool.
type machinePool struct {
	machineType, zone int // indices of the names
	spot              bool
}

func (s *slot) pool() machinePool { return machinePool{s.machineType, s.zone, s.spot} }

// autoscaler is the leader's memory of its calls to the cloud and of the machines that they
// concern. All of it can be lost: a new leader rebuilds it from the cloud's machine list.
type autoscaler struct {
	requestSequence int // of the last provisioning request, for its name
	provisions      []*provisioning
	booting         map[string]*bootingMachine
	recentBoots     []boot               // the newest last
	retryAt         map[machinePool]Time // when the pool may be asked again
	shortageAt      map[machinePool]Time // when the pool last had fewer machines than requested
	draining        map[string]bool      // machines to be deprovisioned once they are empty
	idleSince       map[string]Time

	listAt          Time            // when the machine list is fetched next
	listing         bool            // a call for the machine list is under way
	typesAt         Time            // when the machine types are fetched next
	deprovisionAt   Time            // when machines may be deprovisioned next, after a failed call
	scaleInAt       Time            // when idle machines are looked for next
	deprovisioning  bool            // a deprovisioning call is under way
	unreportedSince map[string]Time // running by the machine list, but never heard of
}

// provisioning is a request for machines of one pool that is not settled yet.
type provisioning struct {
	pool      machinePool
	request   wire.ProvisionRequest
	sent      bool
	sendAt    Time // when it may be sent (again)
	decidedAt Time
}

// bootingMachine is a provisioned machine that has not reported yet.
type bootingMachine struct {
	pool          machinePool
	provisionedAt Time
	listed        bool // it has been in the machine list
}

func newAutoscaler() autoscaler {
	return autoscaler{
		booting: map[string]*bootingMachine{}, retryAt: map[machinePool]Time{}, shortageAt: map[machinePool]Time{}, draining: map[string]bool{},
		idleSince: map[string]Time{}, unreportedSince: map[string]Time{},
	}
}
