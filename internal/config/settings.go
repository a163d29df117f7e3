// Package config reads and validates the two settings files of a controller, the platform's
// (JSON) and the operators' (INI), and the operators' files of quota changes (INI). Settings
// are validated before any address is bound. The package also derives from the settings the
// durations and numbers of connections that the other packages use.
//
// The tags of the structs are the names in the files; error messages use these names as well.
package config

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Settings is the platform's settings file. Unknown fields are ignored, as the platform may add
// fields.
type Settings struct {
	Label       string           `json:"label"`          // name of this controller
	Zone        string           `json:"site"`           // zone that this controller runs in
	Bind        string           `json:"bind"`           // host:port for users, workers and health checks
	ClusterBind string           `json:"cluster_listen"` // host:port for the other controllers
	Peers       []Peer           `json:"peers"`          // the other controllers
	External    ExternalServices `json:"external"`
	Deployment  Deployment       `json:"deployment"`
}

// Peer is another controller.
type Peer struct {
	Label   string `json:"label"`
	Zone    string `json:"site"`
	Address string `json:"address"` // host:port, the peer's ClusterBind
}

// ExternalServices are the addresses (host:port) of the services that controllers call.
type ExternalServices struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Deployment contains the settings that all controllers have in common, and the limits of the
// machine that a controller runs on.
type Deployment struct {
	Size         int           `json:"size"` // number of controllers; 0 if not stated
	Zones        []string      `json:"zones"`
	Teams        []Team        `json:"teams"`
	Objectives   []Objective   `json:"objectives"`
	Workers      WorkerTimes   `json:"workers"`
	State        StateSettings `json:"state"`
	Cloud        CloudSettings `json:"cloud"`
	Limits       MachineLimits `json:"limits"`
	ClockErrorMS float64       `json:"clock_error_ms"` // bound on the error of a wall clock, in milliseconds
}

// Team is a team's guarantee and quota, in cores and GPUs; 0 means none.
type Team struct {
	Name            string  `json:"name"`
	GuaranteedCores float64 `json:"cpus"`
	MaxCores        float64 `json:"cpus_max"`
	GuaranteedGPUs  float64 `json:"gpus"`
	MaxGPUs         float64 `json:"gpus_max"`
}

// ObjectiveWait is the Kind of an objective that limits the time from submission to start.
const ObjectiveWait = "wait"

// Objective is a service level objective: the share of the jobs of a class that must reach a
// milestone within a time.
type Objective struct {
	Kind    string  `json:"kind"`     // the milestone, such as ObjectiveWait
	Class   string  `json:"class"`    // class of jobs; empty for all
	WithinS float64 `json:"within_s"` // seconds since submission
	Share   float64 `json:"share"`    // share of the jobs, 0 to 1
}

// WorkerTimes are the durations of the protocol with the workers, in seconds.
type WorkerTimes struct {
	ReportS   float64 `json:"report_s"`    // interval between two heartbeats
	LeaseS    float64 `json:"lease_s"`     // a worker kills its tasks this long after sending the last heartbeat that was answered
	GangWaitS float64 `json:"gang_wait_s"` // a gang task exits when its gang is not complete after this time
	GangPeerS float64 `json:"gang_peer_s"` // the tasks of a gang detect within this time that one of them has disappeared
	CancelS   float64 `json:"cancel_s"`    // no task may run for longer than this after its cancellation was confirmed
}

// StateSettings are the limits of the state service for the whole deployment. StateLimits
// combines them with those of Next.
type StateSettings struct {
	RPS      float64 `json:"rps"`       // requests a second
	WriteRPS float64 `json:"write_rps"` // keys written or deleted a second
	ValueKB  float64 `json:"value_kb"`  // KiB of a value
	TxnOps   int     `json:"txn_ops"`   // keys written or deleted in a transaction
	// Next are limits that replace the current ones at an unannounced time.
	Next NextStateSettings `json:"next"`
}

// NextStateSettings are future limits of the state service, in the units of StateSettings;
// a limit that is nil does not change.
type NextStateSettings struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// CloudSettings describe the cloud's API.
type CloudSettings struct {
	RPS      float64 `json:"rps"`        // requests a second for the whole deployment
	ListLagS float64 `json:"list_lag_s"` // nominal age of a list of machines, in seconds; it may be twice as old
}

// MachineLimits are the limits of the machine that a controller runs on; 0 means unknown.
type MachineLimits struct {
	CoreShare float64 `json:"core_share"` // share of one core
	MemoryMB  float64 `json:"mem_mb"`     // MiB
	Sockets   int     `json:"fd_limit"`   // open sockets
}

// Load reads and validates the platform's settings file; the error joins all violations.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var s Settings
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return &s, nil
}

// Controllers returns all controllers, this one first.
func (s *Settings) Controllers() []Peer {
	return append([]Peer{{Label: s.Label, Zone: s.Zone, Address: s.ClusterBind}}, s.Peers...)
}

// Seconds returns the duration of a number of seconds.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// bytesPerKB is the number of bytes in the unit of value_kb.
const bytesPerKB = 1024

// StateLimits are limits of the state service that are valid both before and after the current
// limits are replaced by the next ones.
type StateLimits struct {
	RPS        float64 // requests a second
	WriteRPS   float64 // keys written or deleted a second
	ValueBytes int     // bytes of a value
	TxnOps     int     // keys written or deleted in a transaction
}

// StateLimits returns the smaller of each current limit and its next value.
func (s *Settings) StateLimits() StateLimits {
	current, next := &s.Deployment.State, &s.Deployment.State.Next
	limits := StateLimits{
		RPS: current.RPS, WriteRPS: current.WriteRPS,
		ValueBytes: int(current.ValueKB * bytesPerKB), TxnOps: current.TxnOps,
	}
	if next.RPS != nil {
		limits.RPS = min(limits.RPS, *next.RPS)
	}
	if next.WriteRPS != nil {
		limits.WriteRPS = min(limits.WriteRPS, *next.WriteRPS)
	}
	if next.ValueKB != nil {
		limits.ValueBytes = min(limits.ValueBytes, int(*next.ValueKB*bytesPerKB))
	}
	if next.TxnOps != nil {
		limits.TxnOps = min(limits.TxnOps, *next.TxnOps)
	}
	return limits
}
