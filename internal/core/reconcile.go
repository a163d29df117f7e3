package core

import (
	"micaport/internal/wire"
)

// What a report says of tasks, held against the records.

// activeTask finds a placed task in the replica.
func (n *Node) activeTask(key taskKey, hostName string) *wire.ActiveTask {
	if at := n.activeTaskIndex(key, hostName); at >= 0 {
		return &n.jobs[key.job].Record.ActiveTasks[at]
	}
	return nil
}

// activeTaskIndex gives a placed task's place in its record, or -1.
func (n *Node) activeTaskIndex(key taskKey, hostName string) int {
	index := n.names.Machines.Find(hostName)
	if key.job < 0 || index < 0 {
		return -1
	}
	for i := range n.machines[index].placements {
		if x := &n.machines[index].placements[i]; x.taskKey == key {
			return x.activeIndex
		}
	}
	return -1
}

// shardTerm is the term of the shard that the machine belongs to.
func (machine *machine) shardTerm(n *Node) uint64 { return n.shards[machine.shard].Term }

// reconciliation compares one report with the records.
type reconciliation struct {
	node           *Node
	machine        *machine
	heartbeat      *wire.WorkerHeartbeat
	tokenCurrent   bool // the worker has seen our token: no earlier owner can start anything on it
	reported       map[taskKey]bool
	previousStates map[taskKey]string // the states in the report before
	commands       []wire.Command
	startIgnored   bool // a start that it was told lacks
}

// reconcile compares a report with the records and gives the orders that
// bring the machine in line.
func (n *Node) reconcile(shard *shard, machine *machine, heartbeat *wire.WorkerHeartbeat) []wire.Command {
	x := &reconciliation{node: n, machine: machine, heartbeat: heartbeat, tokenCurrent: heartbeat.Token == shard.Term, reported: make(map[taskKey]bool, len(heartbeat.Tasks)), previousStates: machine.reportedTasks}
	machine.reportedTasks, machine.unclearedTasks = make(map[taskKey]string, len(heartbeat.Tasks)), 0
	for i := range heartbeat.Tasks {
		x.reportedTask(&heartbeat.Tasks[i])
	}
	for i := range machine.placements {
		if placed := &machine.placements[i]; !x.reported[placed.taskKey] {
			x.missingTask(placed)
		}
	}
	if x.startIgnored && n.replyLikelyLost(machine) {
		machine.ignoredReplies++
	}
	return x.commands
}

func (x *reconciliation) command(op, task string, attempt uint64, graceS float64) {
	x.commands = append(x.commands, wire.Command{Op: op, Task: task, Attempt: attempt, GraceS: graceS})
}

// reportedTask distributes with a task that the report shows.
func (x *reconciliation) reportedTask(t *wire.TaskStatus) {
	n, machine := x.node, x.machine
	id, task, err := wire.SplitTaskName(t.Task)
	if err != nil {
		return
	}
	key := taskKey{n.names.Jobs.Find(id), task, t.Attempt}
	x.reported[key] = true
	a := n.activeTask(key, machine.name)
	switch {
	case t.State == wire.TaskExited:
		x.exitedTask(t, key, a)
		return
	case a == nil:
		x.command(wire.CommandKill, t.Task, t.Attempt, 0)
		return
	}
	machine.reportedTasks[key] = t.State
	job := n.jobs[key.job]
	if x.previousStates[key] != t.State {
		n.log(LogDebug, "task state changed", "job", job.ID, "class", job.Record.Spec.Class, "task", task, "attempt", t.Attempt, "machine", machine.name, "state", t.State)
	}
	if t.State != wire.TaskFetching {
		machine.images.Add(job.Image)
	}
	if grace, kill := n.stopGrace(machine, job, a, t); kill {
		x.command(wire.CommandKill, t.Task, t.Attempt, grace)
	}
}

// exitedTask distributes with a task that the report shows as ended; a is its entry in the
// record, or nil.
func (x *reconciliation) exitedTask(t *wire.TaskStatus, key taskKey, task *wire.ActiveTask) {
	if task != nil {
		x.node.noteTaskExit(x.machine, key, t)
		return
	}
	if _, direct := x.machine.directStarts[key]; direct {
		// A late copy of its start may still come. As long as the worker knows the
		// attempt that has no effect.
		x.machine.unclearedTasks++
		return
	}
	// The record has let go of this attempt, so it can't be started again and may be
	// forgotten by the worker.
	x.command(wire.CommandClear, t.Task, t.Attempt, 0)
}

// missingTask distributes with a task that a record puts on the machine and the report lacks.
func (x *reconciliation) missingTask(placed *placement) {
	n, machine := x.node, x.machine
	key, job := placed.taskKey, n.jobs[placed.job]
	if _, known := n.outcomes[key]; known {
		return
	}
	last, sent := machine.startSentAt[key]
	// A start sent to the worker's own address may still be on its way, whatever its
	// reports say.
	viaAddr, direct := machine.directStarts[key]
	gone := x.tokenCurrent && x.heartbeat.Sequence > last && !direct
	x.startIgnored = x.startIgnored || sent && gone
	switch {
	case x.heartbeat.Epoch > placed.epoch:
		n.outcomes[key] = taskOutcome{machine.name, causeLost, n.now, machine.shardTerm(n)}
	case job.Record.State != wire.JobLive || placed.stop != wire.StopNone || machine.reclaimAt > 0:
		if gone {
			n.outcomes[key] = taskOutcome{machine.name, causeLost, n.now, machine.shardTerm(n)}
		} else if direct && n.mayStartTooLate(job, viaAddr) {
			machine.ignoredReplies, machine.leaseExpiring = maxIgnoredReplies, true
		} else if direct && n.now-viaAddr.sentAt > 2*n.cfg.WorkerLease {
			machine.ignoredReplies = maxIgnoredReplies // it took a start and never showed it
		}
	case gone && sent && machine.ignoredReplies >= maxIgnoredReplies-1:
		// It goes on reporting and does not do what it is told. The report is newer
		// than the answer that ordered the start and lacks it; from here on it is not
		// ordered again.
		n.outcomes[key] = taskOutcome{machine.name, causeLost, n.now, machine.shardTerm(n)}
	case n.delaysGangStart(job, n.activeTask(key, machine.name)):
	default:
		x.command(wire.CommandStart, wire.TaskName(job.ID, key.task), key.attempt, 0)
		machine.startSentAt[key] = x.heartbeat.Sequence
	}
}

// stopGrace decides whether a task on the machine has to stop, and with how
// much time to save.
func (n *Node) stopGrace(machine *machine, job *job, task *wire.ActiveTask, t *wire.TaskStatus) (float64, bool) {
	spec := job.Record.Spec
	switch {
	case job.Record.State == wire.JobCancelled, task.Stop == wire.StopAbandon:
		return 0, true
	case job.Record.State != wire.JobLive:
		return 0, false
	case t.State == wire.TaskCheckpointing:
		return 0, false
	case task.Stop == wire.StopPreempt:
		return spec.CheckpointTimeS + 5, true
	case machine.reclaimAt == 0:
		return 0, false
	}
	left := (machine.reclaimAt - n.now).Seconds()
	switch {
	case spec.Shape == wire.ShapeGang && spec.TaskCount > 1:
		// All tasks have to be told, so the record says it.
		n.gangsToStop[job.Index] = true
		return 0, false
	case spec.Shape == wire.ShapeDaemon || spec.CheckpointIntervalS == 0:
		return 0, left < 2.5*n.cfg.HeartbeatInterval.Seconds()
	}
	return max(spec.CheckpointTimeS+1, left-1), true
}

// delaysGangStart delays the start of a gang's tasks whose machines have the image
// until those that fetch it are nearly there: a task waits for the others no
// longer than gang_wait_s, which a fetch can exceed.
func (n *Node) delaysGangStart(job *job, task *wire.ActiveTask) bool {
	spec := job.Record.Spec
	if spec.Shape != wire.ShapeGang || spec.TaskCount < 2 {
		return false
	}
	// Images come at two thirds of the nominal rate at worst. A gang that is
	// surely complete in time had better start with the last of them, not
	// with the next report of a machine that was held back.
	if machineType := n.typeAt(n.machineNamed(task.Machine).machineType); machineType != nil && machineType.FetchGBs > 0 &&
		1.5*spec.ImageGB/machineType.FetchGBs < (n.cfg.GangWait-2*n.cfg.HeartbeatInterval).Seconds() {
		return false
	}
	if !n.machineNamed(task.Machine).images.Has(job.Image) {
		return false
	}
	for i := range job.Record.ActiveTasks {
		other := &job.Record.ActiveTasks[i]
		if other.Attempt != task.Attempt || other.Machine == "" {
			continue
		}
		hb := n.machineNamed(other.Machine)
		if hb.images.Has(job.Image) || n.shards[other.Shard].Record == nil || !n.mayActAsOwner(n.shards[other.Shard]) {
			continue
		}
		return true
	}
	return false
}
