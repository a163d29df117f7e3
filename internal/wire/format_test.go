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

// What format 1 looks like: testdata/format1 was written by the version that is in
// production, see the README there. Spelled out here as this version reads it.
func format1() map[string]any {
	spec := &JobSpec{ID: "wk-000412", Class: "train", Team: "vision", Shape: "array", Priority: "high", TaskCount: 16, Cores: 8, GPUs: 1, MemoryGB: 64,
		Image: "img-07", ImageGB: 6.2, MachineTypes: []string{"g8"}, Zone: "a", SameZone: true, AllowSpot: true, ExpectedS: 240, CheckpointIntervalS: 30, CheckpointTimeS: 4, DeadlineS: 900}
	g := &Gossip{From: "stanok-2", Life: "9-1-1", UpS: 12.5, StoreOK: true, Parts: []int{1}, Terms: []uint64{44},
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
		"room":           g,
		"gob-gossip":     g,
		"gob-usercall":   &UserCall{Kind: "poll", Ref: "wk-000412"},
		"gob-useranswer": &UserAnswer{Status: 200, Body: []byte{1, 2}},
	}
}

// The messages between controllers as the types of format 1 have them.
type (
	hostInfo1 struct {
		Name   string
		Rig    int
		Zone   int
		Flags  int
		Errors int
		Images []int
	}
	hold1 struct {
		Ref     string
		Attempt uint64
		Part    int
		OK      bool
	}
	kept1 struct {
		Host string
		Ref  string
	}
	seen1 struct {
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
		Seen     map[string]seen1
		Need     int
		Since    uint64
		Ver      uint64
		Names    []string
		Hosts    []hostInfo1
		Holds    []hold1
		Tries    []hold1
		Kept     []kept1
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

var inFormat1 = map[string]func() any{
	"gob-gossip":     func() any { return new(gossip1) },
	"gob-usercall":   func() any { return new(userCall1) },
	"gob-useranswer": func() any { return new(userAnswer1) },
}

// format2 spells out the records in testdata/format2, which the first version that
// serves chained jobs has written.
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

// fixture reads a file of testdata, such as format1/leader.
func fixture(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../testdata/" + name + ".hex")
	if err != nil {
		t.Fatal(err)
	}
	b, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// What the version in production has written is read as it was meant, and what is
// written before all controllers have been upgraded is what it would have written:
// records byte for byte, messages between controllers as gob's types go.
func TestFormat1(t *testing.T) {
	for name, want := range format1() {
		b := fixture(t, "format1/"+name)
		got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if strings.HasPrefix(name, "gob-") {
			if err := gob.NewDecoder(bytes.NewReader(b)).Decode(got); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%s: read as %+v, %v", name, got, err)
			}
			// Read by the types of format 1, what we write is the same as what it wrote.
			var ours bytes.Buffer
			if err := gob.NewEncoder(&ours).Encode(want); err != nil {
				t.Fatal(err)
			}
			x, y := inFormat1[name](), inFormat1[name]()
			if err := gob.NewDecoder(&ours).Decode(x); err != nil {
				t.Errorf("%s: format 1 can't read it: %v", name, err)
			}
			if err := gob.NewDecoder(bytes.NewReader(b)).Decode(y); err != nil || !reflect.DeepEqual(x, y) {
				t.Errorf("%s: format 1 reads %+v, not %+v, %v", name, x, y, err)
			}
			continue
		}
		checkRecord(t, name, b, want)
	}
}

// Records of format 2 are read as they were meant and written byte for byte as the
// first version that serves chained jobs writes them: it may run beside this one.
func TestFormat2(t *testing.T) {
	for name, want := range format2() {
		checkRecord(t, name, fixture(t, "format2/"+name), want)
	}
}

// format4 spells out the records in testdata/format4, which the first version with
// accounts of teams has written.
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

// Records of format 4 are read and written byte for byte as by the first version that has
// them; what nobody has admitted is written as before, see TestFormat1 and TestFormat2.
func TestFormat4(t *testing.T) {
	for name, want := range format4() {
		checkRecord(t, name, fixture(t, "format4/"+name), want)
	}
}

// format5 spells out the records in testdata/format5, which the first version with early
// takeovers writes.
func format5() map[string]any {
	return map[string]any{
		"leader-fenced": &Leader{Controller: "stanok-0", Incarnation: "7-98-1", Fenced: true},
		"leader-early":  &Leader{Controller: "stanok-1", Incarnation: "8-11-4", Fenced: true, Streak: 2},
		"takeovers": &Takeovers{List: []Takeover{
			{From: "stanok-0", To: "stanok-1", Replaced: 412, At: 1764640000123, SilenceMS: 1010, Broken: true, Suspecting: 2, Members: 3, StagesMS: []int64{1002, 1010, 1040, 1052, 1740}},
			{From: "stanok-1", To: "stanok-2", Replaced: 530, At: 1764640031456, SilenceMS: 1810, Suspecting: 3, Hearing: 1, Members: 5, StagesMS: []int64{1760, 1810}}}},
	}
}

// messages5 are the messages between controllers that format 5 adds.
func messages5() map[string]any {
	return map[string]any{
		"gob-heartbeat": &LeaderHeartbeat{From: "stanok-0", Life: "7-98-1", Term: 412, Standby: "stanok-1"},
		"gob-decision-log": &DecisionLog{From: "stanok-0", Life: "7-98-1", Term: 412, Sequence: 3, Reset: true, NowMS: 60500,
			Facts: []byte{0x90}, Checksum: 0x6a09e667},
		"gob-decision-log-ack": &DecisionLogAck{Term: 412, Sequence: 3, Resync: true},
		"gob-gossip": &Gossip{From: "stanok-1", Life: "8-11-4", UpS: 12.5, StoreOK: true,
			Leader: &LeaderView{Term: 412, SilenceMS: 1800, Broken: true, Suspected: true}},
	}
}

// facts5 is a fact of each kind that has fields of its own, as the log carries them.
func facts5() []Fact {
	return []Fact{
		{Kind: FactBooting, Name: "vm-000231", At: 1500, MachineType: "g8", Zone: "a", Spot: true, Seen: true},
		{Kind: FactProvisioning, Name: "r-412-3", At: 1700, MachineType: "g8", Zone: "b", Count: 12},
		{Kind: FactBootTime, Name: "vm-000230", At: 900, Ratio: 1.25},
		{Kind: FactReserved, Name: "vm-000007", JobID: "wk-000412"},
		{Kind: FactIdle, Name: "vm-000009", Removed: true},
	}
}

// Records of format 5 are read and written byte for byte as by the first version that has
// them; a leader that is not fenced is written as in format 1. Messages are read as that
// version sends them.
func TestFormat5(t *testing.T) {
	for name, want := range format5() {
		checkRecord(t, name, fixture(t, "format5/"+name), want)
	}
	for name, want := range messages5() {
		got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := gob.NewDecoder(bytes.NewReader(fixture(t, "format5/"+name))).Decode(got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: read as %+v, %v", name, got, err)
		}
	}
	want := facts5()
	checkRecord(t, "facts", fixture(t, "format5/facts"), &want)
}

// A damaged account is told from an absent one: it may hold shares.
func TestDamagedAccountIsNotSkipped(t *testing.T) {
	for _, raw := range [][]byte{{0xc1}, {0x81, 0xa1, 'l', 0x07}, nil} {
		got, err := DecodeRecord(AccountKey("vision"), raw)
		if account, is := got.(*Account); err != nil || !is || !account.Unreadable {
			t.Errorf("%x is read as %+v, %v", raw, got, err)
		}
	}
	for _, team := range []string{"kota-lama", "a b/c", "100%"} {
		if got := AccountTeam(AccountKey(team)); got != team || strings.Contains(AccountKey(team), " ") {
			t.Errorf("the key of %q is read as %q", team, got)
		}
	}
}

// checkRecord compares a record with its stored bytes, in both directions.
func checkRecord(t *testing.T, name string, stored []byte, want any) {
	t.Helper()
	got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
	if err := Decode(stored, got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read as %+v, %v", name, got, err)
	}
	if ours, err := Encode(want); err != nil || !bytes.Equal(ours, stored) {
		t.Errorf("%s: written differently, %v", name, err)
	}
}

// The version in production skips the keys that it does not know, as DecodeRecord
// has always done; none of the new ones looks like one that it does.
func TestNewKeysAreNoneOfFormat1(t *testing.T) {
	for _, key := range []string{OverflowKey("wk-000412", 1), FormatPrefix + "stanok-0", TakeoversKey} {
		for _, old := range []string{JobPrefix, ShardPrefix, GangPrefix, MailboxPrefix, ImagePrefix, LeaderKey, MachineTypesKey} {
			if strings.HasPrefix(key, old) {
				t.Errorf("%s begins like %s", key, old)
			}
		}
	}
	if ref, k := SplitOverflowKey(OverflowKey("wk-000412", 12)); ref != "wk-000412" || k != 12 {
		t.Errorf("%s, %d", ref, k)
	}
	if v, err := DecodeRecord("m/unknown/x", []byte{0x80}); v != nil || err != nil {
		t.Errorf("%v, %v", v, err)
	}
}
