package core

import (
	"fmt"

	"micaport/internal/replica"
	"micaport/internal/wire"
)

// The dependencies that a submission names: whether each was ever accepted, and how the new
// record holds them.

// writeDependencyList writes the list of a submission whose record has no room for it, as many
// parts at once as a transaction takes, and calls create again after each. It tells
// whether all parts are written, and names the list in the record.
func (n *Node) writeDependencyList(request *pendingRequest, record *wire.Job) bool {
	list := replica.DependencyListName(request.dependencies.jobIDs)
	parts := replica.SplitDependencyList(request.dependencies.jobIDs, n.cfg.MaxValueBytes)
	var writes []Write
	var numbers []int
	most := max(1, min(n.cfg.MaxTransactionOps, maxTransactionBytes/n.cfg.MaxValueBytes))
	for i, ids := range parts {
		key := wire.DependencyListKey(request.JobID, list, i+1)
		if n.replica.HasDependencyList(request.JobID, key) || request.dependencies.writtenKeys[i+1] || len(writes) == most {
			continue
		}
		writes = append(writes, Write{Key: key, Value: &wire.DependencyList{JobIDs: ids}})
		numbers = append(numbers, i+1)
	}
	if len(writes) > 0 {
		n.commit(ClassUser, nil, writes, func(result Committed) {
			if result.Outcome == OK {
				for _, number := range numbers {
					request.dependencies.writtenKeys[number] = true
				}
			} else if !n.mayRetry(request, result.Outcome) {
				return
			}
			n.createJob(request)
		})
		return false
	}
	spec := *record.Spec
	spec.Dependencies = nil
	record.Spec, record.DependencyList, record.DependencyListKeys = &spec, list, len(parts)
	return true
}

// dependencyCheck is what becomes of the jobs that a submission names.
type dependencyCheck struct {
	jobIDs       []string                 // as submitted
	readsPending int                      // reads under way
	states       map[string]wire.JobState // of those that the replica did not have
	daemon       map[string]bool          // of those, services

	writtenKeys map[int]bool // parts of the list of needs that the state service has
}

// findDependencies finds out about the jobs that a submission names, and calls create again
// once it knows. Those that the replica does not show may have been accepted a moment
// ago by another controller, so they are read.
func (n *Node) findDependencies(request *pendingRequest) bool {
	if request.dependencies == nil {
		request.dependencies = &dependencyCheck{jobIDs: request.spec.Dependencies, states: map[string]wire.JobState{}, daemon: map[string]bool{}, writtenKeys: map[int]bool{}}
	}
	for _, id := range request.spec.Dependencies {
		if job := n.jobNamed(id); job != nil && job.Record != nil {
			continue
		}
		if _, read := request.dependencies.states[id]; read {
			continue
		}
		n.readDependency(request, id)
	}
	return request.dependencies.readsPending == 0
}

// jobNeverAccepted marks a job that was never accepted.
const jobNeverAccepted wire.JobState = -1

func (n *Node) readDependency(request *pendingRequest, ref string) {
	request.dependencies.readsPending++
	request.dependencies.states[ref] = wire.JobLive
	id := n.onResult(func(in Result) {
		read := in.(JobRead)
		n.noteStoreOutcome(read.Outcome)
		request.dependencies.readsPending--
		switch read.Outcome {
		case OK:
			request.dependencies.states[ref] = read.Job.State
			request.dependencies.daemon[ref] = read.Job.Spec != nil && read.Job.Spec.Shape == wire.ShapeDaemon
		case NotFound:
			request.dependencies.states[ref] = jobNeverAccepted
		default:
			delete(request.dependencies.states, ref)
			if n.mayRetry(request, read.Outcome) {
				n.readDependency(request, ref)
			}
			return
		}
		if _, open := n.users.requests[request.RequestID]; open && request.dependencies.readsPending == 0 {
			n.createJob(request)
		}
	})
	n.emit(ReadJob{ID: id, JobID: ref})
}

// settleDependencies takes what is done out of what a job waits on, and tells whether one
// of the rest is cancelled, or why the job can't be taken.
func (n *Node) settleDependencies(request *pendingRequest) (withdrawn bool, fault error) {
	var rest []string
	for _, id := range request.spec.Dependencies {
		state, known := request.dependencies.states[id]
		daemon := request.dependencies.daemon[id]
		if job := n.jobNamed(id); job != nil && job.Record != nil {
			state, known = job.State(), true
			daemon = job.Record.Spec != nil && job.Record.Spec.Shape == wire.ShapeDaemon
		}
		switch {
		case !known || state == jobNeverAccepted:
			return false, fmt.Errorf("waits on %s, which was never accepted", id)
		case daemon && state == wire.JobLive:
			return false, fmt.Errorf("waits on %s, which is a service", id)
		case state != wire.JobDone:
			// Also what is cancelled: the request may have to be made once more.
			withdrawn = withdrawn || state == wire.JobCancelled
			rest = append(rest, id)
		}
	}
	request.spec.Dependencies = rest
	return withdrawn, nil
}

// ancestorSearch reads the records above a job until one is found cancelled or all are
// known.
type ancestorSearch struct {
	n         *Node
	op        *pendingRequest
	record    *wire.Job // of the job that the request names
	seen      map[string]bool
	unvisited []string // jobs that are still to be looked at
}

// answerFromAncestors answers for a job that is live by its own record but waits on
// others, of which the replica may lag: they are read, up the chain.
func (n *Node) answerFromAncestors(request *pendingRequest, record *wire.Job) {
	search := &ancestorSearch{n: n, op: request, record: record, seen: map[string]bool{}}
	if search.add(request.JobID, record) {
		search.next()
	}
}

// add takes in what a job waits on, or answers the request where that is not known.
func (s *ancestorSearch) add(id string, record *wire.Job) bool {
	ids, complete := s.n.replica.Dependencies(id, record)
	if !complete {
		s.n.answerUnavailable(s.op, "the records of the jobs that it waits on are not known yet")
		return false
	}
	for _, need := range ids {
		if !s.seen[need] {
			s.seen[need] = true
			s.unvisited = append(s.unvisited, need)
		}
	}
	return true
}

// next goes on with the jobs that are left, or answers.
func (s *ancestorSearch) next() {
	n := s.n
	for len(s.unvisited) > 0 {
		id := s.unvisited[len(s.unvisited)-1]
		s.unvisited = s.unvisited[:len(s.unvisited)-1]
		job := n.jobNamed(id)
		if job == nil || job.Record == nil || job.State() == wire.JobLive {
			s.read(id)
			return
		}
		if job.State() == wire.JobCancelled {
			s.answerCancelled()
			return
		}
	}
	n.answer(s.op, 200, replica.JobStatus(s.op.JobID, s.record))
}

// read reads the record of a job above.
func (s *ancestorSearch) read(ref string) {
	n := s.n
	id := n.onResult(func(in Result) {
		read := in.(JobRead)
		n.noteStoreOutcome(read.Outcome)
		switch {
		case read.Outcome == OK && read.Job.State == wire.JobCancelled:
			s.answerCancelled()
		case read.Outcome == OK && read.Job.State == wire.JobLive && read.Job.HasDependencies():
			if s.add(ref, read.Job) {
				s.next()
			}
		case read.Outcome == OK:
			s.next()
		case n.mayRetry(s.op, read.Outcome):
			s.unvisited = append(s.unvisited, ref)
			s.next()
		}
	})
	n.emit(ReadJob{ID: id, JobID: ref})
}

func (s *ancestorSearch) answerCancelled() {
	s.n.answer(s.op, 200, wire.JobStatus{JobID: s.op.JobID, Status: wire.StatusCancelled})
}
