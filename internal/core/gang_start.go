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
func (n *Node) delaysGangStart(job *job, active *wire.ActiveTask) bool {
	spec := job.Record.Spec
	if spec.Shape != wire.ShapeGang || spec.TaskCount < 2 {
		return false
	}
	machine := n.machineNamed(active.Machine)
	// A gang that is surely complete in time had better start with the last of its
	// machines, not with the next heartbeat of one whose start waited.
	if machineType := n.typeAt(machine.machineType); machineType != nil && machineType.FetchGBs > 0 &&
		slowFetchFactor*spec.ImageGB/machineType.FetchGBs < (n.cfg.GangWait-2*n.cfg.HeartbeatInterval).Seconds() {
		return false
	}
	return machine.images.Has(job.Image) && n.othersFetch(job, active.Attempt)
}

// othersFetch reports whether a machine of this controller fetches the image for a task of
// a gang's attempt.
func (n *Node) othersFetch(job *job, attempt uint64) bool {
	for i := range job.Record.ActiveTasks {
		other := &job.Record.ActiveTasks[i]
		if other.Attempt != attempt || other.Machine == "" {
			continue
		}
		shard := n.shards[other.Shard]
		if !n.machineNamed(other.Machine).images.Has(job.Image) && shard.Record != nil && n.mayActAsOwner(shard) {
			return true
		}
	}
	return false
}
