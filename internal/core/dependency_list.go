package core

import (
	"micaport/internal/kv"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// Lists of dependencies for which a job's record has no room. They are written to keys of
// their own before the record.

// dependencyListWrite is a write of keys of a dependency list under way.
type dependencyListWrite struct {
	request *pendingRequest
	numbers []int // of the keys
}

// writeDependencyList writes the keys of a submission's dependency list that the state
// service lacks, as many at once as a transaction takes. It reports whether all are
// written, and then names the list in the record; if not, createJob is called after the
// write.
func (n *Node) writeDependencyList(request *pendingRequest, record *wire.Job) bool {
	check := request.dependencies
	list := replica.DependencyListName(check.jobIDs)
	values := replica.SplitDependencyList(check.jobIDs, n.cfg.MaxValueBytes)
	var writes []kv.Write
	var numbers []int
	maxWrites := max(1, min(n.cfg.MaxTransactionOps, maxTransactionBytes/n.cfg.MaxValueBytes))
	for i, ids := range values {
		number := i + 1
		key := wire.DependencyListKey(request.JobID, list, number)
		if n.replica.HasDependencyList(request.JobID, key) || check.writtenKeys[number] || len(writes) == maxWrites {
			continue
		}
		writes = append(writes, kv.Write{Key: key, Value: &wire.DependencyList{JobIDs: ids}})
		numbers = append(numbers, number)
	}
	if len(writes) > 0 {
		n.transact(ClassUser, nil, writes, dependencyListWrite{request, numbers})
		return false
	}
	spec := *record.Spec
	spec.Dependencies = nil
	record.Spec = &spec
	record.DependencyList = list
	record.DependencyListKeys = len(values)
	return true
}

func (w dependencyListWrite) committed(n *Node, result Committed) {
	if result.Outcome == kv.OK {
		for _, number := range w.numbers {
			w.request.dependencies.writtenKeys[number] = true
		}
	} else if !n.mayRetry(w.request, result.Outcome) {
		return
	}
	n.createJob(w.request)
}
