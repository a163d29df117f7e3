package main

import (
	"fmt"
	"strings"
)

// knownFailuresFile lists the tests that fail because of a real fault that is not fixed yet,
// each on a line of its own: "PACKAGE.TEST | cause | issue". Empty lines and lines that begin
// with # are ignored.
const knownFailuresFile = "KNOWN-RED.txt"

// maxKnownFailures is the maximum number of listed tests.
const maxKnownFailures = 3

// knownFailure is a line of knownFailuresFile.
type knownFailure struct{ test, cause, issue string }

// parseKnownFailures parses the text of knownFailuresFile.
func parseKnownFailures(text string) ([]knownFailure, error) {
	var list []knownFailure
	for _, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		if len(fields) != 3 {
			return nil, fmt.Errorf("%s: %q is not TEST | cause | issue", knownFailuresFile, line)
		}
		known := knownFailure{strings.TrimSpace(fields[0]), strings.TrimSpace(fields[1]), strings.TrimSpace(fields[2])}
		if known.test == "" || known.cause == "" || known.issue == "" {
			return nil, fmt.Errorf("%s: %q lacks a test, a cause or an issue", knownFailuresFile, line)
		}
		list = append(list, known)
	}
	if len(list) > maxKnownFailures {
		return nil, fmt.Errorf("%s: %d tests are listed, at most %d may be", knownFailuresFile, len(list), maxKnownFailures)
	}
	return list, nil
}
