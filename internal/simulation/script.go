package simulation

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Errors of a script.
var (
	errNoSuchWorker       = errors.New("no such worker")
	errNoSuchJob          = errors.New("no such job")
	errUnknownCommand     = errors.New("unknown command")
	errUnknownExpectation = errors.New("unknown expectation")
	errUnknownAttribute   = errors.New("unknown attribute")
)

// arguments are the words that follow the command in a line of a script.
type arguments []string

// word returns the argument at index i, or "" if it is absent.
func (a arguments) word(i int) string {
	if i >= len(a) {
		return ""
	}
	return a[i]
}

// number returns the argument at index i as a number, or 0 if it is absent or no number.
func (a arguments) number(i int) float64 {
	x, _ := strconv.ParseFloat(a.word(i), 64)
	return x
}

// duration returns the argument at index i, a number of seconds.
func (a arguments) duration(i int) time.Duration { return seconds(a.number(i)) }

// from returns the arguments from index i on.
func (a arguments) from(i int) arguments { return a[min(i, len(a)):] }

// scriptCommand executes a command of a script.
type scriptCommand func(*Simulation, arguments) error

// commandGroups returns all commands of scripts, by name.
func commandGroups() []map[string]scriptCommand {
	return []map[string]scriptCommand{userCommands, controllerCommands, serviceCommands, networkCommands, workerCommands, generalCommands}
}

// runCommand executes the command with the given name.
func (s *Simulation) runCommand(name string, args []string) error {
	for _, group := range commandGroups() {
		if run := group[name]; run != nil {
			return run(s, args)
		}
	}
	return fmt.Errorf("%w %s", errUnknownCommand, name)
}

// runScript schedules the lines of a script, runs the simulation until the last of them, and
// returns the failed expectations and violated rules.
func (s *Simulation) runScript(text string) []string {
	var faults []string
	last := time.Duration(0)
	for _, line := range scriptLines(text) {
		words := strings.Fields(line)
		if len(words) < 3 || words[0] != "at" {
			return []string{fmt.Sprintf("bad line %q", line)}
		}
		at, err := strconv.ParseFloat(words[1], 64)
		if err != nil {
			return []string{fmt.Sprintf("bad time in %q: %v", line, err)}
		}
		last = max(last, seconds(at))
		s.after(seconds(at), func() {
			if err := s.runCommand(words[2], words[3:]); err != nil {
				faults = append(faults, fmt.Sprintf("%s: %v", line, err))
			}
		})
	}
	s.Run(last + time.Millisecond)
	if len(s.rules.violations) == 0 {
		faults = append(faults, s.rules.findUnderservedJobKinds()...)
	}
	return append(faults, s.rules.violations...)
}

// scriptLines returns the lines of a section, without empty lines and comments.
func scriptLines(text string) []string {
	var lines []string
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	return lines
}

// seconds converts a number of seconds to a duration.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// infallible returns a command that runs a function which can't fail.
func infallible(run func(*Simulation, arguments)) scriptCommand {
	return func(sim *Simulation, args arguments) error { run(sim, args); return nil }
}

// timedValueCommand returns a command with the arguments VALUE SECONDS, which sets a share or
// factor for that time. DelayedEffects returns how long the fault can have effects after its
// end.
func timedValueCommand(field func(*Simulation) *timedValue, delayedEffects func(*Simulation) time.Duration) scriptCommand {
	return infallible(func(sim *Simulation, args arguments) {
		sim.setTimedValue(field(sim), args.number(0), args.duration(1))
		sim.rules.extendFaultPeriod(args.duration(1) + delayedEffects(sim))
	})
}

// noDelayedEffects is for faults that have no effects after their end.
func noDelayedEffects(*Simulation) time.Duration { return 0 }
