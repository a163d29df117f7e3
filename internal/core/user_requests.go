package core

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"micaport/internal/wire"
)

const second = time.Second

// userState holds the requests of users that wait for the state service.
type userState struct {
	open map[uint64]*userOp

	polls    []*userOp // wait for the next question of how far the records go
	asking   bool
	expireAt Time // when requests that waited for too long are next looked for
	askAt    Time
	settled  []pollBatch // know it, and wait for our copy to get there
}

// pollBatch is a number of polls that our copy may answer once it has reached
// a revision that the state service named after they had come.
type pollBatch struct {
	rev   uint64
	since Time
	ops   []*userOp
}

type userOp struct {
	UserRequest
	spec     *wire.Spec
	fault    error
	deadline Time
	handed   bool // given to a peer
	needs    *needed
}

// Users wait 5 s for a submission and 2 s for a poll; answers come before.
const (
	writePatience = 4500 * time.Millisecond
	pollPatience  = 1800 * time.Millisecond
)

func (n *Node) user(r UserRequest) {
	op := &userOp{UserRequest: r, deadline: n.now + writePatience}
	if n.users.open == nil {
		n.users.open = map[uint64]*userOp{}
	}
	n.users.open[r.Req] = op
	switch r.Kind {
	case wire.Submit:
		op.Ref, op.spec, op.fault = wire.ParseSpec(r.Body)
		if op.Ref == "" {
			n.answer(op, 400, wire.Error{Error: op.fault.Error()})
			return
		}
	case wire.Poll:
		op.deadline = n.now + pollPatience
		fallthrough
	case wire.Withdraw:
		if !wire.ValidRef(op.Ref) {
			n.answer(op, 404, wire.Error{Error: "no such job"})
			return
		}
	default:
		n.answer(op, 404, wire.Error{Error: "no such request"})
		return
	}
	// A final state never changes, so our copy may answer for it.
	ix := n.refs.Find(op.Ref)
	if ix >= 0 && n.jobs[ix].rec != nil && n.jobs[ix].state() != wire.Live {
		n.answer(op, 200, n.reply(op, n.jobs[ix].rec))
		return
	}
	if n.handOver(op) {
		return
	}
	if op.Kind == wire.Submit && op.fault == nil && (ix < 0 || n.jobs[ix].rec == nil) {
		n.create(op)
		return
	}
	if op.Kind == wire.Poll && n.loaded {
		n.users.polls = append(n.users.polls, op)
		n.askRevision()
		return
	}
	n.lookUp(op)
}

// pollPause gathers polls: one question to the state service serves all that
// came before it was sent. With hundreds of users, reading each record would
// take more of a core than we have. All controllers together spend at most a
// sixth of the service's requests on it.
func (n *Node) pollPause() Time {
	pause := 60 * time.Millisecond
	if n.cfg.StateRPS > 0 {
		pause = max(pause, Time(float64(6*len(n.cfg.Members))/n.cfg.StateRPS*float64(second)))
	}
	return min(pause, 500*time.Millisecond)
}

// askRevision asks how far the records go. What our copy shows once it has got
// there is at least as new as anything that anyone was told before the polls
// came, so answers from it never go back.
func (n *Node) askRevision() {
	u := &n.users
	if u.asking || len(u.polls) == 0 || n.now < u.askAt {
		return
	}
	ops := u.polls
	u.polls, u.asking, u.askAt = nil, true, n.now+n.pollPause()
	// Equal or not, the answer names the present revision.
	n.commit(User, []Cond{{wire.LeaderKey, n.leader.rev}}, nil, func(c Committed) {
		u.asking = false
		switch c.Outcome {
		case OK, Conflict:
			u.settled = append(u.settled, pollBatch{rev: c.Rev, since: n.now, ops: ops})
			n.settlePolls()
		default:
			for _, op := range ops {
				if n.retry(op, c.Outcome) {
					u.polls = append(u.polls, op)
				}
			}
		}
	})
}

// settlePolls answers the polls that our copy has caught up with. When it
// lags, the records are read one by one.
func (n *Node) settlePolls() {
	u := &n.users
	var rest []pollBatch
	for _, b := range u.settled {
		switch {
		case n.rev >= b.rev:
			for _, op := range b.ops {
				if ix := n.refs.Find(op.Ref); ix >= 0 && n.jobs[ix].rec != nil {
					n.answer(op, 200, n.reply(op, n.jobs[ix].rec))
				} else {
					n.answer(op, 404, wire.Error{Error: "no such job"})
				}
			}
		case n.now-b.since > 400*time.Millisecond:
			for _, op := range b.ops {
				if _, open := u.open[op.Req]; open {
					n.lookUp(op)
				}
			}
		default:
			rest = append(rest, b)
		}
	}
	u.settled = rest
}

// reply is the body of a 200. Withdrawals and submissions leave out counts.
func (n *Node) reply(op *userOp, r *wire.Job) any {
	// What our copy shows of the jobs above is final.
	if j := n.jobNamed(op.Ref); r.State == wire.Live && j != nil && j.rec != nil && j.state() == wire.Withdrawn {
		return wire.JobStatus{Ref: op.Ref, Status: wire.StatusWithdrawn}
	}
	return status(op.Ref, r)
}

func (n *Node) answer(op *userOp, status int, body any) {
	if _, ok := n.users.open[op.Req]; !ok {
		return
	}
	delete(n.users.open, op.Req)
	retry := 0
	if status == 503 {
		retry = 1
	}
	n.emit(Reply{Req: op.Req, Status: status, Body: body, RetryS: retry})
}

const notUpgraded = "not before all controllers have been upgraded"

func (n *Node) later(op *userOp, why string) { n.answer(op, 503, wire.Error{Error: why}) }

// handOver gives the request to a peer when we alone can't reach the state
// service.
func (n *Node) handOver(op *userOp) bool {
	if n.storeOK || op.Forwarded || op.handed {
		return false
	}
	if n.peersMayMisread(op.spec) {
		n.later(op, notUpgraded)
		return true
	}
	for _, m := range n.cfg.Members {
		p := n.peers[m.Label]
		if p != nil && p.msg.StoreOK && n.now-p.at < 3*second {
			op.handed = true
			n.emit(Forward{Req: op.Req, To: m.Label, Call: wire.UserCall{Kind: op.Kind, Ref: op.Ref, Body: op.Body}})
			return true
		}
	}
	return false
}

// peersMayMisread tells whether a submission means something else to a peer of an earlier
// version. One that reads format 1 takes a chained job for one that waits on nothing, and
// one that reads format 2 answers 422 to names that its record has no room for.
func (n *Node) peersMayMisread(spec *wire.Spec) bool {
	switch {
	case spec == nil || len(spec.WaitsOn) == 0 || n.writesLongNeeds():
		return false
	case !n.writesChains():
		return true
	}
	return !n.fitsValue(n.newRecord(spec))
}

// forwarded answers a user with what a peer answered.
func (n *Node) forwarded(f Forwarded) {
	op := n.users.open[f.Req]
	if op == nil {
		return
	}
	if f.Answer.Status == 0 {
		n.later(op, "state service unavailable")
		return
	}
	n.answer(op, f.Answer.Status, f.Answer.Body)
}

// retry tells whether a request that met trouble may be tried again in time.
func (n *Node) retry(op *userOp, o Outcome) bool {
	if _, open := n.users.open[op.Req]; !open {
		return false
	}
	if o == Refused {
		if !n.handOver(op) {
			n.later(op, "state service unavailable")
		}
		return false
	}
	if n.now > op.deadline-second {
		n.later(op, "state service unavailable")
		return false
	}
	return true
}

// create commits a new job's record, after checking that it can ever run.
func (n *Node) create(op *userOp) {
	s := op.spec
	if n.types == nil {
		n.later(op, "machine types are not known yet")
		return
	}
	if why := n.neverRuns(s); why != "" {
		op.fault = fmt.Errorf("%s", why)
		n.lookUp(op)
		return
	}
	if len(s.WaitsOn) > 0 && !n.writesChains() {
		n.later(op, notUpgraded)
		return
	}
	if len(s.WaitsOn) > 0 && !n.findNeeds(op) {
		return // it comes back here
	}
	withdrawn := false
	if len(s.WaitsOn) > 0 {
		if withdrawn, op.fault = n.settleNeeds(op); op.fault != nil {
			n.lookUp(op)
			return
		}
	}
	// Types that nobody offers can't be had; leaving them out bounds the size
	// of the record whatever the user sends.
	s.Rigs = slices.DeleteFunc(s.Rigs, func(name string) bool { return n.flavor(n.rigs.Find(name)) == nil })
	rec := n.newRecord(s)
	status := wire.StatusPending
	if withdrawn {
		// Withdrawn with what it names, before it could start.
		rec.State, status = wire.Withdrawn, wire.StatusWithdrawn
		tidy(rec)
	} else if !n.fitRecord(op, rec) {
		return // answered, or it comes back here
	}
	key := wire.JobKey(s.Ref)
	n.commit(User, []Cond{{key, 0}}, []Write{{Key: key, Value: rec}}, func(c Committed) {
		switch c.Outcome {
		case OK:
			n.log(LogDebug, "accepted", "job", s.Ref, "class", s.Class, "team", s.Team, "frames", s.Frames, "image", s.Image, "gb", s.ImageGB, "expected_s", s.ExpectedS)
			n.answer(op, 201, wire.JobStatus{Ref: s.Ref, Status: status})
		case Conflict:
			n.lookUp(op)
		default:
			if n.retry(op, c.Outcome) {
				n.create(op)
			}
		}
	})
}

// newRecord is the record of a job that is accepted now.
func (n *Node) newRecord(spec *wire.Spec) *wire.Job {
	return &wire.Job{Spec: spec, Frames: spec.Frames, At: n.cfg.WallMS(), Next: 1}
}

// fitRecord makes a new job's record fit a value, if need be by writing what it waits
// on to further keys first.
func (n *Node) fitRecord(op *userOp, rec *wire.Job) bool {
	if n.fitsValue(rec) {
		return true
	}
	bare := *rec.Spec
	bare.WaitsOn = nil
	named := *rec
	named.Spec, named.NeedsList, named.NeedsKeys = &bare, nameList(nil), wire.MaxFrames
	switch {
	case !n.fitsValue(&named):
		op.fault = errors.New("its names are too long to be recorded")
		n.lookUp(op)
		return false
	case !n.writesLongNeeds():
		n.later(op, notUpgraded)
		return false
	}
	return n.writeNeeds(op, rec)
}

// fitsValue tells whether a value holds a record and a few lists of active tasks.
func (n *Node) fitsValue(rec *wire.Job) bool {
	const lists = 2
	return n.baseOf(rec)+lists*(n.runCost()+wire.ListCost+rangeCost) <= n.cfg.ValueBytes
}

// lookUp reads the record and goes on by the kind of request.
func (n *Node) lookUp(op *userOp) {
	id := n.id(func(in Result) {
		g := in.(GotJob)
		n.storeHeard(g.Outcome)
		switch g.Outcome {
		case OK:
			if op.Kind == wire.Withdraw && g.Job.State == wire.Live {
				n.withdraw(op, g)
				return
			}
			if g.Job.State == wire.Live && g.Job.Waits() {
				n.answerFromAbove(op, g.Job)
				return
			}
			n.answer(op, 200, n.reply(op, g.Job))
		case Missing:
			switch {
			case op.Kind != wire.Submit:
				n.answer(op, 404, wire.Error{Error: "no such job"})
			case op.fault == nil:
				n.create(op)
			case op.spec == nil:
				n.answer(op, 400, wire.Error{Error: op.fault.Error()})
			default:
				n.answer(op, 422, wire.Error{Error: op.fault.Error()})
			}
		default:
			if n.retry(op, g.Outcome) {
				n.lookUp(op)
			}
		}
	})
	n.emit(Read{ID: id, Ref: op.Ref})
}

// withdraw marks the record; from this commit on no owner can place a task of
// the job, as each placing is conditional on the record's revision.
func (n *Node) withdraw(op *userOp, g GotJob) {
	rec := clone(g.Job)
	rec.State = wire.Withdrawn
	tidy(rec)
	// What its further keys hold is not known here and stays.
	for i := range rec.Active {
		rec.Active[i].StoredIn = 1
	}
	writes := n.splitRecord(op.Ref, rec.Active, rec.Continuations, rec.Continuations, rec)
	n.commit(User, []Cond{{wire.JobKey(op.Ref), g.Rev}}, writes, func(c Committed) {
		switch c.Outcome {
		case OK:
			n.answer(op, 200, wire.JobStatus{Ref: op.Ref, Status: wire.StatusWithdrawn, Done: rec.DoneSet.Count()})
		case Conflict:
			if n.retry(op, OK) {
				n.lookUp(op)
			}
		default:
			if n.retry(op, c.Outcome) {
				n.lookUp(op)
			}
		}
	})
}

// expireUsers answers requests that the state service has left waiting.
func (n *Node) expireUsers() {
	if n.now < n.users.expireAt {
		return
	}
	n.users.expireAt = n.now + 50*time.Millisecond
	var late []uint64
	for req, op := range n.users.open {
		if n.now >= op.deadline {
			late = append(late, req)
		}
	}
	slices.Sort(late)
	for _, req := range late {
		n.later(n.users.open[req], "state service is slow")
	}
}

// neverRuns says why a job can never run, or "".
func (n *Node) neverRuns(s *wire.Spec) string {
	index := n.teams.Find(s.Team)
	if index < 0 {
		return "unknown team"
	}
	team := n.teamTerms(index)
	fits := false
	for i := range n.types {
		if r := &n.types[i]; rigAllowed(s, r.Name) && fitsRig(s, r) && (s.Zone == "" || slices.Contains(r.Zones, s.Zone)) {
			fits = true
		}
	}
	if !fits {
		return "no allowed machine type fits a task"
	}
	count := 1.0
	if s.Shape != wire.ShapeArray {
		count = float64(s.Frames)
	}
	if over(s.Cores*count, team.CoresMax) || over(s.Cards*count, team.CardsMax) {
		return "needs more than the team's limit"
	}
	return ""
}

const eps = 1e-6

func over(need, limit float64) bool { return limit > 0 && need > limit+eps }

func rigAllowed(s *wire.Spec, rig string) bool {
	if s.RigsForbidAll {
		return false
	}
	return len(s.Rigs) == 0 || slices.Contains(s.Rigs, rig)
}

func fitsRig(s *wire.Spec, r *wire.Flavor) bool {
	return s.Cores <= r.Cores+eps && s.Cards <= r.Cards+eps && s.MemoryGB <= r.MemoryGB+eps
}
