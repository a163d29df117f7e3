package wire

// This file holds what workers and controllers say to each other: the heartbeats that workers
// send, the replies, and the commands that controllers send to a worker's own address. The
// tags and the values of the constants are the names of the protocol.

// States of a task as workers report them.
const (
	TaskFetching       = "fetching"  // waits for its image
	TaskWaitingForGang = "gathering" // waits for the other tasks of its gang attempt
	TaskRunning        = "running"
	TaskCheckpointing  = "saving" // was told to stop and saves a checkpoint
	TaskExited         = "ended"  // see TaskStatus.ExitCause
)

// Causes for which a task has exited.
const (
	CauseDone           = "done"    // completed
	CauseStopped        = "halted"  // stopped by a command
	CausePeerLost       = "peers"   // another task of its gang was lost
	CauseGangIncomplete = "alone"   // its gang was not complete in time
	CauseError          = "error"   // failed
	CauseNoCapacity     = "full"    // start refused: the machine lacks free resources
	CauseDuplicate      = "in_use"  // start refused: the task is there with another attempt
	CauseUnknownJob     = "unknown" // start refused: no such job or task
)

// Operations of a Command.
const (
	CommandStart = "start"
	CommandKill  = "kill"
	CommandClear = "clear" // removes an exited task from the heartbeats
)

// WorkerHeartbeat is the report that a worker sends to a controller periodically and on
// changes, and the answer to a CommandBatch.
type WorkerHeartbeat struct {
	Machine     string       `msgpack:"host"`
	Addr        string       `msgpack:"addr"` // host:port at which it takes commands
	MachineType string       `msgpack:"rig"`
	Zone        string       `msgpack:"hall"`
	Spot        bool         `msgpack:"loaner"`
	Epoch       uint64       `msgpack:"shift"`    // starts at 1, grows whenever the worker's lease expires
	Sequence    uint64       `msgpack:"tick"`     // grows with every message of the worker
	Token       uint64       `msgpack:"mandate"`  // the highest fencing token that it has seen
	ReclaimS    *float64     `msgpack:"recall_s"` // seconds until the cloud takes the machine away; nil: no notice
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

// HeartbeatReply answers a heartbeat. A worker drops a reply whose token is lower than the
// highest one it has seen; any other reply renews the worker's lease.
type HeartbeatReply struct {
	Token    uint64    `msgpack:"mandate"`
	Commands []Command `msgpack:"orders"` // executed in order
}

// CommandBatch is sent to a worker's own address. The worker executes it only in the epoch that
// it names and if its token is not lower than the highest one the worker has seen. It does not
// renew the worker's lease.
type CommandBatch struct {
	Token    uint64    `msgpack:"mandate"`
	Epoch    uint64    `msgpack:"shift"`
	Commands []Command `msgpack:"orders"` // executed in order
}

// Command tells a worker what to do with a task.
type Command struct {
	Op      string  `msgpack:"order"` // CommandStart, CommandKill or CommandClear
	Task    string  `msgpack:"frame"` // see TaskName
	Attempt uint64  `msgpack:"try"`
	GraceS  float64 `msgpack:"wind_down_s"` // of CommandKill: seconds that the task has to save a checkpoint
}

// Redirect is the body with which a controller sends a worker to another controller (421).
type Redirect struct {
	Owner string `msgpack:"foreman,omitempty"` // name of the owner of the worker's shard; "": not known
}
