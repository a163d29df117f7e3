package core

import "micaport/internal/kv"

// continuation handles the result of a request to the state service, the cloud or a worker.
// Continuations are values of named types rather than closures, so that a dump of
// Node.continuations shows which requests are in flight.
type continuation interface {
	resume(n *Node, result Result)
}

// commitHandler handles the result of a transaction.
type commitHandler interface {
	committed(n *Node, result Committed)
}

// jobReadHandler handles the result of reading a job's record from the state service.
type jobReadHandler interface {
	jobRead(n *Node, result JobRead)
}

// registerContinuation registers the continuation of a request and returns the request's ID.
func (n *Node) registerContinuation(next continuation) (id uint64) {
	n.nextID++
	n.continuations[n.nextID] = next
	return n.nextID
}

// deliverResult passes the result of a request to its continuation. It ignores results of
// unknown requests.
func (n *Node) deliverResult(id uint64, result Result) {
	if next, known := n.continuations[id]; known {
		delete(n.continuations, id)
		next.resume(n, result)
	}
}

// commitContinuation is the continuation of a Commit.
type commitContinuation struct {
	conditionCount, writeCount int
	next                       commitHandler
}

func (t commitContinuation) resume(n *Node, result Result) {
	committed := result.(Committed)
	n.recordStoreOutcome(committed.Outcome)
	if committed.RateLimited && t.writeCount > 0 {
		n.budget.recordRefusal(n.now)
	}
	if committed.Outcome == kv.TooLarge {
		n.log(LogError, "transaction exceeds the limits of the state service", "writes", t.writeCount, "conditions", t.conditionCount)
	}
	t.next.committed(n, committed)
}

// transact sends a transaction that writes only if all conditions hold. The writes of background
// transactions are subtracted from the write budget.
func (n *Node) transact(class RequestClass, conditions []kv.Condition, writes []kv.Write, next commitHandler) {
	id := n.registerContinuation(commitContinuation{conditionCount: len(conditions), writeCount: len(writes), next: next})
	if class == ClassBackground {
		n.budget.available -= float64(len(writes))
	}
	n.emit(Commit{ID: id, Conditions: conditions, Writes: writes, Class: class})
}

// jobReadContinuation is the continuation of a ReadJob.
type jobReadContinuation struct{ next jobReadHandler }

func (f jobReadContinuation) resume(n *Node, result Result) {
	read := result.(JobRead)
	n.recordStoreOutcome(read.Outcome)
	f.next.jobRead(n, read)
}

// readJobRecord reads a job's record from the state service.
func (n *Node) readJobRecord(id string, next jobReadHandler) {
	n.emit(ReadJob{ID: n.registerContinuation(jobReadContinuation{next}), JobID: id})
}

// ignoreResult handles the result of a transaction by ignoring it.
type ignoreResult struct{}

func (ignoreResult) committed(*Node, Committed) {}
