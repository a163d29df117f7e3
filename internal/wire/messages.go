// Package wire holds the MessagePack messages that micaport exchanges with
// users, workers, the cloud and the state service, and the records it keeps
// in the latter. Every field name that other programs see is spelled here and
// nowhere else.
package wire

// Shapes of a job.
const (
	ShapeArray  = "array"
	ShapeGang   = "gang"
	ShapeDaemon = "daemon"
)

// Job states as users see them.
const (
	StatusPending   = "pending"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "withdrawn"
)

// Task states as workers report them.
const (
	TaskFetching       = "fetching"
	TaskWaitingForGang = "gathering"
	TaskRunning        = "running"
	TaskCheckpointing  = "saving"
	TaskExited         = "ended"
)

// Exit causes that the service tells apart.
const (
	CauseDone           = "done"
	CauseStopped        = "halted"
	CausePeerLost       = "peers"
	CauseGangIncomplete = "alone"
	CauseError          = "error"
	CauseNoCapacity     = "full"
	CauseDuplicate      = "in_use"
	CauseUnknownJob     = "unknown"
)

// Orders to workers.
const (
	CommandStart = "start"
	CommandKill  = "kill"
	CommandClear = "clear"
)

// JobSpec is a job as its user submitted it.
type JobSpec struct {
	ID                  string   `msgpack:"ref"`
	Class               string   `msgpack:"job_class"`
	Team                string   `msgpack:"studio"`
	Shape               string   `msgpack:"shape"`
	Priority            string   `msgpack:"urgency"`
	TaskCount           int      `msgpack:"frames"`
	Cores               float64  `msgpack:"cores"`
	GPUs                float64  `msgpack:"cards"`
	MemoryGB            float64  `msgpack:"memory_gb"`
	Image               string   `msgpack:"toolkit"`
	ImageGB             float64  `msgpack:"size_gb"`
	MachineTypes        []string `msgpack:"rigs,omitempty"`
	Zone                string   `msgpack:"hall,omitempty"`
	SameZone            bool     `msgpack:"same_place"`
	Spread              bool     `msgpack:"spread"`
	AllowSpot           bool     `msgpack:"loaner"`
	ExpectedS           float64  `msgpack:"expected_s"`
	CheckpointIntervalS float64  `msgpack:"snapshot_every_s"`
	CheckpointTimeS     float64  `msgpack:"snapshot_s"`
	DeadlineS           float64  `msgpack:"due_s,omitempty"`
	NoMachineTypes      bool     `msgpack:"none,omitempty"` // machine types was an empty list: no type allowed
	// Dependencies are the jobs that have to be done before any task starts. A record
	// holds those that were not done when it was submitted. Format 2.
	Dependencies []string `msgpack:"waits_on,omitempty"`
}

// JobStatus answers users.
type JobStatus struct {
	JobID   string `msgpack:"ref"`
	Status  string `msgpack:"status"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

// Error is the short body of a refusal.
type Error struct {
	Error string `msgpack:"error"`
}

// Redirect is the body of a 421.
type Redirect struct {
	Owner string `msgpack:"foreman,omitempty"`
}

// WorkerHeartbeat is what a worker sends.
type WorkerHeartbeat struct {
	Machine     string       `msgpack:"host"`
	Addr        string       `msgpack:"addr"`
	MachineType string       `msgpack:"rig"`
	Zone        string       `msgpack:"hall"`
	Spot        bool         `msgpack:"loaner"`
	Epoch       uint64       `msgpack:"shift"`
	Sequence    uint64       `msgpack:"tick"`
	Token       uint64       `msgpack:"mandate"`
	ReclaimS    *float64     `msgpack:"recall_s"`
	Tasks       []TaskStatus `msgpack:"frames"`
}

// TaskStatus is one task in a report.
type TaskStatus struct {
	Task            string `msgpack:"frame"`
	Attempt         uint64 `msgpack:"try"`
	State           string `msgpack:"status"`
	ExitCause       string `msgpack:"exit_cause"`
	CheckpointSaved bool   `msgpack:"kept"`
}

// HeartbeatReply answers a report.
type HeartbeatReply struct {
	Token    uint64    `msgpack:"mandate"`
	Commands []Command `msgpack:"orders"`
}

// CommandBatch goes to a worker's own address. It is obeyed only in the epoch that
// it names and under no lower token than the worker has seen.
type CommandBatch struct {
	Token    uint64    `msgpack:"mandate"`
	Epoch    uint64    `msgpack:"shift"`
	Commands []Command `msgpack:"orders"`
}

// Command is one command to a worker.
type Command struct {
	Op      string  `msgpack:"order"`
	Task    string  `msgpack:"frame"`
	Attempt uint64  `msgpack:"try"`
	GraceS  float64 `msgpack:"wind_down_s"`
}

// MachineType is a machine type on offer.
type MachineType struct {
	Name             string   `msgpack:"sku"`
	Cores            float64  `msgpack:"cores"`
	GPUs             float64  `msgpack:"cards"`
	MemoryGB         float64  `msgpack:"memory_gb"`
	ImageCacheGB     float64  `msgpack:"local_gb"`
	FetchGBs         float64  `msgpack:"pull_gb_per_s"`
	PricePerHour     float64  `msgpack:"hourly"`
	SpotPricePerHour float64  `msgpack:"spot_price"`
	BootS            float64  `msgpack:"boot_s"`
	Zones            []string `msgpack:"halls"`
}

// MachineTypeList is the answer of GET /machine types.
type MachineTypeList struct {
	MachineTypes []MachineType `msgpack:"rigs"`
}

// ProvisionRequest rents machines.
type ProvisionRequest struct {
	Name        string `msgpack:"hire"`
	MachineType string `msgpack:"rig"`
	Zone        string `msgpack:"hall"`
	Spot        bool   `msgpack:"loaner"`
	Count       int    `msgpack:"count"`
}

// MachineNames is a list of machine names.
type MachineNames struct {
	Names []string `msgpack:"hosts"`
}

// CloudMachine is one row of the cloud's list.
type CloudMachine struct {
	Name        string  `msgpack:"ref"`
	Addr        string  `msgpack:"addr"`
	MachineType string  `msgpack:"rig"`
	Zone        string  `msgpack:"hall"`
	Spot        bool    `msgpack:"loaner"`
	Status      string  `msgpack:"status"`
	AgeS        float64 `msgpack:"age_s"`
}

// MachineList is the answer of GET /machines.
type MachineList struct {
	Machines []CloudMachine `msgpack:"hosts"`
	HasNext  bool           `msgpack:"has_next"`
}

// Machine states in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)
