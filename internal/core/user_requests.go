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

// A user's request is processed in these steps, each of which may answer it:
//
//  1. receiveUserRequest parses the request and answers it from the replica if the job has ended.
//  2. forwardToPeer forwards it to a peer if the state service does not serve this controller
//     (request_forwarding.go).
//  3. Depending on its kind, it is processed as a submission (submission.go,
//     dependency_check.go, dependency_list.go), as a status query that the replica answers
//     (status_queries.go), or by reading the job's record (job_queries.go), which a
//     cancellation then changes.
//  4. expireRequests answers requests whose deadline has passed.

const second = time.Second

// Time until a request is answered 503. Users wait 5 s for a submission or cancellation and
// 2 s for a status query, so the answers are sent before.
const (
	submitTimeout = 4500 * time.Millisecond
	statusTimeout = 1800 * time.Millisecond
)

const (
	// expiryInterval is the time between two checks for overdue requests.
	expiryInterval = 50 * time.Millisecond
	// retryMargin is the minimum time left before a request's deadline for another call to
	// the state service.
	retryMargin = second
	// retryAfterS is the value of the Retry-After header, in seconds, of answers with status
	// 503.
	retryAfterS = 1
)

// Error messages that several steps use.
const (
	noSuchJob        = "no such job"
	storeUnavailable = "state service unavailable"
	notUpgraded      = "not before all controllers have been upgraded"
	typesUnknown     = "machine types are not known yet"
	typesUnconfirmed = "no known machine type fits, and the cloud has not listed its types yet"
)

// pendingRequests holds the user requests that have not been answered.
type pendingRequests struct {
	requests          map[uint64]*pendingRequest // by request ID
	nextExpiryCheckAt Time                       // time of the next check for overdue requests
	status            statusQueries
}

// pendingRequest is a user request that has not been answered.
type pendingRequest struct {
	UserRequest
	spec            *wire.JobSpec // of a submission; nil if its body is not valid
	rejection       error         // why a submission is rejected, unless the job already exists
	receivedAt      Time
	deadline        Time
	forwardedToPeer bool
	awaitedReplica  bool             // it was queued to be answered from the replica; see queueStatusQuery
	dependencies    *dependencyCheck // of a submission with dependencies
}

// receiveUserRequest starts processing a user's request.
func (n *Node) receiveUserRequest(r UserRequest) {
	request := n.userRequests.add(r, n.now)
	if !n.parseRequest(request) {
		return
	}
	// A final state never changes, so the replica's copy suffices even if the replica lags.
	job := n.findJob(request.JobID)
	known := job != nil && job.Record != nil
	switch {
	case known && job.State() != wire.JobLive:
		n.answer(request, http.StatusOK, n.statusOf(request, job.Record))
	case n.forwardToPeer(request): // it has forwarded or answered the request
	case request.Kind == wire.RequestSubmit && request.rejection == nil && !known:
		n.createJob(request)
	case request.Kind == wire.RequestStatus && n.replica.Loaded():
		n.queueStatusQuery(request)
	default:
		n.readRequestedJob(request)
	}
}

// add adds a request that was received now and returns it with its deadline.
func (u *pendingRequests) add(r UserRequest, now Time) *pendingRequest {
	timeout := submitTimeout
	if r.Kind == wire.RequestStatus {
		timeout = statusTimeout
	}
	request := &pendingRequest{UserRequest: r, receivedAt: now, deadline: now + timeout}
	if u.requests == nil {
		u.requests = map[uint64]*pendingRequest{}
	}
	u.requests[r.RequestID] = request
	return request
}

// isUnanswered reports whether a request has not been answered yet.
func (u *pendingRequests) isUnanswered(request *pendingRequest) bool {
	_, unanswered := u.requests[request.RequestID]
	return unanswered
}

// parseRequest parses and validates a request. It answers a request that is not valid and
// then returns false. An invalid submission with a valid job ID is processed further, because
// it is answered with the job's status if the job exists.
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

// statusOf returns the body of an answer with the status of a request's job, given the job's
// record.
func (n *Node) statusOf(request *pendingRequest, record *wire.Job) any {
	// The replica may show that an ancestor of the job has been cancelled. The job is then
	// cancelled for good, even if its own record is still live.
	job := n.findJob(request.JobID)
	if record.State == wire.JobLive && job != nil && job.Record != nil && job.State() == wire.JobCancelled {
		return wire.JobStatus{JobID: request.JobID, Status: wire.StatusCancelled}
	}
	return replica.JobStatus(request.JobID, record)
}

// answer answers a request unless it has already been answered.
func (n *Node) answer(request *pendingRequest, status int, body any) {
	if !n.userRequests.isUnanswered(request) {
		return
	}
	delete(n.userRequests.requests, request.RequestID)
	retry := 0
	if status == http.StatusServiceUnavailable {
		retry = retryAfterS
	}
	n.emit(Reply{RequestID: request.RequestID, Status: status, Body: body, RetryAfterS: retry})
}

// answerError answers a request with an error.
func (n *Node) answerError(request *pendingRequest, status int, err error) {
	n.answer(request, status, wire.Error{Error: err.Error()})
}

// answerUnavailable answers a request with status 503, so that the user retries it.
func (n *Node) answerUnavailable(request *pendingRequest, reason string) {
	n.answer(request, http.StatusServiceUnavailable, wire.Error{Error: reason})
}

// mayRetry reports whether a call to the state service that failed with the given outcome may be
// repeated for a request. If not, it answers the request or forwards it to a peer, unless the
// request has already been answered.
func (n *Node) mayRetry(request *pendingRequest, outcome kv.Outcome) bool {
	switch {
	case !n.userRequests.isUnanswered(request):
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

// expireRequests answers the requests whose deadline has passed.
func (n *Node) expireRequests() {
	if n.now < n.userRequests.nextExpiryCheckAt {
		return
	}
	n.userRequests.nextExpiryCheckAt = n.now + expiryInterval
	for _, request := range n.userRequests.overdue(n.now) {
		reason := "state service is slow"
		if slices.Contains(n.typeConfirmations.waiting, request) {
			reason = typesUnconfirmed
		}
		n.answerUnavailable(request, reason)
	}
}

// overdue returns the requests whose deadline has passed, sorted by ID.
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
