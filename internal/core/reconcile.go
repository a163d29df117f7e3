package core

import (
	"micaport/internal/wire"
)

// reconciliation compares one heartbeat with the records and collects the commands that make
// the machine match them. Each task that the heartbeat reports, and each that the records place
// on the machine, falls into one of these cases:
//
//	reported     in the records        action
//	exited       yes                   the outcome is queued for the record
//	exited       no, started directly  none: the worker must keep the attempt
//	exited       no                    command clear: the worker may discard the attempt
//	not exited   no                    command kill
//	not exited   yes, must stop        command kill, with time to save; see stopGrace
//	not exited   yes                   none
//	missing      yes                   see reconcileMissingTask
type reconciliation struct {
	node           *Node
	machine        *machine
	heartbeat      *wire.WorkerHeartbeat
	tokenCurrent   bool // the worker has the current token, so no earlier owner can start a task on it
	reported       map[taskKey]bool
	previousStates map[taskKey]string // task states in the previous heartbeat
	commands       []wire.Command
	commandBytes   int  // size of the commands, at most
	startIgnored   bool // the heartbeat lacks a task whose start was sent before
}

// reconcile compares a heartbeat with the records and returns the commands that make the
// machine match them.
func (n *Node) reconcile(shard *shard, machine *machine, heartbeat *wire.WorkerHeartbeat) []wire.Command {
	r := &reconciliation{
		node: n, machine: machine, heartbeat: heartbeat, tokenCurrent: heartbeat.Token == shard.Term,
		reported: make(map[taskKey]bool, len(heartbeat.Tasks)), previousStates: machine.reportedTasks,
	}
	machine.reportedTasks, machine.unclearedTasks = make(map[taskKey]string, len(heartbeat.Tasks)), 0
	for i := range heartbeat.Tasks {
		r.reconcileReportedTask(&heartbeat.Tasks[i])
	}
	n.updateReportedStarts(shard, machine, r.reported)
	for i := range machine.placements {
		if placed := &machine.placements[i]; !r.reported[placed.taskKey] {
			r.reconcileMissingTask(placed)
		}
	}
	if r.startIgnored && n.sentAfterLastReply(machine) {
		machine.ignoredReplies++
	}
	return r.commands
}

func (r *reconciliation) addCommand(op, task string, attempt uint64, graceS float64) {
	r.commands = append(r.commands, wire.Command{Op: op, Task: task, Attempt: attempt, GraceS: graceS})
	r.commandBytes += maxCommandBytes(task)
}

// addStart adds the start of a task that the heartbeat lacks, unless the reply would become too
// large; a later reply then has it. A heartbeat lists no more tasks than a reply can kill or clear.
func (r *reconciliation) addStart(key taskKey, task string) {
	if r.commandBytes+maxCommandBytes(task) > maxMessageBytes-messageHeaderBytes {
		return
	}
	r.addCommand(wire.CommandStart, task, key.attempt, 0)
	r.machine.startReplySequence[key] = r.heartbeat.Sequence
}

// reconcileReportedTask reconciles a task that the heartbeat lists.
func (r *reconciliation) reconcileReportedTask(status *wire.TaskStatus) {
	n, machine := r.node, r.machine
	jobID, task, err := wire.SplitTaskName(status.Task)
	if err != nil {
		return // not the name of a task of this scheduler
	}
	key := taskKey{n.names.Jobs.Find(jobID), task, status.Attempt}
	r.reported[key] = true
	active := n.activeTask(key, machine.name)
	switch {
	case status.State == wire.TaskExited:
		r.reconcileExitedTask(status, key, active)
		return
	case active == nil:
		r.addCommand(wire.CommandKill, status.Task, status.Attempt, 0)
		return
	}
	machine.reportedTasks[key] = status.State
	job := n.jobs[key.job]
	if r.previousStates[key] != status.State {
		n.log(LogDebug, "task state changed",
			"job", job.ID, "class", job.Record.Spec.Class,
			"task", task, "attempt", status.Attempt,
			"machine", machine.name, "state", status.State)
	}
	if status.State != wire.TaskFetching {
		machine.images.Add(job.Image)
	}
	if grace, stop := n.stopGrace(machine, job, active, status); stop {
		r.addCommand(wire.CommandKill, status.Task, status.Attempt, grace)
	}
}

// reconcileExitedTask reconciles a task that the heartbeat lists as exited; active is its entry in
// the job's record, or nil.
func (r *reconciliation) reconcileExitedTask(status *wire.TaskStatus, key taskKey, active *wire.ActiveTask) {
	if active != nil {
		r.node.recordTaskExit(r.machine, key, status)
		return
	}
	if _, direct := r.machine.directStarts[key]; direct {
		// A late copy of its start may still arrive. It has no effect as long as the worker
		// keeps the attempt.
		r.machine.unclearedTasks++
		return
	}
	// The record no longer has this attempt, so it can't be started again and the worker may
	// discard it.
	r.addCommand(wire.CommandClear, status.Task, status.Attempt, 0)
}

// reconcileMissingTask reconciles a task that a record places on the machine and that the heartbeat
// lacks. The first case that applies decides:
//
//	task                                              action
//	its outcome is already queued                     none
//	was placed in an earlier epoch of the worker      it is lost
//	must stop, and no start of it can arrive          it is lost
//	must stop, and a direct start may still arrive    see enforceDirectStartDeadline
//	must stop, and another start may still arrive     none
//	repeated starts had no effect                     it is lost
//	belongs to a gang that waits for an image         none
//	any other                                         command start, also if it was sent before
//
// A task must stop when its job has ended, when its record requests it, or when the machine is
// about to be reclaimed.
func (r *reconciliation) reconcileMissingTask(placed *placement) {
	n, machine := r.node, r.machine
	key, job := placed.taskKey, n.jobs[placed.job]
	if _, known := n.outcomes[key]; known {
		return
	}
	startSequence, sent := machine.startReplySequence[key]
	direct, startedDirectly := machine.directStarts[key]
	// An absent task does not run on the machine, and no start that was sent before can still
	// start it there. A direct start may still be in transit, whatever the heartbeats show.
	absent := r.tokenCurrent && r.heartbeat.Sequence > startSequence && !startedDirectly
	r.startIgnored = r.startIgnored || sent && absent
	switch {
	case r.heartbeat.Epoch > placed.epoch:
		n.queueOutcome(machine, key, causeLost)
	case job.Record.State != wire.JobLive || placed.stop != wire.StopNone || machine.reclaimAt > 0:
		if absent {
			n.queueOutcome(machine, key, causeLost)
		} else if startedDirectly {
			n.enforceDirectStartDeadline(machine, job, direct)
		}
	case absent && sent && machine.ignoredReplies >= ignoredRepliesThreshold-1:
		// The worker keeps reporting but does not execute the start. The heartbeat is newer
		// than the reply with the start and lacks the task, and the start is not sent again.
		// The limit is one lower because ignoredReplies does not count this heartbeat yet.
		n.queueOutcome(machine, key, causeLost)
	case n.delaysGangStart(job, n.activeTask(key, machine.name)):
	default:
		r.addStart(key, wire.TaskName(job.ID, key.task))
	}
}

// activeTask returns a placed task's entry in the replica, or nil.
func (s *site) activeTask(key taskKey, machineName string) *wire.ActiveTask {
	if at := s.activeTaskIndex(key, machineName); at >= 0 {
		return &s.jobs[key.job].Record.ActiveTasks[at]
	}
	return nil
}

// activeTaskIndex returns the index of a placed task among the active tasks of its record, or -1.
func (s *site) activeTaskIndex(key taskKey, machineName string) int {
	index := s.names.Machines.Find(machineName)
	if key.job < 0 || index < 0 {
		return -1
	}
	for i := range s.machines[index].placements {
		if placed := &s.machines[index].placements[i]; placed.taskKey == key {
			return placed.activeIndex
		}
	}
	return -1
}

// shardTerm returns the current term of the machine's shard.
func (m *machine) shardTerm(n *Node) uint64 { return n.shards[m.shard].Term }
