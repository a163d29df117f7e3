package core

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"micaport/internal/kv"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// A user's request goes through these steps; each may end it with an answer:
//
//  1. userRequest parses it and answers from the replica where the job's record is final.
//  2. forwardToPeer hands it to a peer while the state service refuses this controller
//     (request_forwarding.go).
//  3. By its kind it becomes a submission (submission.go, dependency_check.go,
//     dependency_list.go), a status query that is answered from the replica
//     (status_queries.go), or a read of the job's record (job_queries.go), which a
//     cancellation follows with a write.
//  4. expireRequests answers what has waited for too long.

const second = time.Second

// Users wait 5 s for a submission or cancellation and 2 s for a status query; they are
// answered before.
const (
	submitTimeout = 4500 * time.Millisecond
	statusTimeout = 1800 * time.Millisecond
)

const (
	// expiryInterval is the time between two searches for requests that are overdue.
	expiryInterval = 50 * time.Millisecond
	// retryMargin is the least time before a request's deadline at which it is sent to
	// the state service once more.
	retryMargin = second
	// retryAfterS is what Retry-After says where a request can't be answered now.
	retryAfterS = 1
)

// Texts of answers that more than one step gives.
const (
	noSuchJob        = "no such job"
	storeUnavailable = "state service unavailable"
	notUpgraded      = "not before all controllers have been upgraded"
)

// pendingRequests holds the requests of users that have not been answered.
type pendingRequests struct {
	requests map[uint64]*pendingRequest // by request id
	expireAt Time                       // next search for requests that are overdue
	status   statusQueries
}

// pendingRequest is a user's request that has not been answered.
type pendingRequest struct {
	UserRequest
	spec            *wire.JobSpec // of a submission; nil where its body is not valid
	rejection       error         // why a submission is refused, unless the job exists already
	deadline        Time
	forwardedToPeer bool
	dependencies    *dependencyCheck // of a submission that names other jobs
}

// userRequest takes in a request and starts on it.
func (n *Node) userRequest(r UserRequest) {
	request := n.users.add(r, n.now)
	if !n.parseRequest(request) {
		return
	}
	// A final state never changes, so the replica may answer for it.
	job := n.jobNamed(request.JobID)
	known := job != nil && job.Record != nil
	switch {
	case known && job.State() != wire.JobLive:
		n.answer(request, http.StatusOK, n.statusOf(request, job.Record))
	case n.forwardToPeer(request):
	case request.Kind == wire.RequestSubmit && request.rejection == nil && !known:
		n.createJob(request)
	case request.Kind == wire.RequestStatus && n.replica.Loaded():
		n.queueStatusQuery(request)
	default:
		n.readJob(request)
	}
}

// add notes a request that has come at a time.
func (u *pendingRequests) add(r UserRequest, now Time) *pendingRequest {
	timeout := submitTimeout
	if r.Kind == wire.RequestStatus {
		timeout = statusTimeout
	}
	request := &pendingRequest{UserRequest: r, deadline: now + timeout}
	if u.requests == nil {
		u.requests = map[uint64]*pendingRequest{}
	}
	u.requests[r.RequestID] = request
	return request
}

// isOpen reports whether a request still has to be answered.
func (u *pendingRequests) isOpen(request *pendingRequest) bool {
	_, open := u.requests[request.RequestID]
	return open
}

// parseRequest checks what a request says, and answers one that makes no sense. A
// submission that is not valid goes on when it names a job: if the job exists, its
// status is the answer.
func (n *Node) parseRequest(request *pendingRequest) (ok bool) {
	switch request.Kind {
	case wire.RequestSubmit:
		request.JobID, request.spec, request.rejection = wire.ParseJobSpec(request.Body)
		if request.JobID == "" {
			n.answerError(request, http.StatusBadRequest, request.rejection)
			return false
		}
	case wire.RequestStatus, wire.RequestCancel:
		if !wire.ValidJobID(request.JobID) {
			n.answer(request, http.StatusNotFound, wire.Error{Error: noSuchJob})
			return false
		}
	default:
		n.answer(request, http.StatusNotFound, wire.Error{Error: "no such request"})
		return false
	}
	return true
}

// statusOf is the body of an answer with a job's status from its record.
func (n *Node) statusOf(request *pendingRequest, record *wire.Job) any {
	// The replica may know that a job which the record depends on has been cancelled:
	// that is final, also where the record itself doesn't say so yet.
	job := n.jobNamed(request.JobID)
	if record.State == wire.JobLive && job != nil && job.Record != nil && job.State() == wire.JobCancelled {
		return wire.JobStatus{JobID: request.JobID, Status: wire.StatusCancelled}
	}
	return replica.JobStatus(request.JobID, record)
}

// answer answers a request, unless it has been answered before.
func (n *Node) answer(request *pendingRequest, status int, body any) {
	if !n.users.isOpen(request) {
		return
	}
	delete(n.users.requests, request.RequestID)
	retry := 0
	if status == http.StatusServiceUnavailable {
		retry = retryAfterS
	}
	n.emit(Reply{RequestID: request.RequestID, Status: status, Body: body, RetryAfterS: retry})
}

func (n *Node) answerError(request *pendingRequest, status int, err error) {
	n.answer(request, status, wire.Error{Error: err.Error()})
}

func (n *Node) answerUnavailable(request *pendingRequest, reason string) {
	n.answer(request, http.StatusServiceUnavailable, wire.Error{Error: reason})
}

// mayRetry reports whether a request whose last call to the state service had the given
// outcome may be tried again. If not, it has been answered or handed to a peer.
func (n *Node) mayRetry(request *pendingRequest, outcome kv.Outcome) bool {
	switch {
	case !n.users.isOpen(request):
		return false
	case outcome == kv.Refused:
		if !n.forwardToPeer(request) {
			n.answerUnavailable(request, storeUnavailable)
		}
		return false
	case n.now > request.deadline-retryMargin:
		n.answerUnavailable(request, storeUnavailable)
		return false
	}
	return true
}

// expireRequests answers requests that the state service has left waiting.
func (n *Node) expireRequests() {
	if n.now < n.users.expireAt {
		return
	}
	n.users.expireAt = n.now + expiryInterval
	for _, request := range n.users.overdue(n.now) {
		n.answerUnavailable(request, "state service is slow")
	}
}

// overdue lists the requests whose deadline has passed, sorted by id.
func (u *pendingRequests) overdue(now Time) []*pendingRequest {
	var late []*pendingRequest
	for _, request := range u.requests {
		if now >= request.deadline {
			late = append(late, request)
		}
	}
	slices.SortFunc(late, func(a, b *pendingRequest) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return late
}
