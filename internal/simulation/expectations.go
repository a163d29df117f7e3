package simulation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"micaport/internal/wire"
)

// expect checks the conditions of an "expect" line, which is "JOB CONDITION..." or one
// condition of the simulation as a whole.
//
// Conditions of the simulation are NAME<=N and NAME>=N with a name of counts, deaf=0 (no
// running worker is cut off from incoming messages), sick=0 (no running worker fails its
// tasks), and owner=SHARD:CONTROLLER|CONTROLLER (one of the controllers owns the shard).
// Conditions of a job are those of jobExpectations, as NAME=N or NAME<=N, or the status that
// its user received last.
func (s *Simulation) expect(args arguments) error {
	condition := args.word(0)
	if met, got, known := s.evaluate(condition); known {
		if !met {
			return conditionError(condition, got)
		}
		return nil
	}
	user := s.users.byJob[condition]
	if user == nil {
		return errNoSuchJob
	}
	for _, condition := range args.from(1) {
		if err := user.expect(condition); err != nil {
			return err
		}
	}
	return nil
}

// conditionError returns the error for a condition that is not met.
func conditionError(condition string, got any) error {
	return fmt.Errorf("want %s, got %v", condition, got)
}

// counts returns the numbers that a script can bound, by name.
func (s *Simulation) counts() map[string]int {
	meteredSeconds := max(1, int((s.now - s.meter.since).Seconds()))
	return map[string]int{
		"machines":     len(s.fleet.running()),
		"returned":     s.cloud.deprovisioned,
		"waiting":      s.cloud.countBooting(),
		"leaders":      s.store.leaderChanges,
		"claims":       s.store.shardClaims,
		"late_starts":  s.rules.lateStarts,  // of tasks, after the cancellation was confirmed to the user
		"ended_starts": s.rules.endedStarts, // start commands for attempts that had exited
		"more_keys":    s.store.countOverflowKeys(),
		"admitted":     s.quota.admissions, // tasks admitted by shard owners
		"shares":       s.quota.countShares(),
		"early":        s.leadership.countEarlyTakeovers(), // leaders replaced before their lease expired
		"takeover_ms":  int(s.leadership.slowestEarlyTakeover().Milliseconds()),
		"heartbeats":   s.leadership.heartbeats, // of leaders

		// Costs since the last "meter" command.
		"refused":          s.meter.refusedCommits,
		"looks_per_report": int(s.coreWork()-s.meter.coreWork) / max(1, s.meter.heartbeats),
		"bytes_per_s":      s.meter.gossipBytes / meteredSeconds,
	}
}

// evaluate evaluates a condition of the simulation as a whole. It reports whether the
// condition is met, the value found, and whether the condition is known.
func (s *Simulation) evaluate(condition string) (met bool, got any, known bool) {
	if name, limit, ok := strings.Cut(condition, "<="); ok {
		return s.evaluateBound(name, limit, func(got, bound int) bool { return got <= bound })
	}
	if name, limit, ok := strings.Cut(condition, ">="); ok {
		return s.evaluateBound(name, limit, func(got, bound int) bool { return got >= bound })
	}
	if ownership, ok := strings.CutPrefix(condition, "owner="); ok {
		shard, owners, _ := strings.Cut(ownership, ":")
		owner := s.store.shardOwner(shard)
		return slices.Contains(strings.Split(owners, "|"), owner), owner, true
	}
	switch condition {
	case "deaf=0":
		count := s.fleet.countRunning(func(worker *simWorker) bool { return worker.inboundCutUntil > s.now })
		return count == 0, count, true
	case "sick=0":
		count := s.fleet.countRunning(func(worker *simWorker) bool { return worker.failsTasks })
		return count == 0, count, true
	}
	return false, nil, false
}

// evaluateBound evaluates a bound on one of the counts. Its results are those of evaluate.
func (s *Simulation) evaluateBound(name, limit string, holds func(got, bound int) bool) (met bool, got any, known bool) {
	count, known := s.counts()[name]
	if !known {
		return false, nil, false
	}
	bound, err := strconv.Atoi(limit)
	if err != nil {
		return false, err, true
	}
	return holds(count, bound), count, true
}

// jobExpectation evaluates a condition that compares a property of a job with a number. It
// reports whether the condition is met and the value found.
type jobExpectation func(user *simUser, want int) (met bool, got any)

// jobExpectations are the numeric conditions of a job, by name and operator.
var jobExpectations = map[string]jobExpectation{
	"running=": func(user *simUser, want int) (bool, any) {
		running := user.placement().running
		return running == want, running
	},
	"zones=": func(user *simUser, want int) (bool, any) {
		zones := len(user.placement().zones)
		return zones == want, zones
	},
	"hosts=": func(user *simUser, want int) (bool, any) {
		machines := len(user.placement().machines)
		return machines == want, machines
	},
	// The status code of the last reply to a submission.
	"code=": func(user *simUser, want int) (bool, any) {
		codes := user.submitCodes
		return len(codes) > 0 && codes[len(codes)-1] == want, codes
	},
	"starts<=": func(user *simUser, want int) (bool, any) {
		starts := user.sim.rules.startsByJob[user.spec.ID]
		return starts <= want, starts
	},
	// Seconds from the start of the scenario until the job started.
	"begun<=": func(user *simUser, want int) (bool, any) {
		return user.startedAt > 0 && user.startedAt <= seconds(float64(want)), user.startedAt
	},
}

// expect checks a condition of the user's job.
func (u *simUser) expect(condition string) error {
	i := strings.Index(condition, "=") + 1
	if i == 0 {
		if u.lastReply.Status != condition {
			return conditionError(condition, u.lastReply.Status)
		}
		return nil
	}
	evaluate := jobExpectations[condition[:i]]
	if evaluate == nil {
		return fmt.Errorf("%w %s", errUnknownExpectation, condition)
	}
	want, err := strconv.Atoi(condition[i:])
	if err != nil {
		return fmt.Errorf("bad number in %s: %w", condition, err)
	}
	if met, got := evaluate(u, want); !met {
		return conditionError(condition, got)
	}
	return nil
}

// jobPlacement is where the tasks of a job that have not exited are.
type jobPlacement struct {
	running         int // tasks that are running
	zones, machines map[string]bool
}

// placement returns where the tasks of the user's job are.
func (u *simUser) placement() jobPlacement {
	placement := jobPlacement{zones: map[string]bool{}, machines: map[string]bool{}}
	u.eachActiveTask(func(worker *simWorker, task *simTask) {
		placement.zones[worker.machine.Zone], placement.machines[worker.machine.Name] = true, true
		if task.state == wire.TaskRunning {
			placement.running++
		}
	})
	return placement
}
