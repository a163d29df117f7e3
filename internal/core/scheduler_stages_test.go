package core

import (
	"fmt"
	"math"
	"testing"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// makeLeader makes a controller the leader of a site without machines.
func makeLeader(n *Node) {
	n.Step(n.now+1, RecordsChanged{Revision: 1000, Events: []kv.Event{{Key: wire.LeaderKey, Revision: 1000, Value: &wire.Leader{Controller: n.cfg.Self, Incarnation: n.cfg.Incarnation}}}})
	n.leader.autoscaler = newAutoscaler()
}

// addGrantedJob adds the record of a job whose only task has a machine, as if this leader had
// just granted it.
func addGrantedJob(n *Node, revision uint64, id string, expectedS float64) {
	spec := &wire.JobSpec{ID: id, Class: "c", Team: "t", Shape: wire.ShapeArray, Priority: "low", TaskCount: 1, Image: "i", Cores: 8, ExpectedS: expectedS}
	record := &wire.Job{Spec: spec, TaskCount: 1, AcceptedAtMS: 1_000_000, NextAttempt: 2, ActiveTasks: wire.ActiveTasks{{Attempt: 1, Machine: "vm-000001", Epoch: 1}}}
	n.Step(n.now+1, RecordsChanged{Revision: revision, Events: []kv.Event{{Key: wire.JobKey(id), Revision: revision, Value: record}}})
	n.findJob(id).grantedAt = n.now
}

// countPlannedMachines returns the number of machines that a pass which only plans stages wants to
// provision.
func countPlannedMachines(t *testing.T, n *Node) int {
	t.Helper()
	pass := n.newSchedulingPass(newWriter(n))
	pass.planNextStages()
	if len(pass.writer.changedJobs) > 0 {
		t.Fatalf("planning stages granted tasks of %d jobs, want none", len(pass.writer.changedJobs))
	}
	machines := 0
	for _, count := range pass.machinesToProvision {
		machines += count
	}
	return machines
}

// TestStageIsPlannedAhead checks that capacity for a job is planned once its dependencies will
// probably end before a machine provisioned now is up, not earlier, and never for a job that will
// not run.
func TestStageIsPlannedAhead(t *testing.T) {
	wide := func(spec *wire.JobSpec) { spec.Cores, spec.TaskCount = 8, 3 }
	for name, test := range map[string]struct {
		expectedS float64 // of the dependency
		after     Time
		cancelled bool
		want      int
	}{
		"ends soon":                   {expectedS: 10, want: 3},
		"ends much later":             {expectedS: 300, want: 0},
		"soon, 295 s after the grant": {expectedS: 300, after: 295 * second, want: 3},
		"an ancestor is cancelled":    {expectedS: 10, cancelled: true, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode()
			makeLeader(n)
			addGrantedJob(n, 2000, "wk-000001", test.expectedS)
			applyJobRecord(n, 2001, "wk-000002", wire.JobLive, nil)
			applyJobRecord(n, 2002, "wk-000003", wire.JobLive, wide, "wk-000001")
			n.findJob("wk-000003").Record.TaskCount = 3
			if test.cancelled {
				n.findJob("wk-000003").Links.AncestorCancelled = true
			}
			n.now += test.after
			if got := countPlannedMachines(t, n); got != test.want {
				t.Errorf("planned machines = %d, want %d", got, test.want)
			}
		})
	}
	t.Run("another dependency is not granted", func(t *testing.T) {
		n := newTestNode()
		makeLeader(n)
		addGrantedJob(n, 2000, "wk-000001", 10)
		applyJobRecord(n, 2001, "wk-000002", wire.JobLive, nil)
		applyJobRecord(n, 2002, "wk-000003", wire.JobLive, wide, "wk-000001", "wk-000002")
		if got := countPlannedMachines(t, n); got != 0 {
			t.Errorf("planned machines = %d, want none", got)
		}
	})
}

// TestLatestStartFollowsCorrectedRunTimes checks that the deadlines within a chain are based on
// the observed run times of the stages rather than the expected ones.
func TestLatestStartFollowsCorrectedRunTimes(t *testing.T) {
	n := newTestNode()
	for range minRunSamples {
		n.runTimeEstimator.addSample("c", 30*second, 10)
	}
	applyJobRecord(n, 2, "wk-000001", wire.JobLive, nil)
	applyJobRecord(n, 3, "wk-000002", wire.JobLive, func(spec *wire.JobSpec) { spec.DeadlineS = 100 }, "wk-000001")
	const estimateMS, reportMS, dueMS = 10_000, 4_000, 1_100_000
	if got, want := n.findJob("wk-000001").Links.DeadlineMS, int64(dueMS-3*estimateMS-reportMS); got != want {
		t.Errorf("deadline of the first stage = %d, want %d", got, want)
	}
	if got, want := n.latestStartOrMax(n.findJob("wk-000002")), int64(dueMS-3*estimateMS); got != want {
		t.Errorf("latest start of the last stage = %d, want %d", got, want)
	}
	applyJobRecord(n, 4, "wk-000003", wire.JobLive, nil)
	if got := n.latestStartOrMax(n.findJob("wk-000003")); got != math.MaxInt64 {
		t.Errorf("latest start of a job outside a chain = %d, want none", got)
	}
}

// Guards against a leader that goes through all dependencies of all waiting jobs in each pass: those
// that are done are visited in one pass only.
func TestPlanningVisitsDoneDependenciesOnce(t *testing.T) {
	const dependencies, waitingJobs = 200, 50
	n := newTestNode()
	makeLeader(n)
	revision := 1000
	apply := func(id string, state wire.JobState, dependencies ...string) {
		revision++
		applyJobRecord(n, revision, id, state, nil, dependencies...)
	}
	var ids []string
	for i := range dependencies {
		ids = append(ids, fmt.Sprintf("wk-%06d", i))
		apply(ids[i], wire.JobLive)
	}
	for i := range waitingJobs {
		apply(fmt.Sprintf("wk-%06d", 1000+i), wire.JobLive, ids...)
	}
	for _, id := range ids[:dependencies-1] {
		apply(id, wire.JobDone)
	}
	countPlannedMachines(t, n)
	before := n.replica.VisitedLinks()
	countPlannedMachines(t, n)
	if visited := n.replica.VisitedLinks() - before; visited > waitingJobs {
		t.Errorf("a further pass visits %d links, want at most one for each of %d jobs", visited, waitingJobs)
	}
}
