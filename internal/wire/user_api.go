package wire

// This file defines the messages between users and controllers: the body of a submission, the
// responses, and the values of their fields. The field tags and the values of the constants are
// the names in the protocol.

// Shapes of a job.
const (
	ShapeArray  = "array"  // independent tasks, each of which runs to completion
	ShapeGang   = "gang"   // tasks that run all at the same time, or none of them
	ShapeDaemon = "daemon" // replicas that run until the job is cancelled
)

// States of a job as users see them.
const (
	StatusPending   = "pending" // accepted; no task is running
	StatusRunning   = "running"
	StatusDone      = "done"      // final
	StatusCancelled = "withdrawn" // final
)

// JobSpec is a job as its user submitted it. It is also part of the job's record.
type JobSpec struct {
	ID        string `msgpack:"ref"`
	Class     string `msgpack:"job_class"` // class of jobs, which determines the objectives
	Team      string `msgpack:"studio"`    // team whose quota is charged
	Shape     string `msgpack:"shape"`     // ShapeArray, ShapeGang or ShapeDaemon
	Priority  string `msgpack:"urgency"`   // critical, high, standard or low
	TaskCount int    `msgpack:"frames"`    // tasks are numbered from 0

	// Resources that each task uses on its machine.
	Cores    float64 `msgpack:"cores"`
	GPUs     float64 `msgpack:"cards"`
	MemoryGB float64 `msgpack:"memory_gb"`

	// The image that a machine must have cached before a task can start on it.
	Image   string  `msgpack:"toolkit"`
	ImageGB float64 `msgpack:"size_gb"`

	// Constraints on the machines on which the tasks may run.
	MachineTypes []string `msgpack:"rigs,omitempty"` // allowed types; empty: any, see NoMachineTypes
	Zone         string   `msgpack:"hall,omitempty"` // the only allowed zone; "": any
	SameZone     bool     `msgpack:"same_place"`     // all tasks in one zone
	Spread       bool     `msgpack:"spread"`         // at most half of the tasks, rounded up, in one zone
	AllowSpot    bool     `msgpack:"loaner"`         // spot machines are allowed

	ExpectedS           float64 `msgpack:"expected_s"`       // the user's estimate of a task's run time, in seconds; 0 for daemons
	CheckpointIntervalS float64 `msgpack:"snapshot_every_s"` // seconds of progress between checkpoints; 0: none are saved
	CheckpointTimeS     float64 `msgpack:"snapshot_s"`       // seconds that saving a checkpoint takes when a task is stopped
	DeadlineS           float64 `msgpack:"due_s,omitempty"`  // seconds from the submission; 0: no deadline

	// NoMachineTypes is set if the submitted list of machine types was present but empty, which
	// allows no type. It occurs in records only.
	NoMachineTypes bool `msgpack:"none,omitempty"`

	// Dependencies are the IDs of the jobs that must be done before any task starts. A record has
	// only those that were not done when the job was submitted. Format 2.
	Dependencies []string `msgpack:"waits_on,omitempty"`
}

// JobStatus is the response to a user's submission, query or cancellation of a job.
type JobStatus struct {
	JobID   string `msgpack:"ref"`
	Status  string `msgpack:"status"`  // StatusPending, StatusRunning, StatusDone or StatusCancelled
	Done    int    `msgpack:"done"`    // number of tasks that are done
	Running int    `msgpack:"running"` // number of tasks that are running
}

// Error is the body of an error response. All interfaces use it.
type Error struct {
	Error string `msgpack:"error"`
}
