package core

import "time"

// Time is the steady clock, counted from the start of the process.
type Time = time.Duration

// Member is a controller of the deployment.
type Member struct {
	Label string
	Zone  string
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name               string
	Cores, Cards       float64
	CoresMax, CardsMax float64
}

// Config is what the core needs of the settings.
type Config struct {
	Self    string
	Zone    string
	Life    string // tells this process from earlier ones of the same name
	Members []Member
	Zones   []string
	Teams   []Team

	Report, Lease, GangWait Time
	Validity                Time // how long an owner may act on a renewal
	LeaderTTL               Time
	TxnOps, ValueBytes      int // that hold at all times, also once the service's next limits do
	ValueNow                int // that holds until then; 0: no other
	Format                  int // that we read and write; 0: the newest
	BatchPuts               int // records that one of our transactions changes at most
	BulkTasks               int // active tasks of an array with more tasks than a record can hold one by one
	ListLag                 Time
	CloudRPS                float64
	StateRPS, WriteRPS      float64 // 0: no limit
	NextWriteRPS            float64 // that may hold from some moment on; 0: no other

	Waits       []Objective // classes that are to start soon after they come
	IdleReturn  Time
	Spares      int
	MaxMachines int
	Preempt     bool
	Admission   Admission // what owners admit by themselves
	// EarlyTakeover has a leader replaced that a quorum suspects, before its lease ends.
	EarlyTakeover bool

	WallMS func() int64 // time of day, for ordering queues only
}
