package core

import (
	"time"

	"micaport/internal/ownership"
	"micaport/internal/replica"
)

// Time is the steady clock, counted from the start of the process.
type Time = time.Duration

// Member is a controller of the deployment.
type Member = ownership.Member

// ShardID names a shard of the machines.
type ShardID = ownership.ShardID

// Shards lists the shards of a deployment in the order in which records number them.
func Shards(zones []string, members []Member) []ShardID { return ownership.ShardIDs(zones, members) }

// Team is a team's guarantee and limit; 0 means none.
type Team = replica.Team

// Config is what the core needs of the settings.
type Config struct {
	Self        string
	Zone        string
	Incarnation string // tells this process from earlier ones of the same name
	Members     []Member
	Zones       []string
	Teams       []Team

	HeartbeatInterval, WorkerLease, GangWait Time
	OwnerValidity                            Time // how long an owner may act on a renewal
	LeaderLease                              Time
	MaxTransactionOps, MaxValueBytes         int // that hold at all times, also once the service's next limits do
	CurrentValueBytes                        int // that holds until then; 0: no other
	Format                                   int // that we read and write; 0: the newest
	MaxBatchWrites                           int // records that one of our transactions changes at most
	MaxBulkTasks                             int // active tasks of an array with more tasks than a record can hold one by one
	CloudListLag                             Time
	CloudRPS                                 float64
	StateRPS, WriteRPS                       float64 // 0: no limit
	NextWriteRPS                             float64 // that may hold from some moment on; 0: no other

	StartObjectives []StartObjective // classes that are to start soon after they come
	IdleTimeout     Time
	SpareMachines   int
	MaxMachines     int
	Preempt         bool
	Admission       Admission // what owners admit by themselves
	// EarlyTakeover has a leader replaced that a quorum suspects, before its lease ends.
	EarlyTakeover bool

	WallClockMS func() int64 // time of day, for ordering queues only
}
