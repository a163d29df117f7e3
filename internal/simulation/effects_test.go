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

// The digests of all effects show whether a change that should not alter the behaviour does
// so. To compare two versions, write the digests with each and diff the files:
//
//	go test ./internal/simulation -run TestEffectsAreRepeatable -effects.digests /tmp/after.txt
//
// If they differ, run both versions with -effects.dump DIR, which writes the effects in full
// to a file for each scenario and seed, and diff these. -effects.only selects one scenario.
var (
	effectDigests = flag.String("effects.digests", "", "file for the digests of the effects of all scenarios")
	effectDump    = flag.String("effects.dump", "", "directory for the effects in full")
	effectOnly    = flag.String("effects.only", "", "scenario to run; empty: all")
)

// repeatedScenarios are the scenarios that TestEffectsAreRepeatable runs twice.
var repeatedScenarios = []string{"gang-across-parts", "standby-gang", "chain"}

// TestEffectsAreRepeatable checks that two runs of a scenario have the same effects at the
// same times. With -effects.digests it instead runs every scenario once and writes the
// digests.
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

// writeDigests runs all scenarios and writes a line for each seed of each scenario.
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

// digestScenario runs a scenario and returns a line for each of its seeds.
func digestScenario(t *testing.T, file string) []string {
	t.Helper()
	archive, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var recorders []*effectRecorder
	faults := runScenario(archive, func(string, ...any) {}, func(seed int) effectObserver {
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

// effectRecorder computes a digest of effects. Log lines are left out because their wording
// may change.
type effectRecorder struct {
	seed   int
	count  int
	digest hash.Hash
	dump   *bytes.Buffer // the effects in full; nil: not recorded
}

func (r *effectRecorder) record(now time.Duration, controller string, effects []core.Effect) {
	for _, effect := range effects {
		if _, isLog := effect.(core.Log); isLog {
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

// effectKind returns a name for the type of an effect. The names are independent of those of
// the Go types, so that types can be renamed without changing the digests.
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

// describeValue writes a value. It leaves out the names of Go types and fields, which may
// change, except for field names that are on the wire.
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
		// The simulated users encode the fields of a submission in no fixed order. The text of
		// the decoded map is in the order of its keys.
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

// orderedFacts returns a message with its facts sorted, since their order has no meaning. It
// checks the checksum, which covers the facts in their original order, and sets it to 0.
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

// fieldNames returns the text to write before each field of a type, or nil for types that are
// written in their MessagePack encoding. Messages between controllers keep their field names,
// because gob encodes these. ImageCache is written by field as well, because it has a map,
// whose encoding in MessagePack has no fixed order.
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
