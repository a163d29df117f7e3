package wire

import (
	"reflect"
	"slices"
	"testing"
)

func TestJobRoundTrip(t *testing.T) {
	job := Job{Spec: &JobSpec{ID: "wk-1", TaskCount: 9}, TaskCount: 9, NextAttempt: 4, DoneTasks: TaskSet{{First: 0, End: 2}, {First: 5, End: 6}},
		ActiveTasks: []ActiveTask{{Task: 3, Attempt: 2, Shard: 1, Machine: "vm-1", Epoch: 4, Stop: StopPreempt}, {Task: 4, Attempt: 3}}}
	var got Job
	if err := Decode(mustEncode(t, &job), &got); err != nil || !reflect.DeepEqual(job, got) {
		t.Errorf("got %+v, %v, want %+v", got, err, job)
	}
}

// The key determines the type of the decoded record.
func TestDecodeRecordByKey(t *testing.T) {
	for key, want := range map[string]Record{
		JobKey("wk-000412"):                    &Job{},
		OverflowKey("wk-000412", 1):            &Overflow{},
		DependencyListKey("wk-000412", "7", 1): &DependencyList{},
		ShardKey("a-0"):                        &Shard{},
		GangKey("wk-000412", 3):                &Gang{},
		MailboxPrefix + "stanok-0":             &Gossip{},
		ImagePrefix + "stanok-0":               &ImageCache{},
		FormatPrefix + "stanok-0":              &SupportedFormat{},
		AccountKey("vision"):                   &Account{},
		LeaderKey:                              &Leader{},
		TakeoversKey:                           &Takeovers{},
		MachineTypesKey:                        &MachineTypeCache{},
		MachineTypeHeadKey:                     &MachineTypeHead{},
		MachineTypePartKey("412-1", 1):         &MachineTypePart{},
	} {
		if got, err := DecodeRecord(key, []byte{0x80}); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %#v, %v, want %#v", key, got, err, want)
		}
	}
}

func TestDecodeRecordOfUnknownKey(t *testing.T) {
	for _, key := range []string{"m/unknown/x", LeaderKey + "/x"} {
		if record, err := DecodeRecord(key, []byte{0x80}); record != nil || err != nil {
			t.Errorf("%s is read as %#v, %v", key, record, err)
		}
	}
}

func TestDecodeRecordRefusesDamage(t *testing.T) {
	if record, err := DecodeRecord(LeaderKey, []byte{0xc1}); record != nil || err == nil {
		t.Errorf("got %#v, %v", record, err)
	}
}

// A damaged account must not be treated as absent, since it may have shares.
func TestDamagedAccountIsUnreadable(t *testing.T) {
	for _, raw := range [][]byte{{0xc1}, {0x81, 0xa1, 'l', 0x07}, nil} {
		got, err := DecodeRecord(AccountKey("vision"), raw)
		if account, isAccount := got.(*Account); err != nil || !isAccount || !account.Unreadable {
			t.Errorf("%x is read as %+v, %v", raw, got, err)
		}
	}
}

// Guards against a record of a few bytes that states many tasks or keys, for which a controller
// allocated memory or looped without end.
func TestDecodeRecordRefusesLargeCounts(t *testing.T) {
	const tooMany = 100_001 // the protocol's limit on the tasks of a job and one more
	run := []any{0, 1, "vm-1", 50_000}
	for name, fields := range map[string]map[string]any{
		"tasks":                {"n": tooMany},
		"overflow keys":        {"mo": tooMany},
		"dependency list keys": {"nk": tooMany},
		"a negative number":    {"mo": -1},
		"tasks of three runs":  {"ac": []any{[]any{0, 1, 0, slices.Concat(run, run, run)}}},
		"tasks of two groups":  {"ac": []any{[]any{0, 1, 0, slices.Concat(run, run)}, []any{1, 1, 0, run}}},
	} {
		if record, err := DecodeRecord(JobKey("wk-1"), mustEncode(t, fields)); err == nil {
			t.Errorf("%s: read as %d tasks", name, len(record.(*Job).ActiveTasks))
		}
	}
	whole := map[string]any{"n": 100_000, "ac": []any{[]any{0, 1, 0, slices.Concat(run, run)}}}
	if record, err := DecodeRecord(JobKey("wk-1"), mustEncode(t, whole)); err != nil || len(record.(*Job).ActiveTasks) != 100_000 {
		t.Errorf("a job of 100,000 tasks: %v", err)
	}
}
