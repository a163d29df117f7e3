package main

import (
	"strings"
	"testing"
)

// Only the listed tests may fail, and each of them must fail.
func TestCheckFailures(t *testing.T) {
	red, other := knownFailure{"p.TestA/red", "a fault", "1"}, knownFailure{"p.TestB", "another", "2"}
	fail := func(test string) testEvent { return testEvent{Action: "fail", Package: "p", Test: test} }
	for _, test := range []struct {
		name       string
		events     []testEvent
		list       []knownFailure
		violations int
	}{
		{"all passed", []testEvent{{Action: "pass", Package: "p", Test: "TestA"}}, nil, 0},
		{"a listed subtest and so its parent", []testEvent{fail("TestA/red"), fail("TestA"), fail("")}, []knownFailure{red}, 0},
		{"not listed", []testEvent{fail("TestB"), fail("")}, nil, 1},
		{"another beside the listed one", []testEvent{fail("TestA/red"), fail("TestA"), fail("TestB"), fail("")}, []knownFailure{red}, 1},
		{"listed, but it passes", []testEvent{{Action: "pass", Package: "p", Test: "TestB"}}, []knownFailure{other}, 1},
		{"does not build", []testEvent{fail("")}, nil, 1},
		{"a listed one does not excuse a package that does not build", []testEvent{fail("TestB"), fail(""), {Action: "fail", Package: "q"}}, []knownFailure{other}, 1},
	} {
		var out strings.Builder
		v := verdict{out: &out}
		for _, e := range test.events {
			v.add(e)
		}
		err := v.checkFailures(test.list, len(v.failedTests)+len(v.failedPackages) > 0)
		got := 0
		if err != nil {
			got = len(strings.Split(err.Error(), "\n"))
		}
		if got != test.violations {
			t.Errorf("%s: %d violations, want %d: %v", test.name, got, test.violations, err)
		}
		for _, k := range test.list {
			if test.violations == 0 && !strings.Contains(out.String(), k.test) {
				t.Errorf("%s: %s is not printed", test.name, k.test)
			}
		}
	}
	if err := (&verdict{out: &strings.Builder{}}).checkFailures(nil, true); err == nil {
		t.Error("a failure of go test without a failed test is tolerated")
	}
}

// A skipped test is printed with the reason.
func TestSkippedTestsArePrinted(t *testing.T) {
	var out strings.Builder
	v := verdict{out: &out}
	v.add(testEvent{Action: "output", Package: "p", Test: "TestA", Output: "the history is lacking\n"})
	v.add(testEvent{Action: "skip", Package: "p", Test: "TestA"})
	if got, want := out.String(), "NOT RUN: p.TestA\nthe history is lacking\n"; got != want {
		t.Errorf("printed %q, not %q", got, want)
	}
}
