package core

import "micaport/internal/kv"

// Requests under way to the state service, the cloud and workers. What goes on when the
// result of one comes is a value whose type names the request, so that a dump of
// Node.pending shows what is under way.

// continuation goes on with the result of a request.
type continuation interface {
	resume(n *Node, result Result)
}

// committer goes on with the result of a transaction.
type committer interface {
	committed(n *Node, result Committed)
}

// jobReceiver goes on with a job's record that was read from the state service.
type jobReceiver interface {
	jobRead(n *Node, result JobRead)
}

// continueWith remembers how to go on with the result of a request, and gives its id.
func (n *Node) continueWith(next continuation) (id uint64) {
	n.nextID++
	n.pending[n.nextID] = next
	return n.nextID
}

// deliverResult goes on with the result of a request. Results of requests that are not
// known are dropped.
func (n *Node) deliverResult(id uint64, result Result) {
	if next, known := n.pending[id]; known {
		delete(n.pending, id)
		next.resume(n, result)
	}
}

// transaction is a commit under way.
type transaction struct {
	conditions, writes int // how many, for the log
	next               committer
}

func (t transaction) resume(n *Node, result Result) {
	committed := result.(Committed)
	n.noteStoreOutcome(committed.Outcome)
	if committed.Limited && t.writes > 0 {
		n.budget.noteRefusal(n.now)
	}
	if committed.Outcome == kv.TooLarge {
		n.log(LogError, "transaction exceeds the limits of the state service", "writes", t.writes, "conditions", t.conditions)
	}
	t.next.committed(n, committed)
}

// transact sends a compare-and-swap transaction.
func (n *Node) transact(class RequestClass, conditions []kv.Condition, writes []kv.Write, next committer) {
	id := n.continueWith(transaction{conditions: len(conditions), writes: len(writes), next: next})
	if class == ClassBackground {
		n.budget.available -= float64(len(writes))
	}
	n.emit(Commit{ID: id, Conditions: conditions, Writes: writes, Class: class})
}

// jobFetch is a read of a job's record under way.
type jobFetch struct{ next jobReceiver }

func (f jobFetch) resume(n *Node, result Result) {
	read := result.(JobRead)
	n.noteStoreOutcome(read.Outcome)
	f.next.jobRead(n, read)
}

// fetchJob reads a job's record from the state service.
func (n *Node) fetchJob(id string, next jobReceiver) {
	n.emit(ReadJob{ID: n.continueWith(jobFetch{next}), JobID: id})
}

// ignoreResult is the continuation of a transaction whose result makes no difference.
type ignoreResult struct{}

func (ignoreResult) committed(*Node, Committed) {}
