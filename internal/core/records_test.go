package core

import (
	"testing"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Guards against a record that names a shard which the deployment does not have, and that ended
// every controller. Records that come with it are applied.
func TestRecordOfUnknownShardIsIgnored(t *testing.T) {
	const unknownShard = 99
	job := func(id string, tasks ...wire.ActiveTask) kv.Event {
		spec := &wire.JobSpec{ID: id, Class: "c", Team: "t", Shape: wire.ShapeArray, Priority: "low", TaskCount: 1, Image: "i", Cores: 8, ExpectedS: 5}
		return kv.Event{Key: wire.JobKey(id), Value: &wire.Job{Spec: spec, TaskCount: 1, AcceptedAtMS: 1_000_000, NextAttempt: 2, ActiveTasks: tasks, OverflowKeys: 1}}
	}
	for name, event := range map[string]kv.Event{
		"a task without a machine":  job("wk-000001", wire.ActiveTask{Attempt: 1, Shard: unknownShard}),
		"a task on a machine":       job("wk-000001", wire.ActiveTask{Attempt: 1, Shard: unknownShard, Machine: "vm-1", Epoch: 1}),
		"a negative shard":          job("wk-000001", wire.ActiveTask{Attempt: 1, Shard: -1, Machine: "vm-1", Epoch: 1}),
		"a task in an overflow key": {Key: wire.OverflowKey("wk-000002", 1), Value: &wire.Overflow{ActiveTasks: wire.ActiveTasks{{Attempt: 1, Shard: unknownShard}}}},
		"a gang":                    {Key: wire.GangKey("wk-000001", 1), Value: &wire.Gang{Attempt: 1, Shards: []int{0, unknownShard}}},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode()
			makeLeader(n)
			events := []kv.Event{event, job("wk-000002")}
			for i := range events {
				events[i].Revision = 2000
			}
			logged := 0
			for _, effect := range n.Step(n.now+1, RecordsChanged{Revision: 2000, Events: events}) {
				if entry, isLog := effect.(Log); isLog && entry.Level == LogError {
					logged++
				}
			}
			for range 100 {
				n.Step(n.now+second/10, Tick{})
			}
			if other := n.findJob("wk-000002"); other == nil || other.Record == nil || logged != 1 {
				t.Errorf("the other record is applied as %+v, and %d errors are logged, want 1", other, logged)
			}
		})
	}
}
