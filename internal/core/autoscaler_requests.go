package core

import (
	"slices"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Calls to the cloud and what follows from their answers.

const (
	// typesInterval lies between two fetches of the machine types, which change rarely.
	typesInterval = 30 * second
	// typesRetryInterval is that while there are none: without them nothing is planned.
	typesRetryInterval = 2 * second
	// minListInterval lies between two fetches of the machine list at least.
	minListInterval = 4 * second
	// machinesPerPage is how many machines a page of the machine list has.
	machinesPerPage = 500
	// callsPerListPage bounds the share of the cloud's calls that goes to the further pages
	// of the machine list: one in so many. The rest is for provisioning and deprovisioning.
	callsPerListPage = 5
	// minCloudRPS stands in for a rate of calls that is not set.
	minCloudRPS = 0.1

	// noCapacityDelay is how long a pool without capacity is not asked again.
	noCapacityDelay = 10 * second
	// refusedDelay is that for a pool for which the cloud refused a request.
	refusedDelay = 2 * second
	// provisionRetryDelay is when a request is sent again whose outcome is unknown.
	provisionRetryDelay = second
	// provisionRetryTime is for how long such a request is repeated.
	provisionRetryTime = 60 * second
	// deprovisionRetryDelay is when machines are deprovisioned again after a failed call.
	deprovisionRetryDelay = 2 * second
)

// cloudReceiver goes on with the answer to a call to the cloud.
type cloudReceiver interface {
	cloudAnswered(n *Node, answer CloudAnswered)
}

// cloudRequest is a call to the cloud under way.
type cloudRequest struct{ next cloudReceiver }

func (r cloudRequest) resume(n *Node, result Result) {
	answer := result.(CloudAnswered)
	if answer.Outcome != kv.Unknown {
		n.cloudUnreachableSince = 0
	} else if n.cloudUnreachableSince == 0 {
		n.cloudUnreachableSince = n.now
	}
	r.next.cloudAnswered(n, answer)
}

// callCloud sends a call to the cloud.
func (n *Node) callCloud(call CallCloud, next cloudReceiver) {
	call.ID = n.continueWith(cloudRequest{next})
	// A process that stalled must not send what it decided before: another controller
	// leads by then, and the machines may be in use.
	call.ValidFor = n.cloudCallTime()
	if n.fenced() {
		call.Term = n.leadership.Term()
	}
	n.emit(call)
}

// runCloudCalls keeps the machine types and the machine list up to date, and sends
// provisioning requests.
func (n *Node) runCloudCalls() {
	scaler := &n.leader.autoscaler
	if n.now >= scaler.typesAt {
		scaler.typesAt = n.now + typesInterval
		if n.offeredTypes == nil || n.typesFetchedAt == 0 {
			scaler.typesAt = n.now + typesRetryInterval
		}
		n.callCloud(CallCloud{ListTypes: true}, typesRequest{})
	}
	if n.now >= scaler.listAt && !scaler.listing {
		scaler.listing = true
		n.callCloud(CallCloud{ListMachines: true}, listRequest{tenure: n.leader.tenure})
	}
	for _, provisioning := range scaler.provisions {
		if provisioning.sent || n.now < provisioning.sendAt || n.cloudCallTime() == 0 {
			continue
		}
		provisioning.sent = true
		n.callCloud(CallCloud{Provision: &provisioning.request}, provisionRequest{provisioning, n.leader.tenure})
	}
}

// typesRequest is a fetch of the machine types under way.
type typesRequest struct{}

func (typesRequest) cloudAnswered(n *Node, answer CloudAnswered) {
	if answer.Outcome == kv.OK && len(answer.MachineTypes) > 0 {
		n.updateMachineTypes(answer.MachineTypes)
	}
}

// setMachineTypes replaces the machine types on offer.
func (n *Node) setMachineTypes(types []wire.MachineType) {
	n.offeredTypes = types
	for i := range types {
		index := n.names.MachineTypes.Of(types[i].Name)
		for len(n.machineTypes) <= index {
			n.machineTypes = append(n.machineTypes, nil)
		}
		n.machineTypes[index] = &types[i]
	}
	n.leader.passNeeded = true
}

// updateMachineTypes replaces the machine types by those that the cloud has listed, and
// stores them for controllers that can't reach the cloud if other ones are on offer.
func (n *Node) updateMachineTypes(types []wire.MachineType) {
	changed := len(types) != len(n.offeredTypes)
	for i := range types {
		changed = changed || n.offeredTypes[i].Name != types[i].Name
	}
	n.setMachineTypes(types)
	n.typesFetchedAt = n.now
	if !changed && n.typesRevision != 0 {
		return
	}
	for len(types) > 1 && !n.valueFits(&wire.MachineTypeCache{Types: types}) {
		types = types[:len(types)-1] // better some than none
	}
	n.transact(ClassBackground, []kv.Condition{n.leaderCondition()},
		[]kv.Write{{Key: wire.MachineTypesKey, Value: &wire.MachineTypeCache{Types: types}}}, ignoreResult{})
}

// listRequest is a fetch of the machine list under way.
type listRequest struct{ tenure int }

func (r listRequest) cloudAnswered(n *Node, answer CloudAnswered) {
	if n.leader.tenure != r.tenure {
		return
	}
	scaler := &n.leader.autoscaler
	scaler.listing = false
	furtherPages := Time(len(answer.Machines) / machinesPerPage)
	scaler.listAt = n.now + max(minListInterval, n.cfg.CloudListLag/2, Time(float64(furtherPages*callsPerListPage*second)/max(n.cfg.CloudRPS, minCloudRPS)))
	if answer.Outcome == kv.OK {
		scaler.reconcileMachineList(&n.site, answer.Machines)
	}
}

// provisionRequest is a provisioning call under way.
type provisionRequest struct {
	provisioning *provisioning
	tenure       int
}

func (r provisionRequest) cloudAnswered(n *Node, answer CloudAnswered) {
	if n.leader.tenure != r.tenure {
		return
	}
	if answer.Outcome == kv.OK {
		request := &r.provisioning.request
		n.log(LogInfo, "machines provisioned",
			"machine_type", request.MachineType, "zone", request.Zone,
			"spot", request.Spot, "requested", request.Count,
			"received", len(answer.Names))
	}
	n.leader.autoscaler.provisionAnswered(n.now, r.provisioning, answer)
	n.leader.passNeeded = true
}

// provisionAnswered settles a provisioning request, or has it sent again.
func (a *autoscaler) provisionAnswered(now Time, request *provisioning, answer CloudAnswered) {
	settled := true
	switch answer.Outcome {
	case kv.OK:
		for _, name := range answer.Names {
			a.booting[name] = &bootingMachine{pool: request.pool, provisionedAt: now}
		}
		if len(answer.Names) < request.request.Count {
			a.noteShortage(now, request.pool)
		}
	case kv.NoCapacity:
		a.noteShortage(now, request.pool)
	case kv.Refused:
		a.retryAt[request.pool] = now + refusedDelay
	default:
		// It may have been carried out: only a repetition under the same name tells.
		request.sent, request.sendAt = false, now+provisionRetryDelay
		settled = now-request.decidedAt > provisionRetryTime
	}
	if settled {
		a.provisions = slices.DeleteFunc(a.provisions, func(other *provisioning) bool { return other == request })
	}
}

// noteShortage notes that a pool had fewer machines than requested.
func (a *autoscaler) noteShortage(now Time, pool machinePool) {
	a.retryAt[pool], a.shortageAt[pool] = now+noCapacityDelay, now
}

// deprovision returns machines to the cloud.
func (n *Node) deprovision(names []string) {
	n.leader.autoscaler.deprovisioning = true
	n.callCloud(CallCloud{Deprovision: names}, deprovisionRequest{names, n.leader.tenure})
}

// deprovisionRequest is a deprovisioning call under way.
type deprovisionRequest struct {
	names  []string
	tenure int
}

func (r deprovisionRequest) cloudAnswered(n *Node, answer CloudAnswered) {
	if answer.Outcome == kv.OK {
		for _, name := range r.names {
			n.machineNamed(name).returned = true
		}
	}
	if n.leader.tenure != r.tenure {
		return
	}
	scaler := &n.leader.autoscaler
	scaler.deprovisioning = false
	if answer.Outcome != kv.OK {
		scaler.deprovisionAt = n.now + deprovisionRetryDelay
		return
	}
	for _, name := range r.names {
		scaler.forget(name)
		n.leader.returned = append(n.leader.returned, returnedMachine{name, n.now})
	}
	n.log(LogInfo, "machines deprovisioned", "machines", r.names)
	n.sendGossip(true)
}

// forget drops what is remembered of a machine that has been deprovisioned.
func (a *autoscaler) forget(name string) {
	delete(a.draining, name)
	delete(a.booting, name)
	delete(a.unreportedSince, name)
}
