package core

import (
	"time"

	"micaport/internal/ownership"
	"micaport/internal/replica"
)

// Time is the steady clock, counted from the start of the process.
type Time = time.Duration

// Config is what the core needs of the settings. Limits of the state service hold at all
// times, also once lower ones that are announced come into force.
type Config struct {
	Self        string // name of this controller
	Zone        string // of this controller
	Incarnation string // tells this process from earlier ones of the same name
	Members     []ownership.Member
	Zones       []string
	Teams       []replica.Team // quotas that hold until operators change them

	HeartbeatInterval Time // of workers
	WorkerLease       Time // after which a worker that gets no reply ends all its tasks
	GangWait          Time // for how long a worker's gang task waits for the others
	OwnerValidity     Time // how long an owner may act after it sent a proof
	LeaderLease       Time // time to live of the leader's lease

	MaxTransactionOps  int // writes in a transaction
	MaxValueBytes      int
	CurrentValueBytes  int     // that hold until a lower limit comes into force; 0: no other
	Format             int     // newest record format that is read and written; 0: wire.Format
	MaxBatchWrites     int     // records that one transaction of this controller changes
	MaxLargeArrayTasks int     // active tasks of a large array
	StateRPS           float64 // requests a second that the state service takes of all; 0: no limit
	WriteRPS           float64 // writes a second, likewise
	NextWriteRPS       float64 // that may hold from some moment on; 0: no other

	CloudListLag Time // how old the cloud's machine list is, usually
	CloudRPS     float64

	StartObjectives []StartObjective // classes that are to start soon after they come
	IdleTimeout     Time             // after which an idle machine is returned
	SpareMachines   int              // of each pool that are not returned
	MaxMachines     int              // of the site; 0: any number
	Preempt         bool             // tasks may be stopped for guarantees and priorities
	Admission       Admission        // what owners admit without asking the leader
	// EarlyFailover says that a leader which a quorum suspects is replaced before its lease
	// ends.
	EarlyFailover bool

	WallClockMS func() int64 // time of day, for ordering queues only
}
