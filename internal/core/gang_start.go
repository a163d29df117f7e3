package core

import (
	"micaport/internal/wire"
)

// slowFetchFactor is how much longer than at the nominal rate an image takes at worst: it
// comes at two thirds of that.
const slowFetchFactor = 1.5

// delaysGangStart reports whether the start of a gang's task waits, as its machine has the
// image, for those whose machines fetch it and have not nearly done so: a task waits for
// the others no longer than gang_wait_s, which a fetch can exceed.
func (s *site) delaysGangStart(job *job, active *wire.ActiveTask) bool {
	spec := job.Record.Spec
	if spec.Shape != wire.ShapeGang || spec.TaskCount < 2 {
		return false
	}
	machine := s.machineNamed(active.Machine)
	// A gang that is surely complete in time had better start with the last of its
	// machines, not with the next heartbeat of one whose start waited.
	if machineType := s.typeAt(machine.machineType); machineType != nil && machineType.FetchGBs > 0 &&
		slowFetchFactor*spec.ImageGB/machineType.FetchGBs < (s.cfg.GangWait-2*s.cfg.HeartbeatInterval).Seconds() {
		return false
	}
	return machine.images.Has(job.Image) && s.othersFetch(job, active.Attempt)
}

// othersFetch reports whether a machine of this controller fetches the image for a task of
// a gang's attempt.
func (s *site) othersFetch(job *job, attempt uint64) bool {
	for i := range job.Record.ActiveTasks {
		other := &job.Record.ActiveTasks[i]
		if other.Attempt != attempt || other.Machine == "" {
			continue
		}
		shard := s.shards[other.Shard]
		if !s.machineNamed(other.Machine).images.Has(job.Image) && shard.Record != nil && s.mayActAsOwner(shard) {
			return true
		}
	}
	return false
}
