package wire

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"strings"
	"testing"
)

// format1 returns the expected decoded records and messages of testdata/format1, by file. The files
// were written by the version that is in production; see the README there.
func format1() map[string]any {
	spec := &JobSpec{ID: "wk-000412", Class: "train", Team: "vision", Shape: "array", Priority: "high", TaskCount: 16, Cores: 8, GPUs: 1, MemoryGB: 64,
		Image: "img-07", ImageGB: 6.2, MachineTypes: []string{"g8"}, Zone: "a", SameZone: true, AllowSpot: true, ExpectedS: 240, CheckpointIntervalS: 30, CheckpointTimeS: 4, DeadlineS: 900}
	gossip := &Gossip{From: "stanok-2", Life: "9-1-1", UpS: 12.5, StoreOK: true, Parts: []int{1}, Terms: []uint64{44},
		Seen: map[string]SeenVersion{"stanok-0": {Life: "7-98-1", Ver: 8}}, Need: 3, Since: 2, Ver: 9, Names: []string{"a", "g8", "img-01"},
		Hosts: []MachineInfo{{Name: "vm-000003", Rig: 1, Zone: 0, Flags: FlagSpot, Images: []int{2}}},
		Holds: []GangHold{{Ref: "wk-000412", Attempt: 3, Part: 1, OK: true}}, Tries: []GangHold{{Ref: "wk-000412", Attempt: 3}},
		Kept: []Reservation{{Host: "vm-000003", Ref: "wk-000412"}}, Retire: []string{"vm-000001"}, Returned: []string{"vm-000002"}, Strays: []string{"vm-000005"}}
	return map[string]any{
		"job-live": &Job{Spec: spec, TaskCount: 16, AcceptedAtMS: 1764640000123, NextAttempt: 7, DoneTasks: TaskSet{{First: 0, End: 3}, {First: 5, End: 6}}, ConsecutiveErrors: 2, FailedMachines: []string{"vm-000004"},
			ActiveTasks: ActiveTasks{{Task: 3, Attempt: 4, Shard: 1, Machine: "vm-000231", Epoch: 2}, {Task: 4, Attempt: 4, Shard: 1, Machine: "vm-000231", Epoch: 2},
				{Task: 7, Attempt: 6, Shard: 0, Machine: "vm-000007", Epoch: 1, Stop: StopPreempt}, {Task: 8, Attempt: 6, Shard: 2}}},
		"job-done":      &Job{State: JobDone, TaskCount: 16, AcceptedAtMS: 1764640000123, NextAttempt: 17},
		"job-withdrawn": &Job{State: JobCancelled, TaskCount: 4, AcceptedAtMS: 1764640000123, NextAttempt: 3, DoneTasks: TaskSet{{First: 0, End: 1}}},
		"part":          &Shard{Owner: "stanok-1", Incarnation: "7-99-3"},
		"leader":        &Leader{Controller: "stanok-0", Incarnation: "7-98-1"},
		"gang":          &Gang{Attempt: 3, State: GangConfirmed, Shards: []int{0, 2}},
		"images":        &ImageCache{Names: []string{"img-01", "img-02"}, Machines: map[string][]int{"vm-000003": {0, 1}}},
		"types": &MachineTypeCache{Types: []MachineType{{Name: "g8", Cores: 96, GPUs: 8, MemoryGB: 768, ImageCacheGB: 200, FetchGBs: 1, PricePerHour: 12, SpotPricePerHour: 4.5,
			BootS: 45, Zones: []string{"a", "b"}}}},
		"room":           gossip,
		"gob-gossip":     gossip,
		"gob-usercall":   &UserCall{Kind: "poll", Ref: "wk-000412"},
		"gob-useranswer": &UserAnswer{Status: 200, Body: []byte{1, 2}},
	}
}

// Copies of the types of messages between controllers in the version of format 1. gob transmits the
// names of their fields.
type (
	machineInfo1 struct {
		Name   string
		Rig    int
		Zone   int
		Flags  int
		Errors int
		Images []int
	}
	gangHold1 struct {
		Ref     string
		Attempt uint64
		Part    int
		OK      bool
	}
	reservation1 struct {
		Host string
		Ref  string
	}
	seenVersion1 struct {
		Life string
		Ver  uint64
	}
	gossip1 struct {
		From     string
		Life     string
		UpS      float64
		StoreOK  bool
		CutOff   bool
		Parts    []int
		Terms    []uint64
		Seen     map[string]seenVersion1
		Need     int
		Since    uint64
		Ver      uint64
		Names    []string
		Hosts    []machineInfo1
		Holds    []gangHold1
		Tries    []gangHold1
		Kept     []reservation1
		Retire   []string
		Returned []string
		Strays   []string
	}
	userCall1 struct {
		Kind string
		Ref  string
		Body []byte
	}
	userAnswer1 struct {
		Status int
		Body   []byte
	}
)

// messagesOfFormat1 has the constructors of empty messages of format 1, by file.
var messagesOfFormat1 = map[string]func() any{
	"gob-gossip":     func() any { return new(gossip1) },
	"gob-usercall":   func() any { return new(userCall1) },
	"gob-useranswer": func() any { return new(userAnswer1) },
}

// Records written by the production version are decoded correctly and encoded to the same bytes,
// since both versions run at the same time during an upgrade.
func TestFormat1Records(t *testing.T) {
	for name, want := range format1() {
		if !strings.HasPrefix(name, "gob-") {
			checkRecord(t, "format1/"+name, want)
		}
	}
}

// Messages sent by the production version are decoded correctly, and that version decodes the
// messages of this version like its own.
func TestFormat1Messages(t *testing.T) {
	for name, want := range format1() {
		if !strings.HasPrefix(name, "gob-") {
			continue
		}
		checkMessage(t, "format1/"+name, want)
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(want); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		newMessage := messagesOfFormat1[name]
		if newMessage == nil {
			t.Fatalf("%s: no constructor for this message of format 1", name)
		}
		fromThisVersion, fromFormat1 := newMessage(), newMessage()
		if err := gob.NewDecoder(&encoded).Decode(fromThisVersion); err != nil {
			t.Errorf("%s: format 1 can't decode the message of this version: %v", name, err)
		}
		if err := gob.NewDecoder(bytes.NewReader(fixture(t, "format1/"+name))).Decode(fromFormat1); err != nil || !reflect.DeepEqual(fromThisVersion, fromFormat1) {
			t.Errorf("%s: format 1 decodes the message of this version as %+v, its own as %+v, %v", name, fromThisVersion, fromFormat1, err)
		}
	}
}
