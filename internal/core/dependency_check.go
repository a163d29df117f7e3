package core

import (
	"fmt"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// The jobs that a submission names as its dependencies: whether each was ever accepted,
// and in which state it is.

// dependencyCheck is what is known of the jobs that a submission names.
type dependencyCheck struct {
	jobIDs       []string // as submitted
	readsPending int      // reads under way
	// read has the jobs that were or are read from the state service, because the replica
	// did not show them.
	read        map[string]dependencyState
	writtenKeys map[int]bool // keys of the dependency list that the state service has
}

// dependencyState is what is known of a job that was read.
type dependencyState struct {
	state  wire.JobState // JobLive while the read is under way
	daemon bool
}

// jobNeverAccepted is the state of a job that was never accepted.
const jobNeverAccepted wire.JobState = -1

// findDependencies reads the records of the jobs that a submission names and the replica
// does not show: another controller may have accepted them a moment ago. It reports
// whether all are known; if not, createJob is called once they are.
func (n *Node) findDependencies(request *pendingRequest) bool {
	if request.dependencies == nil {
		request.dependencies = &dependencyCheck{
			jobIDs:      request.spec.Dependencies,
			read:        map[string]dependencyState{},
			writtenKeys: map[int]bool{},
		}
	}
	for _, id := range request.spec.Dependencies {
		if job := n.jobNamed(id); job != nil && job.Record != nil {
			continue
		}
		if _, read := request.dependencies.read[id]; read {
			continue
		}
		n.readDependency(request, id)
	}
	return request.dependencies.readsPending == 0
}

// dependencyRead is a read of the record of a job that a submission names.
type dependencyRead struct {
	request *pendingRequest
	jobID   string
}

func (n *Node) readDependency(request *pendingRequest, jobID string) {
	request.dependencies.readsPending++
	request.dependencies.read[jobID] = dependencyState{state: wire.JobLive}
	n.fetchJob(jobID, dependencyRead{request, jobID})
}

func (r dependencyRead) jobRead(n *Node, read JobRead) {
	check := r.request.dependencies
	check.readsPending--
	switch read.Outcome {
	case kv.OK:
		check.read[r.jobID] = dependencyState{read.Job.State, isDaemon(read.Job)}
	case kv.NotFound:
		check.read[r.jobID] = dependencyState{state: jobNeverAccepted}
	default:
		delete(check.read, r.jobID)
		if n.mayRetry(r.request, read.Outcome) {
			n.readDependency(r.request, r.jobID)
		}
		return
	}
	if n.users.isOpen(r.request) && check.readsPending == 0 {
		n.createJob(r.request)
	}
}

// isDaemon reports whether a record is that of a job which runs until it is cancelled. The
// record of a finished job doesn't say.
func isDaemon(record *wire.Job) bool {
	return record.Spec != nil && record.Spec.Shape == wire.ShapeDaemon
}

// settleDependencies removes the jobs that are done from a submission's dependencies. It
// reports whether one of the rest is cancelled, which cancels the new job, and returns an
// error if the job can't be accepted.
func (n *Node) settleDependencies(request *pendingRequest) (cancelled bool, err error) {
	var rest []string
	for _, id := range request.spec.Dependencies {
		dependency, known := request.dependencies.read[id]
		if job := n.jobNamed(id); job != nil && job.Record != nil {
			dependency, known = dependencyState{job.State(), isDaemon(job.Record)}, true
		}
		switch {
		case !known || dependency.state == jobNeverAccepted:
			return false, fmt.Errorf("waits on %s, which was never accepted", id)
		case dependency.daemon && dependency.state == wire.JobLive:
			return false, fmt.Errorf("waits on %s, which is a service", id)
		case dependency.state != wire.JobDone:
			// Also the cancelled ones: the submission may have to be settled once more.
			cancelled = cancelled || dependency.state == wire.JobCancelled
			rest = append(rest, id)
		}
	}
	request.spec.Dependencies = rest
	return cancelled, nil
}
