package server

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"micaport/internal/config"
	"micaport/internal/core"
	"micaport/internal/ownership"
	"micaport/internal/replica"
)

const (
	// maxLargeArrayTasksPerCore bounds the active tasks of one large array by processor
	// time. Such tasks may last only a few seconds. While they end, their machines send a
	// heartbeat twice a second, which costs their owner some 0.2 ms each, and as much for
	// each task's grant, placement, start and end. So a thousand tasks, a dozen on each
	// machine, that end within ten seconds take 50 ms of each second: a third of what the
	// core share that allows them provides.
	maxLargeArrayTasksPerCore = 6000
	// A transaction of the core writes at most batchSeconds' worth of this controller's share
	// of the writes, but at least minBatchWrites, which valid settings always allow. The
	// state service must allow all writes of a transaction at once; a large one would wait
	// behind every small one.
	minBatchWrites = 2
	batchSeconds   = 1.5
	bytesPerKB     = 1024
)

// admissions translates the operators' setting.
var admissions = map[string]core.Admission{
	config.AdmitByLeader:   core.AdmitNothing,
	config.AdmitLeaderless: core.AdmitLeaderless,
	config.AdmitGuaranteed: core.AdmitGuaranteed,
}

// coreConfig derives the core's configuration, with a new incarnation, from the settings.
func coreConfig(settings *config.Settings, operator config.OperatorSettings) core.Config {
	deployment, limits := &settings.Deployment, settings.StateLimits()
	controllers := len(settings.Peers) + 1
	return core.Config{
		Self:        settings.Label,
		Zone:        settings.Zone,
		Incarnation: newIncarnation(),
		Members:     members(settings),
		Zones:       deployment.Zones,
		Teams:       teams(deployment.Teams),

		StartObjectives:   startObjectives(deployment.Objectives),
		HeartbeatInterval: config.Seconds(deployment.Workers.ReportS),
		WorkerLease:       config.Seconds(deployment.Workers.LeaseS),
		GangWait:          config.Seconds(deployment.Workers.GangWaitS),
		OwnerValidity:     settings.Validity(),
		LeaderLease:       config.LeaderLease,

		MaxTransactionOps:  limits.TxnOps,
		MaxValueBytes:      limits.ValueBytes,
		CurrentValueBytes:  int(deployment.State.ValueKB * bytesPerKB),
		MaxBatchWrites:     max(minBatchWrites, int(batchSeconds*deployment.State.WriteRPS/float64(controllers))),
		MaxLargeArrayTasks: int(maxLargeArrayTasksPerCore * deployment.Limits.CoreShare),
		StateRPS:           limits.RPS,
		WriteRPS:           deployment.State.WriteRPS,
		NextWriteRPS:       limits.WriteRPS,
		CloudRPS:           deployment.Cloud.RPS,
		CloudListLag:       config.Seconds(deployment.Cloud.ListLagS),

		IdleTimeout:   config.Seconds(operator.IdleReturnS),
		SpareMachines: operator.SpareMachines,
		MaxMachines:   operator.MaxMachines,
		Preempt:       operator.Preempt,
		Admission:     admissions[operator.Admission],
		EarlyFailover: operator.Takeover == config.TakeoverEarly,
		WallClockMS:   func() int64 { return time.Now().UnixMilli() },
	}
}

// newIncarnation identifies this process among all that run with the same label.
func newIncarnation() string {
	return fmt.Sprintf("%d-%d-%d", os.Getpid(), time.Now().UnixNano(), rand.Uint32())
}

// members lists all controllers, this one first.
func members(settings *config.Settings) []ownership.Member {
	var all []ownership.Member
	for _, controller := range settings.Controllers() {
		all = append(all, ownership.Member{Name: controller.Label, Zone: controller.Zone})
	}
	return all
}

// startObjectives selects the objectives for the time from submission to start.
func startObjectives(objectives []config.Objective) []core.StartObjective {
	var selected []core.StartObjective
	for _, objective := range objectives {
		if objective.Kind == config.ObjectiveWait {
			selected = append(selected, core.StartObjective{Class: objective.Class, Within: config.Seconds(objective.WithinS)})
		}
	}
	return selected
}

// teams translates the guarantees and quotas of teams.
func teams(settings []config.Team) []replica.Team {
	var translated []replica.Team
	for _, team := range settings {
		translated = append(translated, replica.Team{
			Name:            team.Name,
			GuaranteedCores: team.GuaranteedCores, GuaranteedGPUs: team.GuaranteedGPUs,
			MaxCores: team.MaxCores, MaxGPUs: team.MaxGPUs,
		})
	}
	return translated
}
