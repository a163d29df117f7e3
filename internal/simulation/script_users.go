package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

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
