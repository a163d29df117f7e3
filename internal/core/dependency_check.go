package core

import (
	"fmt"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// dependencyCheck collects the states of a submission's dependencies, to find out whether each
// was ever accepted and whether it is done or cancelled.
type dependencyCheck struct {
	jobIDs        []string // as submitted
	readsInFlight int
	// readStates holds the states, by job ID, of the dependencies that the replica did not show
	// and that are therefore read from the state service.
	readStates  map[string]dependencyState
	writtenKeys map[int]bool // numbers of the dependency list's keys that have been written
}

// dependencyState is the state of a dependency.
type dependencyState struct {
	state  wire.JobState // wire.JobLive while the read is in flight
	daemon bool
}

// jobNeverAccepted marks a dependency that was never accepted. It is no state of a record.
const jobNeverAccepted wire.JobState = -1

// maxDependencyReads is the maximum number of reads in flight for one submission. All controllers
// share the requests that the state service allows, and a submission may name thousands of jobs.
const maxDependencyReads = 16

// loadDependencies reads the records of the dependencies that the replica does not show, since
// another controller may have accepted them a moment ago. It reports whether the states of all
// dependencies are known, or at least those up to the first one that was never accepted, which
// rejects the submission. If not, createJob is called again once the reads have been answered.
func (n *Node) loadDependencies(request *pendingRequest) bool {
	if request.dependencies == nil {
		request.dependencies = &dependencyCheck{
			jobIDs:      request.spec.Dependencies,
			readStates:  map[string]dependencyState{},
			writtenKeys: map[int]bool{},
		}
	}
	for _, id := range request.spec.Dependencies {
		if job := n.findJob(id); job != nil && job.Record != nil {
			continue
		}
		dependency, read := request.dependencies.readStates[id]
		switch {
		case read && dependency.state == jobNeverAccepted:
			return request.dependencies.readsInFlight == 0
		case !read && request.dependencies.readsInFlight < maxDependencyReads:
			n.readDependency(request, id)
		}
	}
	return request.dependencies.readsInFlight == 0
}

// dependencyRead handles the result of reading a dependency's record.
type dependencyRead struct {
	request *pendingRequest
	jobID   string
}

// readDependency reads a dependency's record from the state service.
func (n *Node) readDependency(request *pendingRequest, jobID string) {
	request.dependencies.readsInFlight++
	request.dependencies.readStates[jobID] = dependencyState{state: wire.JobLive}
	n.readJobRecord(jobID, dependencyRead{request, jobID})
}

func (r dependencyRead) jobRead(n *Node, read JobRead) {
	check := r.request.dependencies
	check.readsInFlight--
	switch read.Outcome {
	case kv.OK:
		check.readStates[r.jobID] = dependencyState{read.Job.State, isDaemon(read.Job)}
	case kv.NotFound:
		check.readStates[r.jobID] = dependencyState{state: jobNeverAccepted}
	default:
		delete(check.readStates, r.jobID)
		if n.mayRetry(r.request, read.Outcome) {
			n.readDependency(r.request, r.jobID)
		}
		return
	}
	if n.userRequests.isUnanswered(r.request) && check.readsInFlight == 0 {
		n.createJob(r.request)
	}
}

// isDaemon reports whether a record is that of a job that runs until it is cancelled. It
// returns false for finished jobs, whose records have no specification.
func isDaemon(record *wire.Job) bool {
	return record.Spec != nil && record.Spec.Shape == wire.ShapeDaemon
}

// resolveDependencies removes the jobs that are done from a submission's dependencies. It
// reports whether one of the others is cancelled, which cancels the new job, and returns an
// error if the new job can't be accepted.
func (n *Node) resolveDependencies(request *pendingRequest) (cancelled bool, err error) {
	var rest []string
	for _, id := range request.spec.Dependencies {
		dependency, known := request.dependencies.readStates[id]
		if job := n.findJob(id); job != nil && job.Record != nil {
			dependency, known = dependencyState{job.State(), isDaemon(job.Record)}, true
		}
		switch {
		case !known || dependency.state == jobNeverAccepted:
			return false, fmt.Errorf("waits on %s, which was never accepted", id)
		case dependency.daemon && dependency.state == wire.JobLive:
			return false, fmt.Errorf("waits on %s, which is a service", id)
		case dependency.state != wire.JobDone:
			// A cancelled dependency stays in the list too: createJob may be called again
			// for this request and then checks the list again.
			cancelled = cancelled || dependency.state == wire.JobCancelled
			rest = append(rest, id)
		}
	}
	request.spec.Dependencies = rest
	return cancelled, nil
}
