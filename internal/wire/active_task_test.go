package wire

import (
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"sort"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// Runs come back as the tasks that they were, and the bound on their size in the
// form in which values are measured holds.
func TestActivesRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var in ActiveTasks
		for task, end := rng.IntN(50), rng.IntN(3000); task < end; {
			a := ActiveTask{Task: task, Attempt: uint64(1 + rng.IntN(9999)), Shard: rng.IntN(20), Machine: "vm-0" + string(rune('0'+rng.IntN(10))),
				Epoch: uint64(rng.IntN(3)), Stop: StopRequest(rng.IntN(3))}
			if rng.IntN(4) == 0 {
				a.Machine, a.Epoch = "", 0
			}
			for range 1 + rng.IntN(40) {
				in = append(in, a)
				a.Task++
			}
			task = a.Task + rng.IntN(3)
		}
		b, err := Encode(&Job{TaskCount: 3000, ActiveTasks: in})
		if err != nil {
			t.Fatal(err)
		}
		var out Job
		if err := Decode(b, &out); err != nil {
			t.Fatal(err)
		}
		byTask := func(l ActiveTasks) ActiveTasks {
			l = append(ActiveTasks(nil), l...)
			sort.Slice(l, func(i, k int) bool { return l[i].Task < l[k].Task })
			return l
		}
		if len(in) > 0 && !reflect.DeepEqual(byTask(in), byTask(out.ActiveTasks)) {
			t.Fatalf("%d tasks came back as %d others", len(in), len(out.ActiveTasks))
		}
		var raw map[string]any
		if err := msgpack.Unmarshal(b, &raw); err != nil {
			t.Fatal(err)
		}
		if text, err := json.Marshal(raw["ac"]); err != nil || len(text) > in.Cost()+4 {
			t.Fatalf("%d tasks take %d bytes, the bound is %d, %v", len(in), len(text), in.Cost(), err)
		}
	}
}

func TestActivesRefuseBadRuns(t *testing.T) {
	for _, bad := range []any{
		[]any{[]any{0, 1, 0, []any{5, 1, "vm-1", 0}}},
		[]any{[]any{0, 1, 0, []any{5, 1, "vm-1", MaxTasks + 1}}},
		[]any{[]any{0, 1, 0, []any{5, 1}}},
		[]any{5},
	} {
		b, err := Encode(map[string]any{"ac": bad})
		if err != nil {
			t.Fatal(err)
		}
		if err := Decode(b, new(Job)); err == nil {
			t.Errorf("%v is taken", bad)
		}
	}
}
