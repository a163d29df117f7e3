package wire

import "testing"

// Guards against bytes from users, workers, peers or services that end a controller: whatever they
// are, decoding them returns a value or an error. A decoded submission can be recorded.
func FuzzDecode(f *testing.F) {
	for _, body := range malformedBodies {
		f.Add([]byte(body))
	}
	for _, value := range []any{
		map[string]any{"ref": "wk-000412", "rigs": []string{"g8"}, "waits_on": []string{"wk-1"}, "expected_s": 2.5, "frames": 3, "spread": true},
		WorkerHeartbeat{Machine: "vm-1", Epoch: 1, Tasks: []TaskStatus{{Task: "wk-1/0", Attempt: 1, State: TaskRunning}}},
		Job{Spec: &JobSpec{ID: "wk-1", TaskCount: 9}, TaskCount: 9, DoneTasks: TaskSet{{First: 0, End: 2}}, ActiveTasks: ActiveTasks{{Task: 3, Attempt: 2, Machine: "vm-1"}}},
		Gossip{From: "n0", Seen: map[string]SeenVersion{"n1": {Life: "a", Ver: 1}}, Hosts: []MachineInfo{{Name: "vm-1", Images: []int{1}}}, Leader: &LeaderView{Term: 1}},
		[]Fact{{Kind: FactIdle, Name: "vm-1", At: 5}},
		MachineTypeCache{Types: []MachineType{{Name: "g8", Zones: []string{"a"}}}},
		MachineTypePart{Offered: []MachineType{{Name: "g8", Zones: []string{"a"}}}, Withdrawn: []MachineType{{Name: "g4"}}},
	} {
		raw, err := Encode(value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	decode := decoders()
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, decodeRaw := range decode {
			_ = decodeRaw(raw) // any error will do
		}
		if _, spec, err := ParseJobSpec(raw); err == nil {
			if _, err := Encode(&Job{Spec: spec, TaskCount: spec.TaskCount}); err != nil {
				t.Errorf("%+v can't be recorded: %v", spec, err)
			}
		}
	})
}
