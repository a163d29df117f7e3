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
	request := &pendingRequest{UserRequest: r, deadline: n.now + submitTimeout}
	if n.users.requests == nil {
		n.users.requests = map[uint64]*pendingRequest{}
	}
	n.users.requests[r.RequestID] = request
	switch r.Kind {
	case wire.RequestSubmit:
		request.JobID, request.spec, request.err = wire.ParseJobSpec(r.Body)
		if request.JobID == "" {
			n.answer(request, 400, wire.Error{Error: request.err.Error()})
			return
		}
	case wire.RequestStatus:
		request.deadline = n.now + statusTimeout
		fallthrough
	case wire.RequestCancel:
		if !wire.ValidJobID(request.JobID) {
			n.answer(request, 404, wire.Error{Error: "no such job"})
			return
		}
	default:
		n.answer(request, 404, wire.Error{Error: "no such request"})
		return
	}
	// A final state never changes, so the replica may answer for it.
	index := n.names.Jobs.Find(request.JobID)
	if index >= 0 && n.jobs[index].Record != nil && n.jobs[index].State() != wire.JobLive {
		n.answer(request, 200, n.reply(request, n.jobs[index].Record))
		return
	}
	if n.forwardToPeer(request) {
		return
	}
	if request.Kind == wire.RequestSubmit && request.err == nil && (index < 0 || n.jobs[index].Record == nil) {
		n.createJob(request)
		return
	}
	if request.Kind == wire.RequestStatus && n.replica.Loaded() {
		n.users.statusRequests = append(n.users.statusRequests, request)
		n.askRevision()
		return
	}
	n.readJob(request)
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
	n.commit(ClassUser, []Condition{{Key: wire.LeaderKey, Revision: n.leadership.Term()}}, nil, func(result Committed) {
		u.revisionAsked = false
		switch result.Outcome {
		case OK, Conflict:
			u.answerable = append(u.answerable, statusBatch{revision: result.Revision, since: n.now, requests: ops})
			n.answerStatusRequests()
		default:
			for _, request := range ops {
				if n.mayRetry(request, result.Outcome) {
					u.statusRequests = append(u.statusRequests, request)
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
			for _, request := range b.requests {
				if index := n.names.Jobs.Find(request.JobID); index >= 0 && n.jobs[index].Record != nil {
					n.answer(request, 200, n.reply(request, n.jobs[index].Record))
				} else {
					n.answer(request, 404, wire.Error{Error: "no such job"})
				}
			}
		case n.now-b.since > 400*time.Millisecond:
			for _, request := range b.requests {
				if _, open := u.requests[request.RequestID]; open {
					n.readJob(request)
				}
			}
		default:
			rest = append(rest, b)
		}
	}
	u.answerable = rest
}

// reply is the body of a 200. Cancellations and submissions leave out counts.
func (n *Node) reply(request *pendingRequest, r *wire.Job) any {
	// What the replica shows of the jobs above is final.
	if job := n.jobNamed(request.JobID); r.State == wire.JobLive && job != nil && job.Record != nil && job.State() == wire.JobCancelled {
		return wire.JobStatus{JobID: request.JobID, Status: wire.StatusCancelled}
	}
	return replica.JobStatus(request.JobID, r)
}

func (n *Node) answer(request *pendingRequest, status int, body any) {
	if _, ok := n.users.requests[request.RequestID]; !ok {
		return
	}
	delete(n.users.requests, request.RequestID)
	retry := 0
	if status == 503 {
		retry = 1
	}
	n.emit(Reply{RequestID: request.RequestID, Status: status, Body: body, RetryAfterS: retry})
}

const notUpgraded = "not before all controllers have been upgraded"

func (n *Node) answerUnavailable(request *pendingRequest, why string) {
	n.answer(request, 503, wire.Error{Error: why})
}

// forwardToPeer gives the request to a peer when we alone can't reach the state
// service.
func (n *Node) forwardToPeer(request *pendingRequest) bool {
	if n.storeOK || request.Forwarded || request.forwardedToPeer {
		return false
	}
	if n.peersMayMisread(request.spec) {
		n.answerUnavailable(request, notUpgraded)
		return true
	}
	for _, m := range n.cfg.Members {
		p := n.peers[m.Name]
		if p != nil && p.message.StoreOK && n.now-p.heardAt < 3*second {
			request.forwardedToPeer = true
			n.emit(Forward{RequestID: request.RequestID, To: m.Name, Call: wire.UserCall{Kind: request.Kind, Ref: request.JobID, Body: request.Body}})
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
	request := n.users.requests[f.RequestID]
	if request == nil {
		return
	}
	if f.Answer.Status == 0 {
		n.answerUnavailable(request, "state service unavailable")
		return
	}
	n.answer(request, f.Answer.Status, f.Answer.Body)
}

// mayRetry tells whether a request that met trouble may be tried again in time.
func (n *Node) mayRetry(request *pendingRequest, outcome Outcome) bool {
	if _, open := n.users.requests[request.RequestID]; !open {
		return false
	}
	if outcome == Refused {
		if !n.forwardToPeer(request) {
			n.answerUnavailable(request, "state service unavailable")
		}
		return false
	}
	if n.now > request.deadline-second {
		n.answerUnavailable(request, "state service unavailable")
		return false
	}
	return true
}

// createJob commits a new job's record, after checking that it can ever run.
func (n *Node) createJob(request *pendingRequest) {
	spec := request.spec
	if n.offeredTypes == nil {
		n.answerUnavailable(request, "machine types are not known yet")
		return
	}
	if why := n.rejectReason(spec); why != "" {
		request.err = fmt.Errorf("%s", why)
		n.readJob(request)
		return
	}
	if len(spec.Dependencies) > 0 && !n.replica.WritesDependencies() {
		n.answerUnavailable(request, notUpgraded)
		return
	}
	if len(spec.Dependencies) > 0 && !n.findDependencies(request) {
		return // it comes back here
	}
	withdrawn := false
	if len(spec.Dependencies) > 0 {
		if withdrawn, request.err = n.settleDependencies(request); request.err != nil {
			n.readJob(request)
			return
		}
	}
	// Types that nobody offers can't be had; leaving them out bounds the size
	// of the record whatever the user sends.
	spec.MachineTypes = slices.DeleteFunc(spec.MachineTypes, func(name string) bool { return n.typeAt(n.names.MachineTypes.Find(name)) == nil })
	record := n.newRecord(spec)
	status := wire.StatusPending
	if withdrawn {
		// Cancelled with what it names, before it could start.
		record.State, status = wire.JobCancelled, wire.StatusCancelled
		replica.CompactRecord(record)
	} else if !n.fitJobRecord(request, record) {
		return // answered, or it comes back here
	}
	key := wire.JobKey(spec.ID)
	n.commit(ClassUser, []Condition{{Key: key, Revision: 0}}, []Write{{Key: key, Value: record}}, func(result Committed) {
		switch result.Outcome {
		case OK:
			n.log(LogDebug, "job accepted", "job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.TaskCount, "image", spec.Image, "image_gb", spec.ImageGB, "expected_s", spec.ExpectedS)
			n.answer(request, 201, wire.JobStatus{JobID: spec.ID, Status: status})
		case Conflict:
			n.readJob(request)
		default:
			if n.mayRetry(request, result.Outcome) {
				n.createJob(request)
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
func (n *Node) fitJobRecord(request *pendingRequest, record *wire.Job) bool {
	if n.jobRecordFits(record) {
		return true
	}
	bare := *record.Spec
	bare.Dependencies = nil
	named := *record
	named.Spec, named.DependencyList, named.DependencyListKeys = &bare, replica.DependencyListName(nil), wire.MaxTasks
	switch {
	case !n.jobRecordFits(&named):
		request.err = errors.New("its names are too long to be recorded")
		n.readJob(request)
		return false
	case !n.replica.WritesDependencyLists():
		n.answerUnavailable(request, notUpgraded)
		return false
	}
	return n.writeDependencyList(request, record)
}

// jobRecordFits tells whether a value holds a record and a few lists of active tasks.
func (n *Node) jobRecordFits(record *wire.Job) bool {
	const lists = 2
	return replica.BaseBytes(record)+lists*(n.taskRunBytes()+wire.GroupCost+replica.TaskRangeBytes) <= n.cfg.MaxValueBytes
}

// readJob reads the record and goes on by the kind of request.
func (n *Node) readJob(request *pendingRequest) {
	id := n.onResult(func(in Result) {
		read := in.(JobRead)
		n.noteStoreOutcome(read.Outcome)
		switch read.Outcome {
		case OK:
			if request.Kind == wire.RequestCancel && read.Job.State == wire.JobLive {
				n.cancelJob(request, read)
				return
			}
			if read.Job.State == wire.JobLive && read.Job.HasDependencies() {
				n.answerFromAncestors(request, read.Job)
				return
			}
			n.answer(request, 200, n.reply(request, read.Job))
		case NotFound:
			switch {
			case request.Kind != wire.RequestSubmit:
				n.answer(request, 404, wire.Error{Error: "no such job"})
			case request.err == nil:
				n.createJob(request)
			case request.spec == nil:
				n.answer(request, 400, wire.Error{Error: request.err.Error()})
			default:
				n.answer(request, 422, wire.Error{Error: request.err.Error()})
			}
		default:
			if n.mayRetry(request, read.Outcome) {
				n.readJob(request)
			}
		}
	})
	n.emit(ReadJob{ID: id, JobID: request.JobID})
}

// cancelJob marks the record; from this commit on no owner can place a task of
// the job, as each placing is conditional on the record's revision.
func (n *Node) cancelJob(request *pendingRequest, read JobRead) {
	record := replica.CloneRecord(read.Job)
	record.State = wire.JobCancelled
	replica.CompactRecord(record)
	// What its overflow keys hold is not known here and stays.
	for i := range record.ActiveTasks {
		record.ActiveTasks[i].StoredIn = 1
	}
	writes := n.replica.SplitRecord(request.JobID, replica.StoredRecord{Tasks: record.ActiveTasks, OverflowKeys: record.OverflowKeys, UnknownKeys: record.OverflowKeys}, record)
	n.commit(ClassUser, []Condition{{Key: wire.JobKey(request.JobID), Revision: read.Revision}}, writes, func(result Committed) {
		switch result.Outcome {
		case OK:
			n.answer(request, 200, wire.JobStatus{JobID: request.JobID, Status: wire.StatusCancelled, Done: record.DoneTasks.Count()})
		case Conflict:
			if n.mayRetry(request, OK) {
				n.readJob(request)
			}
		default:
			if n.mayRetry(request, result.Outcome) {
				n.readJob(request)
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
	for req, request := range n.users.requests {
		if n.now >= request.deadline {
			late = append(late, req)
		}
	}
	slices.Sort(late)
	for _, req := range late {
		n.answerUnavailable(n.users.requests[req], "state service is slow")
	}
}

// rejectReason says why a job can never run, or "".
func (n *Node) rejectReason(spec *wire.JobSpec) string {
	index := n.names.Teams.Find(spec.Team)
	if index < 0 {
		return "unknown team"
	}
	team := n.replica.Quota(index)
	fits := false
	for i := range n.offeredTypes {
		if machineType := &n.offeredTypes[i]; typeAllowed(spec, machineType.Name) && fitsType(spec, machineType) && (spec.Zone == "" || slices.Contains(machineType.Zones, spec.Zone)) {
			fits = true
		}
	}
	if !fits {
		return "no allowed machine type fits a task"
	}
	count := 1.0
	if spec.Shape != wire.ShapeArray {
		count = float64(spec.TaskCount)
	}
	if exceeds(spec.Cores*count, team.MaxCores) || exceeds(spec.GPUs*count, team.MaxGPUs) {
		return "needs more than the team's limit"
	}
	return ""
}

const epsilon = 1e-6

func exceeds(need, limit float64) bool { return limit > 0 && need > limit+epsilon }

func typeAllowed(spec *wire.JobSpec, rig string) bool {
	if spec.NoMachineTypes {
		return false
	}
	return len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, rig)
}

func fitsType(spec *wire.JobSpec, machineType *wire.MachineType) bool {
	return spec.Cores <= machineType.Cores+epsilon && spec.GPUs <= machineType.GPUs+epsilon && spec.MemoryGB <= machineType.MemoryGB+epsilon
}
