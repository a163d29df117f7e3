package simulation

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"flag"
	"fmt"
	"hash"
	"hash/crc32"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/tools/txtar"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// The digests of all effects show whether a change that is meant to keep the behaviour
// does so. To compare two versions, write the digests with each and diff the files:
//
//	go test ./internal/simulation -run TestEffectsAreRepeatable -effects.digests /tmp/after.txt
//
// Where they differ, -effects.dump DIR writes the effects themselves, a file for each
// scenario and seed of those that -effects.only selects, for another diff.
var (
	effectDigests = flag.String("effects.digests", "", "file for the digests of the effects of all scenarios")
	effectDump    = flag.String("effects.dump", "", "directory for the effects in full")
	effectOnly    = flag.String("effects.only", "", "scenario to play; empty: all")
)

// repeatedScenarios are played twice in every test run.
var repeatedScenarios = []string{"gang-across-parts", "standby-gang", "chain"}

// TestEffectsAreRepeatable: two plays of a scenario have the same effects at the same times.
// With -effects.digests every scenario is played once and its digests are written.
func TestEffectsAreRepeatable(t *testing.T) {
	if *effectDigests != "" {
		writeDigests(t)
		return
	}
	for _, name := range repeatedScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(scenarioDir, name+".txt")
			first, second := digestScenario(t, file), digestScenario(t, file)
			if len(first) == 0 || !slices.Equal(first, second) {
				t.Errorf("the effects differ:\n%s\n%s", strings.Join(first, "\n"), strings.Join(second, "\n"))
			}
		})
	}
}

const scenarioDir = "../../testdata/scenarios"

// writeDigests plays all scenarios and writes a line for each and each of its seeds.
func writeDigests(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(scenarioDir, "*.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var mutex sync.Mutex
	var lines []string
	t.Run("scenarios", func(t *testing.T) {
		for _, file := range files {
			if *effectOnly != "" && *effectOnly != scenarioName(file) {
				continue
			}
			t.Run(scenarioName(file), func(t *testing.T) {
				t.Parallel()
				digests := digestScenario(t, file)
				mutex.Lock()
				defer mutex.Unlock()
				lines = append(lines, digests...)
			})
		}
	})
	slices.Sort(lines)
	if err := os.WriteFile(*effectDigests, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}

func scenarioName(file string) string { return strings.TrimSuffix(filepath.Base(file), ".txt") }

// digestScenario plays a scenario and gives a line for each of its seeds.
func digestScenario(t *testing.T, file string) []string {
	t.Helper()
	archive, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var recorders []*effectRecorder
	faults := play(archive, func(string, ...any) {}, func(seed int) effectObserver {
		recorder := &effectRecorder{seed: seed, digest: sha256.New()}
		if *effectDump != "" {
			recorder.dump = new(bytes.Buffer)
		}
		recorders = append(recorders, recorder)
		return recorder.record
	})
	for _, fault := range faults {
		t.Error(fault)
	}
	var lines []string
	for _, recorder := range recorders {
		lines = append(lines, fmt.Sprintf("%s seed %d: %d effects, %x", scenarioName(file), recorder.seed, recorder.count, recorder.digest.Sum(nil)))
		if recorder.dump == nil {
			continue
		}
		path := filepath.Join(*effectDump, fmt.Sprintf("%s-%d.txt", scenarioName(file), recorder.seed))
		if err := os.WriteFile(path, recorder.dump.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return lines
}

// effectRecorder digests effects. Lines of the log are left out: they may be reworded.
type effectRecorder struct {
	seed   int
	count  int
	digest hash.Hash
	dump   *bytes.Buffer // nil: not wanted
}

func (r *effectRecorder) record(now time.Duration, controller string, effects []core.Effect) {
	for _, effect := range effects {
		if _, is := effect.(core.Log); is {
			continue
		}
		r.count++
		line := fmt.Sprintf("%d %s %s\n", now, controller, describeEffect(effect))
		r.digest.Write([]byte(line))
		if r.dump != nil {
			r.dump.WriteString(line)
		}
	}
}

// effectKind tells effects apart by names of their own, so that types can be renamed.
func effectKind(effect core.Effect) string {
	switch effect.(type) {
	case core.Commit:
		return "commit"
	case core.ReadJob:
		return "read"
	case core.RenewLease:
		return "lease"
	case core.CallCloud:
		return "cloud"
	case core.AllowCloudCalls:
		return "cloud-allowed"
	case core.SendCommands:
		return "direct"
	case core.SendGossip:
		return "send"
	case core.SendHeartbeat:
		return "heartbeat"
	case core.SendDecisionLog:
		return "send-log"
	case core.Forward:
		return "forward"
	case core.Reply:
		return "reply"
	}
	panic(fmt.Sprintf("unknown effect %T", effect))
}

func describeEffect(effect core.Effect) string {
	var text strings.Builder
	text.WriteString(effectKind(effect))
	describeValue(&text, reflect.ValueOf(effect))
	return text.String()
}

// describeValue writes a value without the names of Go's types and fields, which may
// change, but for those that are on the wire.
func describeValue(text *strings.Builder, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			text.WriteString(" nil")
			return
		}
		describeValue(text, v.Elem())
	case reflect.Struct:
		describeStruct(text, v)
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			fmt.Fprintf(text, " %x", v.Bytes())
			return
		}
		text.WriteString(" [")
		for i := range v.Len() {
			describeValue(text, v.Index(i))
		}
		text.WriteString("]")
	case reflect.Map:
		describeMap(text, v)
	default:
		fmt.Fprintf(text, " %v", v)
	}
}

func describeMap(text *strings.Builder, v reflect.Value) {
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return cmp.Compare(a.String(), b.String()) })
	text.WriteString(" map[")
	for _, key := range keys {
		text.WriteString(" " + key.String() + ":")
		describeValue(text, v.MapIndex(key))
	}
	text.WriteString("]")
}

func describeStruct(text *strings.Builder, v reflect.Value) {
	switch value := v.Interface().(type) {
	case wire.DecisionLog:
		v = reflect.ValueOf(orderedFacts(value))
	case wire.UserCall:
		// The simulated users write the fields of a submission in any order.
		var body map[string]any
		if wire.Decode(value.Body, &body) == nil {
			value.Body = fmt.Append(nil, body)
		}
		v = reflect.ValueOf(value)
	}
	names := fieldNames(v.Type())
	if names == nil {
		raw, err := wire.Encode(v.Interface())
		must(err)
		fmt.Fprintf(text, " %x", raw)
		return
	}
	text.WriteString(" {")
	for i, name := range names {
		if field := v.Field(i); field.CanInterface() {
			text.WriteString(name)
			describeValue(text, field)
		}
	}
	text.WriteString("}")
}

// orderedFacts puts the facts of a message, whose order says nothing, into one order. Its
// checksum covers them as they were.
func orderedFacts(m wire.DecisionLog) wire.DecisionLog {
	var facts []wire.Fact
	must(wire.Decode(m.Facts, &facts))
	slices.SortFunc(facts, func(a, b wire.Fact) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	raw, err := wire.Encode(facts)
	must(err)
	if crc32.ChecksumIEEE(m.Facts) != m.Checksum {
		panic("bad checksum")
	}
	m.Facts, m.Checksum = raw, 0
	return m
}

// fieldNames gives what stands before each field of a type; nil for types that are written
// as they are in MessagePack. Messages between controllers are gob, which encodes names of
// fields; maps have no order in MessagePack.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	switch t {
	case reflect.TypeFor[wire.Gossip](), reflect.TypeFor[wire.MachineInfo](), reflect.TypeFor[wire.GangHold](), reflect.TypeFor[wire.Reservation](),
		reflect.TypeFor[wire.SeenVersion](), reflect.TypeFor[wire.LeaderView](), reflect.TypeFor[wire.LeaderHeartbeat](),
		reflect.TypeFor[wire.DecisionLog](), reflect.TypeFor[wire.DecisionLogAck](), reflect.TypeFor[wire.UserCall]():
		for i := range names {
			names[i] = " " + t.Field(i).Name + ":"
		}
	case reflect.TypeFor[wire.ImageCache]():
		for i := range names {
			names[i] = " " + t.Field(i).Tag.Get("msgpack") + ":"
		}
	default:
		if t.PkgPath() == reflect.TypeFor[wire.Job]().PkgPath() {
			return nil
		}
	}
	return names
}
