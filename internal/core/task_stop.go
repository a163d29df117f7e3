package core

import (
	"micaport/internal/wire"
)

const (
	// preemptGraceS, in seconds, is added to the time that a preempted task needs to save a
	// checkpoint.
	preemptGraceS = 5
	// reclaimGraceS, in seconds, is added to the time that a task needs to save a checkpoint
	// before its machine is reclaimed, and is the margin between the end of the task and the
	// reclaim.
	reclaimGraceS = 1
	// reclaimKillHeartbeats is the number of heartbeat intervals before the reclaim of its
	// machine at which a task that saves no checkpoints is killed.
	reclaimKillHeartbeats = 2.5
)

// stopGrace reports whether a task on a machine must be killed now, and how many seconds it gets
// to save a checkpoint.
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
		// All tasks of the gang must stop, so the stop is written to the record.
		n.gangsToStop[job.Index] = true
		return 0, false
	case spec.Shape == wire.ShapeDaemon || spec.CheckpointIntervalS == 0:
		return 0, leftS < reclaimKillHeartbeats*n.cfg.HeartbeatInterval.Seconds()
	}
	return max(spec.CheckpointTimeS+reclaimGraceS, leftS-reclaimGraceS), true
}
