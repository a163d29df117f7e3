package wire

import (
	"bytes"
	"encoding/gob"
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"
)

// format2 returns the expected decoded records of testdata/format2, by file. The files were written
// by the first version that supports jobs with dependencies.
func format2() map[string]any {
	waiting := &JobSpec{ID: "wk-000413", Class: "gi-solve", Team: "vision", Shape: "gang", Priority: "standard", TaskCount: 4, Cores: 2, MemoryGB: 6.4,
		Image: "img-08", ImageGB: 1, SameZone: true, ExpectedS: 20, CheckpointIntervalS: 20, CheckpointTimeS: 4, DeadlineS: 300, Dependencies: []string{"wk-000398", "wk-000405"}}
	array := &JobSpec{ID: "wk-000414", Class: "proxy-mesh", Team: "vision", Shape: "array", Priority: "low", TaskCount: 200, Cores: 1, MemoryGB: 3.2,
		Image: "img-09", ImageGB: 1, AllowSpot: true, ExpectedS: 25}
	return map[string]any{
		"job-waiting": &Job{Spec: waiting, TaskCount: 4, AcceptedAtMS: 1764640000123, NextAttempt: 1},
		"job-continued": &Job{Spec: array, TaskCount: 200, AcceptedAtMS: 1764640000123, NextAttempt: 9, DoneTasks: TaskSet{{First: 0, End: 12}}, OverflowKeys: 2,
			ActiveTasks: ActiveTasks{{Task: 12, Attempt: 4, Shard: 1, Machine: "vm-000231", Epoch: 2}}},
		"continuation": &Overflow{ActiveTasks: ActiveTasks{{Task: 13, Attempt: 5, Shard: 1, Machine: "vm-000231", Epoch: 2},
			{Task: 14, Attempt: 5, Shard: 1, Machine: "vm-000231", Epoch: 2}, {Task: 15, Attempt: 6, Shard: 0, Machine: "vm-000007", Epoch: 1, Stop: StopAbandon},
			{Task: 16, Attempt: 8, Shard: 2}}},
		"continuation-empty": &Overflow{},
		"reads":              &SupportedFormat{Format: 2},
	}
}

// format4 returns the expected decoded records of testdata/format4, by file. The files were written
// by the first version with accounts of teams.
func format4() map[string]any {
	spec := &JobSpec{ID: "wk-000415", Class: "proxy-mesh", Team: "vision", Shape: "array", Priority: "low", TaskCount: 20, Cores: 1, GPUs: 1, MemoryGB: 3.2,
		Image: "img-09", ImageGB: 1, AllowSpot: true, ExpectedS: 25}
	return map[string]any{
		"account": &Account{Version: 3, Limit: Resources{Cores: 96, GPUs: 24}, Guarantee: Resources{GPUs: 8},
			Shares: []Share{{Shard: 0, Cores: 10, GPUs: 2}, {Shard: 2, GPUs: 1.5}}},
		"account-plain": &Account{Limit: Resources{GPUs: 24}},
		"job-admitted": &Job{Spec: spec, TaskCount: 20, AcceptedAtMS: 1764640000123, NextAttempt: 4, ActiveTasks: ActiveTasks{
			{Task: 0, Attempt: 1, Shard: 1, Machine: "vm-000231", Epoch: 2}, {Task: 1, Attempt: 2, Shard: 1, Machine: "vm-000231", Epoch: 2, Admitted: true},
			{Task: 2, Attempt: 2, Shard: 1, Machine: "vm-000231", Epoch: 2, Admitted: true}, {Task: 3, Attempt: 3, Shard: 0, Machine: "vm-000007", Epoch: 1, Admitted: true, Stop: StopAbandon}}},
	}
}

// format5 returns the expected decoded records of testdata/format5, by file. The files were written
// by the first version with early takeovers.
func format5() map[string]any {
	return map[string]any{
		"leader-fenced": &Leader{Controller: "stanok-0", Incarnation: "7-98-1", Fenced: true},
		"leader-early":  &Leader{Controller: "stanok-1", Incarnation: "8-11-4", Fenced: true, Streak: 2},
		"takeovers": &Takeovers{List: []Takeover{
			{From: "stanok-0", To: "stanok-1", Replaced: 412, At: 1764640000123, SilenceMS: 1010, Broken: true, Suspecting: 2, Members: 3, StagesMS: []int64{1002, 1010, 1040, 1052, 1740}},
			{From: "stanok-1", To: "stanok-2", Replaced: 530, At: 1764640031456, SilenceMS: 1810, Suspecting: 3, Hearing: 1, Members: 5, StagesMS: []int64{1760, 1810}}}},
	}
}

// machineTypeRecords returns the expected decoded records of testdata/machine-types, by file. The
// files were written by the first version that stores the machine types over several keys.
func machineTypeRecords() map[string]any {
	g8 := MachineType{Name: "g8", Cores: 96, GPUs: 8, MemoryGB: 768, ImageCacheGB: 200, FetchGBs: 1, PricePerHour: 12, SpotPricePerHour: 4.5, BootS: 45, Zones: []string{"a", "b"}}
	g4 := MachineType{Name: "g4", Cores: 48, GPUs: 4, MemoryGB: 384, ImageCacheGB: 100, FetchGBs: 0.5, PricePerHour: 6, BootS: 30, Zones: []string{"a"}}
	return map[string]any{
		"head":           &MachineTypeHead{Generation: "412-3", Parts: 2},
		"part":           &MachineTypePart{Offered: []MachineType{g8, g4}},
		"record-whole":   &MachineTypeCache{Types: []MachineType{g8}, Withdrawn: []MachineType{g4}, Whole: true},
		"part-withdrawn": &MachineTypePart{Offered: []MachineType{g8}, Withdrawn: []MachineType{g4}},
	}
}

// messagesOfFormat5 returns the expected decoded messages between controllers that format 5 adds or
// extends, by file.
func messagesOfFormat5() map[string]any {
	return map[string]any{
		"gob-heartbeat": &LeaderHeartbeat{From: "stanok-0", Life: "7-98-1", Term: 412, Standby: "stanok-1"},
		"gob-decision-log": &DecisionLog{From: "stanok-0", Life: "7-98-1", Term: 412, Sequence: 3, Reset: true, NowMS: 60500,
			Facts: []byte{0x90}, Checksum: 0x6a09e667},
		"gob-decision-log-ack": &DecisionLogAck{Term: 412, Sequence: 3, Resync: true},
		"gob-gossip": &Gossip{From: "stanok-1", Life: "8-11-4", UpS: 12.5, StoreOK: true,
			Leader: &LeaderView{Term: 412, SilenceMS: 1800, Broken: true, Suspected: true}},
	}
}

// factsOfFormat5 returns the expected decoded facts of testdata/format5/facts. Together they use
// all fields of a fact.
func factsOfFormat5() []Fact {
	return []Fact{
		{Kind: FactBooting, Name: "vm-000231", At: 1500, MachineType: "g8", Zone: "a", Spot: true, Seen: true},
		{Kind: FactProvisioning, Name: "r-412-3", At: 1700, MachineType: "g8", Zone: "b", Count: 12},
		{Kind: FactBootTime, Name: "vm-000230", At: 900, Ratio: 1.25},
		{Kind: FactReserved, Name: "vm-000007", JobID: "wk-000412"},
		{Kind: FactIdle, Name: "vm-000009", Removed: true},
	}
}

// Records of later formats are decoded correctly and encoded to the same bytes as by the first
// version that supports them, since it may run at the same time as this one. Records that do not
// use a later format are encoded as in format 1; see TestFormat1Records.
func TestLaterFormatRecords(t *testing.T) {
	for directory, records := range map[string]map[string]any{"format2": format2(), "format4": format4(), "format5": format5(), "machine-types": machineTypeRecords()} {
		for name, want := range records {
			checkRecord(t, directory+"/"+name, want)
		}
	}
	facts := factsOfFormat5()
	checkRecord(t, "format5/facts", &facts)
}

func TestFormat5Messages(t *testing.T) {
	for name, want := range messagesOfFormat5() {
		checkMessage(t, "format5/"+name, want)
	}
}

// fixture returns the bytes of a hex-encoded file in testdata, such as format1/leader.
func fixture(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../testdata/" + name + ".hex")
	if err != nil {
		t.Fatal(err)
	}
	raw, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return raw
}

// checkRecord checks that the bytes in a fixture decode to a record and that the record encodes to
// these bytes.
func checkRecord(t *testing.T, name string, want any) {
	t.Helper()
	stored := fixture(t, name)
	got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
	if err := Decode(stored, got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: decoded as %+v, %v", name, got, err)
	}
	if encoded, err := Encode(want); err != nil || !bytes.Equal(encoded, stored) {
		t.Errorf("%s: encoded as %x, want %x, %v", name, encoded, stored, err)
	}
}

// checkMessage checks that the gob encoding in a fixture decodes to a message between controllers.
func checkMessage(t *testing.T, name string, want any) {
	t.Helper()
	got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
	if err := gob.NewDecoder(bytes.NewReader(fixture(t, name))).Decode(got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: decoded as %+v, %v", name, got, err)
	}
}
