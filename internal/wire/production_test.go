package wire

import (
	"bytes"
	"encoding/hex"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// productionCommit returns the commit of the production version according to
// deploy/service.toml.
func productionCommit(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/service.toml")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(text)
	if found == nil {
		t.Fatal("deploy/service.toml names no production version")
	}
	return string(found[1])
}

// roundTripSource is the source of a program that is built with the packages of the production
// version. It reads lines with a key and a hex-encoded record, decodes each record as the
// controllers of that version do, and prints its encoding by that version.
const roundTripSource = `package main

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"micaport/internal/wire"
)

func main() {
	lines := bufio.NewScanner(os.Stdin)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		key, text, _ := strings.Cut(lines.Text(), " ")
		raw, err := hex.DecodeString(text)
		if err != nil {
			panic(err)
		}
		record, err := wire.DecodeRecord(key, raw)
		if err != nil {
			panic(err)
		}
		if record == nil {
			fmt.Println("skipped")
			continue
		}
		written, err := wire.Encode(record)
		if err != nil {
			panic(err)
		}
		fmt.Println(hex.EncodeToString(written))
	}
}
`

// checkOutProduction writes the sources of the production version and the program in
// roundTripSource to a temporary directory.
func checkOutProduction(t *testing.T, commit string) string {
	t.Helper()
	dir := t.TempDir()
	archive := filepath.Join(dir, "production.tar")
	git := exec.Command("git", "-C", "../..", "archive", "--output", archive, commit, "go.mod", "go.sum", "internal/wire")
	if out, err := git.CombinedOutput(); err != nil {
		t.Fatalf("git archive: %v: %s", err, out)
	}
	if out, err := exec.Command("tar", "-xf", archive, "-C", dir).CombinedOutput(); err != nil {
		t.Fatalf("tar: %v: %s", err, out)
	}
	program := filepath.Join(dir, "roundtrip")
	if err := os.Mkdir(program, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(program, "main.go"), []byte(roundTripSource), 0o644); err != nil {
		t.Fatal(err)
	}
	return dir
}

// During an upgrade the production version must be able to read the records that this version
// writes. A program built from the sources of the production version, taken from the repository's
// history, has to read every record, encode it to the same bytes, and skip keys of later formats.
// The test is skipped in a checkout without that history; internal/ci prints this.
func TestProductionReadsOurRecords(t *testing.T) {
	commit := productionCommit(t)
	if err := exec.Command("git", "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		t.Skipf("production version %s is not in the repository's history, so it was not run: %v", commit, err)
	}
	dir := checkOutProduction(t, commit)
	keys := map[string]string{
		"job-live": JobKey("wk-000412"), "job-done": JobKey("wk-000412"), "job-withdrawn": JobKey("wk-000412"), "part": ShardKey("a-0"),
		"leader": LeaderKey, "gang": GangKey("wk-000412", 3), "images": ImagePrefix + "stanok-0", "types": MachineTypesKey, "room": MailboxPrefix + "stanok-2",
	}
	var input bytes.Buffer
	var want []string
	records := format1()
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		text := hex.EncodeToString(mustEncode(t, records[name]))
		input.WriteString(keys[name] + " " + text + "\n")
		want = append(want, text)
	}
	// It reads only the types of a record that this version has marked as whole.
	marked, types := machineTypeRecords()["record-whole"].(*MachineTypeCache), MachineTypeCache{}
	types.Types = marked.Types
	input.WriteString(MachineTypesKey + " " + hex.EncodeToString(mustEncode(t, marked)) + "\n")
	want = append(want, hex.EncodeToString(mustEncode(t, &types)))
	for _, key := range []string{OverflowKey("wk-000412", 1), FormatPrefix + "stanok-0", TakeoversKey, MachineTypeHeadKey, MachineTypePartKey("412-1", 1)} {
		input.WriteString(key + " 80\n")
		want = append(want, "skipped")
	}

	run := exec.Command("go", "run", "./roundtrip")
	run.Dir, run.Stdin = dir, &input
	run.Env = append(os.Environ(), "GOWORK=off", "GOFLAGS=-mod=mod")
	out, err := run.Output()
	if err != nil {
		t.Fatalf("the production version can't read our records: %v", err)
	}
	got := strings.Fields(string(out))
	if !slices.Equal(got, want) {
		t.Errorf("the production version writes\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
