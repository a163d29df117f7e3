package core

import (
	"net/http"

	"micaport/internal/kv"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// jobQuery handles the result of reading the record of a request's job.
type jobQuery struct{ request *pendingRequest }

// readJob reads the record of a request's job from the state service. Depending on the kind of
// request, the record then answers it, or is changed by a cancellation.
func (n *Node) readJob(request *pendingRequest) { n.fetchJob(request.JobID, jobQuery{request}) }

func (q jobQuery) jobRead(n *Node, read JobRead) {
	switch read.Outcome {
	case kv.OK:
		q.processFound(n, read)
	case kv.NotFound:
		q.processNotFound(n)
	default:
		if n.mayRetry(q.request, read.Outcome) {
			n.readJob(q.request)
		}
	}
}

// processFound processes a request whose job exists.
func (q jobQuery) processFound(n *Node, read JobRead) {
	live := read.Job.State == wire.JobLive
	switch {
	case live && q.request.Kind == wire.RequestCancel:
		n.cancelJob(q.request, read)
	case live && read.Job.HasDependencies():
		n.answerFromAncestors(q.request, read.Job)
	default:
		n.answer(q.request, http.StatusOK, n.statusOf(q.request, read.Job))
	}
}

// processNotFound processes a request whose job was never accepted.
func (q jobQuery) processNotFound(n *Node) {
	request := q.request
	switch {
	case request.Kind != wire.RequestSubmit:
		n.answer(request, http.StatusNotFound, wire.Error{Error: noSuchJob})
	case request.rejection == nil:
		n.createJob(request)
	case request.spec == nil:
		n.answerError(request, http.StatusBadRequest, request.rejection)
	default:
		n.answerError(request, http.StatusUnprocessableEntity, request.rejection)
	}
}

// jobCancellation handles the result of writing a cancelled job's record.
type jobCancellation struct {
	request *pendingRequest
	done    int // tasks of the job that are done
}

// cancelJob marks a job's record as cancelled. After this transaction no shard owner can place
// a task of the job, because each placement is conditional on the record's revision.
func (n *Node) cancelJob(request *pendingRequest, read JobRead) {
	record := replica.CloneRecord(read.Job)
	record.State = wire.JobCancelled
	replica.CompactRecord(record)
	// The contents of the overflow keys have not been read, so they are left unchanged.
	for i := range record.ActiveTasks {
		record.ActiveTasks[i].StoredIn = 1
	}
	stored := replica.StoredRecord{Tasks: record.ActiveTasks, OverflowKeys: record.OverflowKeys, UnreadOverflowKeys: record.OverflowKeys}
	writes := n.replica.SplitRecord(request.JobID, stored, record)
	n.transact(ClassUser, []kv.Condition{{Key: wire.JobKey(request.JobID), Revision: read.Revision}}, writes, jobCancellation{request, record.DoneTasks.Count()})
}

func (c jobCancellation) committed(n *Node, result Committed) {
	outcome := result.Outcome
	if outcome == kv.OK {
		n.answer(c.request, http.StatusOK, wire.JobStatus{JobID: c.request.JobID, Status: wire.StatusCancelled, Done: c.done})
		return
	}
	if n.mayRetry(c.request, outcome) {
		n.readJob(c.request)
	}
}
