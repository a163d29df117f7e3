package core

import (
	"math"
	"testing"

	"micaport/internal/wire"
)

// Estimates of a class are corrected by the median of what jobs took, once enough of
// them are done, and never by more than estimates are wrong.
func TestEstimatesAreCorrected(t *testing.T) {
	var r runTimeEstimator
	for range minRunSamples - 1 {
		r.observe("c", 20*second, 10)
	}
	if got := r.correction("c"); got != 1 {
		t.Errorf("corrected by %v after too few jobs", got)
	}
	r.observe("c", 500*second, 10) // one that waited does not count for more than others
	if got := r.correction("c"); got != 2 {
		t.Errorf("corrected by %v, not 2", got)
	}
	for range maxRunSamples {
		r.observe("c", second, 10)
		r.observe("d", 900*second, 10)
		r.observe("daemon", second, 0)
	}
	for class, want := range map[string]float64{"c": minCorrection, "d": maxCorrection, "daemon": 1, "other": 1} {
		if got := r.correction(class); got != want {
			t.Errorf("%s is corrected by %v, not %v", class, got, want)
		}
	}
	if len(r.ratios["c"]) != maxRunSamples {
		t.Errorf("%d samples are kept", len(r.ratios["c"]))
	}
}

// leading makes a controller the leader of a site without machines.
func leading(n *Node) {
	n.Step(n.now+1, RecordsChanged{Revision: 1000, Events: []Event{{Key: wire.LeaderKey, Revision: 1000, Value: &wire.Leader{Controller: n.cfg.Self, Incarnation: n.cfg.Incarnation}}}})
	n.leader.autoscaler = newAutoscaler()
}

// granted shows a job whose only task is on a machine, as granted by this leader.
func granted(n *Node, rev int, id string, expectedS float64) {
	spec := &wire.JobSpec{ID: id, Class: "c", Team: "t", Shape: wire.ShapeArray, Priority: "low", TaskCount: 1, Image: "i", Cores: 8, ExpectedS: expectedS}
	record := &wire.Job{Spec: spec, TaskCount: 1, AcceptedAtMS: 1_000_000, NextAttempt: 2, ActiveTasks: wire.ActiveTasks{{Attempt: 1, Machine: "vm-000001", Epoch: 1}}}
	n.Step(n.now+1, RecordsChanged{Revision: uint64(rev), Events: []Event{{Key: wire.JobKey(id), Revision: uint64(rev), Value: record}}})
	n.jobNamed(id).grantedAt = n.now
}

// planned is how many machines a pass that plans stages only wants to provision.
func planned(n *Node) (machines int) {
	pass := n.newSchedulingPass(newWriter(n))
	pass.planNextStages()
	for _, count := range pass.provisions {
		machines += count
	}
	if len(pass.writer.order) > 0 {
		panic("something was granted ahead")
	}
	return machines
}

// Room for a stage is planned from when what it needs will probably end before a
// machine provisioned now is up, and not before; nor for one that will never run.
func TestStageIsPlannedAhead(t *testing.T) {
	wide := func(spec *wire.JobSpec) { spec.Cores, spec.TaskCount = 8, 3 }
	for name, c := range map[string]struct {
		expectedS float64 // of the need
		after     Time
		withdrawn bool
		want      int
	}{
		"ends soon":        {expectedS: 10, want: 3},
		"ends much later":  {expectedS: 300, want: 0},
		"later, but soon":  {expectedS: 300, after: 295 * second, want: 3},
		"will never begin": {expectedS: 10, withdrawn: true, want: 0},
	} {
		n := chained()
		leading(n)
		granted(n, 2000, "wk-000001", c.expectedS)
		see(n, 2001, "wk-000002", wire.JobLive, nil)
		see(n, 2002, "wk-000003", wire.JobLive, wide, "wk-000001")
		n.jobNamed("wk-000003").Record.TaskCount = 3
		if c.withdrawn {
			n.jobNamed("wk-000003").Links.AncestorCancelled = true
		}
		n.now += c.after
		if got := planned(n); got != c.want {
			t.Errorf("%s: %d machines, not %d", name, got, c.want)
		}
	}
	// While another need has not even been granted nothing is planned.
	n := chained()
	leading(n)
	granted(n, 2000, "wk-000001", 10)
	see(n, 2001, "wk-000002", wire.JobLive, nil)
	see(n, 2002, "wk-000003", wire.JobLive, wide, "wk-000001", "wk-000002")
	if got := planned(n); got != 0 {
		t.Errorf("%d machines for a job with a need that waits itself", got)
	}
}

// The stages of a chain are pressed by what those after them really take.
func TestDeadlineGoesByCorrectedTimes(t *testing.T) {
	n := chained()
	for range minRunSamples {
		n.runTimeEstimator.observe("c", 30*second, 10)
	}
	see(n, 2, "wk-000001", wire.JobLive, nil)
	see(n, 3, "wk-000002", wire.JobLive, func(spec *wire.JobSpec) { spec.DeadlineS = 100 }, "wk-000001")
	const estimateMS, reportMS, due = 10_000, 4_000, 1_100_000
	if got, want := n.jobNamed("wk-000001").Links.DeadlineMS, int64(due-3*estimateMS-reportMS); got != want {
		t.Errorf("due at %d, not %d", got, want)
	}
	if got, want := n.latestStart(n.jobNamed("wk-000002")), int64(due-3*estimateMS); got != want {
		t.Errorf("to begin by %d, not %d", got, want)
	}
	see(n, 4, "wk-000003", wire.JobLive, nil)
	if got := n.latestStart(n.jobNamed("wk-000003")); got != math.MaxInt64 {
		t.Errorf("a job without a chain has to begin by %d", got)
	}
}
