package wire

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// randomActiveTasks returns a list of random runs of tasks.
func randomActiveTasks(rng *rand.Rand) ActiveTasks {
	var tasks ActiveTasks
	for number, end := rng.IntN(50), rng.IntN(3000); number < end; {
		task := ActiveTask{Task: number, Attempt: uint64(1 + rng.IntN(9999)), Shard: rng.IntN(20), Machine: "vm-0" + string(rune('0'+rng.IntN(10))),
			Epoch: uint64(rng.IntN(3)), Stop: StopRequest(rng.IntN(3))}
		if rng.IntN(4) == 0 {
			task.Machine, task.Epoch = "", 0
		}
		for range 1 + rng.IntN(40) {
			tasks = append(tasks, task)
			task.Task++
		}
		number = task.Task + rng.IntN(3)
	}
	return tasks
}

func sortedByNumber(tasks ActiveTasks) ActiveTasks {
	return slices.SortedFunc(slices.Values(tasks), func(a, b ActiveTask) int { return cmp.Compare(a.Task, b.Task) })
}

// Decoding returns the encoded tasks, and the encoded size does not exceed MaxEncodedBytes.
func TestActiveTasksRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		tasks := randomActiveTasks(rng)
		raw := mustEncode(t, &Job{TaskCount: 3000, ActiveTasks: tasks})
		var got Job
		if err := Decode(raw, &got); err != nil {
			t.Fatal(err)
		}
		if len(tasks) > 0 && !reflect.DeepEqual(sortedByNumber(tasks), sortedByNumber(got.ActiveTasks)) {
			t.Fatalf("%d tasks were decoded as %d others", len(tasks), len(got.ActiveTasks))
		}
		var fields map[string]any
		if err := msgpack.Unmarshal(raw, &fields); err != nil {
			t.Fatal(err)
		}
		if text, err := json.Marshal(fields["ac"]); err != nil || len(text) > tasks.MaxEncodedBytes()+4 {
			t.Fatalf("%d tasks take %d bytes, more than the bound of %d, or %v", len(tasks), len(text), tasks.MaxEncodedBytes(), err)
		}
	}
}

func TestActiveTasksRefuseInvalidRuns(t *testing.T) {
	for _, c := range []struct {
		name  string
		tasks any
	}{
		{"empty run", []any{[]any{0, 1, 0, []any{5, 1, "vm-1", 0}}}},
		{"run longer than any job", []any{[]any{0, 1, 0, []any{5, 1, "vm-1", MaxTasks + 1}}}},
		{"truncated run", []any{[]any{0, 1, 0, []any{5, 1}}}},
		{"group is a number", []any{5}},
	} {
		if err := Decode(mustEncode(t, map[string]any{"ac": c.tasks}), new(Job)); err == nil {
			t.Errorf("%s: %v is accepted", c.name, c.tasks)
		}
	}
}
