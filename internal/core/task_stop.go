package core

import (
	"micaport/internal/wire"
)

const (
	// preemptGraceS, in seconds, is added to the time that a preempted task needs to save a
	// checkpoint.
	preemptGraceS = 5
	// reclaimGraceS, in seconds, is added to the time that a task needs to save a checkpoint
	// before its machine is reclaimed. It is also the margin between the end of the task and the
	// reclaim.
	reclaimGraceS = 1
	// reclaimKillHeartbeats is the number of heartbeat intervals before the reclaim of its
	// machine at which a task that saves no checkpoints is killed.
	reclaimKillHeartbeats = 2.5
)

// stopGrace reports whether a command to kill a task on a machine must be sent now, and how many
// seconds the task then has to save a checkpoint. For a task of a gang whose machine is about to be
// reclaimed, it adds the gang to gangsToStop instead.
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
		// All tasks of the gang must stop, so stopReclaimedGangs writes the stop to the record.
		n.gangsToStop[job.Index] = true
		return 0, false
	case spec.Shape == wire.ShapeDaemon || spec.CheckpointIntervalS == 0:
		return 0, leftS < reclaimKillHeartbeats*n.cfg.HeartbeatInterval.Seconds()
	}
	return max(spec.CheckpointTimeS+reclaimGraceS, leftS-reclaimGraceS), true
}
