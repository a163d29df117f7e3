package simulation

import (
	"fmt"
	"strings"
	"testing"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// testCommit is a commit that adds a job of a team with a limit of 8 GPUs, of which shard 0
// has a share of 3.
type testCommit struct {
	tasks           int
	admittedByOwner bool // by the owner of shard 0; false: by the leader
	fenced          bool // the commit is conditional on the team's account
}

// TestAccountingFindsFaults checks that the accounting reports each kind of fault in a
// history of commits that contains it, and reports nothing for correct histories.
func TestAccountingFindsFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		commits []testCommit
		limit   string // set by an operator between the first and the second commit
		rule    string // the rule that is violated; "": none
	}{
		{"within limit and share", []testCommit{{5, false, true}, {3, true, true}}, "", ""},
		{"the leader admits within an idle share", []testCommit{{6, false, true}}, "", "quota"},
		{"an owner admits more than its share", []testCommit{{5, false, true}, {4, true, true}}, "", "quota"},
		{"an admission by the leader without the account", []testCommit{{2, false, false}}, "", "unfenced"},
		{"an admission by an owner without the account", []testCommit{{1, true, false}}, "", "unfenced"},
		{"nothing new after the limit was lowered", []testCommit{{5, false, true}}, "cards=4", ""},
		{"more after the limit was lowered below the use", []testCommit{{4, false, true}, {1, false, true}}, "cards=4", "quota"},
		{"more after the limit was raised", []testCommit{{5, false, true}, {2, false, true}}, "cards=10", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := Defaults()
			settings.ControllerZones = nil
			sim := newSimulation(settings, discardLog)
			raw, err := wire.Encode(&wire.Account{Limit: wire.Resources{GPUs: 8}, Shares: []wire.Share{{Shard: 0, GPUs: 3}}})
			if err != nil {
				t.Fatal(err)
			}
			sim.store.overwrite(wire.AccountKey("red"), raw)
			for i, commit := range test.commits {
				if i == 1 && test.limit != "" {
					if err := sim.quota.changeLimit("red", []string{test.limit}); err != nil {
						t.Fatal(err)
					}
				}
				commit.apply(t, sim, fmt.Sprintf("wk-%06d", i+1))
			}
			violations := strings.Join(sim.rules.violations, "; ")
			if test.rule == "" && violations != "" || test.rule != "" && !strings.Contains(violations, test.rule) {
				t.Errorf("got violations %q, want %q", violations, test.rule)
			}
		})
	}
}

// apply commits a job whose tasks need one GPU each.
func (c testCommit) apply(t *testing.T, sim *Simulation, jobID string) {
	t.Helper()
	job := &wire.Job{Spec: &wire.JobSpec{ID: jobID, Team: "red", Shape: wire.ShapeArray, TaskCount: c.tasks, GPUs: 1}, TaskCount: c.tasks, NextAttempt: 2}
	for task := range c.tasks {
		job.ActiveTasks = append(job.ActiveTasks, wire.ActiveTask{Task: task, Attempt: 1, Machine: "vm-000001", Epoch: 1, Admitted: c.admittedByOwner})
	}
	conditions := []kv.Condition{{Key: wire.JobKey(jobID)}}
	if c.fenced {
		key := wire.AccountKey("red")
		conditions = append(conditions, kv.Condition{Key: key, Revision: sim.store.revisionOf(key)})
	}
	writes := encodeRecordWrites([]kv.Write{{Key: wire.JobKey(jobID), Value: job}})
	if outcome, _, _ := sim.store.commit(nil, conditions, writes); outcome != kv.OK {
		t.Fatalf("commit of %s: got outcome %v, want %v", jobID, outcome, kv.OK)
	}
}
