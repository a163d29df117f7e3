package core

import (
	"errors"
	"net/http"

	"micaport/internal/kv"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// createJob checks that a submitted job can ever run, and writes its record. It is called again
// whenever a step that createJob needs first is complete: a listing of the machine types by the cloud,
// reading the records of the job's dependencies, or writing a dependency list that does not fit the
// job's record.
func (n *Node) createJob(request *pendingRequest) {
	spec := request.spec
	if !n.canEverRun(request) {
		return
	}
	cancelled, resolved := n.resolveSubmission(request)
	if !resolved {
		return
	}
	if n.typesConfirmedFor(request) {
		n.removeUnknownTypes(spec)
	}
	record := n.newJobRecord(spec)
	status := wire.StatusPending
	if cancelled {
		// A dependency has been cancelled, which cancels the new job before it could start.
		record.State, status = wire.JobCancelled, wire.StatusCancelled
		replica.CompactRecord(record)
	} else if !n.fitJobRecord(request, record) {
		return // answered, or dependencyListWrite or the cloud's listing calls createJob again
	}
	key := wire.JobKey(spec.ID)
	n.transact(ClassUser, []kv.Condition{{Key: key, Revision: 0}}, []kv.Write{{Key: key, Value: record}}, jobSubmission{request, status})
}

// canEverRun reports whether a submitted job can run as far as this controller knows. If not, the
// request has been answered, or waits for the cloud's listing of the machine types.
func (n *Node) canEverRun(request *pendingRequest) bool {
	if n.machineTypes.OfferedCount() == 0 {
		n.answerUnavailable(request, typesUnknown)
		return false
	}
	reason := n.rejectReason(request.spec)
	switch {
	case errors.Is(reason, errNoMachineType) && !n.typesConfirmedFor(request):
		n.awaitTypeConfirmation(request)
	case reason != nil:
		n.rejectSubmission(request, reason)
	}
	return reason == nil
}

// resolveSubmission resolves the dependencies of a submitted job, if it has any. It reports whether
// one of them has been cancelled, and whether all are resolved; if not, the request has been answered,
// or dependencyRead calls createJob again.
func (n *Node) resolveSubmission(request *pendingRequest) (cancelled, resolved bool) {
	if len(request.spec.Dependencies) == 0 {
		return false, true
	}
	if !n.replica.SupportsDependencies() {
		n.answerUnavailable(request, notUpgraded)
		return false, false
	}
	if !n.loadDependencies(request) {
		return false, false
	}
	cancelled, err := n.resolveDependencies(request)
	if err != nil {
		n.rejectSubmission(request, err)
		return false, false
	}
	return cancelled, true
}

// rejectSubmission rejects a submission that can never be accepted. It reads the job's record
// first: if the job exists, the answer is the job's status instead.
func (n *Node) rejectSubmission(request *pendingRequest, err error) {
	request.rejection = err
	n.readRequestedJob(request)
}

// jobSubmission handles the result of writing a new job's record.
type jobSubmission struct {
	request *pendingRequest
	status  string // of the job once its record is written
}

func (s jobSubmission) committed(n *Node, result Committed) {
	spec := s.request.spec
	switch result.Outcome {
	case kv.OK:
		n.log(LogDebug, "job accepted",
			"job", spec.ID, "class", spec.Class,
			"team", spec.Team, "tasks", spec.TaskCount,
			"image", spec.Image, "image_gb", spec.ImageGB,
			"expected_s", spec.ExpectedS)
		n.answer(s.request, http.StatusCreated, wire.JobStatus{JobID: spec.ID, Status: s.status})
	case kv.Conflict:
		n.readRequestedJob(s.request)
	default:
		if n.mayRetry(s.request, result.Outcome) {
			n.createJob(s.request)
		}
	}
}

// newJobRecord returns the record of a job that is accepted now.
func (s *site) newJobRecord(spec *wire.JobSpec) *wire.Job {
	return &wire.Job{Spec: spec, TaskCount: spec.TaskCount, AcceptedAtMS: s.cfg.WallClockMS(), NextAttempt: 1}
}

// fitJobRecord makes a new job's record fit the size limit of a value, if necessary by writing
// its dependencies to separate keys first. It reports whether the record can be written now;
// if not, the request has been answered or waits for the state service.
func (n *Node) fitJobRecord(request *pendingRequest, record *wire.Job) bool {
	if n.jobRecordFits(record) {
		return true
	}
	// withReference is at least as large as the record with the actual reference will be.
	spec := *record.Spec
	spec.Dependencies = nil
	withReference := *record
	withReference.Spec = &spec
	withReference.DependencyList = replica.DependencyListName(nil)
	withReference.DependencyListKeys = wire.MaxTasks
	switch {
	case !n.jobRecordFits(&withReference) && !n.typesConfirmedFor(request):
		// Names of types that are not on offer take space in the record until they are known
		// to be none.
		n.awaitTypeConfirmation(request)
		return false
	case !n.jobRecordFits(&withReference):
		if !n.shortenAllowedTypes(record, &withReference) {
			n.rejectSubmission(request, errNamesTooLong)
			return false
		}
		return n.fitJobRecord(request, record)
	case !n.replica.SupportsDependencyLists():
		n.answerUnavailable(request, notUpgraded)
		return false
	}
	return n.writeDependencyList(request, record)
}

// jobRecordFits reports whether a new job's record fits a value, with space for a few runs of active
// tasks and ranges of done tasks.
func (s *site) jobRecordFits(record *wire.Job) bool {
	const reservedRuns = 2
	return replica.BaseBytes(record)+reservedRuns*(s.taskRunBytes()+wire.MaxGroupOverheadBytes+replica.TaskRangeBytes) <= s.cfg.MaxValueBytes
}

// Reasons why a job can never run.
var (
	errUnknownTeam   = errors.New("unknown team")
	errNoMachineType = errors.New("no allowed machine type fits a task")
	errOverQuota     = errors.New("needs more than the team's limit")
	errNamesTooLong  = errors.New("its names are too long to be recorded") // even if the dependencies are stored in separate keys
)

// rejectReason returns the reason why a job can never run, or nil.
func (s *site) rejectReason(spec *wire.JobSpec) error {
	index := s.names.Teams.Find(spec.Team)
	if index < 0 {
		return errUnknownTeam
	}
	if !s.anyTypeFits(spec) {
		return errNoMachineType
	}
	atOnce := 1.0 // tasks that have to run at the same time
	if spec.Shape != wire.ShapeArray {
		atOnce = float64(spec.TaskCount)
	}
	team := s.replica.Quota(index)
	if exceeds(spec.Cores*atOnce, team.MaxCores) || exceeds(spec.GPUs*atOnce, team.MaxGPUs) {
		return errOverQuota
	}
	return nil
}

// epsilon is the tolerance for rounding errors in comparisons of resource amounts.
const epsilon = 1e-6

// exceeds reports whether an amount is above a limit; 0 means no limit.
func exceeds(amount, limit float64) bool { return limit > 0 && amount > limit+epsilon }
