package main

import (
	"strings"
	"testing"
)

func TestParseKnownFailures(t *testing.T) {
	list, err := parseKnownFailures("# none\n\np.TestA/x | a fault | 16\n")
	if err != nil || len(list) != 1 || list[0] != (knownFailure{"p.TestA/x", "a fault", "16"}) {
		t.Errorf("got %v, %v", list, err)
	}
	for _, bad := range []string{"p.TestA", "p.TestA | | 16", strings.Repeat("p.T | c | 1\n", 4)} {
		if _, err := parseKnownFailures(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
