package core

import (
	"micaport/internal/wire"
)

// Reconciliation brings a machine in line with the records. Each task that a heartbeat
// reports, and each that the records place on the machine, falls into one case.
//
//	reported     in the records        then
//	exited       yes                   the outcome is noted for the record
//	exited       no, started directly  nothing: the worker has to remember the attempt
//	exited       no                    command clear: the worker may forget it
//	not exited   no                    command kill
//	not exited   yes, has to stop      command kill, with time to save; see stopGrace
//	not exited   yes                   nothing
//	missing      yes                   see missingTask

// reconciliation compares one heartbeat with the records.
type reconciliation struct {
	node           *Node
	machine        *machine
	heartbeat      *wire.WorkerHeartbeat
	tokenCurrent   bool // the worker has the current token: no earlier owner can start anything on it
	reported       map[taskKey]bool
	previousStates map[taskKey]string // the states in the heartbeat before
	commands       []wire.Command
	startIgnored   bool // a start was commanded, and the heartbeat lacks its task
}

// reconcile compares a heartbeat with the records and gives the commands that
// bring the machine in line.
func (n *Node) reconcile(shard *shard, machine *machine, heartbeat *wire.WorkerHeartbeat) []wire.Command {
	r := &reconciliation{
		node: n, machine: machine, heartbeat: heartbeat, tokenCurrent: heartbeat.Token == shard.Term,
		reported: make(map[taskKey]bool, len(heartbeat.Tasks)), previousStates: machine.reportedTasks,
	}
	machine.reportedTasks, machine.unclearedTasks = make(map[taskKey]string, len(heartbeat.Tasks)), 0
	for i := range heartbeat.Tasks {
		r.reportedTask(&heartbeat.Tasks[i])
	}
	for i := range machine.placements {
		if placed := &machine.placements[i]; !r.reported[placed.taskKey] {
			r.missingTask(placed)
		}
	}
	if r.startIgnored && n.replyLikelyLost(machine) {
		machine.ignoredReplies++
	}
	return r.commands
}

func (r *reconciliation) command(op, task string, attempt uint64, graceS float64) {
	r.commands = append(r.commands, wire.Command{Op: op, Task: task, Attempt: attempt, GraceS: graceS})
}

// reportedTask handles a task that the heartbeat shows.
func (r *reconciliation) reportedTask(status *wire.TaskStatus) {
	n, machine := r.node, r.machine
	jobID, task, err := wire.SplitTaskName(status.Task)
	if err != nil {
		return // no name of a task, so nothing of ours
	}
	key := taskKey{n.names.Jobs.Find(jobID), task, status.Attempt}
	r.reported[key] = true
	active := n.activeTask(key, machine.name)
	switch {
	case status.State == wire.TaskExited:
		r.exitedTask(status, key, active)
		return
	case active == nil:
		r.command(wire.CommandKill, status.Task, status.Attempt, 0)
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
		r.command(wire.CommandKill, status.Task, status.Attempt, grace)
	}
}

// exitedTask handles a task that the heartbeat shows as ended; active is its entry in the
// record, or nil.
func (r *reconciliation) exitedTask(status *wire.TaskStatus, key taskKey, active *wire.ActiveTask) {
	if active != nil {
		r.node.noteTaskExit(r.machine, key, status)
		return
	}
	if _, direct := r.machine.directStarts[key]; direct {
		// A late copy of its start may still come. As long as the worker knows the
		// attempt that has no effect.
		r.machine.unclearedTasks++
		return
	}
	// The record no longer has this attempt, so it can't be started again and may be
	// forgotten by the worker.
	r.command(wire.CommandClear, status.Task, status.Attempt, 0)
}

// missingTask handles a task that a record places on the machine and the heartbeat lacks.
// The first of these cases that holds decides:
//
//	the task                                          then
//	has ended, which is noted already                 nothing
//	was placed in an earlier epoch of the worker      it is lost
//	has to stop, and no start of it can arrive        it is lost
//	has to stop, and a direct start may arrive        see awaitDirectStart
//	was started again and again without effect        it is lost
//	is in a gang that waits for an image              nothing
//	has yet to start                                  command start
//
// A task has to stop when its job is over, its record says so, or the machine is to be
// reclaimed.
func (r *reconciliation) missingTask(placed *placement) {
	n, machine := r.node, r.machine
	key, job := placed.taskKey, n.jobs[placed.job]
	if _, known := n.outcomes[key]; known {
		return
	}
	sentAt, sent := machine.startSentAt[key] // the sequence number of the heartbeat answered with the start
	direct, startedDirectly := machine.directStarts[key]
	// No start can put the task on the machine any more without being sent again. A start
	// sent to the worker's own address may still be on its way, whatever its heartbeats
	// say.
	absent := r.tokenCurrent && r.heartbeat.Sequence > sentAt && !startedDirectly
	r.startIgnored = r.startIgnored || sent && absent
	switch {
	case r.heartbeat.Epoch > placed.epoch:
		n.noteOutcome(machine, key, causeLost)
	case job.Record.State != wire.JobLive || placed.stop != wire.StopNone || machine.reclaimAt > 0:
		if absent {
			n.noteOutcome(machine, key, causeLost)
		} else if startedDirectly {
			n.awaitDirectStart(machine, job, direct)
		}
	case absent && sent && machine.ignoredReplies >= maxIgnoredReplies-1:
		// The worker goes on reporting and does not carry out the start. The heartbeat is
		// newer than the answer with the start and lacks the task; from here on it is not
		// commanded again.
		n.noteOutcome(machine, key, causeLost)
	case n.delaysGangStart(job, n.activeTask(key, machine.name)):
	default:
		r.command(wire.CommandStart, wire.TaskName(job.ID, key.task), key.attempt, 0)
		machine.startSentAt[key] = r.heartbeat.Sequence
	}
}

// activeTask finds a placed task in the replica, or gives nil.
func (s *site) activeTask(key taskKey, machineName string) *wire.ActiveTask {
	if at := s.activeTaskIndex(key, machineName); at >= 0 {
		return &s.jobs[key.job].Record.ActiveTasks[at]
	}
	return nil
}

// activeTaskIndex gives a placed task's index among the active tasks of its record, or -1.
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

// shardTerm is the term of the shard that the machine belongs to.
func (m *machine) shardTerm(n *Node) uint64 { return n.shards[m.shard].Term }
