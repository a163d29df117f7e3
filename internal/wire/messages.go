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
	StatusWithdrawn = "withdrawn"
)

// Task states as workers report them.
const (
	TaskFetching  = "fetching"
	TaskGathering = "gathering"
	TaskRunning   = "running"
	TaskSaving    = "saving"
	TaskEnded     = "ended"
)

// Exit causes that the service tells apart.
const (
	CauseDone    = "done"
	CauseHalted  = "halted"
	CausePeers   = "peers"
	CauseAlone   = "alone"
	CauseError   = "error"
	CauseFull    = "full"
	CauseInUse   = "in_use"
	CauseUnknown = "unknown"
)

// Orders to workers.
const (
	OrderStart = "start"
	OrderKill  = "kill"
	OrderClear = "clear"
)

// Spec is a job as its user submitted it.
type Spec struct {
	Ref           string   `msgpack:"ref"`
	Class         string   `msgpack:"job_class"`
	Team          string   `msgpack:"studio"`
	Shape         string   `msgpack:"shape"`
	Urgency       string   `msgpack:"urgency"`
	Frames        int      `msgpack:"frames"`
	Cores         float64  `msgpack:"cores"`
	Cards         float64  `msgpack:"cards"`
	MemoryGB      float64  `msgpack:"memory_gb"`
	Image         string   `msgpack:"toolkit"`
	ImageGB       float64  `msgpack:"size_gb"`
	Rigs          []string `msgpack:"rigs,omitempty"`
	Zone          string   `msgpack:"hall,omitempty"`
	SameZone      bool     `msgpack:"same_place"`
	Spread        bool     `msgpack:"spread"`
	Spot          bool     `msgpack:"loaner"`
	ExpectedS     float64  `msgpack:"expected_s"`
	CheckpointS   float64  `msgpack:"snapshot_every_s"`
	SaveS         float64  `msgpack:"snapshot_s"`
	DueS          float64  `msgpack:"due_s,omitempty"`
	RigsForbidAll bool     `msgpack:"none,omitempty"` // rigs was an empty list: no type allowed
	// WaitsOn are the jobs that have to be done before any task starts. A record
	// holds those that were not done when it was submitted. Format 2.
	WaitsOn []string `msgpack:"waits_on,omitempty"`
}

// JobStatus answers users.
type JobStatus struct {
	Ref     string `msgpack:"ref"`
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

// Report is what a worker sends.
type Report struct {
	Host    string   `msgpack:"host"`
	Addr    string   `msgpack:"addr"`
	Rig     string   `msgpack:"rig"`
	Zone    string   `msgpack:"hall"`
	Spot    bool     `msgpack:"loaner"`
	Session uint64   `msgpack:"shift"`
	Seq     uint64   `msgpack:"tick"`
	Token   uint64   `msgpack:"mandate"`
	RecallS *float64 `msgpack:"recall_s"`
	Tasks   []Task   `msgpack:"frames"`
}

// Task is one task in a report.
type Task struct {
	Task    string `msgpack:"frame"`
	Attempt uint64 `msgpack:"try"`
	State   string `msgpack:"status"`
	Cause   string `msgpack:"exit_cause"`
	Saved   bool   `msgpack:"kept"`
}

// ReportReply answers a report.
type ReportReply struct {
	Token  uint64  `msgpack:"mandate"`
	Orders []Order `msgpack:"orders"`
}

// Orders goes to a worker's own address. It is obeyed only in the session that
// it names and under no lower token than the worker has seen.
type Orders struct {
	Token   uint64  `msgpack:"mandate"`
	Session uint64  `msgpack:"shift"`
	Orders  []Order `msgpack:"orders"`
}

// Order is one command to a worker.
type Order struct {
	Op      string  `msgpack:"order"`
	Task    string  `msgpack:"frame"`
	Attempt uint64  `msgpack:"try"`
	GraceS  float64 `msgpack:"wind_down_s"`
}

// Flavor is a machine type on offer.
type Flavor struct {
	Name      string   `msgpack:"sku"`
	Cores     float64  `msgpack:"cores"`
	Cards     float64  `msgpack:"cards"`
	MemoryGB  float64  `msgpack:"memory_gb"`
	CacheGB   float64  `msgpack:"local_gb"`
	FetchGBs  float64  `msgpack:"pull_gb_per_s"`
	Price     float64  `msgpack:"hourly"`
	SpotPrice float64  `msgpack:"spot_price"`
	BootS     float64  `msgpack:"boot_s"`
	Zones     []string `msgpack:"halls"`
}

// Flavors is the answer of GET /flavors.
type Flavors struct {
	Rigs []Flavor `msgpack:"rigs"`
}

// Hire rents machines.
type Hire struct {
	Name  string `msgpack:"hire"`
	Rig   string `msgpack:"rig"`
	Zone  string `msgpack:"hall"`
	Spot  bool   `msgpack:"loaner"`
	Count int    `msgpack:"count"`
}

// Hosts is a list of host names.
type Hosts struct {
	Hosts []string `msgpack:"hosts"`
}

// Machine is one row of the cloud's list.
type Machine struct {
	Name   string  `msgpack:"ref"`
	Addr   string  `msgpack:"addr"`
	Rig    string  `msgpack:"rig"`
	Zone   string  `msgpack:"hall"`
	Spot   bool    `msgpack:"loaner"`
	Status string  `msgpack:"status"`
	AgeS   float64 `msgpack:"age_s"`
}

// MachineList is the answer of GET /hosts.
type MachineList struct {
	Hosts []Machine `msgpack:"hosts"`
	More  bool      `msgpack:"has_next"`
}

// Machine states in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)
