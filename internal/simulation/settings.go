package simulation

import (
	"time"

	"micaport/internal/core"
)

// Settings of a world, with the defaults of Defaults.
type Settings struct {
	Seed              uint64
	ControllerZones   []string // the zone of each controller
	Zones             []string
	Teams             []core.Team
	HeartbeatInterval time.Duration
	WorkerLease       time.Duration
	GangWait          time.Duration
	GangPeerTimeout   time.Duration
	CancelDeadline    time.Duration
	BootTime          time.Duration
	Capacity          int     // machines of each kind in each zone
	WriteRPS          float64 // puts a second that the state service takes; 0: any number
	MaxTransactionOps int
	MaxValueBytes     int
	IdleTimeout       time.Duration
	// Limits of the state service that will hold from some moment on; 0: no others.
	NextWriteRPS          float64
	NextMaxTransactionOps int
	NextMaxValueBytes     int
	Admission             core.Admission // what owners admit by themselves
	OldFormat             int            // that controllers read at first, until they are replaced; 0: the newest
	EarlyTakeover         bool           // a suspected leader is replaced before its lease ends

	// Where controllers are real processes: how one is started, asked, and how a worker
	// gets an address of its own.
	startController func(*controller)
	sendRequest     func(n *controller, in core.Input, reply func(core.Reply))
	serveWorker     func(*simWorker) string
}

// Defaults are those of a small deployment.
func Defaults() Settings {
	return Settings{
		Seed: 1, ControllerZones: []string{"a", "b", "a"}, Zones: []string{"a", "b"},
		Teams: []core.Team{
			{Name: "red", GuaranteedGPUs: 4, MaxGPUs: 8}, {Name: "blue", GuaranteedGPUs: 4, MaxGPUs: 8}, {Name: "wide", MaxGPUs: 1000}, {Name: "huge", MaxGPUs: 10000},
			{Name: "vast", MaxGPUs: 20000}, {Name: "pool", GuaranteedGPUs: 24, MaxGPUs: 32},
		},
		HeartbeatInterval: 3 * time.Second, WorkerLease: 30 * time.Second, GangWait: 35 * time.Second,
		GangPeerTimeout: 8 * time.Second, CancelDeadline: 55 * time.Second,
		BootTime: 10 * time.Second, Capacity: 6, MaxTransactionOps: 12, MaxValueBytes: 8 << 10, IdleTimeout: 40 * time.Second,
	}
}

// maxBatchWrites is as in the real service.
func (sim *Simulation) maxBatchWrites() int {
	if sim.WriteRPS <= 0 {
		return sim.MaxTransactionOps
	}
	return max(2, int(1.5*sim.WriteRPS/float64(len(sim.ControllerZones))))
}
