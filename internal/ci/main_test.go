package main

import (
	"strings"
	"testing"
)

// TestJudge: only what is listed may fail, and what is listed must.
func TestJudge(t *testing.T) {
	red, other := known{"p.TestA/red", "a fault", "1"}, known{"p.TestB", "another", "2"}
	fail := func(test string) event { return event{Action: "fail", Package: "p", Test: test} }
	for _, c := range []struct {
		name   string
		events []event
		list   []known
		faults int
	}{
		{"all passed", []event{{Action: "pass", Package: "p", Test: "TestA"}}, nil, 0},
		{"a listed subtest and so its parent", []event{fail("TestA/red"), fail("TestA"), fail("")}, []known{red}, 0},
		{"not listed", []event{fail("TestB"), fail("")}, nil, 1},
		{"another beside the listed one", []event{fail("TestA/red"), fail("TestA"), fail("TestB"), fail("")}, []known{red}, 1},
		{"listed, but it passes", []event{{Action: "pass", Package: "p", Test: "TestB"}}, []known{other}, 1},
		{"does not build", []event{fail("")}, nil, 1},
		{"a listed one does not excuse a package that does not build", []event{fail("TestB"), fail(""), {Action: "fail", Package: "q"}}, []known{other}, 1},
	} {
		var out strings.Builder
		v := verdict{out: &out}
		for _, e := range c.events {
			v.take(e)
		}
		err := v.judge(c.list, len(v.failed)+len(v.broken) > 0)
		got := 0
		if err != nil {
			got = len(strings.Split(err.Error(), "\n"))
		}
		if got != c.faults {
			t.Errorf("%s: %d faults, want %d: %v", c.name, got, c.faults, err)
		}
		for _, k := range c.list {
			if c.faults == 0 && !strings.Contains(out.String(), k.test) {
				t.Errorf("%s: %s is not printed", c.name, k.test)
			}
		}
	}
	if err := (&verdict{out: &strings.Builder{}}).judge(nil, true); err == nil {
		t.Error("a failure that names no test is passed over")
	}
}

// TestSkippedTestsArePrinted: a test that could not run is named, with its reason.
func TestSkippedTestsArePrinted(t *testing.T) {
	var out strings.Builder
	v := verdict{out: &out}
	v.take(event{Action: "output", Package: "p", Test: "TestA", Output: "the history is lacking\n"})
	v.take(event{Action: "skip", Package: "p", Test: "TestA"})
	if got, want := out.String(), "NOT RUN: p.TestA\nthe history is lacking\n"; got != want {
		t.Errorf("printed %q, not %q", got, want)
	}
}

func TestParseList(t *testing.T) {
	list, err := parse("# none\n\np.TestA/x | a fault | 16\n")
	if err != nil || len(list) != 1 || list[0] != (known{"p.TestA/x", "a fault", "16"}) {
		t.Errorf("%v, %v", list, err)
	}
	for _, bad := range []string{"p.TestA", "p.TestA | | 16", strings.Repeat("p.T | c | 1\n", 4)} {
		if _, err := parse(bad); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}
