package core

import (
	"net/http"

	"micaport/internal/kv"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// ancestorSearch reads the records of the jobs that a job depends on, directly or indirectly,
// until one is found cancelled or all have been visited. One read is in flight at a time.
type ancestorSearch struct {
	request   *pendingRequest
	record    *wire.Job // of the request's job
	seen      map[string]bool
	unvisited []string // stack of job IDs to visit
	reading   string   // ID of the job whose record is being read
}

// answerFromAncestors answers a request for a job whose own record is live but which depends on
// other jobs, any of which may be cancelled. If the replica shows the job, it waits for the replica
// to be recent enough, like a status query. If the replica lags or does not show the job, it reads
// the records of the ancestors that the replica shows as live or not at all, one after the other.
func (n *Node) answerFromAncestors(request *pendingRequest, record *wire.Job) {
	if job := n.findJob(request.JobID); n.replica.Loaded() && job != nil && job.Record != nil && !request.awaitedReplica {
		n.queueStatusQuery(request)
		return
	}
	search := &ancestorSearch{request: request, record: record, seen: map[string]bool{}}
	if search.addDependencies(n, request.JobID, record) {
		search.visitNext(n)
	}
}

// addDependencies adds the jobs that a job depends on to the search. If not all of them are known,
// it answers the request with status 503 and returns false.
func (s *ancestorSearch) addDependencies(n *Node, jobID string, record *wire.Job) bool {
	ids, complete := n.replica.Dependencies(jobID, record)
	if !complete {
		n.answerUnavailable(s.request, "the records of the jobs that it waits on are not known yet")
		return false
	}
	for _, id := range ids {
		if !s.seen[id] {
			s.seen[id] = true
			s.unvisited = append(s.unvisited, id)
		}
	}
	return true
}

// visitNext continues the search with the unvisited jobs. It answers the request if an ancestor is
// cancelled or all have been visited.
func (s *ancestorSearch) visitNext(n *Node) {
	for len(s.unvisited) > 0 {
		id := s.unvisited[len(s.unvisited)-1]
		s.unvisited = s.unvisited[:len(s.unvisited)-1]
		job := n.findJob(id)
		if job == nil || job.Record == nil || job.State() == wire.JobLive {
			s.reading = id
			n.readJobRecord(id, s)
			return
		}
		if job.State() == wire.JobCancelled {
			s.answerCancelled(n)
			return
		}
	}
	n.answer(s.request, http.StatusOK, replica.JobStatus(s.request.JobID, s.record))
}

func (s *ancestorSearch) jobRead(n *Node, read JobRead) {
	switch {
	case read.Outcome == kv.OK && read.Job.State == wire.JobCancelled:
		s.answerCancelled(n)
	case read.Outcome == kv.OK && read.Job.State == wire.JobLive && read.Job.HasDependencies():
		if s.addDependencies(n, s.reading, read.Job) {
			s.visitNext(n)
		}
	case read.Outcome == kv.OK:
		s.visitNext(n)
	case n.mayRetry(s.request, read.Outcome):
		s.unvisited = append(s.unvisited, s.reading)
		s.visitNext(n)
	}
}

func (s *ancestorSearch) answerCancelled(n *Node) {
	n.answer(s.request, http.StatusOK, wire.JobStatus{JobID: s.request.JobID, Status: wire.StatusCancelled})
}
