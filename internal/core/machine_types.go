package core

import (
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
)

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
// time. It reports whether the answer has types.
func (n *Node) applyTypeListing(answer CloudAnswered, sentAt Time) bool {
	if answer.Outcome != kv.OK || len(answer.MachineTypes) == 0 {
		return false
	}
	n.machineTypes.PutListing(answer.MachineTypes, sentAt)
	n.leader.passNeeded = true
	return true
}

// storeMachineTypes makes the next write that stores the leader's list of machine types, if one is
// due.
func (n *Node) storeMachineTypes() {
	transaction, err := n.typePublisher.Next(n.now, n.leadership.Term(), n.replica.Revision())
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
	n.log(LogInfo, "machine types stored", "key", first.Key, "deleted", first.Value == nil, "writes", len(w.transaction.Writes),
		"outcome", int(result.Outcome), "types", n.machineTypes.OfferedCount())
	n.typePublisher.Answered(n.now, w.transaction, result.Outcome, result.Revision)
}
