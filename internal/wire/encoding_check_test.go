package wire

import (
	"errors"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
)

// malformedBodies are encoded values whose headers state more than follows, or whose types the
// protocol does not use. Each header states 2^24 elements, for which the decoder would allocate
// hundreds of megabytes.
var malformedBodies = map[string]string{
	"map":                        "\xdf\x01\x00\x00\x00",
	"list":                       "\xdd\x01\x00\x00\x00",
	"list in a known field":      "\x82\xa3ref\xa9wk-000500\xa4rigs\xdd\x01\x00\x00\x00",
	"map in an unknown field":    "\x82\xa3ref\xa9wk-000500\xa3new\xdf\x01\x00\x00\x00",
	"list of a report's tasks":   "\x82\xa4host\xa4vm-1\xa6frames\xdd\x01\x00\x00\x00",
	"list of the cloud's types":  "\x81\xa4rigs\xdd\x01\x00\x00\x00",
	"list of machines":           "\x81\xa5hosts\xdd\x01\x00\x00\x00",
	"map of versions":            "\x81\xa4Seen\xdf\x01\x00\x00\x00",
	"map of machines":            "\x81\xa1h\xdf\x01\x00\x00\x00",
	"list of done tasks":         "\x81\xa2dn\xdd\x01\x00\x00\x00",
	"text":                       "\x81\xa3ref\xdb\x01\x00\x00\x00",
	"binary data":                "\x81\xa3ref\xc6\x01\x00\x00\x00",
	"elements that are too few":  "\xdd\x01\x00\x00\x00\x01\x02\x03",
	"map within extension data":  "\xc7\x05\x07\xdf\x01\x00\x00\x00",
	"map behind a fixed ext":     "\xd4\x07\xdf\x01\x00\x00\x00",
	"extension in a known field": "\x82\xa3ref\xa9wk-000500\xa4rigs\xc7\x05\x07\xdd\x01\x00\x00\x00",
	"reserved byte":              "\x81\xa3ref\xc1",
	"nothing":                    "",
}

// decoders decode the bodies and records that a controller receives.
func decoders() map[string]func([]byte) error {
	decode := map[string]func([]byte) error{
		"submission": func(raw []byte) error {
			_, _, err := ParseJobSpec(raw)
			return err
		},
		"decision log": func(raw []byte) error {
			_, err := DecodeFacts(raw, 1000)
			return err
		},
		"unknown record": func(raw []byte) error { return Decode(raw, new(any)) },
	}
	for name, newTarget := range map[string]func() any{
		"heartbeat":     func() any { return new(WorkerHeartbeat) },
		"machine types": func() any { return new(MachineTypeList) },
		"machines":      func() any { return new(MachineList) },
		"machine names": func() any { return new(MachineNames) },
		"fields":        func() any { return new(map[string]any) },
	} {
		decode[name] = func(raw []byte) error { return Decode(raw, newTarget()) }
	}
	for _, key := range []string{
		JobPrefix + "wk-1", OverflowPrefix + "wk-1/1", DependencyListPrefix + "wk-1/a/1", ShardPrefix + "a", GangPrefix + "wk-1/1",
		MailboxPrefix + "a", ImagePrefix + "a", FormatPrefix + "a", LeaderKey, TakeoversKey, MachineTypesKey, MachineTypeHeadKey, MachineTypePartPrefix + "a/1",
	} {
		decode[key] = func(raw []byte) error {
			_, err := DecodeRecord(key, raw)
			return err
		}
	}
	return decode
}

// allocatedBytes returns how many bytes a function allocates, including those that are freed.
func allocatedBytes(function func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	function()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a message of a few bytes that states a long list or map, for which the decoder
// allocated more memory than the machine has: it ended the controller.
func TestStatedLengthsAllocateNothing(t *testing.T) {
	const maxBytes = 64 << 10 // the protocol's limit for a body, which none of these reaches
	for name, decode := range decoders() {
		t.Run(name, func(t *testing.T) {
			for what, body := range malformedBodies {
				var err error
				if allocated := allocatedBytes(func() { err = decode([]byte(body)) }); allocated > maxBytes {
					t.Errorf("%s: %d bytes state a length for which %d bytes are allocated, want at most %d", what, len(body), allocated, maxBytes)
				}
				if err == nil {
					t.Errorf("%s: no error", what)
				}
			}
		})
	}
}

// A damaged account is reported as unreadable instead of an error; it may not end the controller
// either.
func TestStatedLengthInAccount(t *testing.T) {
	record, err := DecodeRecord(AccountPrefix+"a", []byte(malformedBodies["map"]))
	if account, isAccount := record.(*Account); err != nil || !isAccount || !account.Unreadable {
		t.Errorf("got %+v, %v, want an unreadable account", record, err)
	}
}

// Everything that Encode writes passes the check, and none of its beginnings does.
func TestCheckEncodingAcceptsCompleteValues(t *testing.T) {
	texts := func(length int) string { return string(slices.Repeat([]byte("x"), length)) }
	fields := map[string]int{}
	for i := range 70_000 {
		fields[TaskName("wk-1", i)] = i
	}
	for name, value := range map[string]any{
		"null": nil, "true": true, "false": false,
		"integers": []int64{0, 127, 128, 255, 256, 65_535, 65_536, 1 << 31, 1 << 62, -1, -32, -33, -128, -129, -32_768, -32_769, -1 << 31, -1 << 62},
		"unsigned": []uint64{0, 1 << 63}, "numbers": []any{float32(1.5), 2.5},
		"texts": []string{"", texts(31), texts(32), texts(255), texts(256), texts(65_535), texts(65_536)},
		"lists": [][]int{{}, make([]int, 15), make([]int, 16), make([]int, 65_535), make([]int, 65_536)},
		"maps":  []map[string]int{{}, {"a": 1}, fields},
		"bytes": [][]byte{{}, make([]byte, 256), make([]byte, 65_536)},
	} {
		raw := mustEncode(t, value)
		if err := checkEncoding(raw); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		for _, length := range []int{0, 1, len(raw) / 2, len(raw) - 1} {
			if err := checkEncoding(raw[:length]); length < len(raw) && !errors.Is(err, ErrTruncated) {
				t.Errorf("%s: %d of %d bytes: %v, want %v", name, length, len(raw), err, ErrTruncated)
			}
		}
		if err := checkEncoding(append(raw, 0xc1)); err != nil {
			t.Errorf("%s with a byte after it: %v", name, err)
		}
	}
}

// BenchmarkCheckEncoding measures the check beside the decoding of the same report.
func BenchmarkCheckEncoding(b *testing.B) {
	heartbeat := WorkerHeartbeat{Machine: "vm-000231", Addr: "10.1.0.232:9000", MachineType: "g8", Zone: "a", Epoch: 1, Sequence: 88, Token: 41}
	for task := range 16 {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskStatus{Task: TaskName("wk-000412", task), Attempt: 2, State: TaskRunning})
	}
	raw, err := Encode(&heartbeat)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			if err := checkEncoding(raw); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			if err := Decode(raw, new(WorkerHeartbeat)); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// nested returns an encoded value of some bytes in which each list or map contains the next one.
func nested(header string, bytes int) string {
	return strings.Repeat(header, bytes/len(header)) + "\xc0"
}

// Guards against a message of 64 KiB whose lists or maps contain each other, for which the decoder
// took up to 32 MB of stack.
func TestNestedValuesTakeNoStack(t *testing.T) {
	const bodyBytes = 64_000
	for name, decode := range decoders() {
		for what, body := range map[string]string{
			"lists":                     nested("\x91", bodyBytes),
			"maps":                      nested("\x81\xa0", bodyBytes),
			"lists in a known field":    "\x82\xa3ref\xa9wk-000500\xa4rigs" + nested("\x91", bodyBytes),
			"lists in an unknown field": "\x82\xa3ref\xa9wk-000500\xa3new" + nested("\x91", bodyBytes),
		} {
			t.Run(name+"/"+what, func(t *testing.T) {
				if grown := stackGrowth(func() {
					if decode([]byte(body)) == nil {
						t.Error("no error")
					}
				}); grown > 1<<20 {
					t.Errorf("%d bytes take %d bytes of stack", len(body), grown)
				}
			})
		}
	}
}

// stackGrowth returns by how many bytes the stacks of the process have grown while a function ran in
// a goroutine of its own.
func stackGrowth(function func()) uint64 {
	runtime.GC() // returns the stacks of earlier goroutines
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	done := make(chan struct{})
	go func() {
		defer close(done)
		function()
		runtime.ReadMemStats(&after)
	}()
	<-done
	return after.StackInuse - min(before.StackInuse, after.StackInuse)
}

// The levels of nesting that messages need are far below the limit, which is inclusive.
func TestNestingLimit(t *testing.T) {
	if err := checkEncoding([]byte(nested("\x91", maxNesting-1))); err != nil {
		t.Errorf("%d levels: %v", maxNesting, err)
	}
	if err := checkEncoding([]byte(nested("\x91", maxNesting))); !errors.Is(err, ErrTooDeeplyNested) {
		t.Errorf("%d levels: %v, want %v", maxNesting+1, err, ErrTooDeeplyNested)
	}
}

// A receiver ignores the fields that it does not know, whatever their names and contents.
func TestParseJobSpecIgnoresUnknownFields(t *testing.T) {
	_, want, err := ParseJobSpec(submission(t, nil))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{
		"nested lists": nested("\x91", 60_000), "a map with a number as name": "\x81\x07\xc0", "a map with a list as name": "\x81\x90\xc0",
	} {
		body := append(submission(t, nil), "\xa3new"+value...)
		body[2]++ // map 16 has one more field
		if body[0] != 0xde {
			t.Fatalf("the submission begins with %#x, want a map with 16 bits for the length", body[0])
		}
		if _, spec, err := ParseJobSpec(body); err != nil || !reflect.DeepEqual(spec, want) {
			t.Errorf("%s: got %+v, %v, want %+v", name, spec, err, want)
		}
	}
}
