package core

import (
	"slices"

	"micaport/internal/kv"
)

const (
	// minListInterval is the shortest time between two fetches of the machine list.
	minListInterval = 4 * second
	// machinesPerPage is the number of machines on a page of the machine list.
	machinesPerPage = 500
	// callsPerListPage limits the calls that fetch the second and later pages of the machine
	// list to one in this many, so that enough calls remain for provisioning and
	// deprovisioning.
	callsPerListPage = 5
	// minCloudRPS is used in place of the cloud's request rate if that is lower or not set.
	minCloudRPS = 0.1

	// noCapacityDelay is the time until the next request to a pool that lacked capacity.
	noCapacityDelay = 10 * second
	// refusedDelay is the time until the next request to a pool after a refused request.
	refusedDelay = 2 * second
	// provisionRetryDelay is the time until a request with an unknown outcome is repeated.
	provisionRetryDelay = second
	// provisionRetryPeriod is how long after the decision a request with an unknown outcome is
	// repeated at most.
	provisionRetryPeriod = 60 * second
	// deprovisionRetryDelay is the time until the next deprovisioning call after a failed one.
	deprovisionRetryDelay = 2 * second
)

// cloudReceiver receives the answer to a call to the cloud.
type cloudReceiver interface {
	cloudAnswered(n *Node, answer CloudAnswered)
}

// cloudCall is a call to the cloud in progress.
type cloudCall struct{ next cloudReceiver }

// resume records since when the cloud has been unreachable and passes the answer to the receiver.
func (r cloudCall) resume(n *Node, result Result) {
	answer := result.(CloudAnswered)
	if answer.Outcome != kv.Unknown {
		n.cloudUnreachableSince = 0
	} else if n.cloudUnreachableSince == 0 {
		n.cloudUnreachableSince = n.now
	}
	r.next.cloudAnswered(n, answer)
}

// callCloud sends a call to the cloud; next receives its answer.
func (n *Node) callCloud(call CallCloud, next cloudReceiver) {
	call.ID = n.registerContinuation(cloudCall{next})
	// The call expires, because after a stall of this process another controller may be the
	// leader and the machines may be in use.
	call.ValidFor = n.cloudCallTime()
	if n.isFencedLeader() {
		call.Term = n.leadership.Term()
	}
	n.emit(call)
}

// runCloudCalls fetches the machine types and the machine list when they are due, and sends the
// provisioning requests that are due.
func (n *Node) runCloudCalls() {
	scaler := &n.leader.autoscaler
	n.listMachineTypes()
	if n.now >= scaler.nextListAt && !scaler.listInProgress {
		scaler.listInProgress = true
		n.callCloud(CallCloud{ListMachines: true}, listMachinesCall{leadershipChanges: n.leader.leadershipChanges})
	}
	for _, pending := range scaler.pendingProvisions {
		if pending.callInProgress || n.now < pending.sendAt || n.cloudCallTime() == 0 {
			continue
		}
		pending.callInProgress = true
		n.callCloud(CallCloud{Provision: &pending.request}, provisionCall{pending, n.leader.leadershipChanges})
	}
}

// listMachinesCall is a fetch of the machine list in progress.
type listMachinesCall struct{ leadershipChanges int }

func (r listMachinesCall) cloudAnswered(n *Node, answer CloudAnswered) {
	if n.leader.leadershipChanges != r.leadershipChanges {
		return
	}
	scaler := &n.leader.autoscaler
	scaler.listInProgress = false
	furtherPages := Time(len(answer.Machines) / machinesPerPage)
	scaler.nextListAt = n.now + max(minListInterval, n.cfg.CloudListLag/2, Time(float64(furtherPages*callsPerListPage*second)/max(n.cfg.CloudRPS, minCloudRPS)))
	if answer.Outcome == kv.OK {
		scaler.reconcileMachineList(&n.site, answer.Machines)
	}
}

// provisionCall is a provisioning call in progress.
type provisionCall struct {
	pending           *pendingProvision
	leadershipChanges int
}

func (r provisionCall) cloudAnswered(n *Node, answer CloudAnswered) {
	if n.leader.leadershipChanges != r.leadershipChanges {
		return
	}
	if answer.Outcome == kv.OK {
		request := &r.pending.request
		n.log(LogInfo, "machines provisioned",
			"machine_type", request.MachineType, "zone", request.Zone,
			"spot", request.Spot, "requested", request.Count,
			"received", len(answer.Names))
	}
	n.leader.autoscaler.applyProvisionAnswer(n.now, r.pending, answer)
	n.leader.passNeeded = true
}

// applyProvisionAnswer applies the answer to a provisioning request. The request is removed, or
// scheduled to be repeated for a limited time if its outcome is unknown.
func (a *autoscaler) applyProvisionAnswer(now Time, pending *pendingProvision, answer CloudAnswered) {
	closed := true
	switch answer.Outcome {
	case kv.OK:
		for _, name := range answer.Names {
			a.booting[name] = &bootingMachine{pool: pending.pool, provisionedAt: now}
		}
		if len(answer.Names) < pending.request.Count {
			a.recordShortage(now, pending.pool)
		}
	case kv.NoCapacity:
		a.recordShortage(now, pending.pool)
	case kv.Refused:
		a.retryAt[pending.pool] = now + refusedDelay
	default:
		// The machines may have been provisioned. If so, the cloud answers a request with the
		// same name as it did before, and provisions no more machines.
		pending.callInProgress, pending.sendAt = false, now+provisionRetryDelay
		closed = now-pending.decidedAt > provisionRetryPeriod
	}
	if closed {
		a.pendingProvisions = slices.DeleteFunc(a.pendingProvisions, func(other *pendingProvision) bool { return other == pending })
	}
}

// recordShortage records that a pool provided fewer machines than requested.
func (a *autoscaler) recordShortage(now Time, pool machinePool) {
	a.retryAt[pool], a.shortageAt[pool] = now+noCapacityDelay, now
}

// deprovision sends a call that deprovisions machines.
func (n *Node) deprovision(names []string) {
	n.leader.autoscaler.deprovisionInProgress = true
	n.callCloud(CallCloud{Deprovision: names}, deprovisionCall{names, n.leader.leadershipChanges})
}

// deprovisionCall is a deprovisioning call in progress.
type deprovisionCall struct {
	names             []string
	leadershipChanges int
}

func (r deprovisionCall) cloudAnswered(n *Node, answer CloudAnswered) {
	if answer.Outcome == kv.OK {
		for _, name := range r.names {
			n.getOrAddMachine(name).deprovisioned = true
		}
	}
	if n.leader.leadershipChanges != r.leadershipChanges {
		return
	}
	scaler := &n.leader.autoscaler
	scaler.deprovisionInProgress = false
	if answer.Outcome != kv.OK {
		scaler.nextDeprovisionAt = n.now + deprovisionRetryDelay
		return
	}
	for _, name := range r.names {
		scaler.removeMachine(name)
		n.leader.deprovisioned = append(n.leader.deprovisioned, deprovisionedMachine{name, n.now})
	}
	n.log(LogInfo, "machines deprovisioned", "machines", r.names)
	n.sendOrExpediteGossip(true)
}

// removeMachine removes the state of a machine that has been deprovisioned.
func (a *autoscaler) removeMachine(name string) {
	delete(a.markedForDraining, name)
	delete(a.booting, name)
	delete(a.unreportedSince, name)
}
