package core

import (
	"micaport/internal/wire"
)

const (
	// preemptGraceS is added to the time that a preempted task takes to save, in seconds.
	preemptGraceS = 5
	// reclaimGraceS is added to the time that a task takes to save before its machine is
	// reclaimed, and left before the reclaim, in seconds.
	reclaimGraceS = 1
	// reclaimKillHeartbeats is how many heartbeats before the reclaim of its machine a
	// task stops that has nothing to save.
	reclaimKillHeartbeats = 2.5
)

// stopGrace decides whether a task on a machine has to stop, and how many seconds it gets
// to save.
func (n *Node) stopGrace(machine *machine, job *job, active *wire.ActiveTask, status *wire.TaskStatus) (graceS float64, stop bool) {
	spec := job.Record.Spec
	switch {
	case job.Record.State == wire.JobCancelled, active.Stop == wire.StopAbandon:
		return 0, true
	case job.Record.State != wire.JobLive:
		return 0, false
	case status.State == wire.TaskCheckpointing:
		return 0, false
	case active.Stop == wire.StopPreempt:
		return spec.CheckpointTimeS + preemptGraceS, true
	case machine.reclaimAt == 0:
		return 0, false
	}
	leftS := (machine.reclaimAt - n.now).Seconds()
	switch {
	case spec.Shape == wire.ShapeGang && spec.TaskCount > 1:
		// All its tasks have to stop, so the stop goes into the record.
		n.gangsToStop[job.Index] = true
		return 0, false
	case spec.Shape == wire.ShapeDaemon || spec.CheckpointIntervalS == 0:
		return 0, leftS < reclaimKillHeartbeats*n.cfg.HeartbeatInterval.Seconds()
	}
	return max(spec.CheckpointTimeS+reclaimGraceS, leftS-reclaimGraceS), true
}
