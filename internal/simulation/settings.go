package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/replica"
)

// Settings of a simulation. Defaults returns those of a small deployment.
type Settings struct {
	Seed              uint64
	ControllerZones   []string // the zone of each controller
	Zones             []string
	Teams             []replica.Team
	HeartbeatInterval time.Duration // of workers
	WorkerLease       time.Duration // a worker without a reply for as long ends its tasks
	GangWait          time.Duration // a gang task waits as long for its peers
	GangPeerTimeout   time.Duration // a gang task runs as long without all of its peers
	CancelDeadline    time.Duration // the tasks of a cancelled job are gone by then
	BootTime          time.Duration // of a machine, on average
	Capacity          int           // machines of each kind, spot or not, that a zone has
	IdleTimeout       time.Duration // an idle machine is deprovisioned after it

	// Limits of the state service.
	WriteRPS          float64 // writes a second; 0: unlimited
	MaxTransactionOps int
	MaxValueBytes     int

	// Limits of the state service that the script puts into force; 0: none.
	NextWriteRPS          float64
	NextMaxTransactionOps int
	NextMaxValueBytes     int

	Admission     core.Admission // what shard owners admit without the leader
	OldFormat     int            // format that controllers read until they are upgraded; 0: the newest
	EarlyTakeover bool           // a suspected leader is replaced before its lease expires

	// With real controller processes: how one is started, how a request is sent to it, and
	// how a worker gets an address for commands.
	startController func(*controller)
	sendRequest     func(ctrl *controller, in core.Input, reply func(core.Reply))
	serveWorker     func(*simWorker) string
}

// Defaults returns the settings of a small deployment.
func Defaults() Settings {
	return Settings{
		Seed:            1,
		ControllerZones: []string{"a", "b", "a"},
		Zones:           []string{"a", "b"},
		Teams: []replica.Team{
			{Name: "red", GuaranteedGPUs: 4, MaxGPUs: 8},
			{Name: "blue", GuaranteedGPUs: 4, MaxGPUs: 8},
			{Name: "wide", MaxGPUs: 1000},
			{Name: "huge", MaxGPUs: 10000},
			{Name: "vast", MaxGPUs: 20000},
			{Name: "pool", GuaranteedGPUs: 24, MaxGPUs: 32},
		},
		HeartbeatInterval: 3 * time.Second,
		WorkerLease:       30 * time.Second,
		GangWait:          35 * time.Second,
		GangPeerTimeout:   8 * time.Second,
		CancelDeadline:    55 * time.Second,
		BootTime:          10 * time.Second,
		Capacity:          6,
		IdleTimeout:       40 * time.Second,
		MaxTransactionOps: 12,
		MaxValueBytes:     8 << 10,
	}
}

// maxBatchWrites returns how many writes a controller may batch: its part of one and a half
// seconds' writes, as the deployed program computes it.
func (s *Simulation) maxBatchWrites() int {
	if s.WriteRPS <= 0 {
		return s.MaxTransactionOps
	}
	return max(2, int(1.5*s.WriteRPS/float64(len(s.ControllerZones))))
}
