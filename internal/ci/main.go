// Command ci runs the test command that it is given and passes over the tests that
// KNOWN-RED.txt names, and over no others. They still run and are printed; one that
// passes, or that does not exist, fails the run, so that the list can't grow stale.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// listFile names the tests that fail for a real fault that is not mended yet, one a
// line: "PACKAGE.TEST | cause | issue".
const listFile = "KNOWN-RED.txt"

// most is how many may be listed.
const most = 3

type known struct{ test, cause, issue string }

// event is a line of go test -json.
type event struct {
	Action, Package, Test, Output string
}

func (e event) name() string { return e.Package + "." + e.Test }

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "ci:", err)
		os.Exit(1)
	}
}

func run(command []string, out io.Writer) error {
	if len(command) < 2 || command[0] != "go" || command[1] != "test" {
		return fmt.Errorf("%q is not a go test command", command)
	}
	text, err := os.ReadFile(listFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("list of known failures: %w", err)
	}
	list, err := parse(string(text))
	if err != nil {
		return err
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, command[2:]...)...)
	cmd.Stderr = os.Stderr
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	v := verdict{out: out}
	lines := bufio.NewScanner(pipe)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) == nil {
			v.take(e)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	failed := cmd.Wait() != nil
	return v.judge(list, failed)
}

func parse(text string) ([]known, error) {
	var list []known
	for _, l := range strings.Split(text, "\n") {
		if l = strings.TrimSpace(l); l == "" || strings.HasPrefix(l, "#") {
			continue
		}
		f := strings.Split(l, "|")
		if len(f) != 3 {
			return nil, fmt.Errorf("%s: %q is not TEST | cause | issue", listFile, l)
		}
		k := known{strings.TrimSpace(f[0]), strings.TrimSpace(f[1]), strings.TrimSpace(f[2])}
		if k.test == "" || k.cause == "" || k.issue == "" {
			return nil, fmt.Errorf("%s: %q lacks a test, a cause or an issue", listFile, l)
		}
		list = append(list, k)
	}
	if len(list) > most {
		return nil, fmt.Errorf("%s: %d tests are listed, at most %d may be", listFile, len(list), most)
	}
	return list, nil
}

// verdict gathers what the tests did. What packages print is passed on, and what
// tests print once they have failed or were skipped: a skipped test proves nothing,
// so it must not go unnoticed.
type verdict struct {
	out    io.Writer
	said   map[string][]string
	failed []string // tests
	broken []string // packages that failed without a test of theirs failing
}

func (v *verdict) take(e event) {
	if v.said == nil {
		v.said = map[string][]string{}
	}
	switch {
	case e.Action == "build-output":
		fmt.Fprint(v.out, e.Output)
	case e.Action == "output" && e.Test == "":
		if e.Output != "PASS\n" && e.Output != "FAIL\n" {
			fmt.Fprint(v.out, e.Output)
		}
	case e.Action == "output":
		v.said[e.name()] = append(v.said[e.name()], e.Output)
	case e.Action == "fail" && e.Test == "":
		if !slices.ContainsFunc(v.failed, func(t string) bool { return strings.HasPrefix(t, e.Package+".") }) {
			v.broken = append(v.broken, e.Package)
		}
	case e.Action == "skip" && e.Test != "":
		fmt.Fprintf(v.out, "NOT RUN: %s\n%s", e.name(), strings.Join(v.said[e.name()], ""))
	case e.Action == "fail":
		v.failed = append(v.failed, e.name())
		fmt.Fprint(v.out, strings.Join(v.said[e.name()], ""))
	}
	if e.Test != "" && (e.Action == "pass" || e.Action == "fail" || e.Action == "skip") {
		delete(v.said, e.name())
	}
}

// judge tells whether the run may pass: each test that failed is listed, or failed
// through subtests only, and each that is listed did fail.
func (v *verdict) judge(list []known, failed bool) error {
	var faults []error
	for _, p := range v.broken {
		faults = append(faults, fmt.Errorf("%s failed outside its tests", p))
	}
	listed := func(t string) bool { return slices.ContainsFunc(list, func(k known) bool { return k.test == t }) }
	for _, t := range v.failed {
		sub := slices.ContainsFunc(v.failed, func(s string) bool { return strings.HasPrefix(s, t+"/") })
		if !sub && !listed(t) {
			faults = append(faults, fmt.Errorf("%s failed", t))
		}
	}
	for _, k := range list {
		if !slices.Contains(v.failed, k.test) {
			faults = append(faults, fmt.Errorf("%s is listed in %s, but passed or does not exist", k.test, listFile))
			continue
		}
		fmt.Fprintf(v.out, "known to fail: %s (%s, issue %s)\n", k.test, k.cause, k.issue)
	}
	if failed && len(v.failed)+len(v.broken) == 0 {
		faults = append(faults, errors.New("go test failed without naming a test"))
	}
	return errors.Join(faults...)
}
