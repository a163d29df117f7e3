package core

import (
	"net/http"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

const (
	// minRevisionQueryInterval and maxRevisionQueryInterval bound the time between two queries
	// of the state service's revision.
	minRevisionQueryInterval = 60 * time.Millisecond
	maxRevisionQueryInterval = 500 * time.Millisecond
	// requestsPerRevisionQuery limits the revision queries of all controllers together: one in
	// this many of the requests that the state service allows.
	requestsPerRevisionQuery = 6
	// replicaLagTimeout is how long status queries wait for the replica to reach their
	// revision before the jobs' records are read from the state service instead.
	replicaLagTimeout = 400 * time.Millisecond
)

// statusQueries holds the status queries that the replica is to answer. Waiting queries share
// one query of the state service's current revision, a transaction without writes. They are
// answered once the replica has reached that revision.
type statusQueries struct {
	waiting     []*pendingRequest // for the next revision query
	querying    bool              // a revision query is in flight
	nextQueryAt Time              // earliest time of the next revision query
	batches     []statusBatch     // for which the revision is known
}

// statusBatch is a set of status queries that the replica may answer once it has reached the
// revision that the state service returned after they had been received.
type statusBatch struct {
	revision        uint64
	revisionKnownAt Time // when the revision was returned
	requests        []*pendingRequest
}

// revisionQuery handles the result of a query of the state service's revision.
type revisionQuery struct{ requests []*pendingRequest }

// revisionQueryInterval returns the minimum time between two revision queries. Status queries share
// revision queries because reading each job's record would take more CPU time than a controller
// has, once there are hundreds of users.
func (n *Node) revisionQueryInterval() Time {
	interval := minRevisionQueryInterval
	if n.cfg.StateRPS > 0 {
		interval = max(interval, Time(float64(requestsPerRevisionQuery*len(n.cfg.Members))/n.cfg.StateRPS*float64(second)))
	}
	return min(interval, maxRevisionQueryInterval)
}

// queueStatusQuery queues a status query, or another request for the status of a job, to be answered
// from the replica.
func (n *Node) queueStatusQuery(request *pendingRequest) {
	request.awaitedReplica = true
	n.userRequests.status.waiting = append(n.userRequests.status.waiting, request)
	n.queryRevision()
}

// queryRevision queries the state service's revision for the waiting status queries, if the
// interval has passed. At that revision the replica is at least as recent as any answer that a
// user received before these queries, so a job's status never appears to go back.
func (n *Node) queryRevision() {
	status := &n.userRequests.status
	if status.querying || len(status.waiting) == 0 || n.now < status.nextQueryAt {
		return
	}
	query := revisionQuery{status.waiting}
	status.waiting = nil
	status.querying = true
	status.nextQueryAt = n.now + n.revisionQueryInterval()
	// The service returns its revision whether the condition holds or not, so any condition
	// will do.
	n.transact(ClassUser, []kv.Condition{n.leaderCondition()}, nil, query)
}

// committed adds a batch with the revision that the state service returned.
func (q revisionQuery) committed(n *Node, result Committed) {
	status := &n.userRequests.status
	status.querying = false
	switch result.Outcome {
	case kv.OK, kv.Conflict:
		status.batches = append(status.batches, statusBatch{revision: result.Revision, revisionKnownAt: n.now, requests: q.requests})
		n.answerStatusQueries()
	default:
		for _, request := range q.requests {
			if n.mayRetry(request, result.Outcome) {
				status.waiting = append(status.waiting, request)
			}
		}
	}
}

// answerStatusQueries answers the batches whose revision the replica has reached. If the
// replica lags for too long, it reads the jobs' records from the state service instead.
func (n *Node) answerStatusQueries() {
	status := &n.userRequests.status
	var rest []statusBatch
	for _, batch := range status.batches {
		switch {
		case n.replica.Revision() >= batch.revision:
			for _, request := range batch.requests {
				n.answerFromReplica(request)
			}
		case n.now-batch.revisionKnownAt > replicaLagTimeout:
			for _, request := range batch.requests {
				if n.userRequests.isUnanswered(request) {
					n.readRequestedJob(request)
				}
			}
		default:
			rest = append(rest, batch)
		}
	}
	status.batches = rest
}

// answerFromReplica answers a status query with the replica's copy of the job's record.
func (n *Node) answerFromReplica(request *pendingRequest) {
	if job := n.findJob(request.JobID); job != nil && job.Record != nil {
		n.answer(request, http.StatusOK, n.statusOf(request, job.Record))
	} else {
		n.answer(request, http.StatusNotFound, wire.Error{Error: noSuchJob})
	}
}
