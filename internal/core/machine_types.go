package core

import (
	"slices"

	"micaport/internal/kv"
	"micaport/internal/machinetypes"
	"micaport/internal/wire"
)

const (
	// typesInterval is the time between two fetches of the machine types by the leader.
	typesInterval = 30 * second
	// typesRetryInterval is the time between two fetches of the machine types until one has
	// succeeded.
	typesRetryInterval = 2 * second

	// confirmationRateShare is the share of the cloud's request rate that the calls of all
	// controllers together which confirm the machine types may take.
	confirmationRateShare = 0.15
	// confirmationBurst is the number of such calls that a controller may make one after the other.
	confirmationBurst = 2
	// missingTypesDelay is how long a controller waits for the leader to store the machine types
	// before it asks the cloud itself.
	missingTypesDelay = 10 * second
	// unknownTypeLogInterval is the time between two log lines about machines of unknown types.
	unknownTypeLogInterval = 60 * second
)

// typeConfirmations are the calls by which any controller asks the cloud for its machine types when
// what it knows does not suffice for a decision.
type typeConfirmations struct {
	waiting    []*pendingRequest // submissions that no type known to be on offer fits
	inProgress bool              // a call is in progress
	needed     bool              // a machine is of an unknown type
	// allowedAt is when the next call would be due if calls were made at a steady rate. A call may
	// be made confirmationBurst-1 intervals earlier.
	allowedAt      Time
	nextTypeLogAt  Time // earliest time of the next log line about a machine of an unknown type
	incompleteFrom Time // since when the list of types has been incomplete; 0: it is complete
}

// initMachineTypes creates the catalog of machine types, which is initially empty.
func (n *Node) initMachineTypes() {
	n.machineTypes = machinetypes.New(&n.names.MachineTypes)
	n.typePublisher = machinetypes.NewPublisher(n.machineTypes, machinetypes.Limits{
		ValueBytes: n.cfg.MaxValueBytes, CurrentValueBytes: n.cfg.CurrentValueBytes,
		Writes: min(n.cfg.MaxTransactionOps, n.cfg.MaxBatchWrites),
	})
}

// typeAt returns the machine type with an index, or nil if it is not known.
func (t *topology) typeAt(index int) *wire.MachineType { return t.machineTypes.At(index) }

// listMachineTypes fetches the machine types if the leader's regular fetch is due.
func (n *Node) listMachineTypes() {
	scaler := &n.leader.autoscaler
	if n.now < scaler.nextTypesAt {
		return
	}
	scaler.nextTypesAt = n.now + typesInterval
	if !n.machineTypes.ListedSince(0) {
		scaler.nextTypesAt = n.now + typesRetryInterval
	}
	n.callCloud(CallCloud{ListTypes: true}, listTypesCall{n.now})
}

// listTypesCall is a regular fetch of the machine types in progress.
type listTypesCall struct{ sentAt Time }

func (r listTypesCall) cloudAnswered(n *Node, answer CloudAnswered) {
	if n.applyTypeListing(answer, r.sentAt) && n.isLeader() {
		n.storeMachineTypes()
	}
}

// applyTypeListing applies the cloud's answer to a fetch of the machine types that was sent at a
// time, and processes the submissions that wait for it. It reports whether the answer has types.
func (n *Node) applyTypeListing(answer CloudAnswered, sentAt Time) bool {
	if answer.Outcome != kv.OK || len(answer.MachineTypes) == 0 {
		return false
	}
	n.machineTypes.PutListing(answer.MachineTypes, sentAt)
	n.leader.passNeeded = true
	waiting := n.typeConfirmations.waiting
	n.typeConfirmations.waiting = nil
	for _, request := range waiting {
		if n.userRequests.isUnanswered(request) {
			n.createJob(request)
		}
	}
	return true
}

// storeMachineTypes makes the next write that stores the leader's list of machine types, if one is
// due.
func (n *Node) storeMachineTypes() {
	transaction, err := n.typePublisher.Next(n.now, machinetypes.Deployment{
		Term: n.leadership.Term(), Revision: n.replica.Revision(), Upgraded: n.replica.AgreedFormat() >= n.cfg.Format,
	})
	if err != nil {
		n.log(LogError, "machine types can't be stored", "error", err.Error(), "max_value_bytes", n.cfg.MaxValueBytes)
	}
	if transaction == nil {
		return
	}
	conditions := append([]kv.Condition{n.leaderCondition()}, transaction.Conditions...)
	n.transact(ClassBackground, conditions, transaction.Writes, typesWrite{transaction})
}

// typesWrite is a write of the machine types in progress.
type typesWrite struct{ transaction *machinetypes.Transaction }

func (w typesWrite) committed(n *Node, result Committed) {
	first := w.transaction.Writes[0]
	text := "machine types stored"
	if result.Outcome != kv.OK {
		text = "machine types not stored"
	}
	n.log(LogInfo, text, "key", first.Key, "deleted", first.Value == nil, "writes", len(w.transaction.Writes),
		"outcome", int(result.Outcome), "types", n.machineTypes.OfferedCount())
	n.typePublisher.Answered(n.now, w.transaction, result.Outcome, result.Revision)
}

// typesConfirmedFor reports whether the cloud has listed its machine types since a request came, so
// that a type which is not in the list is known not to be on offer.
func (n *Node) typesConfirmedFor(request *pendingRequest) bool {
	return n.machineTypes.ListedSince(request.receivedAt)
}

// awaitTypeConfirmation leaves a submission waiting until the cloud has listed its machine types.
func (n *Node) awaitTypeConfirmation(request *pendingRequest) {
	if !slices.Contains(n.typeConfirmations.waiting, request) {
		n.typeConfirmations.waiting = append(n.typeConfirmations.waiting, request)
	}
}

// confirmMachineTypes asks the cloud for its machine types if a decision needs that and the rate of
// such calls allows it.
func (n *Node) confirmMachineTypes() {
	c := &n.typeConfirmations
	c.waiting = slices.DeleteFunc(c.waiting, func(request *pendingRequest) bool { return !n.userRequests.isUnanswered(request) })
	interval := n.confirmationInterval()
	if c.inProgress || !n.confirmationNeeded() || c.allowedAt-n.now > (confirmationBurst-1)*interval {
		return
	}
	c.allowedAt = max(c.allowedAt, n.now) + interval
	c.inProgress, c.needed = true, false
	n.log(LogInfo, "asking the cloud for its machine types", "waiting_submissions", len(c.waiting),
		"known_types", n.machineTypes.OfferedCount(), "complete", n.machineTypes.Complete())
	n.emit(CallCloud{ID: n.registerContinuation(confirmTypesCall{n.now}), ListTypes: true})
}

// confirmationNeeded reports whether a decision needs a listing of the cloud: a submission waits for
// it, or what is known has been incomplete for some time.
func (n *Node) confirmationNeeded() bool {
	c := &n.typeConfirmations
	switch {
	case n.machineTypes.Complete():
		c.incompleteFrom = 0
	case c.incompleteFrom == 0:
		c.incompleteFrom = n.now
	}
	if len(c.waiting) > 0 || c.incompleteFrom > 0 && n.now-c.incompleteFrom > missingTypesDelay {
		return true
	}
	// A type that the cloud did not list either is asked for no more often than the leader does.
	return c.needed && !n.machineTypes.ListedSince(n.now-typesInterval)
}

// confirmationInterval returns the time between two calls of this controller that confirm the
// machine types, if it makes them all the time.
func (n *Node) confirmationInterval() Time {
	rate := confirmationRateShare * max(n.cfg.CloudRPS, minCloudRPS)
	return Time(float64(second) * float64(max(1, len(n.cfg.Members))) / rate)
}

// confirmTypesCall is a call that confirms the machine types in progress. Unlike the leader's other
// calls it does not count for whether this controller reaches the cloud.
type confirmTypesCall struct{ sentAt Time }

func (r confirmTypesCall) resume(n *Node, result Result) {
	answer := result.(CloudAnswered)
	n.typeConfirmations.inProgress = false
	if n.applyTypeListing(answer, r.sentAt) {
		return
	}
	n.log(LogInfo, "the cloud does not list its machine types", "outcome", int(answer.Outcome),
		"waiting_submissions", len(n.typeConfirmations.waiting))
	for _, request := range n.typeConfirmations.waiting {
		n.answerUnavailable(request, typesUnconfirmed)
	}
	n.typeConfirmations.waiting = nil
}

// recordUnknownType notes that a machine has reported whose type is not known, so that nothing can
// be placed on it.
func (n *Node) recordUnknownType(machine *machine) {
	c := &n.typeConfirmations
	c.needed = true
	if n.now < c.nextTypeLogAt {
		return
	}
	c.nextTypeLogAt = n.now + unknownTypeLogInterval
	n.log(LogInfo, "machine of an unknown type, placing nothing on it", "machine", machine.name,
		"machine_type", n.names.MachineTypes.Name(machine.machineType),
		"known_types", n.machineTypes.OfferedCount(), "complete", n.machineTypes.Complete())
}
