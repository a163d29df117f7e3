package wire

// This file defines the messages between workers and controllers: the heartbeats that workers
// send, the replies to them, and the commands that controllers send to a worker's own address. The
// field tags and the values of the constants are the names in the protocol.

// States of a task as workers report them.
const (
	TaskFetching       = "fetching"  // waits for its image
	TaskWaitingForGang = "gathering" // waits for the other tasks of its gang attempt
	TaskRunning        = "running"
	TaskCheckpointing  = "saving" // was requested to stop and saves a checkpoint
	TaskExited         = "ended"  // see TaskStatus.ExitCause
)

// Causes of a task's exit.
const (
	CauseDone           = "done"    // completed
	CauseStopped        = "halted"  // stopped by a command
	CausePeerLost       = "peers"   // another task of its gang was lost
	CauseGangIncomplete = "alone"   // its gang was not complete in time
	CauseError          = "error"   // failed
	CauseNoCapacity     = "full"    // start refused: the machine lacks free resources
	CauseDuplicate      = "in_use"  // start refused: another attempt of the task is on the machine
	CauseUnknownJob     = "unknown" // start refused: no such job or task
)

// Operations of a Command.
const (
	CommandStart = "start"
	CommandKill  = "kill"
	CommandClear = "clear" // removes an exited task from the worker's heartbeats
)

// WorkerHeartbeat is the report that a worker sends to a controller periodically and after changes,
// and with which it responds to a CommandBatch.
type WorkerHeartbeat struct {
	Machine     string       `msgpack:"host"`
	Addr        string       `msgpack:"addr"` // host:port at which it receives commands
	MachineType string       `msgpack:"rig"`
	Zone        string       `msgpack:"hall"`
	Spot        bool         `msgpack:"loaner"`
	Epoch       uint64       `msgpack:"shift"`    // starts at 1 and increases whenever the worker's lease expires
	Sequence    uint64       `msgpack:"tick"`     // increases with every message of the worker
	Token       uint64       `msgpack:"mandate"`  // the highest fencing token that it has seen
	ReclaimS    *float64     `msgpack:"recall_s"` // seconds until the cloud reclaims the machine; nil: no notice
	Tasks       []TaskStatus `msgpack:"frames"`   // all tasks on the machine, exited ones until they are cleared
}

// TaskStatus is the state of one task in a heartbeat.
type TaskStatus struct {
	Task            string `msgpack:"frame"` // see TaskName
	Attempt         uint64 `msgpack:"try"`
	State           string `msgpack:"status"`     // TaskFetching and so on
	ExitCause       string `msgpack:"exit_cause"` // CauseDone and so on, once the task has exited
	CheckpointSaved bool   `msgpack:"kept"`       // its progress was saved when it was stopped
}

// HeartbeatReply is the reply to a heartbeat. A worker ignores a reply whose token is lower than the
// highest one it has seen; any other reply renews the worker's lease.
type HeartbeatReply struct {
	Token    uint64    `msgpack:"mandate"`
	Commands []Command `msgpack:"orders"` // executed in order
}

// CommandBatch is sent to a worker's own address. The worker executes the commands only if the epoch
// is its current one and the token is not lower than the highest one that it has seen. They do not
// renew the worker's lease.
type CommandBatch struct {
	Token    uint64    `msgpack:"mandate"`
	Epoch    uint64    `msgpack:"shift"`
	Commands []Command `msgpack:"orders"` // executed in order
}

// Command is an operation that a worker performs on a task.
type Command struct {
	Op      string  `msgpack:"order"` // CommandStart, CommandKill or CommandClear
	Task    string  `msgpack:"frame"` // see TaskName
	Attempt uint64  `msgpack:"try"`
	GraceS  float64 `msgpack:"wind_down_s"` // of CommandKill: seconds that the task has to save a checkpoint
}

// Redirect is the body of a response (HTTP status 421) that directs a worker to another controller.
type Redirect struct {
	Owner string `msgpack:"foreman,omitempty"` // name of the owner of the worker's shard; "": unknown
}
