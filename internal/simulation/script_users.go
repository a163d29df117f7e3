package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// userCommands are the commands for actions of users and operators. JOB is a job's id, and
// ATTRIBUTES are those of submitLine.
var userCommands = map[string]scriptCommand{
	// submit JOB ATTRIBUTES: a new user submits a job.
	"submit": func(sim *Simulation, args arguments) error { return sim.users.submitLine(args) },
	// withdraw JOB: the job's user cancels it.
	"withdraw": infallible(func(sim *Simulation, args arguments) { sim.users.cancel(args.word(0)) }),
	// repeat JOB: a submitted job is submitted once more.
	"repeat": infallible(func(sim *Simulation, args arguments) { sim.users.byJob[args.word(0)].submit() }),
	// repeat-faulty JOB: a submitted job is submitted once more, with its id as the only field.
	"repeat-faulty": func(sim *Simulation, args arguments) error {
		body, err := wire.Encode(map[string]any{"ref": args.word(0)})
		if err != nil {
			return err
		}
		sim.users.byJob[args.word(0)].sendSubmission(sim.now, body)
		return nil
	},
	// stick JOB CONTROLLER: the job's user sends requests to that controller only.
	"stick": infallible(func(sim *Simulation, args arguments) {
		sim.users.byJob[args.word(0)].pinnedTo = sim.controllerNamed(args.word(1)).index
	}),
	// polls SECONDS COUNT: for SECONDS, each user requests the job's status COUNT times a second.
	"polls": infallible(func(sim *Simulation, args arguments) {
		for second := range int(args.number(0)) {
			sim.after(time.Duration(second)*time.Second, func() { sim.users.pollAll(int(args.number(1))) })
		}
	}),
	// bulk COUNT SECONDS ATTRIBUTES: COUNT jobs are submitted, one a second; each is cancelled about SECONDS later,
	// or not at all if SECONDS is 0.
	"bulk": infallible(func(sim *Simulation, args arguments) {
		for i := range int(args.number(0)) {
			jobID := sim.users.nextGeneratedID()
			sim.after(time.Duration(i)*time.Second, func() {
				if sim.users.submitLine(append([]string{jobID}, args.from(2)...)) == nil && args.number(1) > 0 {
					sim.after(args.duration(1)+time.Duration(sim.rng.IntN(2000))*time.Millisecond, func() { sim.users.cancel(jobID) })
				}
			})
		}
	}),
	// stream RATE SECONDS SHARE ATTRIBUTES: for SECONDS, RATE jobs a second are submitted, and a share of them is
	// cancelled within 12 s.
	"stream": infallible(func(sim *Simulation, args arguments) {
		interval := seconds(1 / args.number(0))
		for i := range int(args.number(0) * args.number(1)) {
			jobID := sim.users.nextGeneratedID()
			sim.after(time.Duration(i)*interval, func() {
				if sim.users.submitLine(append([]string{jobID}, args.from(3)...)) == nil && sim.rng.Float64() < args.number(2) {
					sim.after(time.Duration(sim.rng.IntN(12000))*time.Millisecond, func() { sim.users.cancel(jobID) })
				}
			})
		}
	}),
	// fan-in JOB COUNT ATTRIBUTES: COUNT small jobs are submitted, then a job that depends on all of them.
	"fan-in": func(sim *Simulation, args arguments) error {
		return sim.users.submitFanIn(args.word(0), int(args.number(1)), args.from(2))
	},
	// pipelines RATE SECONDS SHARE SHARE: for SECONDS, RATE pipelines a second are submitted; in the first share of
	// them a job is cancelled, in the second the last job is submitted late.
	"pipelines": infallible(func(sim *Simulation, args arguments) {
		interval := seconds(1 / args.number(0))
		for i := range int(args.number(0) * args.number(1)) {
			sim.after(time.Duration(i)*interval, func() { sim.users.submitPipeline(args.number(2), args.number(3)) })
		}
	}),
	// cancel-now COUNT SECONDS [PREFIX]: COUNT long-running jobs whose ids begin with PREFIX are cancelled, and some
	// of their workers hang for SECONDS.
	"cancel-now": infallible(func(sim *Simulation, args arguments) {
		sim.users.cancelRunning(int(args.number(0)), args.duration(1), args.word(2))
	}),
	// cancel-at-end SHARE SECONDS: a share of the jobs is cancelled just after their last task has ended.
	"cancel-at-end": infallible(func(sim *Simulation, args arguments) {
		sim.setTimedValue(&sim.users.cancelAtEnd, args.number(0), args.duration(1))
	}),
	// close-looks SECONDS: users poll all controllers at the first and at a final status of their job.
	"close-looks": infallible(func(sim *Simulation, args arguments) {
		sim.users.pollBurstsUntil = sim.now + args.duration(0)
	}),
	// odd-requests SECONDS: users send irregular requests.
	"odd-requests": infallible(func(sim *Simulation, args arguments) {
		sim.users.sendIrregularRequests(sim.now + args.duration(0))
	}),
	// limit TEAM cards=N cores=N guarantee=N: an operator changes a team's limits and guarantee.
	"limit": func(sim *Simulation, args arguments) error { return sim.quota.changeLimit(args.word(0), args.from(1)) },
	// damage TEAM: the record of the team's account becomes unreadable.
	"damage": infallible(func(sim *Simulation, args arguments) {
		sim.store.overwrite(wire.AccountKey(args.word(0)), []byte{unusedMessagePackCode})
	}),
	// switch ADMISSION: sets what shard owners may admit, for controllers that start from now on.
	"switch": infallible(func(sim *Simulation, args arguments) { sim.Admission = core.Admission(args.number(0)) }),
}

// unusedMessagePackCode is the only first byte that MessagePack assigns to no format, so that
// decoding a value that begins with it fails.
const unusedMessagePackCode = 0xc1
