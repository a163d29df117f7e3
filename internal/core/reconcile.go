package core

import (
	"time"

	"micaport/internal/wire"
)

// What a report says of tasks, held against the records.

// activeTask finds a placed task in the replica.
func (n *Node) activeTask(k taskKey, hostName string) *wire.ActiveTask {
	if at := n.activeTaskIndex(k, hostName); at >= 0 {
		return &n.jobs[k.job].Record.ActiveTasks[at]
	}
	return nil
}

// activeTaskIndex gives a placed task's place in its record, or -1.
func (n *Node) activeTaskIndex(k taskKey, hostName string) int {
	ix := n.names.Machines.Find(hostName)
	if k.job < 0 || ix < 0 {
		return -1
	}
	for i := range n.machines[ix].placements {
		if x := &n.machines[ix].placements[i]; x.taskKey == k {
			return x.activeIndex
		}
	}
	return -1
}

// epochDelay is how long a task that was lost with its machine's epoch
// waits for the machine to take our term. It reports again after half a second.
const epochDelay = 1200 * time.Millisecond

// shardTerm is the term of the shard that the machine belongs to.
func (h *machine) shardTerm(n *Node) uint64 { return n.shards[h.shard].Term }

// outcomeDelay is how long a result waits for others of the same job when puts
// are scarce: one put serves them all, and the tasks of a gang end together.
const outcomeDelay = 500 * time.Millisecond

const causeLost = "lost"

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
func (n *Node) reconcile(p *shard, h *machine, r *wire.WorkerHeartbeat) []wire.Command {
	x := &reconciliation{node: n, machine: h, heartbeat: r, tokenCurrent: r.Token == p.Term, reported: make(map[taskKey]bool, len(r.Tasks)), previousStates: h.reportedTasks}
	h.reportedTasks, h.unclearedTasks = make(map[taskKey]string, len(r.Tasks)), 0
	for i := range r.Tasks {
		x.reportedTask(&r.Tasks[i])
	}
	for i := range h.placements {
		if on := &h.placements[i]; !x.reported[on.taskKey] {
			x.missingTask(on)
		}
	}
	if x.startIgnored && n.replyLikelyLost(h) {
		h.ignoredReplies++
	}
	return x.commands
}

func (x *reconciliation) command(op, task string, attempt uint64, graceS float64) {
	x.commands = append(x.commands, wire.Command{Op: op, Task: task, Attempt: attempt, GraceS: graceS})
}

// reportedTask distributes with a task that the report shows.
func (x *reconciliation) reportedTask(t *wire.TaskStatus) {
	n, h := x.node, x.machine
	ref, task, err := wire.SplitTaskName(t.Task)
	if err != nil {
		return
	}
	k := taskKey{n.names.Jobs.Find(ref), task, t.Attempt}
	x.reported[k] = true
	a := n.activeTask(k, h.name)
	switch {
	case t.State == wire.TaskExited:
		x.exitedTask(t, k, a)
		return
	case a == nil:
		x.command(wire.CommandKill, t.Task, t.Attempt, 0)
		return
	}
	h.reportedTasks[k] = t.State
	j := n.jobs[k.job]
	if x.previousStates[k] != t.State {
		n.log(LogDebug, "task state changed", "job", j.ID, "class", j.Record.Spec.Class, "task", task, "attempt", t.Attempt, "machine", h.name, "state", t.State)
	}
	if t.State != wire.TaskFetching {
		h.images.Add(j.Image)
	}
	if grace, kill := n.stopGrace(h, j, a, t); kill {
		x.command(wire.CommandKill, t.Task, t.Attempt, grace)
	}
}

// exitedTask distributes with a task that the report shows as ended; a is its entry in the
// record, or nil.
func (x *reconciliation) exitedTask(t *wire.TaskStatus, k taskKey, a *wire.ActiveTask) {
	if a != nil {
		x.node.noteTaskExit(x.machine, k, t)
		return
	}
	if _, direct := x.machine.directStarts[k]; direct {
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
func (x *reconciliation) missingTask(on *placement) {
	n, h := x.node, x.machine
	k, j := on.taskKey, n.jobs[on.job]
	if _, known := n.outcomes[k]; known {
		return
	}
	last, sent := h.startSentAt[k]
	// A start sent to the worker's own address may still be on its way, whatever its
	// reports say.
	viaAddr, direct := h.directStarts[k]
	gone := x.tokenCurrent && x.heartbeat.Sequence > last && !direct
	x.startIgnored = x.startIgnored || sent && gone
	switch {
	case x.heartbeat.Epoch > on.epoch:
		n.outcomes[k] = taskOutcome{h.name, causeLost, n.now, h.shardTerm(n)}
	case j.Record.State != wire.JobLive || on.stop != wire.StopNone || h.reclaimAt > 0:
		if gone {
			n.outcomes[k] = taskOutcome{h.name, causeLost, n.now, h.shardTerm(n)}
		} else if direct && n.mayStartTooLate(j, viaAddr) {
			h.ignoredReplies, h.leaseExpiring = maxIgnoredReplies, true
		} else if direct && n.now-viaAddr.sentAt > 2*n.cfg.WorkerLease {
			h.ignoredReplies = maxIgnoredReplies // it took a start and never showed it
		}
	case gone && sent && h.ignoredReplies >= maxIgnoredReplies-1:
		// It goes on reporting and does not do what it is told. The report is newer
		// than the answer that ordered the start and lacks it; from here on it is not
		// ordered again.
		n.outcomes[k] = taskOutcome{h.name, causeLost, n.now, h.shardTerm(n)}
	case n.delaysGangStart(j, n.activeTask(k, h.name)):
	default:
		x.command(wire.CommandStart, wire.TaskName(j.ID, k.task), k.attempt, 0)
		h.startSentAt[k] = x.heartbeat.Sequence
	}
}

// stopGrace decides whether a task on the machine has to stop, and with how
// much time to save.
func (n *Node) stopGrace(h *machine, j *job, a *wire.ActiveTask, t *wire.TaskStatus) (float64, bool) {
	sp := j.Record.Spec
	switch {
	case j.Record.State == wire.JobCancelled, a.Stop == wire.StopAbandon:
		return 0, true
	case j.Record.State != wire.JobLive:
		return 0, false
	case t.State == wire.TaskCheckpointing:
		return 0, false
	case a.Stop == wire.StopPreempt:
		return sp.CheckpointTimeS + 5, true
	case h.reclaimAt == 0:
		return 0, false
	}
	left := (h.reclaimAt - n.now).Seconds()
	switch {
	case sp.Shape == wire.ShapeGang && sp.TaskCount > 1:
		// All tasks have to be told, so the record says it.
		n.gangsToStop[j.Index] = true
		return 0, false
	case sp.Shape == wire.ShapeDaemon || sp.CheckpointIntervalS == 0:
		return 0, left < 2.5*n.cfg.HeartbeatInterval.Seconds()
	}
	return max(sp.CheckpointTimeS+1, left-1), true
}

// delaysGangStart delays the start of a gang's tasks whose machines have the image
// until those that fetch it are nearly there: a task waits for the others no
// longer than gang_wait_s, which a fetch can exceed.
func (n *Node) delaysGangStart(j *job, a *wire.ActiveTask) bool {
	sp := j.Record.Spec
	if sp.Shape != wire.ShapeGang || sp.TaskCount < 2 {
		return false
	}
	// Images come at two thirds of the nominal rate at worst. A gang that is
	// surely complete in time had better start with the last of them, not
	// with the next report of a machine that was held back.
	if r := n.typeAt(n.machineNamed(a.Machine).machineType); r != nil && r.FetchGBs > 0 &&
		1.5*sp.ImageGB/r.FetchGBs < (n.cfg.GangWait-2*n.cfg.HeartbeatInterval).Seconds() {
		return false
	}
	if !n.machineNamed(a.Machine).images.Has(j.Image) {
		return false
	}
	for i := range j.Record.ActiveTasks {
		b := &j.Record.ActiveTasks[i]
		if b.Attempt != a.Attempt || b.Machine == "" {
			continue
		}
		hb := n.machineNamed(b.Machine)
		if hb.images.Has(j.Image) || n.shards[b.Shard].Record == nil || !n.mayActAsOwner(n.shards[b.Shard]) {
			continue
		}
		return true
	}
	return false
}
