package core

import (
	"slices"

	"micaport/internal/wire"
)

// Weights of the placement score, in seconds of waiting that a choice costs, roughly.
const (
	// freeGPUCost, for each GPU that stays free beside the task, packs tasks, so that whole
	// machines stay free for gangs.
	freeGPUCost = 3
	// idleOnDemandCost keeps tasks that may run on spot machines off idle on-demand ones.
	idleOnDemandCost = 40
	// busyOnDemandBonus draws such tasks to on-demand machines that are in use: these stay up
	// anyway, while a spot machine may be drained.
	busyOnDemandBonus = 4
	// firstDaemonCost puts a daemon beside another rather than on a machine without: daemons
	// stay long, and two on one machine leave another free.
	firstDaemonCost = 5
	// errorCost counts for each task that has failed on the machine since its last success.
	errorCost = 100
	// failedJobCost makes a machine that has failed the job the last choice.
	failedJobCost = 500

	// defaultFetchGBs is the rate of image fetches, in GB/s, where the type does not say.
	defaultFetchGBs = 0.1
	// fetchSharing divides the size of the images that are already being fetched: whether
	// they share the rate differs between sites.
	fetchSharing = 3
	// fetchUnderWay divides the time of a fetch that another task has begun.
	fetchUnderWay = 2
)

// fetchSeconds is how long the image of a job would take to reach the machine.
func (s *site) fetchSeconds(job *job, slot *slot) float64 {
	if slot.images.Has(job.Image) {
		return 0
	}
	rate := defaultFetchGBs
	if slot.typeInfo != nil && slot.typeInfo.FetchGBs > 0 {
		rate = slot.typeInfo.FetchGBs
	}
	seconds := (job.Record.Spec.ImageGB + slot.fetchGB/fetchSharing) / rate
	if slot.machine != nil && s.usesImage(slot.machine, job.Image) {
		return seconds / fetchUnderWay
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
	if spec.Shape == wire.ShapeDaemon && !slot.daemon {
		score += firstDaemonCost
	}
	score += errorCost * float64(slot.errors)
	if slot.machine != nil && len(job.Record.FailedMachines) > 0 &&
		slices.Contains(job.Record.FailedMachines, slot.machine.name) {
		score += failedJobCost
	}
	return score
}

// zoneTasks counts a job's active tasks in each zone. Tasks of old attempts count until they
// are proven gone.
func (s *site) zoneTasks(record *wire.Job) []int {
	tasks := make([]int, s.names.Zones.Len())
	for i := range record.ActiveTasks {
		tasks[s.shards[record.ActiveTasks[i].Shard].Zone]++
	}
	return tasks
}

// zoneLimit is how many tasks of a job one zone may hold: half of them, rounded up, if they
// are to be spread.
func zoneLimit(spec *wire.JobSpec) int {
	if spec.Spread {
		return (spec.TaskCount + 1) / 2
	}
	return spec.TaskCount
}
