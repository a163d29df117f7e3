package core

import (
	"micaport/internal/kv"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// dependencyListWrite handles the result of writing keys of a dependency list.
type dependencyListWrite struct {
	request    *pendingRequest
	keyNumbers []int // of the keys that are written
}

// writeDependencyList stores the dependencies of a submission, which do not fit the job's
// record, in separate keys before the record is written. It writes as many of the missing keys
// as fit one transaction and returns false; createJob is called again after each transaction.
// Once no key is missing, it replaces the dependencies in the record by a reference to the
// list and returns true.
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
		if n.replica.HasDependencyListKey(request.JobID, key) || check.writtenKeys[number] || len(writes) == maxWrites {
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
		for _, number := range w.keyNumbers {
			w.request.dependencies.writtenKeys[number] = true
		}
	} else if !n.mayRetry(w.request, result.Outcome) {
		return
	}
	n.createJob(w.request)
}
