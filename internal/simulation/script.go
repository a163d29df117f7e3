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

// userCommands are what users and operators do.
var userCommands = map[string]func(*Simulation, arguments) error{
	// REF, attributes
	"submit":   func(sim *Simulation, a arguments) error { return sim.users.submitLine(a) },
	"withdraw": infallible(func(sim *Simulation, a arguments) { sim.users.cancel(a.word(0)) }),
	// submit a known job once more
	"repeat": infallible(func(sim *Simulation, a arguments) { sim.users.byJob[a.word(0)].submit(sim.now) }),
	// submit a known job's id with nothing else
	"repeat-faulty": func(sim *Simulation, a arguments) error {
		body, err := wire.Encode(map[string]any{"ref": a.word(0)})
		if err != nil {
			return err
		}
		sim.users.byJob[a.word(0)].sendSubmission(sim.now, body)
		return nil
	},
	// a user asks one controller only
	"stick": infallible(func(sim *Simulation, a arguments) {
		sim.users.byJob[a.word(0)].pinnedTo = sim.controllerIndex(a.word(1))
	}),
	// seconds for which each user asks COUNT times a second
	"polls": infallible(func(sim *Simulation, a arguments) {
		for s := range int(a.number(0)) {
			sim.after(time.Duration(s)*time.Second, func() {
				for i := range int(a.number(1)) {
					for _, u := range sim.users.ordered {
						sim.after(time.Duration(i)*time.Second/time.Duration(a.number(1)), u.poll)
					}
				}
			})
		}
	}),
	// COUNT jobs, one a second, each cancelled SECONDS later if not 0, attributes
	"bulk": infallible(func(sim *Simulation, a arguments) {
		for i := range int(a.number(0)) {
			ref := sim.users.nextBulkID()
			sim.after(time.Duration(i)*time.Second, func() {
				if sim.users.submitLine(append([]string{ref}, a[2:]...)) == nil && a.number(1) > 0 {
					sim.after(a.duration(1)+time.Duration(sim.rng.IntN(2000))*time.Millisecond, func() { sim.users.cancel(ref) })
				}
			})
		}
	}),
	// jobs a second, seconds, share cancelled, attributes
	"stream": infallible(func(sim *Simulation, a arguments) {
		every := seconds(1 / a.number(0))
		for i := range int(a.number(0) * a.number(1)) {
			ref := sim.users.nextBulkID()
			sim.after(time.Duration(i)*every, func() {
				if sim.users.submitLine(append([]string{ref}, a[3:]...)) == nil && sim.rng.Float64() < a.number(2) {
					sim.after(time.Duration(sim.rng.IntN(12000))*time.Millisecond, func() { sim.users.cancel(ref) })
				}
			})
		}
	}),
	// REF waits on COUNT small jobs, which come first; with attributes
	"fan-in": func(sim *Simulation, a arguments) error {
		return sim.users.submitFanIn(a.word(0), int(a.number(1)), a[2:])
	},
	// a second, seconds, share cancelled, share whose last job comes when the rest is over
	"pipelines": infallible(func(sim *Simulation, a arguments) {
		every := seconds(1 / a.number(0))
		for i := range int(a.number(0) * a.number(1)) {
			sim.after(time.Duration(i)*every, func() { sim.users.submitPipeline(a.number(2), a.number(3)) })
		}
	}),
	// COUNT jobs that run and have long to go, seconds for which machines of theirs hang, perhaps how their ids begin
	"cancel-now": infallible(func(sim *Simulation, a arguments) {
		sim.users.cancelRunning(int(a.number(0)), a.duration(1), a.word(2))
	}),
	// share, seconds
	"cancel-at-end": infallible(func(sim *Simulation, a arguments) { sim.setFor(&sim.users.cancelAtEnd, a.number(0), a.duration(1)) }),
	// seconds
	"close-looks":  infallible(func(sim *Simulation, a arguments) { sim.users.closePollingUntil = sim.now + a.duration(0) }),
	"odd-requests": infallible(func(sim *Simulation, a arguments) { sim.users.sendIrregularRequests(sim.now + a.duration(0)) }),
	// TEAM GPUs=N, cores=N, guarantee=N: an operator changes a team's limit
	"limit": func(sim *Simulation, a arguments) error { return sim.quota.changeLimit(a.word(0), a[1:]) },
	// TEAM: the record of its account can't be read any more
	"damage": infallible(func(sim *Simulation, a arguments) { sim.store.overwrite(wire.AccountKey(a.word(0)), []byte{0xc1}) }),
	// what owners admit by themselves, for controllers that start from here on
	"switch": infallible(func(sim *Simulation, a arguments) { sim.Admission = core.Admission(a.number(0)) }),
}

// nextBulkID names one of many jobs.
func (users *userSet) nextBulkID() string {
	jobID := fmt.Sprintf("wk-%06d", 900000+users.bulkCount)
	users.bulkCount++
	return jobID
}

// sendIrregularRequests has users send odd requests until a time.
func (users *userSet) sendIrregularRequests(until time.Duration) {
	if users.sim.now < until {
		users.sendIrregularRequest()
		users.sim.after(300*time.Millisecond, func() { users.sendIrregularRequests(until) })
	}
}

// controllerCommands are what becomes of controllers.
var controllerCommands = map[string]func(*Simulation, arguments) error{
	// controller, seconds for which its watch hangs
	"watch-hangs": infallible(func(sim *Simulation, a arguments) { sim.store.hangWatch(sim.controllerIndex(a.word(0)), a.duration(1)) }),
	// controller, seconds until it is back
	"crash": infallible(func(sim *Simulation, a arguments) { sim.crash(sim.controllerIndex(a.word(0)), a.duration(1)) }),
	// seconds for which the next controller that claims the leadership ends at once
	"crash-claimant": infallible(func(sim *Simulation, a arguments) { sim.leadership.crashNextClaimant = a.duration(0) }),
	// controller, seconds for which it stands still
	"freeze": infallible(func(sim *Simulation, a arguments) { sim.freeze(sim.controllerIndex(a.word(0)), a.duration(1)) }),
	// controller, seconds for which the state service refuses it
	"refuse": infallible(func(sim *Simulation, a arguments) {
		sim.store.refuseController(sim.controllerIndex(a.word(0)), a.duration(1))
	}),
	// seconds for which controllers end and are back within half a second
	"blink": infallible(func(sim *Simulation, a arguments) { sim.crashRepeatedly(sim.now + a.duration(0)) }),
	// controllers end one after the other, SECONDS apart, and come back with the new version after SECONDS
	"roll": infallible(func(sim *Simulation, a arguments) {
		for i, n := range sim.controllers {
			sim.after(time.Duration(i)*a.duration(0), func() {
				n.oldVersion = false
				sim.crash(n.index, a.duration(1))
			})
		}
	}),
}

// serviceCommands are what becomes of the state service, the cloud and the network.
var serviceCommands = map[string]func(*Simulation, arguments) error{
	"outage": infallible(func(sim *Simulation, a arguments) { sim.store.startOutage(a.duration(0)) }),
	// two ends, seconds, perhaps "hold"
	"cut": func(sim *Simulation, a arguments) error {
		from, err := sim.cutEndpoint(a.word(0))
		if err == nil {
			sim.network.cut(from, a.word(1), a.duration(2), a.word(3) == "hold")
		}
		return err
	},
	"cloud-outage": infallible(func(sim *Simulation, a arguments) {
		sim.cloud.outage = true
		sim.after(a.duration(0), func() { sim.cloud.outage = false })
	}),
	"no-capacity": infallible(func(sim *Simulation, a arguments) {
		sim.cloud.outOfCapacity = true
		sim.after(a.duration(0), func() { sim.cloud.outOfCapacity = false })
	}),
	// times as long, share that never comes, seconds
	"boots": infallible(func(sim *Simulation, a arguments) {
		sim.cloud.slowBootFactor, sim.cloud.neverBootShare, sim.cloud.slowBootUntil = a.number(0), a.number(1), sim.now+a.duration(2)
		sim.rules.faultsLast(a.duration(2))
	}),
	// share lost, share late, seconds
	"lossy": infallible(func(sim *Simulation, a arguments) {
		sim.network.setLossy(a.number(0), a.number(1), a.duration(2))
		sim.rules.faultsLast(a.duration(2))
	}),
	// the state service's next limits hold from now on
	"limits": infallible(func(sim *Simulation, _ arguments) {
		sim.WriteRPS, sim.MaxTransactionOps, sim.MaxValueBytes = sim.NextWriteRPS, sim.NextMaxTransactionOps, sim.NextMaxValueBytes
	}),
	"late-writes": timedShare(func(sim *Simulation) *timedValue { return &sim.store.lateWrites },
		func(*Simulation) time.Duration { return 12 * time.Second }),
	"answers-lost": timedShare(func(sim *Simulation) *timedValue { return &sim.store.lostReplies }, noAftermath),
	"slow-store":   timedShare(func(sim *Simulation) *timedValue { return &sim.store.slowdown }, noAftermath),
	"slow-links":   timedShare(func(sim *Simulation) *timedValue { return &sim.network.slowdown }, noAftermath),
}

// cutEndpoint names an end of a cut: a machine by a task on it, a controller by its role, or as is.
func (sim *Simulation) cutEndpoint(name string) (string, error) {
	if task, ok := strings.CutPrefix(name, "host:"); ok {
		worker := sim.fleet.hosting(task)
		if worker == nil {
			return "", errNoSuchMachine
		}
		return worker.machine.Name, nil
	}
	if name == "leader" || name == "standby" || name == "other" {
		return sim.controllers[sim.controllerIndex(name)].label, nil
	}
	return name, nil
}

// workerCommands are what becomes of machines and their reports.
var workerCommands = map[string]func(*Simulation, arguments) error{
	// keep a machine's report as it is now, to be delivered late
	"stash": func(sim *Simulation, a arguments) error {
		k := sim.fleet.hosting(a.word(0))
		if a.word(0) == "any" {
			k = sim.fleet.running()[0]
		}
		if k == nil {
			return errNoSuchMachine
		}
		sim.replays.stashed = k.newHeartbeat()
		return nil
	},
	// the kept report, to a controller
	"deliver": infallible(func(sim *Simulation, a arguments) {
		sim.controllers[int(a.number(0))].deliverHeartbeat(sim.replays.stashed)
	}),
	// seconds for which every report comes twice, up to SECONDS late
	"copies": infallible(func(sim *Simulation, a arguments) {
		sim.network.setDuplicating(a.duration(0), a.duration(1))
	}),
	"late-reports": timedShare(func(sim *Simulation) *timedValue { return &sim.replays.delayed },
		func(sim *Simulation) time.Duration { return 2 * sim.WorkerLease }),
	"reports-for-next-leader": timedShare(func(sim *Simulation) *timedValue { return &sim.replays.retention }, noAftermath),
	// COUNT of the machines that are up, a machine's trouble, seconds
	"many": infallible(func(sim *Simulation, a arguments) {
		up := sim.fleet.running()
		sim.rng.Shuffle(len(up), func(i, k int) { up[i], up[k] = up[k], up[i] })
		for _, k := range up[:min(len(up), int(a.number(0)))] {
			sim.fleet.injectFault(a.word(1), k, a.duration(2))
		}
	}),
	"hang": workerFaultCommand("hang"), "take": workerFaultCommand("take"), "sick": workerFaultCommand("sick"), "recall": workerFaultCommand("recall"),
	"deaf": workerFaultCommand("deaf"), "mute": workerFaultCommand("mute"), "reset": workerFaultCommand("reset"),
}

// workerFaultCommand does something to the machine that has a task, or to some machine:
// TASK|any, seconds.
func workerFaultCommand(trouble string) func(*Simulation, arguments) error {
	return func(sim *Simulation, a arguments) error {
		var found *simWorker
		if up := sim.fleet.running(); a.word(0) != "any" {
			found = sim.fleet.hosting(a.word(0))
		} else if len(up) > 0 {
			found = up[sim.rng.IntN(len(up))]
		}
		if found == nil {
			return errNoSuchMachine
		}
		d := 10 * time.Second
		if len(a) > 1 {
			d = a.duration(1)
		}
		sim.fleet.injectFault(trouble, found, d)
		return nil
	}
}

// generalCommands are about the world as a whole.
var generalCommands = map[string]func(*Simulation, arguments) error{
	// seconds
	"storm": infallible(func(sim *Simulation, a arguments) { sim.injectRandomFaults(sim.now + a.duration(0)) }),
	// count from here on
	"meter":  infallible(func(sim *Simulation, _ arguments) { sim.meter = meter{since: sim.now, coreWork: sim.coreWork()} }),
	"expect": func(sim *Simulation, a arguments) error { return sim.expect(a) },
}

// submission is a job as a script's line describes it.
type submission struct {
	spec        wire.JobSpec
	runtime     time.Duration
	alwaysFails bool
	pinnedTo    int
}

// submissionFlags are attributes without a value.
var submissionFlags = map[string]func(*submission){
	"one_zone":       func(s *submission) { s.spec.SameZone = true },
	"spread":         func(s *submission) { s.spec.Spread = true },
	"ordinary":       func(s *submission) { s.spec.AllowSpot = false },
	"no-checkpoints": func(s *submission) { s.spec.CheckpointIntervalS, s.spec.CheckpointTimeS = 0, 0 },
	"fails":          func(s *submission) { s.alwaysFails = true },
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
	"run":    func(s *submission, x float64) { s.runtime = seconds(x) },
	"ask":    func(s *submission, x float64) { s.pinnedTo = int(x) },
}

// submitLine has a user submit a job: REF and attributes.
func (users *userSet) submitLine(args []string) error {
	s := &submission{runtime: 20 * time.Second, pinnedTo: -1, spec: wire.JobSpec{
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
	users.submit(s.spec, s.runtime, s.pinnedTo)
	users.byJob[s.spec.ID].alwaysFails = s.alwaysFails
	return nil
}
