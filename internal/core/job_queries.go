package core

import (
	"net/http"

	"micaport/internal/kv"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// requestedJobRead handles the result of reading the record of a request's job.
type requestedJobRead struct{ request *pendingRequest }

// readRequestedJob reads the record of a request's job from the state service and then continues with
// the request: it answers the request from the record, or changes the record for a cancellation.
func (n *Node) readRequestedJob(request *pendingRequest) {
	n.readJobRecord(request.JobID, requestedJobRead{request})
}

func (q requestedJobRead) jobRead(n *Node, read JobRead) {
	switch read.Outcome {
	case kv.OK:
		q.processFound(n, read)
	case kv.NotFound:
		q.processNotFound(n)
	default:
		if n.mayRetry(q.request, read.Outcome) {
			n.readRequestedJob(q.request)
		}
	}
}

// processFound processes a request whose job exists.
func (q requestedJobRead) processFound(n *Node, read JobRead) {
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
func (q requestedJobRead) processNotFound(n *Node) {
	request := q.request
	switch {
	case request.Kind != wire.RequestSubmit:
		n.answer(request, http.StatusNotFound, wire.Error{Error: noSuchJob})
	case request.rejection == nil:
		n.createJob(request)
	case request.spec == nil:
		n.answerError(request, http.StatusBadRequest, request.rejection)
	default:
		n.log(LogInfo, "submission rejected",
			"job", request.JobID, "reason", request.rejection.Error(),
			"known_types", n.machineTypes.OfferedCount(), "types_confirmed", n.typesConfirmedFor(request))
		n.answerError(request, http.StatusUnprocessableEntity, request.rejection)
	}
}

// jobCancellation handles the result of writing a cancelled job's record.
type jobCancellation struct {
	request *pendingRequest
	done    int // number of the job's tasks that are done
}

// cancelJob marks a job's record as cancelled. After this transaction no shard owner can place
// a task of the job, because each placement is conditional on the record's revision.
func (n *Node) cancelJob(request *pendingRequest, read JobRead) {
	record := replica.CloneRecord(read.Job)
	record.State = wire.JobCancelled
	replica.CompactRecord(record)
	// All tasks that were read are in the job's own key, which has the number 1. The overflow
	// keys were not read and stay unchanged.
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
		n.readRequestedJob(c.request)
	}
}
