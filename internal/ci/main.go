// Command ci runs the go test command in its arguments, and tolerates only failures of the tests
// that KNOWN-RED.txt lists. The listed tests run as well, and their failures are printed. The
// run fails if a listed test passes or does not exist, so that the list can't become stale.
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
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "ci:", err)
		os.Exit(1)
	}
}

// run runs a go test command and prints its output to out. It returns an error unless exactly
// the listed tests failed.
func run(command []string, out io.Writer) error {
	if len(command) < 2 || command[0] != "go" || command[1] != "test" {
		return fmt.Errorf("%q is not a go test command", command)
	}
	text, err := os.ReadFile(knownFailuresFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("list of known failures: %w", err)
	}
	known, err := parseKnownFailures(string(text))
	if err != nil {
		return err
	}
	results := verdict{out: out}
	failed, err := runTests(command[2:], &results)
	if err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	return results.checkFailures(known, failed)
}

// maxLineBytes is the maximum length of a line of go test -json.
const maxLineBytes = 16 << 20

// runTests runs go test with the given arguments, adds its events to the results, and reports
// whether the command failed.
func runTests(args []string, results *verdict) (failed bool, err error) {
	command := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err := command.Start(); err != nil {
		return false, err
	}
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var event testEvent
		if json.Unmarshal(lines.Bytes(), &event) == nil {
			results.add(event)
		}
	}
	output.Close() // keeps the command from blocking if reading its output failed
	failed = command.Wait() != nil
	return failed, lines.Err()
}
