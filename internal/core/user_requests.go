package core

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"micaport/internal/replica"
	"micaport/internal/wire"
)

const second = time.Second

// userState holds the requests of users that wait for the state service.
type userState struct {
	requests map[uint64]*pendingRequest

	statusRequests []*pendingRequest // wait for the next question of how far the records go
	revisionAsked  bool
	expireAt       Time // when requests that waited for too long are next looked for
	revisionAskAt  Time
	answerable     []statusBatch // know it, and wait for the replica to get there
}

// statusBatch is a number of polls that the replica may answer once it has reached
// a revision that the state service named after they had come.
type statusBatch struct {
	revision uint64
	since    Time
	requests []*pendingRequest
}

type pendingRequest struct {
	UserRequest
	spec            *wire.JobSpec
	err             error
	deadline        Time
	forwardedToPeer bool // given to a peer
	dependencies    *dependencyCheck
}

// Users wait 5 s for a submission and 2 s for a poll; answers come before.
const (
	submitTimeout = 4500 * time.Millisecond
	statusTimeout = 1800 * time.Millisecond
)

func (n *Node) userRequest(r UserRequest) {
	op := &pendingRequest{UserRequest: r, deadline: n.now + submitTimeout}
	if n.users.requests == nil {
		n.users.requests = map[uint64]*pendingRequest{}
	}
	n.users.requests[r.RequestID] = op
	switch r.Kind {
	case wire.RequestSubmit:
		op.JobID, op.spec, op.err = wire.ParseJobSpec(r.Body)
		if op.JobID == "" {
			n.answer(op, 400, wire.Error{Error: op.err.Error()})
			return
		}
	case wire.RequestStatus:
		op.deadline = n.now + statusTimeout
		fallthrough
	case wire.RequestCancel:
		if !wire.ValidJobID(op.JobID) {
			n.answer(op, 404, wire.Error{Error: "no such job"})
			return
		}
	default:
		n.answer(op, 404, wire.Error{Error: "no such request"})
		return
	}
	// A final state never changes, so the replica may answer for it.
	ix := n.names.Jobs.Find(op.JobID)
	if ix >= 0 && n.jobs[ix].Record != nil && n.jobs[ix].State() != wire.JobLive {
		n.answer(op, 200, n.reply(op, n.jobs[ix].Record))
		return
	}
	if n.forwardToPeer(op) {
		return
	}
	if op.Kind == wire.RequestSubmit && op.err == nil && (ix < 0 || n.jobs[ix].Record == nil) {
		n.createJob(op)
		return
	}
	if op.Kind == wire.RequestStatus && n.replica.Loaded() {
		n.users.statusRequests = append(n.users.statusRequests, op)
		n.askRevision()
		return
	}
	n.readJob(op)
}

// statusInterval gathers polls: one question to the state service serves all that
// came before it was sent. With hundreds of users, reading each record would
// take more of a core than we have. All controllers together spend at most a
// sixth of the service's requests on it.
func (n *Node) statusInterval() Time {
	pause := 60 * time.Millisecond
	if n.cfg.StateRPS > 0 {
		pause = max(pause, Time(float64(6*len(n.cfg.Members))/n.cfg.StateRPS*float64(second)))
	}
	return min(pause, 500*time.Millisecond)
}

// askRevision asks how far the records go. What the replica shows once it has got
// there is at least as new as anything that anyone was told before the polls
// came, so answers from it never go back.
func (n *Node) askRevision() {
	u := &n.users
	if u.revisionAsked || len(u.statusRequests) == 0 || n.now < u.revisionAskAt {
		return
	}
	ops := u.statusRequests
	u.statusRequests, u.revisionAsked, u.revisionAskAt = nil, true, n.now+n.statusInterval()
	// Equal or not, the answer names the present revision.
	n.commit(ClassUser, []Condition{{Key: wire.LeaderKey, Revision: n.leader.term}}, nil, func(c Committed) {
		u.revisionAsked = false
		switch c.Outcome {
		case OK, Conflict:
			u.answerable = append(u.answerable, statusBatch{revision: c.Revision, since: n.now, requests: ops})
			n.answerStatusRequests()
		default:
			for _, op := range ops {
				if n.mayRetry(op, c.Outcome) {
					u.statusRequests = append(u.statusRequests, op)
				}
			}
		}
	})
}

// answerStatusRequests answers the polls that the replica has caught up with. When it
// lags, the records are read one by one.
func (n *Node) answerStatusRequests() {
	u := &n.users
	var rest []statusBatch
	for _, b := range u.answerable {
		switch {
		case n.replica.Revision() >= b.revision:
			for _, op := range b.requests {
				if ix := n.names.Jobs.Find(op.JobID); ix >= 0 && n.jobs[ix].Record != nil {
					n.answer(op, 200, n.reply(op, n.jobs[ix].Record))
				} else {
					n.answer(op, 404, wire.Error{Error: "no such job"})
				}
			}
		case n.now-b.since > 400*time.Millisecond:
			for _, op := range b.requests {
				if _, open := u.requests[op.RequestID]; open {
					n.readJob(op)
				}
			}
		default:
			rest = append(rest, b)
		}
	}
	u.answerable = rest
}

// reply is the body of a 200. Cancellations and submissions leave out counts.
func (n *Node) reply(op *pendingRequest, r *wire.Job) any {
	// What the replica shows of the jobs above is final.
	if j := n.jobNamed(op.JobID); r.State == wire.JobLive && j != nil && j.Record != nil && j.State() == wire.JobCancelled {
		return wire.JobStatus{JobID: op.JobID, Status: wire.StatusCancelled}
	}
	return replica.JobStatus(op.JobID, r)
}

func (n *Node) answer(op *pendingRequest, status int, body any) {
	if _, ok := n.users.requests[op.RequestID]; !ok {
		return
	}
	delete(n.users.requests, op.RequestID)
	retry := 0
	if status == 503 {
		retry = 1
	}
	n.emit(Reply{RequestID: op.RequestID, Status: status, Body: body, RetryAfterS: retry})
}

const notUpgraded = "not before all controllers have been upgraded"

func (n *Node) answerUnavailable(op *pendingRequest, why string) {
	n.answer(op, 503, wire.Error{Error: why})
}

// forwardToPeer gives the request to a peer when we alone can't reach the state
// service.
func (n *Node) forwardToPeer(op *pendingRequest) bool {
	if n.storeOK || op.Forwarded || op.forwardedToPeer {
		return false
	}
	if n.peersMayMisread(op.spec) {
		n.answerUnavailable(op, notUpgraded)
		return true
	}
	for _, m := range n.cfg.Members {
		p := n.peers[m.Name]
		if p != nil && p.message.StoreOK && n.now-p.heardAt < 3*second {
			op.forwardedToPeer = true
			n.emit(Forward{RequestID: op.RequestID, To: m.Name, Call: wire.UserCall{Kind: op.Kind, Ref: op.JobID, Body: op.Body}})
			return true
		}
	}
	return false
}

// peersMayMisread tells whether a submission means something else to a peer of an earlier
// version. One that reads format 1 takes a chained job for one that waits on nothing, and
// one that reads format 2 answers 422 to names that its record has no room for.
func (n *Node) peersMayMisread(spec *wire.JobSpec) bool {
	switch {
	case spec == nil || len(spec.Dependencies) == 0 || n.replica.WritesDependencyLists():
		return false
	case !n.replica.WritesDependencies():
		return true
	}
	return !n.jobRecordFits(n.newRecord(spec))
}

// forwardAnswered answers a user with what a peer answered.
func (n *Node) forwardAnswered(f ForwardAnswered) {
	op := n.users.requests[f.RequestID]
	if op == nil {
		return
	}
	if f.Answer.Status == 0 {
		n.answerUnavailable(op, "state service unavailable")
		return
	}
	n.answer(op, f.Answer.Status, f.Answer.Body)
}

// mayRetry tells whether a request that met trouble may be tried again in time.
func (n *Node) mayRetry(op *pendingRequest, o Outcome) bool {
	if _, open := n.users.requests[op.RequestID]; !open {
		return false
	}
	if o == Refused {
		if !n.forwardToPeer(op) {
			n.answerUnavailable(op, "state service unavailable")
		}
		return false
	}
	if n.now > op.deadline-second {
		n.answerUnavailable(op, "state service unavailable")
		return false
	}
	return true
}

// createJob commits a new job's record, after checking that it can ever run.
func (n *Node) createJob(op *pendingRequest) {
	s := op.spec
	if n.offeredTypes == nil {
		n.answerUnavailable(op, "machine types are not known yet")
		return
	}
	if why := n.rejectReason(s); why != "" {
		op.err = fmt.Errorf("%s", why)
		n.readJob(op)
		return
	}
	if len(s.Dependencies) > 0 && !n.replica.WritesDependencies() {
		n.answerUnavailable(op, notUpgraded)
		return
	}
	if len(s.Dependencies) > 0 && !n.findDependencies(op) {
		return // it comes back here
	}
	withdrawn := false
	if len(s.Dependencies) > 0 {
		if withdrawn, op.err = n.settleDependencies(op); op.err != nil {
			n.readJob(op)
			return
		}
	}
	// Types that nobody offers can't be had; leaving them out bounds the size
	// of the record whatever the user sends.
	s.MachineTypes = slices.DeleteFunc(s.MachineTypes, func(name string) bool { return n.typeAt(n.names.MachineTypes.Find(name)) == nil })
	rec := n.newRecord(s)
	status := wire.StatusPending
	if withdrawn {
		// Cancelled with what it names, before it could start.
		rec.State, status = wire.JobCancelled, wire.StatusCancelled
		replica.CompactRecord(rec)
	} else if !n.fitJobRecord(op, rec) {
		return // answered, or it comes back here
	}
	key := wire.JobKey(s.ID)
	n.commit(ClassUser, []Condition{{Key: key, Revision: 0}}, []Write{{Key: key, Value: rec}}, func(c Committed) {
		switch c.Outcome {
		case OK:
			n.log(LogDebug, "job accepted", "job", s.ID, "class", s.Class, "team", s.Team, "tasks", s.TaskCount, "image", s.Image, "image_gb", s.ImageGB, "expected_s", s.ExpectedS)
			n.answer(op, 201, wire.JobStatus{JobID: s.ID, Status: status})
		case Conflict:
			n.readJob(op)
		default:
			if n.mayRetry(op, c.Outcome) {
				n.createJob(op)
			}
		}
	})
}

// newRecord is the record of a job that is accepted now.
func (n *Node) newRecord(spec *wire.JobSpec) *wire.Job {
	return &wire.Job{Spec: spec, TaskCount: spec.TaskCount, AcceptedAtMS: n.cfg.WallClockMS(), NextAttempt: 1}
}

// fitJobRecord makes a new job's record fit a value, if need be by writing what it waits
// on to overflow keys first.
func (n *Node) fitJobRecord(op *pendingRequest, rec *wire.Job) bool {
	if n.jobRecordFits(rec) {
		return true
	}
	bare := *rec.Spec
	bare.Dependencies = nil
	named := *rec
	named.Spec, named.DependencyList, named.DependencyListKeys = &bare, replica.DependencyListName(nil), wire.MaxTasks
	switch {
	case !n.jobRecordFits(&named):
		op.err = errors.New("its names are too long to be recorded")
		n.readJob(op)
		return false
	case !n.replica.WritesDependencyLists():
		n.answerUnavailable(op, notUpgraded)
		return false
	}
	return n.writeDependencyList(op, rec)
}

// jobRecordFits tells whether a value holds a record and a few lists of active tasks.
func (n *Node) jobRecordFits(rec *wire.Job) bool {
	const lists = 2
	return replica.BaseBytes(rec)+lists*(n.taskRunBytes()+wire.GroupCost+replica.TaskRangeBytes) <= n.cfg.MaxValueBytes
}

// readJob reads the record and goes on by the kind of request.
func (n *Node) readJob(op *pendingRequest) {
	id := n.onResult(func(in Result) {
		g := in.(JobRead)
		n.noteStoreOutcome(g.Outcome)
		switch g.Outcome {
		case OK:
			if op.Kind == wire.RequestCancel && g.Job.State == wire.JobLive {
				n.cancelJob(op, g)
				return
			}
			if g.Job.State == wire.JobLive && g.Job.HasDependencies() {
				n.answerFromAncestors(op, g.Job)
				return
			}
			n.answer(op, 200, n.reply(op, g.Job))
		case NotFound:
			switch {
			case op.Kind != wire.RequestSubmit:
				n.answer(op, 404, wire.Error{Error: "no such job"})
			case op.err == nil:
				n.createJob(op)
			case op.spec == nil:
				n.answer(op, 400, wire.Error{Error: op.err.Error()})
			default:
				n.answer(op, 422, wire.Error{Error: op.err.Error()})
			}
		default:
			if n.mayRetry(op, g.Outcome) {
				n.readJob(op)
			}
		}
	})
	n.emit(ReadJob{ID: id, JobID: op.JobID})
}

// cancelJob marks the record; from this commit on no owner can place a task of
// the job, as each placing is conditional on the record's revision.
func (n *Node) cancelJob(op *pendingRequest, g JobRead) {
	rec := replica.CloneRecord(g.Job)
	rec.State = wire.JobCancelled
	replica.CompactRecord(rec)
	// What its overflow keys hold is not known here and stays.
	for i := range rec.ActiveTasks {
		rec.ActiveTasks[i].StoredIn = 1
	}
	writes := n.replica.SplitRecord(op.JobID, replica.StoredRecord{Tasks: rec.ActiveTasks, OverflowKeys: rec.OverflowKeys, UnknownKeys: rec.OverflowKeys}, rec)
	n.commit(ClassUser, []Condition{{Key: wire.JobKey(op.JobID), Revision: g.Revision}}, writes, func(c Committed) {
		switch c.Outcome {
		case OK:
			n.answer(op, 200, wire.JobStatus{JobID: op.JobID, Status: wire.StatusCancelled, Done: rec.DoneTasks.Count()})
		case Conflict:
			if n.mayRetry(op, OK) {
				n.readJob(op)
			}
		default:
			if n.mayRetry(op, c.Outcome) {
				n.readJob(op)
			}
		}
	})
}

// expireRequests answers requests that the state service has left waiting.
func (n *Node) expireRequests() {
	if n.now < n.users.expireAt {
		return
	}
	n.users.expireAt = n.now + 50*time.Millisecond
	var late []uint64
	for req, op := range n.users.requests {
		if n.now >= op.deadline {
			late = append(late, req)
		}
	}
	slices.Sort(late)
	for _, req := range late {
		n.answerUnavailable(n.users.requests[req], "state service is slow")
	}
}

// rejectReason says why a job can never run, or "".
func (n *Node) rejectReason(s *wire.JobSpec) string {
	index := n.names.Teams.Find(s.Team)
	if index < 0 {
		return "unknown team"
	}
	team := n.replica.Quota(index)
	fits := false
	for i := range n.offeredTypes {
		if r := &n.offeredTypes[i]; typeAllowed(s, r.Name) && fitsType(s, r) && (s.Zone == "" || slices.Contains(r.Zones, s.Zone)) {
			fits = true
		}
	}
	if !fits {
		return "no allowed machine type fits a task"
	}
	count := 1.0
	if s.Shape != wire.ShapeArray {
		count = float64(s.TaskCount)
	}
	if exceeds(s.Cores*count, team.MaxCores) || exceeds(s.GPUs*count, team.MaxGPUs) {
		return "needs more than the team's limit"
	}
	return ""
}

const epsilon = 1e-6

func exceeds(need, limit float64) bool { return limit > 0 && need > limit+epsilon }

func typeAllowed(s *wire.JobSpec, rig string) bool {
	if s.NoMachineTypes {
		return false
	}
	return len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, rig)
}

func fitsType(s *wire.JobSpec, r *wire.MachineType) bool {
	return s.Cores <= r.Cores+epsilon && s.GPUs <= r.GPUs+epsilon && s.MemoryGB <= r.MemoryGB+epsilon
}
