package core

import (
	"micaport/internal/wire"
)

// slowFetchFactor bounds how much longer than at the nominal rate the fetch of an image takes: the
// lowest rate is two thirds of the nominal one.
const slowFetchFactor = 1.5

// delaysGangStart reports whether the start of a gang's task is delayed because its machine has the
// image while another machine of the gang, in a shard of this controller, still lacks it. A started
// task waits for the others for gang_wait_s at most, and a fetch can take longer.
func (s *site) delaysGangStart(job *job, active *wire.ActiveTask) bool {
	spec := job.Record.Spec
	if spec.Shape != wire.ShapeGang || spec.TaskCount < 2 {
		return false
	}
	machine := s.getOrAddMachine(active.Machine)
	// When even a slow fetch ends within gang_wait_s, no start is delayed: the gang then runs as
	// soon as the last machine is ready, instead of at the next heartbeat of a machine whose
	// start was delayed.
	if machineType := s.typeAt(machine.machineType); machineType != nil && machineType.FetchGBs > 0 &&
		slowFetchFactor*spec.ImageGB/machineType.FetchGBs < (s.cfg.GangWait-2*s.cfg.HeartbeatInterval).Seconds() {
		return false
	}
	return machine.images.Has(job.Image) && s.ownGangMachineLacksImage(job, active.Attempt)
}

// ownGangMachineLacksImage reports whether some machine that has a task of a gang's attempt lacks
// the image. It considers only machines in shards for which this controller may act as the owner.
func (s *site) ownGangMachineLacksImage(job *job, attempt uint64) bool {
	for i := range job.Record.ActiveTasks {
		other := &job.Record.ActiveTasks[i]
		if other.Attempt != attempt || other.Machine == "" {
			continue
		}
		shard := s.shards[other.Shard]
		if !s.getOrAddMachine(other.Machine).images.Has(job.Image) && shard.Record != nil && s.mayActAsOwner(shard) {
			return true
		}
	}
	return false
}
