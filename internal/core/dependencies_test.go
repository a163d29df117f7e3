package core

import (
	"fmt"
	"net/http"
	"testing"

	"micaport/internal/wire"
)

// Cancelling a job cancels all its descendants at once and visits each of them only once, both
// in a chain of ten thousand jobs and with ten thousand direct dependents.
func TestCancellationOfManyDescendants(t *testing.T) {
	const jobCount = 10_000
	n := newTestNode()
	name := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
	applyJobRecord(n, 2, name(0), wire.JobLive, nil)
	for i := 1; i < jobCount; i++ {
		applyJobRecord(n, 2+i, name(i), wire.JobLive, nil, name(i-1))
	}
	for i := 1; i < jobCount; i++ {
		applyJobRecord(n, 2+jobCount+i, name(jobCount+i), wire.JobLive, nil, name(0))
	}
	n.putLeader(nil, 4*jobCount)
	applyJobRecord(n, 5*jobCount, name(0), wire.JobCancelled, nil)
	if n.replica.UnrecordedCancellations() != 2*jobCount-2 {
		t.Errorf("%d jobs have unrecorded cancellations, want each of %d once", n.replica.UnrecordedCancellations(), 2*jobCount-2)
	}
	for _, i := range []int{1, jobCount - 1, jobCount + 1, 2*jobCount - 1} {
		reply, _ := runRequest(n, UserRequest{RequestID: uint64(i), Kind: wire.RequestStatus, JobID: name(i)}, nil)
		if reply == nil || reply.Status != http.StatusOK || reply.Body.(wire.JobStatus).Status != wire.StatusCancelled {
			t.Errorf("%s: answered with %+v, want %s", name(i), reply, wire.StatusCancelled)
		}
	}
}

// The ancestors of a job inherit its priority and its deadline, the deadline less the run times
// of the jobs in between. A job with unfinished dependencies is in no queue.
func TestAncestorsInheritPriorityAndDeadline(t *testing.T) {
	n := newTestNode()
	applyJobRecord(n, 2, "wk-000001", wire.JobLive, nil)
	applyJobRecord(n, 3, "wk-000002", wire.JobLive, nil, "wk-000001")
	applyJobRecord(n, 4, "wk-000003", wire.JobLive, nil, "wk-000001")
	applyJobRecord(n, 5, "wk-000004", wire.JobLive, func(spec *wire.JobSpec) { spec.Priority, spec.DeadlineS = "high", 100 }, "wk-000002", "wk-000003")
	due := int64(1_000_000 + 100_000)
	for i, want := range []int64{due - 2*14_000, due - 14_000, due - 14_000, due} {
		if job := n.jobs[i]; job.Links.DeadlineMS != want || job.Priority != 2 {
			t.Errorf("%s is due at %d with priority %d, want %d with priority 2", job.ID, job.Links.DeadlineMS, job.Priority, want)
		}
	}
	queued := func() (ids []string) {
		for _, queue := range n.queues() {
			for _, waiting := range queue.jobs {
				ids = append(ids, waiting.job.ID)
			}
		}
		return ids
	}
	if got := queued(); len(got) != 1 || got[0] != "wk-000001" {
		t.Errorf("queued while wk-000001 is live: %v, want wk-000001 only", got)
	}
	applyJobRecord(n, 9, "wk-000001", wire.JobDone, nil)
	if got := queued(); len(got) != 2 {
		t.Errorf("queued after wk-000001 is done: %v, want two jobs", got)
	}
}

// Finished jobs stay in the replica forever, so their links must be released, also if a job was
// cancelled before its dependencies ended. Later jobs may still depend on them.
func TestFinishedJobsReleaseLinks(t *testing.T) {
	n := newTestNode()
	applyJobRecord(n, 2, "wk-000001", wire.JobLive, nil)
	applyJobRecord(n, 3, "wk-000002", wire.JobLive, nil, "wk-000001")
	applyJobRecord(n, 4, "wk-000003", wire.JobLive, nil, "wk-000001", "wk-000002")
	applyJobRecord(n, 5, "wk-000002", wire.JobCancelled, nil)
	applyJobRecord(n, 6, "wk-000001", wire.JobDone, nil)
	applyJobRecord(n, 7, "wk-000003", wire.JobCancelled, nil)
	applyJobRecord(n, 8, "wk-000004", wire.JobLive, nil, "wk-000001")
	applyJobRecord(n, 9, "wk-000005", wire.JobLive, nil, "wk-000002")
	for i := range 3 {
		if n.jobs[i].Links != nil {
			t.Errorf("finished job %s still has the links %+v", n.jobs[i].ID, n.jobs[i].Links)
		}
	}
	if n.jobs[3].IsBlocked() || !n.jobs[4].IsBlocked() || n.jobs[4].State() != wire.JobCancelled {
		t.Errorf("the later jobs have the links %+v and %+v, want the first free to run and the second cancelled", n.jobs[3].Links, n.jobs[4].Links)
	}
}
