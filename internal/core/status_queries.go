package core

import (
	"net/http"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Status queries that the replica answers. They are gathered; a transaction without
// writes asks the state service for its revision on behalf of all that have come, and
// they are answered once the replica has reached that revision.

const (
	// minStatusInterval and maxStatusInterval bound the time between two queries of the
	// state service's revision.
	minStatusInterval = 60 * time.Millisecond
	maxStatusInterval = 500 * time.Millisecond
	// statusRequestShare is the part of the state service's requests that all
	// controllers together spend on it: one in so many.
	statusRequestShare = 6
	// replicaLagTimeout is how long status queries wait for the replica before their
	// records are read one by one.
	replicaLagTimeout = 400 * time.Millisecond
)

// statusQueries are status queries that the replica is to answer.
type statusQueries struct {
	waiting  []*pendingRequest // for the next query of the revision
	querying bool              // a query of the revision is under way
	queryAt  Time              // no query of the revision before this
	batches  []statusBatch     // with a known revision
}

// statusBatch is a number of status queries that the replica may answer once it has reached
// a revision, which the state service named after they had come.
type statusBatch struct {
	revision uint64
	since    Time // when the revision was named
	requests []*pendingRequest
}

// revisionQuery is a query of the state service's revision under way.
type revisionQuery struct{ requests []*pendingRequest }

// statusInterval is the time between two queries of the revision. With hundreds of users,
// reading each record would take more of a core than a controller has.
func (n *Node) statusInterval() Time {
	interval := minStatusInterval
	if n.cfg.StateRPS > 0 {
		interval = max(interval, Time(float64(statusRequestShare*len(n.cfg.Members))/n.cfg.StateRPS*float64(second)))
	}
	return min(interval, maxStatusInterval)
}

// queueStatusQuery has a status query answered from the replica.
func (n *Node) queueStatusQuery(request *pendingRequest) {
	n.users.status.waiting = append(n.users.status.waiting, request)
	n.askRevision()
}

// askRevision queries the revision for the status queries that wait, if it is time. The
// replica at that revision is at least as new as any answer that a user got before
// the queries came, so a job's status never goes back.
func (n *Node) askRevision() {
	status := &n.users.status
	if status.querying || len(status.waiting) == 0 || n.now < status.queryAt {
		return
	}
	query := revisionQuery{status.waiting}
	status.waiting = nil
	status.querying = true
	status.queryAt = n.now + n.statusInterval()
	// Whether the condition holds makes no difference: either answer names the revision.
	n.transact(ClassUser, []kv.Condition{n.leaderCondition()}, nil, query)
}

// committed takes the revision that the state service has named.
func (q revisionQuery) committed(n *Node, result Committed) {
	status := &n.users.status
	status.querying = false
	switch result.Outcome {
	case kv.OK, kv.Conflict:
		status.batches = append(status.batches, statusBatch{revision: result.Revision, since: n.now, requests: q.requests})
		n.answerStatusRequests()
	default:
		for _, request := range q.requests {
			if n.mayRetry(request, result.Outcome) {
				status.waiting = append(status.waiting, request)
			}
		}
	}
}

// answerStatusRequests answers the batches whose revision the replica has reached. When it
// lags, the records are read one by one.
func (n *Node) answerStatusRequests() {
	status := &n.users.status
	var rest []statusBatch
	for _, batch := range status.batches {
		switch {
		case n.replica.Revision() >= batch.revision:
			for _, request := range batch.requests {
				n.answerFromReplica(request)
			}
		case n.now-batch.since > replicaLagTimeout:
			for _, request := range batch.requests {
				if n.users.isOpen(request) {
					n.readJob(request)
				}
			}
		default:
			rest = append(rest, batch)
		}
	}
	status.batches = rest
}

func (n *Node) answerFromReplica(request *pendingRequest) {
	if job := n.jobNamed(request.JobID); job != nil && job.Record != nil {
		n.answer(request, http.StatusOK, n.statusOf(request, job.Record))
	} else {
		n.answer(request, http.StatusNotFound, wire.Error{Error: noSuchJob})
	}
}
