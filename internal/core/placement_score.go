package core

import (
	"slices"

	"micaport/internal/wire"
)

// Weights of the placement score. Each approximates, in seconds, how much longer tasks wait
// because of a choice.
const (
	// freeGPUCost applies to each GPU that stays free beside the task. It packs tasks, so that
	// whole machines stay free for gangs.
	freeGPUCost = 3
	// idleOnDemandCost keeps tasks that may run on spot machines off idle on-demand ones.
	idleOnDemandCost = 40
	// busyOnDemandBonus prefers on-demand machines that are in use for such tasks: these
	// machines stay up anyway, while a spot machine may be drained.
	busyOnDemandBonus = 4
	// firstDaemonCost places a daemon on a machine that already runs one: daemons run for a
	// long time, and two on one machine leave another machine free.
	firstDaemonCost = 5
	// otherFailureCost applies to each job that has failed on the machine since the machine's last
	// success.
	otherFailureCost = 100
	// ownFailureCost makes a machine on which the job has failed the last choice.
	ownFailureCost = 500

	// defaultFetchGBs is the rate of image fetches, in GB/s, for machine types without one.
	defaultFetchGBs = 0.1
	// concurrentFetchDivisor divides the size of the images that are already being fetched. They
	// count only in part, since it depends on the site whether concurrent fetches share the rate.
	concurrentFetchDivisor = 3
	// startedFetchDivisor divides the time of a fetch that another task has already started.
	startedFetchDivisor = 2
)

// fetchSeconds estimates how long the machine would take to fetch the image of a job.
func (s *site) fetchSeconds(job *job, slot *slot) float64 {
	if slot.images.Has(job.Image) {
		return 0
	}
	rate := defaultFetchGBs
	if slot.typeInfo != nil && slot.typeInfo.FetchGBs > 0 {
		rate = slot.typeInfo.FetchGBs
	}
	seconds := (job.Record.Spec.ImageGB + slot.fetchGB/concurrentFetchDivisor) / rate
	if slot.machine != nil && s.usesImage(slot.machine, job.Image) {
		return seconds / startedFetchDivisor
	}
	return seconds
}

// score ranks a machine for a task, in seconds of waiting; lower is better.
func (s *site) score(job *job, slot *slot) float64 {
	spec := job.Record.Spec
	score := s.fetchSeconds(job, slot)
	score += freeGPUCost * (slot.gpus - spec.GPUs)
	if spec.AllowSpot && !slot.spot {
		if slot.isIdle() {
			score += idleOnDemandCost
		} else {
			score -= busyOnDemandBonus
		}
	}
	if spec.Shape == wire.ShapeDaemon && !slot.hasDaemon {
		score += firstDaemonCost
	}
	score += otherFailureCost * float64(slot.failedJobCount)
	if slot.machine != nil && len(job.Record.FailedMachines) > 0 &&
		slices.Contains(job.Record.FailedMachines, slot.machine.name) {
		score += ownFailureCost
	}
	return score
}

// zoneTasks counts a job's active tasks in each zone. Tasks of earlier attempts count until it
// is certain that they have ended.
func (s *site) zoneTasks(record *wire.Job) []int {
	tasks := make([]int, s.names.Zones.Len())
	for i := range record.ActiveTasks {
		tasks[s.shards[record.ActiveTasks[i].Shard].Zone]++
	}
	return tasks
}

// zoneLimit returns how many tasks of a job may run in one zone: half of them, rounded up, if
// the job is to be spread over zones, else all.
func zoneLimit(spec *wire.JobSpec) int {
	if spec.Spread {
		return (spec.TaskCount + 1) / 2
	}
	return spec.TaskCount
}
