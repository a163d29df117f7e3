package simulation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"micaport/internal/wire"
)

// expect checks "JOB WHAT..." or something about the world as a whole.
func (sim *Simulation) expect(args []string) error {
	if what, known, err := sim.expectCondition(args[0]); known {
		if err != nil {
			return fmt.Errorf("want %s: %w", what, err)
		}
		return nil
	}
	user := sim.users.byJob[args[0]]
	if user == nil {
		return fmt.Errorf("no such job")
	}
	for _, what := range args[1:] {
		if err := sim.expectJob(user, what); err != nil {
			return err
		}
	}
	return nil
}

// counts are the numbers that a script can bound with NAME<=N and NAME>=N: machines,
// returned and waiting ones, leaders and claims of shards so far, tasks that owners have
// admitted, shares that are distributed, overflow keys of records, starts that workers carried
// out after the user was told that the job is cancelled (late_starts), leaders replaced
// before their lease ended (early), the time from a failure until the slowest of these
// decided (takeover_ms), heartbeats of leaders; and since the last "meter": refused
// commits, looks at machines by all controllers for each report, and bytes a second
// between controllers.
func (sim *Simulation) counts() map[string]int {
	seconds := max(1, int((sim.now - sim.meter.since).Seconds()))
	return map[string]int{
		"machines":         len(sim.fleet.running()),
		"returned":         sim.cloud.deprovisioned,
		"waiting":          sim.cloud.countBooting(),
		"leaders":          sim.store.leaderChanges,
		"claims":           sim.store.shardClaims,
		"refused":          sim.meter.refusedCommits,
		"looks_per_report": int(sim.coreWork()-sim.meter.coreWork) / max(1, sim.meter.heartbeats),
		"bytes_per_s":      sim.meter.gossipBytes / seconds,
		"late_starts":      sim.rules.lateStarts,
		"more_keys":        sim.store.countOverflowKeys(),
		"admitted":         sim.quota.admissions,
		"shares":           sim.quota.countShares(),
		"early":            sim.leadership.countEarly(),
		"takeover_ms":      int(sim.leadership.slowestTakeover().Milliseconds()),
		"heartbeats":       sim.leadership.heartbeats,
	}
}

// expectBound checks NAME<=N and NAME>=N. It tells whether there is such a count.
func (sim *Simulation) expectBound(what string) (known bool, err error) {
	name, limit, atMost := strings.Cut(what, "<=")
	if !atMost {
		name, limit, known = strings.Cut(what, ">=")
		if !known {
			return false, nil
		}
	}
	got, known := sim.counts()[name]
	if !known {
		return false, nil
	}
	bound, err := strconv.Atoi(limit)
	if err == nil && (atMost && got > bound || !atMost && got < bound) {
		err = fmt.Errorf("got %d", got)
	}
	return true, err
}

// expectCondition checks counts, unhealthy=0 and unresponsive=0 machines, and
// owner=PART:CONTROLLER|CONTROLLER.
func (sim *Simulation) expectCondition(what string) (string, bool, error) {
	if known, err := sim.expectBound(what); known {
		return what, true, err
	}
	holds, got := false, any(nil)
	if v, ok := strings.CutPrefix(what, "owner="); ok {
		shard, owner, _ := strings.Cut(v, ":")
		holds, got = slices.Contains(strings.Split(owner, "|"), sim.store.shardOwner(shard)), sim.store.shardOwner(shard)
	} else if what == "deaf=0" {
		deaf := sim.fleet.countRunning(func(worker *simWorker) bool { return worker.inboundCutUntil > sim.now })
		holds, got = deaf == 0, deaf
	} else if what == "sick=0" {
		sick := sim.fleet.countRunning(func(worker *simWorker) bool { return worker.failsTasks })
		holds, got = sick == 0, sick
	} else {
		return what, false, nil
	}
	if !holds {
		return what, true, fmt.Errorf("got %v", got)
	}
	return what, true, nil
}

func (sim *Simulation) expectJob(user *simUser, what string) error {
	count := 0
	zones, hosts := map[string]bool{}, map[string]bool{}
	sim.users.eachActiveTask(func(worker *simWorker, task *simTask) {
		if task.user == user {
			zones[worker.machine.Zone], hosts[worker.machine.Name] = true, true
			if task.state == wire.TaskRunning {
				count++
			}
		}
	})
	number := func(v string) int {
		x, _ := strconv.Atoi(v)
		return x
	}
	bad := func(got any) error { return fmt.Errorf("want %s, got %v", what, got) }
	if k, v, ok := strings.Cut(what, "<="); ok {
		if k == "starts" && sim.rules.starts[user.spec.ID] > number(v) {
			return bad(sim.rules.starts[user.spec.ID])
		}
		if k == "begun" && (user.startedAt == 0 || user.startedAt > seconds(float64(number(v)))) {
			return bad(user.startedAt)
		}
		return nil
	}
	k, v, pair := strings.Cut(what, "=")
	switch {
	case pair && k == "running":
		if count != number(v) {
			return bad(count)
		}
	case pair && k == "zones":
		if len(zones) != number(v) {
			return bad(len(zones))
		}
	case pair && k == "hosts":
		if len(hosts) != number(v) {
			return bad(len(hosts))
		}
	case pair && k == "code":
		if len(user.submitCodes) == 0 || user.submitCodes[len(user.submitCodes)-1] != number(v) {
			return bad(user.submitCodes)
		}
	case pair:
		return fmt.Errorf("unknown expectation")
	default:
		if user.lastReply.Status != what {
			return bad(user.lastReply.Status)
		}
	}
	return nil
}
