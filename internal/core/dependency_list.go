package core

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"micaport/internal/wire"
)

// The jobs that a submission names, and how a record holds them. A few stand in the
// record itself. A list that the record has no room for is written to overflow keys
// first, in as many transactions as it takes, and the record that names it last; such
// a list never changes. Its name follows from what it holds, so submitting the same
// job again, at any controller, writes the same keys.

// dependencyListNameBytes is how much of the hash of a list its name keeps.
const dependencyListNameBytes = 16

// dependencyListFrameBytes bounds what a part of a list takes besides the names in it.
const dependencyListFrameBytes = 24

// dependencyListName gives the name of a list of jobs.
func dependencyListName(refs []string) string {
	sum := sha256.Sum256([]byte(strings.Join(refs, " ")))
	return hex.EncodeToString(sum[:dependencyListNameBytes])
}

// splitDependencyList shares a list out to values of at most a number of bytes.
func splitDependencyList(refs []string, valueBytes int) [][]string {
	const quotesAndComma = 3
	var parts [][]string
	size := valueBytes
	for _, ref := range refs {
		cost := len(ref) + quotesAndComma
		if size+cost > valueBytes {
			parts = append(parts, nil)
			size = dependencyListFrameBytes
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], ref)
		size += cost
	}
	return parts
}

// putDependencyList keeps a part of a list until the record of its job is taken in.
func (n *Node) putDependencyList(key string, needs *wire.DependencyList) {
	ref := wire.DependencyListJob(key)
	if j := n.jobNamed(ref); j != nil && j.record != nil {
		return
	}
	if n.dependencyLists[ref] == nil {
		n.dependencyLists[ref] = map[string][]string{}
	}
	n.dependencyLists[ref][key] = needs.JobIDs
}

// dependenciesInRecord lists the jobs that a record names, in itself or in its overflow keys
// as far as they are at hand, and tells whether those are complete.
func (n *Node) dependenciesInRecord(ref string, rec *wire.Job) (refs []string, complete bool) {
	if rec.DependencyList == "" {
		return rec.Spec.Dependencies, true
	}
	for part := 1; part <= rec.DependencyListKeys; part++ {
		some, known := n.dependencyLists[ref][wire.DependencyListKey(ref, rec.DependencyList, part)]
		if !known {
			return refs, false
		}
		refs = append(refs, some...)
	}
	return refs, true
}

// dependenciesOf lists the jobs that a job with a record that was read waits on. Those of a
// list in overflow keys are known once the replica shows the job.
func (n *Node) dependenciesOf(ref string, rec *wire.Job) (refs []string, complete bool) {
	j := n.jobNamed(ref)
	if rec.DependencyList == "" || j == nil || j.record == nil || j.links == nil {
		return n.dependenciesInRecord(ref, rec)
	}
	for _, index := range j.links.dependencies {
		refs = append(refs, n.jobs[index].id)
	}
	return refs, true
}

// writeDependencyList writes the list of a submission whose record has no room for it, as many
// parts at once as a transaction takes, and calls create again after each. It tells
// whether all parts are written, and names the list in the record.
func (n *Node) writeDependencyList(op *pendingRequest, rec *wire.Job) bool {
	list := dependencyListName(op.dependencies.jobIDs)
	parts := splitDependencyList(op.dependencies.jobIDs, n.cfg.MaxValueBytes)
	var writes []Write
	var numbers []int
	most := max(1, min(n.cfg.MaxTransactionOps, maxTransactionBytes/n.cfg.MaxValueBytes))
	for i, refs := range parts {
		key := wire.DependencyListKey(op.JobID, list, i+1)
		if _, known := n.dependencyLists[op.JobID][key]; known || op.dependencies.writtenKeys[i+1] || len(writes) == most {
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
		if j := n.jobNamed(ref); j != nil && j.record != nil {
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
		if j := n.jobNamed(ref); j != nil && j.record != nil {
			state, known = j.state(), true
			daemon = j.record.Spec != nil && j.record.Spec.Shape == wire.ShapeDaemon
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
	refs, complete := s.n.dependenciesOf(ref, rec)
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
		if j == nil || j.record == nil || j.state() == wire.JobLive {
			s.read(ref)
			return
		}
		if j.state() == wire.JobCancelled {
			s.answerCancelled()
			return
		}
	}
	n.answer(s.op, 200, jobStatus(s.op.JobID, s.record))
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
