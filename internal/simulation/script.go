package simulation

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

// arguments are the words of a script's line after its command.
type arguments []string

// number reads a word as a number; 0 where there are fewer.
func (a arguments) number(i int) float64 {
	x, _ := strconv.ParseFloat(a.word(i), 64)
	return x
}

// duration reads a word as seconds.
func (a arguments) duration(i int) time.Duration { return seconds(a.number(i)) }

// word gives a word; "" where there are fewer.
func (a arguments) word(i int) string {
	if i >= len(a) {
		return ""
	}
	return a[i]
}

// Faults of a script.
var (
	errNoSuchMachine  = errors.New("no such machine")
	errUnknownCommand = errors.New("unknown command")
)

// scriptCommands are what a line of a script can say, by name.
var scriptCommands map[string]func(*Simulation, arguments) error

func init() {
	scriptCommands = map[string]func(*Simulation, arguments) error{}
	for _, group := range []map[string]func(*Simulation, arguments) error{userCommands, controllerCommands, serviceCommands, workerCommands, generalCommands} {
		for name, run := range group {
			scriptCommands[name] = run
		}
	}
}

// runCommand runs one line of a script.
func (sim *Simulation) runCommand(name string, args []string) error {
	run := scriptCommands[name]
	if run == nil {
		return fmt.Errorf("%w %s", errUnknownCommand, name)
	}
	return run(sim, args)
}

// infallible makes a command of something that can't fail.
func infallible(f func(*Simulation, arguments)) func(*Simulation, arguments) error {
	return func(sim *Simulation, a arguments) error { f(sim, a); return nil }
}

// timedShare makes a command that sets a share or factor for some seconds; the trouble goes
// on for a while after that.
func timedShare(field func(*Simulation) *timedValue, after func(*Simulation) time.Duration) func(*Simulation, arguments) error {
	return infallible(func(sim *Simulation, a arguments) {
		sim.setFor(field(sim), a.number(0), a.duration(1))
		sim.rules.faultsLast(a.duration(1) + after(sim))
	})
}

func noAftermath(*Simulation) time.Duration { return 0 }
