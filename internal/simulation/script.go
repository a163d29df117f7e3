package simulation

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// arguments are the words of a script's line after its command.
type arguments []string

// num reads a word as a number; 0 where there are fewer.
func (a arguments) num(i int) float64 {
	x, _ := strconv.ParseFloat(a.word(i), 64)
	return x
}

// dur reads a word as seconds.
func (a arguments) dur(i int) time.Duration { return secs(a.num(i)) }

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
var scriptCommands map[string]func(*World, arguments) error

func init() {
	scriptCommands = map[string]func(*World, arguments) error{}
	for _, group := range []map[string]func(*World, arguments) error{userCommands, controllerCommands, serviceCommands, machineCommands, worldCommands} {
		for name, run := range group {
			scriptCommands[name] = run
		}
	}
}

// command runs one line of a script.
func (w *World) command(name string, args []string) error {
	run := scriptCommands[name]
	if run == nil {
		return fmt.Errorf("%w %s", errUnknownCommand, name)
	}
	return run(w, args)
}

// always makes a command of something that can't fail.
func always(f func(*World, arguments)) func(*World, arguments) error {
	return func(w *World, a arguments) error { f(w, a); return nil }
}

// linger makes a command that sets a share or factor for some seconds; the trouble goes
// on for a while after that.
func linger(fields func(*World) (*float64, *time.Duration), after func(*World) time.Duration) func(*World, arguments) error {
	return always(func(w *World, a arguments) {
		share, until := fields(w)
		*share, *until = a.num(0), w.now+a.dur(1)
		w.troubled(a.dur(1) + after(w))
	})
}

func atOnce(*World) time.Duration { return 0 }

// userCommands are what users and operators do.
var userCommands = map[string]func(*World, arguments) error{
	// REF, attributes
	"submit":   func(w *World, a arguments) error { return w.submitLine(a) },
	"withdraw": always(func(w *World, a arguments) { w.Withdraw(a.word(0)) }),
	// submit a known job once more
	"repeat": always(func(w *World, a arguments) { w.users[a.word(0)].submit(w.now) }),
	// submit a known job's id with nothing else
	"repeat-faulty": func(w *World, a arguments) error {
		body, err := wire.Encode(map[string]any{"ref": a.word(0)})
		if err != nil {
			return err
		}
		w.users[a.word(0)].send(w.now, body)
		return nil
	},
	// a user asks one controller only
	"stick": always(func(w *World, a arguments) { w.users[a.word(0)].only = w.controller(a.word(1)) }),
	// seconds for which each user asks COUNT times a second
	"polls": always(func(w *World, a arguments) {
		for s := range int(a.num(0)) {
			w.after(time.Duration(s)*time.Second, func() {
				for i := range int(a.num(1)) {
					for _, u := range w.order {
						w.after(time.Duration(i)*time.Second/time.Duration(a.num(1)), u.poll)
					}
				}
			})
		}
	}),
	// COUNT jobs, one a second, each cancelled SECONDS later if not 0, attributes
	"bulk": always(func(w *World, a arguments) {
		for i := range int(a.num(0)) {
			ref := w.nextBulkRef()
			w.after(time.Duration(i)*time.Second, func() {
				if w.submitLine(append([]string{ref}, a[2:]...)) == nil && a.num(1) > 0 {
					w.after(a.dur(1)+time.Duration(w.rng.IntN(2000))*time.Millisecond, func() { w.Withdraw(ref) })
				}
			})
		}
	}),
	// jobs a second, seconds, share cancelled, attributes
	"stream": always(func(w *World, a arguments) {
		every := secs(1 / a.num(0))
		for i := range int(a.num(0) * a.num(1)) {
			ref := w.nextBulkRef()
			w.after(time.Duration(i)*every, func() {
				if w.submitLine(append([]string{ref}, a[3:]...)) == nil && w.rng.Float64() < a.num(2) {
					w.after(time.Duration(w.rng.IntN(12000))*time.Millisecond, func() { w.Withdraw(ref) })
				}
			})
		}
	}),
	// REF waits on COUNT small jobs, which come first; with attributes
	"fan-in": func(w *World, a arguments) error { return w.fanIn(a.word(0), int(a.num(1)), a[2:]) },
	// a second, seconds, share cancelled, share whose last job comes when the rest is over
	"pipelines": always(func(w *World, a arguments) {
		every := secs(1 / a.num(0))
		for i := range int(a.num(0) * a.num(1)) {
			w.after(time.Duration(i)*every, func() { w.pipeline(a.num(2), a.num(3)) })
		}
	}),
	// COUNT jobs that run and have long to go, seconds for which machines of theirs hang, perhaps how their ids begin
	"cancel-now": always(func(w *World, a arguments) { w.cancelNow(int(a.num(0)), a.dur(1), a.word(2)) }),
	// share, seconds
	"cancel-at-end": always(func(w *World, a arguments) { w.cancelAtEnd, w.cancelAtEndTo = a.num(0), w.now+a.dur(1) }),
	// seconds
	"close-looks":  always(func(w *World, a arguments) { w.closeLooksTo = w.now + a.dur(0) }),
	"odd-requests": always(func(w *World, a arguments) { w.oddRequests(w.now + a.dur(0)) }),
	// TEAM GPUs=N, cores=N, guarantee=N: an operator changes a team's limit
	"limit": func(w *World, a arguments) error { return w.changeLimit(a.word(0), a[1:]) },
	// TEAM: the record of its account can't be read any more
	"damage": always(func(w *World, a arguments) { w.store.overwrite(wire.AccountKey(a.word(0)), []byte{0xc1}) }),
	// what owners admit by themselves, for controllers that start from here on
	"switch": always(func(w *World, a arguments) { w.Admission = core.Admission(a.num(0)) }),
}

// nextBulkRef names one of many jobs.
func (w *World) nextBulkRef() string {
	ref := fmt.Sprintf("wk-%06d", 900000+w.bulk)
	w.bulk++
	return ref
}

// oddRequests has users send odd requests until a time.
func (w *World) oddRequests(until time.Duration) {
	if w.now < until {
		w.oddRequest()
		w.after(300*time.Millisecond, func() { w.oddRequests(until) })
	}
}

// controllerCommands are what becomes of controllers.
var controllerCommands = map[string]func(*World, arguments) error{
	// controller, seconds for which its watch hangs
	"watch-hangs": always(func(w *World, a arguments) { w.HangWatch(w.controller(a.word(0)), a.dur(1)) }),
	// controller, seconds until it is back
	"crash": always(func(w *World, a arguments) { w.Crash(w.controller(a.word(0)), a.dur(1)) }),
	// seconds for which the next controller that claims the leadership ends at once
	"crash-claimant": always(func(w *World, a arguments) { w.takeovers.endNext = a.dur(0) }),
	// controller, seconds for which it stands still
	"freeze": always(func(w *World, a arguments) { w.Freeze(w.controller(a.word(0)), a.dur(1)) }),
	// controller, seconds for which the state service refuses it
	"refuse": always(func(w *World, a arguments) { w.Refuse(w.controller(a.word(0)), a.dur(1)) }),
	// seconds for which controllers end and are back within half a second
	"blink": always(func(w *World, a arguments) { w.blink(w.now + a.dur(0)) }),
	// controllers end one after the other, SECONDS apart, and come back with the new version after SECONDS
	"roll": always(func(w *World, a arguments) {
		for i, n := range w.nodes {
			w.after(time.Duration(i)*a.dur(0), func() {
				n.old = false
				w.Crash(n.ix, a.dur(1))
			})
		}
	}),
}

// serviceCommands are what becomes of the state service, the cloud and the network.
var serviceCommands = map[string]func(*World, arguments) error{
	"outage": always(func(w *World, a arguments) { w.Outage(a.dur(0)) }),
	// two ends, seconds, perhaps "hold"
	"cut": func(w *World, a arguments) error {
		from, err := w.end(a.word(0))
		if err == nil {
			w.Cut(from, a.word(1), a.dur(2), a.word(3) == "hold")
		}
		return err
	},
	"cloud-outage": always(func(w *World, a arguments) {
		w.cloud.outage = true
		w.after(a.dur(0), func() { w.cloud.outage = false })
	}),
	"no-capacity": always(func(w *World, a arguments) {
		w.cloud.short = true
		w.after(a.dur(0), func() { w.cloud.short = false })
	}),
	// times as long, share that never comes, seconds
	"boots": always(func(w *World, a arguments) {
		w.cloud.late, w.cloud.never, w.cloud.lateTo = a.num(0), a.num(1), w.now+a.dur(2)
		w.troubled(a.dur(2))
	}),
	// share lost, share late, seconds
	"lossy": always(func(w *World, a arguments) {
		w.loss, w.late, w.lossTo = a.num(0), a.num(1), w.now+a.dur(2)
		w.troubled(a.dur(2))
	}),
	// the state service's next limits hold from now on
	"limits": always(func(w *World, _ arguments) {
		w.WriteRPS, w.TxnOps, w.ValueBytes = w.NextWriteRPS, w.NextTxnOps, w.NextValueBytes
	}),
	"late-writes": linger(func(w *World) (*float64, *time.Duration) { return &w.lateWrites, &w.lateWritesTo },
		func(*World) time.Duration { return 12 * time.Second }),
	"answers-lost": linger(func(w *World) (*float64, *time.Duration) { return &w.answersLost, &w.answersLostTo }, atOnce),
	"slow-store":   linger(func(w *World) (*float64, *time.Duration) { return &w.slowStore, &w.slowStoreTo }, atOnce),
	"slow-links":   linger(func(w *World) (*float64, *time.Duration) { return &w.slowLinks, &w.slowLinksTo }, atOnce),
}

// end names an end of a cut: a machine by a task on it, a controller by its role, or as is.
func (w *World) end(name string) (string, error) {
	if task, ok := strings.CutPrefix(name, "host:"); ok {
		k := w.hostOf(task)
		if k == nil {
			return "", errNoSuchMachine
		}
		return k.m.Name, nil
	}
	if name == "leader" || name == "standby" || name == "other" {
		return w.nodes[w.controller(name)].label, nil
	}
	return name, nil
}

// machineCommands are what becomes of machines and their reports.
var machineCommands = map[string]func(*World, arguments) error{
	// keep a machine's report as it is now, to be delivered late
	"stash": func(w *World, a arguments) error {
		k := w.hostOf(a.word(0))
		if a.word(0) == "any" {
			k = w.up()[0]
		}
		if k == nil {
			return errNoSuchMachine
		}
		w.stashed = k.snapshot()
		return nil
	},
	// the kept report, to a controller
	"deliver": always(func(w *World, a arguments) { w.nodes[int(a.num(0))].hearCopy(w.stashed) }),
	// seconds for which every report comes twice, up to SECONDS late
	"copies": always(func(w *World, a arguments) {
		w.copiesTo, w.copyDelay = w.now+a.dur(0), a.dur(1)
		w.troubled(a.dur(0) + a.dur(1))
	}),
	"late-reports": linger(func(w *World) (*float64, *time.Duration) { return &w.lateReports, &w.lateReportsTo },
		func(w *World) time.Duration { return 2 * w.Lease }),
	"reports-for-next-leader": linger(func(w *World) (*float64, *time.Duration) { return &w.forNext, &w.forNextTo }, atOnce),
	// COUNT of the machines that are up, a machine's trouble, seconds
	"many": always(func(w *World, a arguments) {
		up := w.up()
		w.rng.Shuffle(len(up), func(i, k int) { up[i], up[k] = up[k], up[i] })
		for _, k := range up[:min(len(up), int(a.num(0)))] {
			w.trouble(a.word(1), k, a.dur(2))
		}
	}),
	"hang": machineTrouble("hang"), "take": machineTrouble("take"), "sick": machineTrouble("sick"), "recall": machineTrouble("recall"),
	"deaf": machineTrouble("deaf"), "mute": machineTrouble("mute"), "reset": machineTrouble("reset"),
}

// machineTrouble does something to the machine that has a task, or to some machine:
// TASK|any, seconds.
func machineTrouble(trouble string) func(*World, arguments) error {
	return func(w *World, a arguments) error {
		var found *workerSim
		if up := w.up(); a.word(0) != "any" {
			found = w.hostOf(a.word(0))
		} else if len(up) > 0 {
			found = up[w.rng.IntN(len(up))]
		}
		if found == nil {
			return errNoSuchMachine
		}
		d := 10 * time.Second
		if len(a) > 1 {
			d = a.dur(1)
		}
		w.trouble(trouble, found, d)
		return nil
	}
}

// worldCommands are about the world as a whole.
var worldCommands = map[string]func(*World, arguments) error{
	// seconds
	"storm": always(func(w *World, a arguments) { w.storm(w.now + a.dur(0)) }),
	// count from here on
	"meter":  always(func(w *World, _ arguments) { w.meter = meter{since: w.now, work: w.work()} }),
	"expect": func(w *World, a arguments) error { return w.expect(a) },
}

// submission is a job as a script's line describes it.
type submission struct {
	spec  wire.JobSpec
	run   time.Duration
	fails bool
	only  int
}

// submissionFlags are attributes without a value.
var submissionFlags = map[string]func(*submission){
	"one_zone":       func(s *submission) { s.spec.SameZone = true },
	"spread":         func(s *submission) { s.spec.Spread = true },
	"ordinary":       func(s *submission) { s.spec.AllowSpot = false },
	"no-checkpoints": func(s *submission) { s.spec.CheckpointIntervalS, s.spec.CheckpointTimeS = 0, 0 },
	"fails":          func(s *submission) { s.fails = true },
}

// submissionTexts are attributes with a text.
var submissionTexts = map[string]func(*submission, string){
	"shape": func(s *submission, text string) {
		s.spec.Shape = text
		if text == wire.ShapeDaemon {
			s.spec.ExpectedS, s.spec.CheckpointIntervalS, s.spec.CheckpointTimeS = 0, 0, 0
		}
	},
	"team":    func(s *submission, text string) { s.spec.Team = text },
	"class":   func(s *submission, text string) { s.spec.Class = text },
	"urgency": func(s *submission, text string) { s.spec.Priority = text },
	"image":   func(s *submission, text string) { s.spec.Image = text },
	"zone":    func(s *submission, text string) { s.spec.Zone = text },
	"rig":     func(s *submission, text string) { s.spec.MachineTypes = []string{text} },
	"after":   func(s *submission, text string) { s.spec.Dependencies = strings.Split(text, ",") },
}

// submissionNumbers are attributes with a number.
var submissionNumbers = map[string]func(*submission, float64){
	"frames": func(s *submission, x float64) { s.spec.TaskCount = int(x) },
	"cards":  func(s *submission, x float64) { s.spec.GPUs = x },
	"cores":  func(s *submission, x float64) { s.spec.Cores = x },
	"mem":    func(s *submission, x float64) { s.spec.MemoryGB = x },
	"gb":     func(s *submission, x float64) { s.spec.ImageGB = x },
	"due":    func(s *submission, x float64) { s.spec.DeadlineS = x },
	"run":    func(s *submission, x float64) { s.run = secs(x) },
	"ask":    func(s *submission, x float64) { s.only = int(x) },
}

// submitLine has a user submit a job: REF and attributes.
func (w *World) submitLine(args []string) error {
	s := &submission{run: 20 * time.Second, only: -1, spec: wire.JobSpec{
		ID: args[0], Class: "c", Team: "wide", Shape: "array", Priority: "standard", TaskCount: 1,
		Cores: 4, GPUs: 1, MemoryGB: 16, Image: "img", ImageGB: 2, ExpectedS: 20, CheckpointIntervalS: 5, CheckpointTimeS: 2, AllowSpot: true}}
	for _, arg := range args[1:] {
		name, text, _ := strings.Cut(arg, "=")
		x, _ := strconv.ParseFloat(text, 64)
		if set := submissionFlags[name]; set != nil {
			set(s)
		} else if set := submissionTexts[name]; set != nil {
			set(s, text)
		} else if set := submissionNumbers[name]; set != nil {
			set(s, x)
		} else {
			return fmt.Errorf("unknown attribute %s", name)
		}
	}
	w.Submit(s.spec, s.run, s.only)
	w.users[s.spec.ID].fails = s.fails
	return nil
}
