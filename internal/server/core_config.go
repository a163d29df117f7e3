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
	// maxLargeArrayTasksPerCore bounds the active tasks of one large array by the
	// controller's share of a core. Such tasks may run for only a few seconds. While they
	// end, their machines send two heartbeats a second. Each heartbeat costs the owner
	// about 0.2 ms of processor time, and so do the grant, placement, start and end of each
	// task together. For example, 1,000 tasks, a dozen on each machine, that all end within
	// 10 s cost about 50 ms a second, a third of the core share that allows 1,000 tasks.
	maxLargeArrayTasksPerCore = 6000
	// The core batches at most the writes that this controller's share of the write rate
	// allows in batchSeconds, but always up to minBatchWrites, which every valid
	// configuration permits. The state service admits a transaction only when its rate limit
	// allows all writes at once, so a large transaction would be delayed by many small ones.
	minBatchWrites = 2
	batchSeconds   = 1.5
	bytesPerKB     = 1024
)

// admissions maps the values of the operators' admission setting to the core's.
var admissions = map[string]core.Admission{
	config.AdmitByLeader:   core.AdmitNothing,
	config.AdmitLeaderless: core.AdmitLeaderless,
	config.AdmitGuaranteed: core.AdmitGuaranteed,
}

// coreConfig returns the core's configuration for the settings, with a new incarnation.
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

// newIncarnation returns an identifier that distinguishes this process from all others that
// run or ran with the same label.
func newIncarnation() string {
	return fmt.Sprintf("%d-%d-%d", os.Getpid(), time.Now().UnixNano(), rand.Uint32())
}

// members returns all controllers, this one first.
func members(settings *config.Settings) []ownership.Member {
	var all []ownership.Member
	for _, controller := range settings.Controllers() {
		all = append(all, ownership.Member{Name: controller.Label, Zone: controller.Zone})
	}
	return all
}

// startObjectives returns the objectives that limit the time from submission to start.
func startObjectives(objectives []config.Objective) []core.StartObjective {
	var selected []core.StartObjective
	for _, objective := range objectives {
		if objective.Kind == config.ObjectiveWait {
			selected = append(selected, core.StartObjective{Class: objective.Class, Within: config.Seconds(objective.WithinS)})
		}
	}
	return selected
}

// teams converts the guarantees and quotas of teams to the form that the core uses.
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
