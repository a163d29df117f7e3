package core

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"micaport/internal/wire"
)

// The jobs that a submission names, and how a record holds them. A few stand in the
// record itself. A list that the record has no room for is written to further keys
// first, in as many transactions as it takes, and the record that names it last; such
// a list never changes. Its name follows from what it holds, so submitting the same
// job again, at any controller, writes the same keys.

// listNameBytes is how much of the hash of a list its name keeps.
const listNameBytes = 16

// listFrame bounds what a part of a list takes besides the names in it.
const listFrame = 24

// nameList gives the name of a list of jobs.
func nameList(refs []string) string {
	sum := sha256.Sum256([]byte(strings.Join(refs, " ")))
	return hex.EncodeToString(sum[:listNameBytes])
}

// splitList shares a list out to values of at most a number of bytes.
func splitList(refs []string, valueBytes int) [][]string {
	const quotesAndComma = 3
	var parts [][]string
	size := valueBytes
	for _, ref := range refs {
		cost := len(ref) + quotesAndComma
		if size+cost > valueBytes {
			parts = append(parts, nil)
			size = listFrame
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], ref)
		size += cost
	}
	return parts
}

// putNeeds keeps a part of a list until the record of its job is taken in.
func (n *Node) putNeeds(key string, needs *wire.Needs) {
	ref := wire.NeedsJob(key)
	if j := n.jobNamed(ref); j != nil && j.rec != nil {
		return
	}
	if n.needsLists[ref] == nil {
		n.needsLists[ref] = map[string][]string{}
	}
	n.needsLists[ref][key] = needs.Refs
}

// needsInRecord lists the jobs that a record names, in itself or in its further keys
// as far as they are at hand, and tells whether those are complete.
func (n *Node) needsInRecord(ref string, rec *wire.Job) (refs []string, complete bool) {
	if rec.NeedsList == "" {
		return rec.Spec.WaitsOn, true
	}
	for part := 1; part <= rec.NeedsKeys; part++ {
		some, known := n.needsLists[ref][wire.NeedsKey(ref, rec.NeedsList, part)]
		if !known {
			return refs, false
		}
		refs = append(refs, some...)
	}
	return refs, true
}

// needsOf lists the jobs that a job with a record that was read waits on. Those of a
// list in further keys are known once our copy shows the job.
func (n *Node) needsOf(ref string, rec *wire.Job) (refs []string, complete bool) {
	j := n.jobNamed(ref)
	if rec.NeedsList == "" || j == nil || j.rec == nil || j.chain == nil {
		return n.needsInRecord(ref, rec)
	}
	for _, index := range j.chain.needs {
		refs = append(refs, n.jobs[index].ref)
	}
	return refs, true
}

// writeNeeds writes the list of a submission whose record has no room for it, as many
// parts at once as a transaction takes, and calls create again after each. It tells
// whether all parts are written, and names the list in the record.
func (n *Node) writeNeeds(op *userOp, rec *wire.Job) bool {
	list := nameList(op.needs.all)
	parts := splitList(op.needs.all, n.cfg.ValueBytes)
	var writes []Write
	var numbers []int
	most := max(1, min(n.cfg.TxnOps, maxTransactionBytes/n.cfg.ValueBytes))
	for i, refs := range parts {
		key := wire.NeedsKey(op.Ref, list, i+1)
		if _, known := n.needsLists[op.Ref][key]; known || op.needs.written[i+1] || len(writes) == most {
			continue
		}
		writes = append(writes, Write{Key: key, Value: &wire.Needs{Refs: refs}})
		numbers = append(numbers, i+1)
	}
	if len(writes) > 0 {
		n.commit(User, nil, writes, func(c Committed) {
			if c.Outcome == OK {
				for _, number := range numbers {
					op.needs.written[number] = true
				}
			} else if !n.retry(op, c.Outcome) {
				return
			}
			n.create(op)
		})
		return false
	}
	spec := *rec.Spec
	spec.WaitsOn = nil
	rec.Spec, rec.NeedsList, rec.NeedsKeys = &spec, list, len(parts)
	return true
}

// needed is what becomes of the jobs that a submission names.
type needed struct {
	all    []string                 // as submitted
	asked  int                      // reads under way
	states map[string]wire.JobState // of those that our copy did not have
	daemon map[string]bool          // of those, services

	written map[int]bool // parts of the list of needs that the state service has
}

// findNeeds finds out about the jobs that a submission names, and calls create again
// once it knows. Those that our copy does not show may have been accepted a moment
// ago by another controller, so they are read.
func (n *Node) findNeeds(op *userOp) bool {
	if op.needs == nil {
		op.needs = &needed{all: op.spec.WaitsOn, states: map[string]wire.JobState{}, daemon: map[string]bool{}, written: map[int]bool{}}
	}
	for _, ref := range op.spec.WaitsOn {
		if j := n.jobNamed(ref); j != nil && j.rec != nil {
			continue
		}
		if _, read := op.needs.states[ref]; read {
			continue
		}
		n.readNeed(op, ref)
	}
	return op.needs.asked == 0
}

// never marks a job that was never accepted.
const never wire.JobState = -1

func (n *Node) readNeed(op *userOp, ref string) {
	op.needs.asked++
	op.needs.states[ref] = wire.Live
	id := n.id(func(in Result) {
		g := in.(GotJob)
		n.storeHeard(g.Outcome)
		op.needs.asked--
		switch g.Outcome {
		case OK:
			op.needs.states[ref] = g.Job.State
			op.needs.daemon[ref] = g.Job.Spec != nil && g.Job.Spec.Shape == wire.ShapeDaemon
		case Missing:
			op.needs.states[ref] = never
		default:
			delete(op.needs.states, ref)
			if n.retry(op, g.Outcome) {
				n.readNeed(op, ref)
			}
			return
		}
		if _, open := n.users.open[op.Req]; open && op.needs.asked == 0 {
			n.create(op)
		}
	})
	n.emit(Read{ID: id, Ref: ref})
}

// settleNeeds takes what is done out of what a job waits on, and tells whether one
// of the rest is withdrawn, or why the job can't be taken.
func (n *Node) settleNeeds(op *userOp) (withdrawn bool, fault error) {
	var rest []string
	for _, ref := range op.spec.WaitsOn {
		state, known := op.needs.states[ref]
		daemon := op.needs.daemon[ref]
		if j := n.jobNamed(ref); j != nil && j.rec != nil {
			state, known = j.state(), true
			daemon = j.rec.Spec != nil && j.rec.Spec.Shape == wire.ShapeDaemon
		}
		switch {
		case !known || state == never:
			return false, fmt.Errorf("waits on %s, which was never accepted", ref)
		case daemon && state == wire.Live:
			return false, fmt.Errorf("waits on %s, which is a service", ref)
		case state != wire.Done:
			// Also what is withdrawn: the request may have to be made once more.
			withdrawn = withdrawn || state == wire.Withdrawn
			rest = append(rest, ref)
		}
	}
	op.spec.WaitsOn = rest
	return withdrawn, nil
}

// ancestorSearch reads the records above a job until one is found withdrawn or all are
// known.
type ancestorSearch struct {
	n    *Node
	op   *userOp
	rec  *wire.Job // of the job that the request names
	seen map[string]bool
	left []string // jobs that are still to be looked at
}

// answerFromAbove answers for a job that is live by its own record but waits on
// others, of which our copy may lag: they are read, up the chain.
func (n *Node) answerFromAbove(op *userOp, rec *wire.Job) {
	search := &ancestorSearch{n: n, op: op, rec: rec, seen: map[string]bool{}}
	if search.add(op.Ref, rec) {
		search.next()
	}
}

// add takes in what a job waits on, or answers the request where that is not known.
func (s *ancestorSearch) add(ref string, rec *wire.Job) bool {
	refs, complete := s.n.needsOf(ref, rec)
	if !complete {
		s.n.later(s.op, "the records of the jobs that it waits on are not known yet")
		return false
	}
	for _, need := range refs {
		if !s.seen[need] {
			s.seen[need] = true
			s.left = append(s.left, need)
		}
	}
	return true
}

// next goes on with the jobs that are left, or answers.
func (s *ancestorSearch) next() {
	n := s.n
	for len(s.left) > 0 {
		ref := s.left[len(s.left)-1]
		s.left = s.left[:len(s.left)-1]
		j := n.jobNamed(ref)
		if j == nil || j.rec == nil || j.state() == wire.Live {
			s.read(ref)
			return
		}
		if j.state() == wire.Withdrawn {
			s.answerWithdrawn()
			return
		}
	}
	n.answer(s.op, 200, status(s.op.Ref, s.rec))
}

// read reads the record of a job above.
func (s *ancestorSearch) read(ref string) {
	n := s.n
	id := n.id(func(in Result) {
		g := in.(GotJob)
		n.storeHeard(g.Outcome)
		switch {
		case g.Outcome == OK && g.Job.State == wire.Withdrawn:
			s.answerWithdrawn()
		case g.Outcome == OK && g.Job.State == wire.Live && g.Job.Waits():
			if s.add(ref, g.Job) {
				s.next()
			}
		case g.Outcome == OK:
			s.next()
		case n.retry(s.op, g.Outcome):
			s.left = append(s.left, ref)
			s.next()
		}
	})
	n.emit(Read{ID: id, Ref: ref})
}

func (s *ancestorSearch) answerWithdrawn() {
	s.n.answer(s.op, 200, wire.JobStatus{Ref: s.op.Ref, Status: wire.StatusWithdrawn})
}
