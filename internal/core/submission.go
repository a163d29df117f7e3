package core

import (
	"errors"
	"net/http"
	"slices"

	"micaport/internal/kv"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// Submissions of jobs that are not known yet. createJob is called again after each step
// that waits for the state service: reads of the jobs that a submission names, and writes
// of a list of dependencies that the record has no room for.

// createJob writes a new job's record, after checking that the job can ever run.
func (n *Node) createJob(request *pendingRequest) {
	spec := request.spec
	if n.offeredTypes == nil {
		n.answerUnavailable(request, "machine types are not known yet")
		return
	}
	if err := n.rejectReason(spec); err != nil {
		n.rejectSubmission(request, err)
		return
	}
	cancelled := false
	if len(spec.Dependencies) > 0 {
		if !n.replica.WritesDependencies() {
			n.answerUnavailable(request, notUpgraded)
			return
		}
		if !n.findDependencies(request) {
			return // dependencyRead comes back here
		}
		var err error
		if cancelled, err = n.settleDependencies(request); err != nil {
			n.rejectSubmission(request, err)
			return
		}
	}
	// Types that nobody offers can't be had; leaving them out bounds the size
	// of the record whatever the user sends.
	spec.MachineTypes = slices.DeleteFunc(spec.MachineTypes, func(name string) bool { return n.typeAt(n.names.MachineTypes.Find(name)) == nil })
	record := n.newRecord(spec)
	status := wire.StatusPending
	if cancelled {
		// Cancelled with a job that it depends on, before it could start.
		record.State, status = wire.JobCancelled, wire.StatusCancelled
		replica.CompactRecord(record)
	} else if !n.fitJobRecord(request, record) {
		return // answered, or dependencyListWrite comes back here
	}
	key := wire.JobKey(spec.ID)
	n.transact(ClassUser, []kv.Condition{{Key: key, Revision: 0}}, []kv.Write{{Key: key, Value: record}}, jobSubmission{request, status})
}

// rejectSubmission refuses a submission for good, unless the job turns out to exist: then
// its status is the answer.
func (n *Node) rejectSubmission(request *pendingRequest, err error) {
	request.rejection = err
	n.readJob(request)
}

// jobSubmission is the write of a new job's record under way.
type jobSubmission struct {
	request *pendingRequest
	status  string // of the job once it is written
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
		n.readJob(s.request)
	default:
		if n.mayRetry(s.request, result.Outcome) {
			n.createJob(s.request)
		}
	}
}

// newRecord is the record of a job that is accepted now.
func (s *site) newRecord(spec *wire.JobSpec) *wire.Job {
	return &wire.Job{Spec: spec, TaskCount: spec.TaskCount, AcceptedAtMS: s.cfg.WallClockMS(), NextAttempt: 1}
}

// fitJobRecord makes a new job's record fit a value, if need be by writing its
// dependencies to keys of their own first. It reports whether the record can be written
// now; if not, the request has been answered or waits for the state service.
func (n *Node) fitJobRecord(request *pendingRequest, record *wire.Job) bool {
	if n.jobRecordFits(record) {
		return true
	}
	bare := *record.Spec
	bare.Dependencies = nil
	withoutList := *record
	withoutList.Spec = &bare
	withoutList.DependencyList = replica.DependencyListName(nil)
	withoutList.DependencyListKeys = wire.MaxTasks
	switch {
	case !n.jobRecordFits(&withoutList):
		n.rejectSubmission(request, errNamesTooLong)
		return false
	case !n.replica.WritesDependencyLists():
		n.answerUnavailable(request, notUpgraded)
		return false
	}
	return n.writeDependencyList(request, record)
}

// jobRecordFits reports whether a value holds a record and a few lists of active tasks.
func (s *site) jobRecordFits(record *wire.Job) bool {
	const lists = 2
	return replica.BaseBytes(record)+lists*(s.taskRunBytes()+wire.GroupCost+replica.TaskRangeBytes) <= s.cfg.MaxValueBytes
}

// Reasons for which a job can never run.
var (
	errUnknownTeam   = errors.New("unknown team")
	errNoMachineType = errors.New("no allowed machine type fits a task")
	errOverQuota     = errors.New("needs more than the team's limit")
	errNamesTooLong  = errors.New("its names are too long to be recorded") // even without its dependencies
)

// rejectReason returns why a job can never run, or nil.
func (s *site) rejectReason(spec *wire.JobSpec) error {
	index := s.names.Teams.Find(spec.Team)
	if index < 0 {
		return errUnknownTeam
	}
	if !slices.ContainsFunc(s.offeredTypes, func(machineType wire.MachineType) bool {
		return typeAllowed(spec, machineType.Name) && fitsType(spec, &machineType) &&
			(spec.Zone == "" || slices.Contains(machineType.Zones, spec.Zone))
	}) {
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

// epsilon is the slack of comparisons of amounts, for sums that were rounded.
const epsilon = 1e-6

// exceeds reports whether an amount is above a limit; a limit of 0 is none.
func exceeds(amount, limit float64) bool { return limit > 0 && amount > limit+epsilon }

// typeAllowed reports whether a job may run on machines of a type.
func typeAllowed(spec *wire.JobSpec, machineType string) bool {
	if spec.NoMachineTypes {
		return false
	}
	return len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machineType)
}

// fitsType reports whether a task of a job fits an empty machine of a type.
func fitsType(spec *wire.JobSpec, machineType *wire.MachineType) bool {
	return spec.Cores <= machineType.Cores+epsilon &&
		spec.GPUs <= machineType.GPUs+epsilon &&
		spec.MemoryGB <= machineType.MemoryGB+epsilon
}
