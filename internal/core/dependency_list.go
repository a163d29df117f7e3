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
func (n *Node) writeDependencyList(op *pendingRequest, rec *wire.Job) bool {
	list := replica.DependencyListName(op.dependencies.jobIDs)
	parts := replica.SplitDependencyList(op.dependencies.jobIDs, n.cfg.MaxValueBytes)
	var writes []Write
	var numbers []int
	most := max(1, min(n.cfg.MaxTransactionOps, maxTransactionBytes/n.cfg.MaxValueBytes))
	for i, refs := range parts {
		key := wire.DependencyListKey(op.JobID, list, i+1)
		if n.replica.HasDependencyList(op.JobID, key) || op.dependencies.writtenKeys[i+1] || len(writes) == most {
			continue
		}
		writes = append(writes, Write{Key: key, Value: &wire.DependencyList{JobIDs: refs}})
		numbers = append(numbers, i+1)
	}
	if len(writes) > 0 {
		n.commit(ClassUser, nil, writes, func(c Committed) {
			if c.Outcome == OK {
				for _, number := range numbers {
					op.dependencies.writtenKeys[number] = true
				}
			} else if !n.mayRetry(op, c.Outcome) {
				return
			}
			n.createJob(op)
		})
		return false
	}
	spec := *rec.Spec
	spec.Dependencies = nil
	rec.Spec, rec.DependencyList, rec.DependencyListKeys = &spec, list, len(parts)
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
func (n *Node) findDependencies(op *pendingRequest) bool {
	if op.dependencies == nil {
		op.dependencies = &dependencyCheck{jobIDs: op.spec.Dependencies, states: map[string]wire.JobState{}, daemon: map[string]bool{}, writtenKeys: map[int]bool{}}
	}
	for _, ref := range op.spec.Dependencies {
		if j := n.jobNamed(ref); j != nil && j.Record != nil {
			continue
		}
		if _, read := op.dependencies.states[ref]; read {
			continue
		}
		n.readDependency(op, ref)
	}
	return op.dependencies.readsPending == 0
}

// jobNeverAccepted marks a job that was never accepted.
const jobNeverAccepted wire.JobState = -1

func (n *Node) readDependency(op *pendingRequest, ref string) {
	op.dependencies.readsPending++
	op.dependencies.states[ref] = wire.JobLive
	id := n.onResult(func(in Result) {
		g := in.(JobRead)
		n.noteStoreOutcome(g.Outcome)
		op.dependencies.readsPending--
		switch g.Outcome {
		case OK:
			op.dependencies.states[ref] = g.Job.State
			op.dependencies.daemon[ref] = g.Job.Spec != nil && g.Job.Spec.Shape == wire.ShapeDaemon
		case NotFound:
			op.dependencies.states[ref] = jobNeverAccepted
		default:
			delete(op.dependencies.states, ref)
			if n.mayRetry(op, g.Outcome) {
				n.readDependency(op, ref)
			}
			return
		}
		if _, open := n.users.requests[op.RequestID]; open && op.dependencies.readsPending == 0 {
			n.createJob(op)
		}
	})
	n.emit(ReadJob{ID: id, JobID: ref})
}

// settleDependencies takes what is done out of what a job waits on, and tells whether one
// of the rest is cancelled, or why the job can't be taken.
func (n *Node) settleDependencies(op *pendingRequest) (withdrawn bool, fault error) {
	var rest []string
	for _, ref := range op.spec.Dependencies {
		state, known := op.dependencies.states[ref]
		daemon := op.dependencies.daemon[ref]
		if j := n.jobNamed(ref); j != nil && j.Record != nil {
			state, known = j.State(), true
			daemon = j.Record.Spec != nil && j.Record.Spec.Shape == wire.ShapeDaemon
		}
		switch {
		case !known || state == jobNeverAccepted:
			return false, fmt.Errorf("waits on %s, which was never accepted", ref)
		case daemon && state == wire.JobLive:
			return false, fmt.Errorf("waits on %s, which is a service", ref)
		case state != wire.JobDone:
			// Also what is cancelled: the request may have to be made once more.
			withdrawn = withdrawn || state == wire.JobCancelled
			rest = append(rest, ref)
		}
	}
	op.spec.Dependencies = rest
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
func (n *Node) answerFromAncestors(op *pendingRequest, rec *wire.Job) {
	search := &ancestorSearch{n: n, op: op, record: rec, seen: map[string]bool{}}
	if search.add(op.JobID, rec) {
		search.next()
	}
}

// add takes in what a job waits on, or answers the request where that is not known.
func (s *ancestorSearch) add(ref string, rec *wire.Job) bool {
	refs, complete := s.n.replica.Dependencies(ref, rec)
	if !complete {
		s.n.answerUnavailable(s.op, "the records of the jobs that it waits on are not known yet")
		return false
	}
	for _, need := range refs {
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
		ref := s.unvisited[len(s.unvisited)-1]
		s.unvisited = s.unvisited[:len(s.unvisited)-1]
		j := n.jobNamed(ref)
		if j == nil || j.Record == nil || j.State() == wire.JobLive {
			s.read(ref)
			return
		}
		if j.State() == wire.JobCancelled {
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
		g := in.(JobRead)
		n.noteStoreOutcome(g.Outcome)
		switch {
		case g.Outcome == OK && g.Job.State == wire.JobCancelled:
			s.answerCancelled()
		case g.Outcome == OK && g.Job.State == wire.JobLive && g.Job.HasDependencies():
			if s.add(ref, g.Job) {
				s.next()
			}
		case g.Outcome == OK:
			s.next()
		case n.mayRetry(s.op, g.Outcome):
			s.unvisited = append(s.unvisited, ref)
			s.next()
		}
	})
	n.emit(ReadJob{ID: id, JobID: ref})
}

func (s *ancestorSearch) answerCancelled() {
	s.n.answer(s.op, 200, wire.JobStatus{JobID: s.op.JobID, Status: wire.StatusCancelled})
}
