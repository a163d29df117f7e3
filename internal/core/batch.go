package core

import (
	"slices"
	"strings"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// batch is a commit of several records that is retried until its outcome is
// certain. Until then, and until the replica has caught up with
// it, no other batch of the same role is made; so a late copy of it can never
// add to what a later one decides.
type batch struct {
	role            string
	active          bool
	inFlight        bool
	outcomeUnknown  bool // an earlier sending may yet be carried out
	conditions      []kv.Condition
	writes          []kv.Write
	linkedWrites    []kv.Write // writes that belong together with others of the batch
	awaitedRevision uint64     // revision that the replica must reach
	retryAt         Time
	generation      uint64
}

// start makes a new batch and sends it.
func (b *batch) start(n *Node, conditions []kv.Condition, writes, linked []kv.Write) {
	b.generation++
	b.active = true
	b.inFlight = false
	b.outcomeUnknown = false
	b.awaitedRevision = 0
	b.conditions = conditions
	b.writes = writes
	b.linkedWrites = linked
	b.send(n)
}

// Waits before a batch is sent again, or another is made.
const (
	tooLargeRetryDelay = time.Second
	refusedRetryDelay  = 400 * time.Millisecond
	unknownRetryDelay  = 300 * time.Millisecond
)

// send sends the batch, for the first time or again.
func (b *batch) send(n *Node) {
	b.inFlight = true
	n.transact(ClassBackground, b.conditions, b.writes, batchCommit{batch: b, generation: b.generation})
}

// batchCommit is a batch under way.
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
		if b.removeConflicts(result.Failed) {
			b.send(n)
			return
		}
		b.awaitedRevision = max(result.Revision, 1)
	case kv.TooLarge:
		// Never sent again as it is. Whether an earlier sending, before the limits fell,
		// was carried out is told by its conditions alone.
		if b.outcomeUnknown && len(b.writes) > 0 {
			b.writes, b.linkedWrites = nil, nil
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
	b.settle(n)
}

// settle ends the batch once the replica shows its outcome.
func (b *batch) settle(n *Node) {
	if b.active && b.awaitedRevision > 0 && n.replica.Revision() >= b.awaitedRevision {
		b.active = false
	}
}

// ready tells whether a new batch may be made, and resends an unsure one.
func (b *batch) ready(n *Node) bool {
	if !b.active {
		return n.now >= b.retryAt && n.availableWrites() >= 1
	}
	if !b.inFlight && b.awaitedRevision == 0 && n.now >= b.retryAt {
		b.send(n)
	}
	return false
}

// removeConflicts takes the records out of the batch that others have changed, so
// that the rest need not wait for a new decision. It tells whether that can
// be done: only records of jobs stand for themselves, and only in a batch that
// was not sent before removeConflicts an answer.
func (b *batch) removeConflicts(failed []string) bool {
	if b.outcomeUnknown || len(failed) == 0 || len(b.linkedWrites) > 0 {
		return false
	}
	for _, key := range failed {
		if !strings.HasPrefix(key, wire.JobPrefix) {
			return false
		}
	}
	b.conditions = slices.DeleteFunc(b.conditions, func(c kv.Condition) bool { return slices.Contains(failed, c.Key) })
	// With a record go its overflow keys: written without it, under no condition any
	// more, they would lose tasks that are running.
	b.writes = slices.DeleteFunc(b.writes, func(w kv.Write) bool { return slices.Contains(failed, recordOf(w.Key)) })
	return len(b.writes) > 0
}

// recordOf is the key of the record that a key belongs to.
func recordOf(key string) string {
	if !strings.HasPrefix(key, wire.OverflowPrefix) {
		return key
	}
	id, _ := wire.SplitOverflowKey(key)
	return wire.JobKey(id)
}

// changes tells whether the batch is about to change a record: what another role
// of ours decides on the copy that we have would lose against it.
func (b *batch) changes(job *job) bool {
	if !b.active {
		return false
	}
	key := wire.JobKey(job.ID)
	return slices.ContainsFunc(b.writes, func(w kv.Write) bool { return w.Key == key })
}

// drop forgets the batch; the role that made it has been lost, and with it
// the condition under which the batch could still be carried out.
func (b *batch) drop() {
	b.generation++
	b.active = false
	b.inFlight = false
	b.retryAt = 0
}
