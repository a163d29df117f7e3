package core

import (
	"slices"
	"strings"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// batch is a transaction on several records that is retried until its outcome is certain. No
// other batch of the same role starts before the outcome is certain and the replica shows it.
// So a delayed attempt can never take effect after a later batch.
type batch struct {
	role              string // role of the controller that decides the batch, for the log
	active            bool   // no other batch may start
	inFlight          bool   // an attempt has not been answered
	outcomeUnknown    bool   // an earlier attempt may still be carried out
	conditions        []kv.Condition
	writes            []kv.Write
	inseparableWrites []kv.Write // the part of writes that may only be made together with all the others; see removeConflicts
	awaitedRevision   uint64     // revision at which the replica shows the outcome; 0: not known yet
	retryAt           Time       // earliest time of the next attempt or the next batch
	generation        uint64     // number of the batch; results of earlier ones are ignored
}

// start starts a new batch and sends it.
func (b *batch) start(n *Node, conditions []kv.Condition, writes, inseparable []kv.Write) {
	b.generation++
	b.active = true
	b.inFlight = false
	b.outcomeUnknown = false
	b.awaitedRevision = 0
	b.conditions = conditions
	b.writes = writes
	b.inseparableWrites = inseparable
	b.send(n)
}

// Delays before a batch is retried or another one is started.
const (
	tooLargeRetryDelay = time.Second
	refusedRetryDelay  = 400 * time.Millisecond
	unknownRetryDelay  = 300 * time.Millisecond
)

// send sends the batch, as the first attempt or as a retry.
func (b *batch) send(n *Node) {
	b.inFlight = true
	n.transact(ClassBackground, b.conditions, b.writes, batchCommit{batch: b, generation: b.generation})
}

// batchCommit handles the result of an attempt of a batch.
type batchCommit struct {
	batch      *batch
	generation uint64
}

func (c batchCommit) committed(n *Node, result Committed) {
	b := c.batch
	if c.generation != b.generation || !b.active {
		return
	}
	b.inFlight = false
	n.log(LogDebug, "batch committed", "role", b.role, "writes", len(b.writes), "outcome", int(result.Outcome))
	switch result.Outcome {
	case kv.OK:
		b.awaitedRevision = max(result.Revision, 1)
	case kv.Conflict:
		n.log(LogDebug, "commit conflict", "role", b.role, "revision", result.Revision)
		if b.removeConflicts(result.FailedKeys) {
			b.send(n)
			return
		}
		b.awaitedRevision = max(result.Revision, 1)
	case kv.TooLarge:
		// The same writes would be refused again. If an earlier attempt, sent before the
		// limits were lowered, may have been carried out, the conditions are sent alone to
		// find out.
		if b.outcomeUnknown && len(b.writes) > 0 {
			b.writes, b.inseparableWrites = nil, nil
			b.send(n)
			return
		}
		b.active = false
		b.retryAt = n.now + tooLargeRetryDelay
	case kv.Refused, kv.LeaseExpired:
		if !b.outcomeUnknown {
			b.active = false
		}
		b.retryAt = n.now + refusedRetryDelay
	default:
		b.outcomeUnknown = true
		b.retryAt = n.now + unknownRetryDelay
	}
	b.endIfOutcomeShown(n)
}

// endIfOutcomeShown ends the batch once the replica has reached the revision that shows its outcome.
func (b *batch) endIfOutcomeShown(n *Node) {
	if b.active && b.awaitedRevision > 0 && n.replica.Revision() >= b.awaitedRevision {
		b.active = false
	}
}

// retryOrCheckReady reports whether a new batch may be started. If a retry of the active batch is
// due, it sends the active batch again.
func (b *batch) retryOrCheckReady(n *Node) bool {
	if !b.active {
		return n.now >= b.retryAt && n.availableWrites() >= 1
	}
	if !b.inFlight && b.awaitedRevision == 0 && n.now >= b.retryAt {
		b.send(n)
	}
	return false
}

// removeConflicts removes the records that others have changed from the batch, so that the rest
// need not wait for a new decision. It reports whether the rest can be sent. That requires that all
// conflicts are on job records, as only these are independent of each other, that the batch has no
// inseparable writes, and that no earlier attempt has an unknown outcome.
func (b *batch) removeConflicts(failed []string) bool {
	if b.outcomeUnknown || len(failed) == 0 || len(b.inseparableWrites) > 0 {
		return false
	}
	for _, key := range failed {
		if !strings.HasPrefix(key, wire.JobPrefix) {
			return false
		}
	}
	b.conditions = slices.DeleteFunc(b.conditions, func(c kv.Condition) bool { return slices.Contains(failed, c.Key) })
	// The overflow keys of a record are removed with it. Without the condition on the record,
	// writing them would lose running tasks.
	b.writes = slices.DeleteFunc(b.writes, func(w kv.Write) bool { return slices.Contains(failed, recordKeyOf(w.Key)) })
	return len(b.writes) > 0
}

// recordKeyOf returns the key of the record that a key belongs to: a job's, for an overflow key.
func recordKeyOf(key string) string {
	if !strings.HasPrefix(key, wire.OverflowPrefix) {
		return key
	}
	id, _ := wire.SplitOverflowKey(key)
	return wire.JobKey(id)
}

// changes reports whether the active batch changes a job's record. A decision that another role
// of this controller bases on the current copy of the record would conflict with the batch.
func (b *batch) changes(job *job) bool {
	if !b.active {
		return false
	}
	key := wire.JobKey(job.ID)
	return slices.ContainsFunc(b.writes, func(w kv.Write) bool { return w.Key == key })
}

// discard discards the batch after the controller has lost the role that decided it. The batch can
// no longer be carried out, as its conditions require the role.
func (b *batch) discard() {
	b.generation++
	b.active = false
	b.inFlight = false
	b.retryAt = 0
}
