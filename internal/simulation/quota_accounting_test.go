package simulation

import (
	"strings"
	"testing"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// testCommit is a commit on a store with one team of 8 GPUs, of which shard 0 holds a
// share of 3; by the leader unless admitted.
type testCommit struct {
	tasks    int
	admitted bool
	fenced   bool
}

// Each fault that the accounting looks for is found in a history in which it is planted,
// and nothing is found where there is none.
func TestAccountingFindsPlantedFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		commits []testCommit
		limit   string // that an operator sets between the first and the second commit
		rule    string
	}{
		{"within limit and share", []testCommit{{5, false, true}, {3, true, true}}, "", ""},
		{"the leader spends a share that is idle", []testCommit{{6, false, true}}, "", "quota"},
		{"an owner spends more than its share", []testCommit{{5, false, true}, {4, true, true}}, "", "quota"},
		{"a grant that rests on no account", []testCommit{{2, false, false}}, "", "unfenced"},
		{"an admission that rests on no account", []testCommit{{1, true, false}}, "", "unfenced"},
		{"nothing new after the limit was lowered", []testCommit{{5, false, true}}, "cards=4", ""},
		{"more after the limit was lowered below the use", []testCommit{{4, false, true}, {1, false, true}}, "cards=4", "quota"},
		{"more after the limit was raised", []testCommit{{5, false, true}, {2, false, true}}, "cards=10", ""},
	} {
		s := Defaults()
		s.ControllerZones = nil
		sim := newSimulation(s, func(string, ...any) {})
		key := wire.AccountKey("red")
		raw, err := wire.Encode(&wire.Account{Limit: wire.Resources{GPUs: 8}, Shares: []wire.Share{{Shard: 0, GPUs: 3}}})
		if err != nil {
			t.Fatal(err)
		}
		sim.store.overwrite(key, raw)
		for i, x := range c.commits {
			if i == 1 && c.limit != "" {
				if err := sim.quota.changeLimit("red", []string{c.limit}); err != nil {
					t.Fatal(err)
				}
			}
			x.commit(t, sim, i)
		}
		broken := strings.Join(sim.rules.violations, "; ")
		if c.rule == "" && broken != "" || c.rule != "" && !strings.Contains(broken, c.rule) {
			t.Errorf("%s: %q, want %q", c.name, broken, c.rule)
		}
	}
}

// commit commits a job of its own with so many tasks of one GPU.
func (x testCommit) commit(t *testing.T, sim *Simulation, i int) {
	t.Helper()
	jobID := []string{"wk-000001", "wk-000002"}[i]
	job := &wire.Job{Spec: &wire.JobSpec{ID: jobID, Team: "red", Shape: wire.ShapeArray, TaskCount: x.tasks, GPUs: 1}, TaskCount: x.tasks, NextAttempt: 2}
	for task := range x.tasks {
		job.ActiveTasks = append(job.ActiveTasks, wire.ActiveTask{Task: task, Attempt: 1, Machine: "vm-000001", Epoch: 1, Admitted: x.admitted})
	}
	conditions := []core.Condition{{Key: wire.JobKey(jobID)}}
	if x.fenced {
		key := wire.AccountKey("red")
		conditions = append(conditions, core.Condition{Key: key, Revision: sim.store.records[key].revision})
	}
	if outcome, _, _ := sim.store.commit(nil, conditions, encodeRecordWrites([]core.Write{{Key: wire.JobKey(jobID), Value: job}})); outcome != core.OK {
		t.Fatalf("the commit came to %v", outcome)
	}
}
