package simulation

import (
	"strings"
	"testing"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// plantedCommit is a commit on a store with one team of 8 GPUs, of which shard 0 holds a
// share of 3; by the leader unless admitted.
type plantedCommit struct {
	tasks    int
	admitted bool
	fenced   bool
}

// Each fault that the accounting looks for is found in a history in which it is planted,
// and nothing is found where there is none.
func TestAccountingFindsPlantedFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		commits []plantedCommit
		limit   string // that an operator sets between the first and the second commit
		rule    string
	}{
		{"within limit and share", []plantedCommit{{5, false, true}, {3, true, true}}, "", ""},
		{"the leader spends a share that is idle", []plantedCommit{{6, false, true}}, "", "quota"},
		{"an owner spends more than its share", []plantedCommit{{5, false, true}, {4, true, true}}, "", "quota"},
		{"a grant that rests on no account", []plantedCommit{{2, false, false}}, "", "unfenced"},
		{"an admission that rests on no account", []plantedCommit{{1, true, false}}, "", "unfenced"},
		{"nothing new after the limit was lowered", []plantedCommit{{5, false, true}}, "cards=4", ""},
		{"more after the limit was lowered below the use", []plantedCommit{{4, false, true}, {1, false, true}}, "cards=4", "quota"},
		{"more after the limit was raised", []plantedCommit{{5, false, true}, {2, false, true}}, "cards=10", ""},
	} {
		s := Defaults()
		s.Nodes = nil
		w := newWorld(s, func(string, ...any) {})
		key := wire.AccountKey("red")
		raw, err := wire.Encode(&wire.Account{Limit: wire.Resources{GPUs: 8}, Shares: []wire.Share{{Shard: 0, GPUs: 3}}})
		if err != nil {
			t.Fatal(err)
		}
		w.store.overwrite(key, raw)
		for i, x := range c.commits {
			if i == 1 && c.limit != "" {
				if err := w.changeLimit("red", []string{c.limit}); err != nil {
					t.Fatal(err)
				}
			}
			x.carryOut(t, w, i)
		}
		broken := strings.Join(w.Broken, "; ")
		if c.rule == "" && broken != "" || c.rule != "" && !strings.Contains(broken, c.rule) {
			t.Errorf("%s: %q, want %q", c.name, broken, c.rule)
		}
	}
}

// carryOut commits a job of its own with so many tasks of one GPU.
func (x plantedCommit) carryOut(t *testing.T, w *World, i int) {
	t.Helper()
	ref := []string{"wk-000001", "wk-000002"}[i]
	rec := &wire.Job{Spec: &wire.JobSpec{ID: ref, Team: "red", Shape: wire.ShapeArray, TaskCount: x.tasks, GPUs: 1}, TaskCount: x.tasks, NextAttempt: 2}
	for task := range x.tasks {
		rec.ActiveTasks = append(rec.ActiveTasks, wire.ActiveTask{Task: task, Attempt: 1, Machine: "vm-000001", Epoch: 1, Admitted: x.admitted})
	}
	conds := []core.Condition{{Key: wire.JobKey(ref)}}
	if x.fenced {
		key := wire.AccountKey("red")
		conds = append(conds, core.Condition{Key: key, Revision: w.store.keys[key].rev})
	}
	if out, _, _ := w.store.commit(nil, conds, encodeWrites([]core.Write{{Key: wire.JobKey(ref), Value: rec}})); out != core.OK {
		t.Fatalf("the commit came to %v", out)
	}
}
