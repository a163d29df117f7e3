package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/replica"
)

// Settings are the settings of a simulation. Defaults returns those of a small deployment.
type Settings struct {
	Seed              uint64
	ControllerZones   []string // the zone of each controller
	Zones             []string
	Teams             []replica.Team
	HeartbeatInterval time.Duration // of workers
	WorkerLease       time.Duration // a worker that receives no reply for this long ends its tasks
	GangWait          time.Duration // how long a gang task waits for its peers to start
	GangPeerTimeout   time.Duration // how long a running gang task tolerates a missing peer
	CancelDeadline    time.Duration // time within which all tasks of a job must end once its cancellation has been confirmed
	BootTime          time.Duration // approximate time that a machine takes to boot
	Capacity          int           // machines that a zone has of each type and kind, spot and on-demand
	MachineTypes      int           // number of machine types that the cloud has; 0: one
	IdleTimeout       time.Duration // time after which an idle machine is deprovisioned

	// Limits of the state service.
	WriteRPS          float64 // writes per second; 0: unlimited
	MaxTransactionOps int
	MaxValueBytes     int

	// Limits that replace the ones above when the script's command "limits" runs; 0: not
	// configured. Controllers know them from their start, except controllers of format 1.
	NextWriteRPS          float64
	NextMaxTransactionOps int
	NextMaxValueBytes     int

	Admission     core.Admission // which jobs shard owners admit without the leader
	OldFormat     int            // newest record format that controllers support until they are upgraded; 0: the current one
	EarlyTakeover bool           // a leader suspected to have failed is replaced before its lease expires

	// Set with real controller processes only: startController starts a process, sendRequest
	// sends a request to one, and serveWorker returns an address at which a worker accepts
	// commands.
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

// maxBatchWrites returns how many writes a controller may put into one batch: its share of
// the writes that the state service accepts in 1.5 s, but at least 2. The deployed program computes it in the same way.
func (s *Simulation) maxBatchWrites() int {
	if s.WriteRPS <= 0 {
		return s.MaxTransactionOps
	}
	return max(2, int(1.5*s.WriteRPS/float64(len(s.ControllerZones))))
}
