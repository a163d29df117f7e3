package core

import (
	"fmt"
	"net/http"
	"testing"

	"micaport/internal/wire"
)

// If the replica lags, a repeated submission of a job whose own record is live is answered from
// the records of the jobs that it depends on.
func TestAnswerFromAncestors(t *testing.T) {
	spec := func(dependencies ...string) *wire.JobSpec {
		return &wire.JobSpec{Shape: wire.ShapeArray, Dependencies: dependencies}
	}
	stored := map[string]*wire.Job{
		"wk-000001": {State: wire.JobCancelled, TaskCount: 1}, "wk-000002": {TaskCount: 1, Spec: spec("wk-000001")},
		"wk-000003": {TaskCount: 1, Spec: spec("wk-000002")}, "wk-000005": {TaskCount: 1, Spec: spec()}, "wk-000006": {TaskCount: 1, Spec: spec("wk-000005")},
	}
	n := newTestNode()
	for i, id := range []string{"wk-000001", "wk-000002", "wk-000003", "wk-000005", "wk-000006"} {
		var dependencies []string
		if record := stored[id]; record.Spec != nil {
			dependencies = record.Spec.Dependencies
		}
		applyJobRecord(n, 2+i, id, wire.JobLive, nil, dependencies...)
	}
	for _, test := range []struct{ name, id, status string }{
		{"with a cancelled ancestor", "wk-000003", wire.StatusCancelled},
		{"with a live ancestor", "wk-000006", wire.StatusPending},
	} {
		t.Run(test.name, func(t *testing.T) {
			run := requestRun{node: n, stored: stored, replicaLags: true}
			run.step(UserRequest{RequestID: 5, Kind: wire.RequestSubmit, Body: submissionBody(t, test.id)})
			run.waitForReply()
			if reply := run.reply; reply == nil || reply.Status != http.StatusOK || reply.Body.(wire.JobStatus).Status != test.status || len(run.wrote) > 0 {
				t.Errorf("answered with %+v, wrote %+v, want %s", reply, run.wrote, test.status)
			}
		})
	}
}

// A repeated submission of a job whose dependency list the replica does not show is answered
// 503, not with the status pending, because its ancestors are unknown.
func TestUnknownDependencyListIsUnavailable(t *testing.T) {
	n := newSmallValueNode()
	stored := map[string]*wire.Job{"wk-000100": {TaskCount: 1, Spec: &wire.JobSpec{Shape: wire.ShapeArray}, DependencyList: "x", DependencyListKeys: 2}}
	body, err := wire.Encode(map[string]string{"ref": "wk-000100"})
	if err != nil {
		t.Fatalf("encoding a submission: %v", err)
	}
	reply, _ := runRequest(n, UserRequest{RequestID: 1, Kind: wire.RequestSubmit, Body: body}, stored)
	if reply == nil || reply.Status != http.StatusServiceUnavailable || reply.RetryAfterS == 0 {
		t.Errorf("answered with %+v, want status %d", reply, http.StatusServiceUnavailable)
	}
}

// Guards against a repeated submission that reads the records of all ancestors, one after the other,
// and is not answered in time if there are hundreds: a replica that is recent enough answers it.
func TestRepeatedSubmissionReadsNoAncestors(t *testing.T) {
	const jobCount = 600
	n := newTestNode()
	stored := map[string]*wire.Job{}
	var dependencies []string
	for i := range jobCount {
		id := fmt.Sprintf("wk-%d", i)
		stored[id] = &wire.Job{TaskCount: 1, Spec: &wire.JobSpec{Shape: wire.ShapeArray, Dependencies: dependencies}}
		applyJobRecord(n, 2+i, id, wire.JobLive, nil, dependencies...)
		dependencies = []string{id}
	}
	last := dependencies[0]
	submit := func() requestRun {
		run := requestRun{node: n, stored: stored}
		run.step(UserRequest{RequestID: 5, Kind: wire.RequestSubmit, Body: submissionBody(t, last)})
		run.waitForReply()
		return run
	}
	if run := submit(); run.reply == nil || run.reply.Body.(wire.JobStatus).Status != wire.StatusPending || run.reads != 1 {
		t.Errorf("answered with %+v after %d reads, want pending after 1", run.reply, run.reads)
	}
	applyJobRecord(n, 2+jobCount, "wk-0", wire.JobCancelled, nil)
	if run := submit(); run.reply == nil || run.reply.Body.(wire.JobStatus).Status != wire.StatusCancelled || run.reads > 1 {
		t.Errorf("after the cancellation of an ancestor: answered with %+v after %d reads", run.reply, run.reads)
	}
}
