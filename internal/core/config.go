package core

import (
	"time"

	"micaport/internal/ownership"
	"micaport/internal/replica"
)

// Time is the monotonic time since the start of the process.
type Time = time.Duration

// Config holds the settings that the core uses. Where the state service has announced lower
// limits, MaxTransactionOps, MaxValueBytes and StateRPS already respect them.
type Config struct {
	Self        string             // name of this controller
	Zone        string             // zone of this controller
	Incarnation string             // distinguishes this process from earlier ones of the same name
	Members     []ownership.Member // all controllers
	Zones       []string           // zones of the site
	Teams       []replica.Team     // initial quotas, which operators may change

	HeartbeatInterval Time // between two heartbeats of a worker
	WorkerLease       Time // a worker that gets no reply for this long stops all its tasks
	GangWait          Time // how long a worker's gang task waits for the other tasks of its gang
	OwnerValidity     Time // how long a shard owner may act after sending a proof of ownership
	LeaderLease       Time // TTL of the leader's lease

	MaxTransactionOps  int     // writes in a transaction
	MaxValueBytes      int     // size of a stored value
	CurrentValueBytes  int     // size limit until an announced lower one takes effect; 0: MaxValueBytes
	Format             int     // newest record format that is read and written; 0: wire.Format
	MaxBatchWrites     int     // records that a transaction of this controller may change
	MaxLargeArrayTasks int     // active tasks of a large array
	StateRPS           float64 // requests per second that the state service allows all controllers together; 0: no limit
	WriteRPS           float64 // writes per second that the state service allows all controllers together; 0: no limit
	NextWriteRPS       float64 // announced lower write rate that may take effect at any time; 0: WriteRPS

	CloudListLag Time    // usual age of the cloud's machine list
	CloudRPS     float64 // calls per second that the cloud allows

	StartObjectives []StartObjective // job classes that should start soon after their submission
	IdleTimeout     Time             // an idle machine is deprovisioned after this time
	SpareMachines   int              // idle machines that are kept in each pool
	MaxMachines     int              // machines of the site; 0: no limit
	Preempt         bool             // whether tasks may be preempted for jobs of higher priority or within a guarantee
	Admission       Admission        // what shard owners admit without the leader
	// EarlyFailover allows replacing a leader before its lease expires, once a quorum suspects that
	// it has failed.
	EarlyFailover bool

	WallClockMS func() int64 // time of day in Unix milliseconds, for times in records and waiting times derived from them
}
