package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Actions of test events.
const (
	actionBuildOutput = "build-output"
	actionOutput      = "output"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// testEvent is a line of go test -json. Test is empty in the events of a package.
type testEvent struct {
	Action, Package, Test, Output string
}

func (e testEvent) name() string { return e.Package + "." + e.Test }

// verdict collects the results of tests. It prints the output of packages, and the output of
// tests that failed or were skipped; skipped tests must be visible, as they prove nothing.
type verdict struct {
	out            io.Writer
	output         map[string][]string // of tests in progress
	failedTests    []string
	failedPackages []string // packages that failed although none of their tests did
}

// add processes an event.
func (v *verdict) add(e testEvent) {
	switch {
	case e.Action == actionBuildOutput:
		fmt.Fprint(v.out, e.Output)
	case e.Test == "":
		v.addPackageEvent(e)
	default:
		v.addTestEvent(e)
	}
}

// addPackageEvent processes an event of a package.
func (v *verdict) addPackageEvent(e testEvent) {
	switch e.Action {
	case actionOutput:
		if e.Output != "PASS\n" && e.Output != "FAIL\n" {
			fmt.Fprint(v.out, e.Output)
		}
	case actionFail:
		inPackage := func(test string) bool { return strings.HasPrefix(test, e.Package+".") }
		if !slices.ContainsFunc(v.failedTests, inPackage) {
			v.failedPackages = append(v.failedPackages, e.Package)
		}
	}
}

// addTestEvent processes an event of a test.
func (v *verdict) addTestEvent(e testEvent) {
	if v.output == nil {
		v.output = map[string][]string{}
	}
	name := e.name()
	switch e.Action {
	case actionOutput:
		v.output[name] = append(v.output[name], e.Output)
	case actionSkip:
		fmt.Fprintf(v.out, "NOT RUN: %s\n%s", name, strings.Join(v.output[name], ""))
		delete(v.output, name)
	case actionFail:
		v.failedTests = append(v.failedTests, name)
		fmt.Fprint(v.out, strings.Join(v.output[name], ""))
		delete(v.output, name)
	case actionPass:
		delete(v.output, name)
	}
}

// checkFailures returns an error unless each failed test is a known failure or has a failed
// subtest, and each known failure did fail. The argument failed states whether go test itself
// failed.
func (v *verdict) checkFailures(known []knownFailure, failed bool) error {
	var violations []error
	for _, name := range v.failedPackages {
		violations = append(violations, fmt.Errorf("%s failed outside its tests", name))
	}
	for _, test := range v.failedTests {
		hasFailedSubtest := slices.ContainsFunc(v.failedTests, func(other string) bool { return strings.HasPrefix(other, test+"/") })
		listed := slices.ContainsFunc(known, func(k knownFailure) bool { return k.test == test })
		if !hasFailedSubtest && !listed {
			violations = append(violations, fmt.Errorf("%s failed", test))
		}
	}
	for _, k := range known {
		if !slices.Contains(v.failedTests, k.test) {
			violations = append(violations, fmt.Errorf("%s is listed in %s, but passed or does not exist", k.test, knownFailuresFile))
			continue
		}
		fmt.Fprintf(v.out, "known to fail: %s (%s, issue %s)\n", k.test, k.cause, k.issue)
	}
	if failed && len(v.failedTests)+len(v.failedPackages) == 0 {
		violations = append(violations, errors.New("go test failed without naming a test"))
	}
	return errors.Join(violations...)
}
