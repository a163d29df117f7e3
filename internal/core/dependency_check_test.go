package core

import (
	"fmt"
	"net/http"
	"testing"

	"micaport/internal/kv"
	"micaport/internal/ownership"
	"micaport/internal/wire"
)

// Dependencies that the replica does not show yet are read from the state service. A done
// dependency is removed, a cancelled one cancels the new job, and one that was never accepted
// or is a daemon rejects the submission.
func TestSubmissionWithDependencies(t *testing.T) {
	live := func(shape string) *wire.Job {
		return &wire.Job{TaskCount: 1, Spec: &wire.JobSpec{ID: "x", Shape: shape}}
	}
	stored := map[string]*wire.Job{
		"wk-000020": live(wire.ShapeArray), "wk-000021": {State: wire.JobDone, TaskCount: 1}, "wk-000022": {State: wire.JobCancelled, TaskCount: 1},
		"wk-000023": live(wire.ShapeDaemon),
	}
	for _, test := range []struct {
		name         string
		dependencies []string
		status       int
		state        wire.JobState // of the new job
		remaining    int           // dependencies in the new job's record
	}{
		{"live in the replica", []string{"wk-000001"}, http.StatusCreated, wire.JobLive, 1},
		{"done in the replica", []string{"wk-000002"}, http.StatusCreated, wire.JobLive, 0},
		{"cancelled in the replica", []string{"wk-000003"}, http.StatusCreated, wire.JobCancelled, 0},
		{"with a cancelled ancestor, its own record not yet cancelled", []string{"wk-000004"}, http.StatusCreated, wire.JobCancelled, 0},
		{"named twice", []string{"wk-000020", "wk-000001", "wk-000020"}, http.StatusCreated, wire.JobLive, 2},
		{"done by its record", []string{"wk-000021"}, http.StatusCreated, wire.JobLive, 0},
		{"cancelled by its record", []string{"wk-000020", "wk-000022"}, http.StatusCreated, wire.JobCancelled, 0},
		{"a daemon by its record", []string{"wk-000023"}, http.StatusUnprocessableEntity, 0, 0},
		{"a daemon in the replica", []string{"wk-000005"}, http.StatusUnprocessableEntity, 0, 0},
		{"never accepted", []string{"wk-000020", "wk-000099"}, http.StatusUnprocessableEntity, 0, 0},
		{"itself", []string{"wk-000100"}, http.StatusUnprocessableEntity, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newTestNode()
			applyJobRecord(n, 2, "wk-000001", wire.JobLive, nil)
			applyJobRecord(n, 3, "wk-000002", wire.JobDone, nil)
			applyJobRecord(n, 4, "wk-000003", wire.JobCancelled, nil)
			applyJobRecord(n, 5, "wk-000004", wire.JobLive, nil, "wk-000003")
			applyJobRecord(n, 6, "wk-000005", wire.JobLive, func(spec *wire.JobSpec) { spec.Shape = wire.ShapeDaemon })
			reply, wrote := runRequest(n, UserRequest{RequestID: 1, Kind: wire.RequestSubmit, Body: submissionBody(t, "wk-000100", test.dependencies...)}, stored)
			if reply == nil || reply.Status != test.status {
				t.Fatalf("answered with %+v, want status %d", reply, test.status)
			}
			if (len(wrote) > 0) != (test.status == http.StatusCreated) {
				t.Errorf("status %d: wrote %+v, want a write only with status %d", test.status, wrote, http.StatusCreated)
			}
			for _, write := range wrote {
				record := write.Value.(*wire.Job)
				if record.State != test.state || (record.Spec != nil && len(record.Spec.Dependencies) != test.remaining) || (record.Spec == nil) != (test.state == wire.JobCancelled) {
					t.Errorf("recorded %+v, want state %v and %d dependencies", record, test.state, test.remaining)
				}
			}
		})
	}
}

// Until every controller has recorded that it reads dependencies, a submission with
// dependencies is answered 503 and no record in the new format is written.
func TestDependenciesUnavailableBeforeUpgrade(t *testing.T) {
	n := newTestNode(ownership.Member{Name: "n0", Zone: "a"}, ownership.Member{Name: "n1", Zone: "a"})
	applyJobRecord(n, 2, "wk-000001", wire.JobLive, nil)
	submit := func(id uint64) UserRequest {
		return UserRequest{RequestID: id, Kind: wire.RequestSubmit, Body: submissionBody(t, "wk-000100", "wk-000001")}
	}
	reply, wrote := runRequest(n, submit(1), nil)
	if reply == nil || reply.Status != http.StatusServiceUnavailable || reply.RetryAfterS == 0 || len(wrote) > 0 || n.replica.MaxOverflowKeys() > 0 {
		t.Errorf("before the upgrade: answered with %+v, wrote %+v, want status %d and no write", reply, wrote, http.StatusServiceUnavailable)
	}
	// Nor is it forwarded to a peer, which may still run the earlier version.
	n.storeOK = false
	n.peers["n1"] = &peer{receivedAt: n.now, message: &wire.Gossip{From: "n1", StoreOK: true}}
	for _, e := range n.Step(n.now+1, submit(3)) {
		if _, ok := e.(Forward); ok {
			t.Error("the submission is forwarded before all controllers have been upgraded")
		}
	}
	n.storeOK = true
	n.Step(n.now+1, RecordsChanged{Revision: 9, Events: []kv.Event{{Key: wire.FormatPrefix + "n1", Revision: 9, Value: &wire.SupportedFormat{Format: 2}}}})
	if reply, wrote = runRequest(n, submit(2), nil); reply == nil || reply.Status != http.StatusCreated || len(wrote) != 1 {
		t.Errorf("after the upgrade: answered with %+v, wrote %+v, want status %d and one write", reply, wrote, http.StatusCreated)
	}
	// A lower format recorded later does not lower the agreed format.
	n.Step(n.now+1, RecordsChanged{Revision: 10, Events: []kv.Event{{Key: wire.FormatPrefix + "n1", Revision: 10, Value: &wire.SupportedFormat{Format: 1}}}})
	if !n.replica.SupportsDependencies() {
		t.Error("the agreed format went back to an earlier one")
	}
}

// Guards against a submission that names thousands of jobs and takes as many requests of the state
// service at once, of which controllers need some for their leases.
func TestSubmissionReadsFewDependenciesAtOnce(t *testing.T) {
	const maxReadsAtOnce = 16
	for _, test := range []struct {
		name          string
		accepted      int // of the dependencies, which the replica does not show
		dependencies  int
		status        int
		maxTotalReads int
	}{
		{"all accepted a moment ago", 500, 500, http.StatusCreated, 500},
		{"none ever accepted", 0, 4500, http.StatusUnprocessableEntity, maxReadsAtOnce + 1},
		{"some never accepted", 40, 4500, http.StatusUnprocessableEntity, 3*maxReadsAtOnce + 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newTestNode()
			stored := map[string]*wire.Job{}
			var dependencies []string
			for i := range test.dependencies {
				id := fmt.Sprintf("wk-%06d", i)
				dependencies = append(dependencies, id)
				if i < test.accepted {
					stored[id] = &wire.Job{TaskCount: 1, Spec: &wire.JobSpec{ID: id, Shape: wire.ShapeArray}}
				}
			}
			run := requestRun{node: n, stored: stored}
			run.step(UserRequest{RequestID: 1, Kind: wire.RequestSubmit, Body: submissionBody(t, "wk-900000", dependencies...)})
			if run.reply == nil || run.reply.Status != test.status {
				t.Errorf("answered with %+v, want status %d", run.reply, test.status)
			}
			if run.mostReads > maxReadsAtOnce || run.reads > test.maxTotalReads {
				t.Errorf("%d reads, up to %d at once, want at most %d and %d", run.reads, run.mostReads, test.maxTotalReads, maxReadsAtOnce)
			}
		})
	}
}
