// Package config reads the platform's settings file (JSON) and the operators'
// own (INI) and checks both before anything is bound.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"micaport/internal/failover"
)

// Peer is another controller.
type Peer struct {
	Label   string `json:"label"`
	Zone    string `json:"site"`
	Address string `json:"address"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name            string  `json:"name"`
	GuaranteedCores float64 `json:"cpus"`
	MaxCores        float64 `json:"cpus_max"`
	GuaranteedGPUs  float64 `json:"gpus"`
	MaxGPUs         float64 `json:"gpus_max"`
}

// Objective restates an aim of the users.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
}

// Settings is the platform's file. Fields that it may gain are ignored.
type Settings struct {
	Label       string `json:"label"`
	Zone        string `json:"site"`
	Bind        string `json:"bind"`
	ClusterBind string `json:"cluster_listen"`
	Peers       []Peer `json:"peers"`
	External    struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"external"`
	Deployment struct {
		Size       int         `json:"size"`
		Zones      []string    `json:"zones"`
		Teams      []Team      `json:"teams"`
		Objectives []Objective `json:"objectives"`
		Workers    struct {
			ReportS   float64 `json:"report_s"`
			LeaseS    float64 `json:"lease_s"`
			GangWaitS float64 `json:"gang_wait_s"`
			GangPeerS float64 `json:"gang_peer_s"`
			CancelS   float64 `json:"cancel_s"`
		} `json:"workers"`
		State struct {
			RPS      float64 `json:"rps"`
			WriteRPS float64 `json:"write_rps"`
			ValueKB  float64 `json:"value_kb"`
			TxnOps   int     `json:"txn_ops"`
			// Next are the limits that will hold from some moment on.
			Next struct {
				RPS      *float64 `json:"rps"`
				WriteRPS *float64 `json:"write_rps"`
				ValueKB  *float64 `json:"value_kb"`
				TxnOps   *int     `json:"txn_ops"`
			} `json:"next"`
		} `json:"state"`
		Cloud struct {
			RPS      float64 `json:"rps"`
			ListLagS float64 `json:"list_lag_s"`
		} `json:"cloud"`
		Limits struct {
			CoreShare float64 `json:"core_share"`
			MemoryMB  float64 `json:"mem_mb"`
			Sockets   int     `json:"fd_limit"`
		} `json:"limits"`
		ClockErrorMS float64 `json:"clock_error_ms"`
	} `json:"deployment"`
}

// OperatorSettings is what the operators may set in their INI file.
type OperatorSettings struct {
	// IdleReturnS is how long a machine may stand idle before it is returned.
	IdleReturnS float64 `ini:"idle_return_s"`
	// SpareMachines are kept ready beyond the present need.
	SpareMachines int `ini:"spare_machines"`
	// MaxMachines bounds the fleet; 0 is no bound.
	MaxMachines int `ini:"max_machines"`
	// Preempt allows tasks to be stopped for guarantees and priorities.
	Preempt bool `ini:"preempt"`
	// Admission says what controllers admit without the leader; see Admissions.
	Admission string `ini:"admission"`
	// Takeover says when a failed leader is replaced; see Takeovers.
	Takeover string `ini:"takeover"`
}

// Takeovers are the values of the setting takeover.
const (
	TakeoverByLease = "lease" // once its lease has ended
	TakeoverEarly   = "early" // as soon as a quorum suspects it
)

// Admissions are the values of the setting admission.
const (
	AdmitByLeader   = "leader"     // the leader grants everything
	AdmitLeaderless = "leaderless" // others admit while no leader can be heard
	AdmitGuaranteed = "guaranteed" // others also admit new work within guarantees at any time
)

// LeaderLease is the life of a leader's lease on the state service.
const LeaderLease = 5 * time.Second

// CheckOperator names what in the operators' settings contradicts those of the platform.
func (s *Settings) CheckOperator(op OperatorSettings) error {
	// Until a leader that replaced another early may call the cloud, nobody returns a
	// machine. That must not outlast the leases of the workers.
	least := LeaderLease + failover.CloudFenceTime(LeaderLease)
	if lease := Seconds(s.Deployment.Workers.LeaseS); op.Takeover == TakeoverEarly && lease <= least {
		return fmt.Errorf("takeover = %s needs workers.lease_s above %v, not %v", TakeoverEarly, least, lease)
	}
	return nil
}

// DefaultOperator is used where the INI file is silent.
func DefaultOperator() OperatorSettings {
	return OperatorSettings{IdleReturnS: 40, SpareMachines: 0, Preempt: true, Admission: AdmitByLeader, Takeover: TakeoverByLease}
}

// Load reads and checks the settings; the error names every fault.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var s Settings
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return &s, nil
}

// operatorSettings are the names that each section of the operators' file may have.
var operatorSettings = map[string][]string{
	"placement": {"idle_return_s", "spare_machines", "max_machines", "preempt"},
	"quota":     {"admission"},
	"standby":   {"takeover"},
}

// unknownNames names the sections and settings of an operators' file that there are not.
func unknownNames(f *ini.File) []error {
	var faults []error
	for _, section := range f.Sections() {
		names, known := operatorSettings[section.Name()]
		if !known && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			faults = append(faults, fmt.Errorf("unknown section [%s]", section.Name()))
			continue
		}
		for _, key := range section.Keys() {
			if !slices.Contains(names, key.Name()) {
				faults = append(faults, fmt.Errorf("unknown setting %s in [%s]", key.Name(), section.Name()))
			}
		}
	}
	return faults
}

// setNamed adds settings that are given as SECTION.NAME.
func setNamed(f *ini.File, named map[string]string) []error {
	var faults []error
	for _, full := range slices.Sorted(maps.Keys(named)) {
		section, name, found := strings.Cut(full, ".")
		if !found || section == "" || name == "" {
			faults = append(faults, fmt.Errorf("%q is not SECTION.NAME", full))
			continue
		}
		f.Section(section).Key(name).SetValue(named[full])
	}
	return faults
}

// LoadOperator reads the operators' INI file; unknown names are faults.
// Settings given by name, as "quota.admission", come before those of the file: a machine
// without a disk has no file.
func LoadOperator(path string, named map[string]string) (OperatorSettings, error) {
	op := DefaultOperator()
	f := ini.Empty()
	if path != "" {
		var err error
		if f, err = ini.Load(path); err != nil {
			return op, fmt.Errorf("operator settings: %w", err)
		}
	}
	faults := setNamed(f, named)
	faults = append(faults, unknownNames(f)...)
	for section := range operatorSettings {
		if err := f.Section(section).StrictMapTo(&op); err != nil {
			faults = append(faults, err)
		}
	}
	if !slices.Contains([]string{AdmitByLeader, AdmitLeaderless, AdmitGuaranteed}, op.Admission) {
		faults = append(faults, fmt.Errorf("admission must be %s, %s or %s, not %q", AdmitByLeader, AdmitLeaderless, AdmitGuaranteed, op.Admission))
	}
	if !slices.Contains([]string{TakeoverByLease, TakeoverEarly}, op.Takeover) {
		faults = append(faults, fmt.Errorf("takeover must be %s or %s, not %q", TakeoverByLease, TakeoverEarly, op.Takeover))
	}
	if op.IdleReturnS < 0 || op.SpareMachines < 0 || op.MaxMachines < 0 {
		faults = append(faults, errors.New("settings of [placement] must not be negative"))
	}
	if len(faults) > 0 {
		return op, fmt.Errorf("operator settings %s:\n%w", path, errors.Join(faults...))
	}
	return op, nil
}

// Margin is added to every bound that another machine's steady clock times:
// a tenth of a percent covers two clocks drifting apart, and a second covers
// timers that fire in steps and answers on their way.
func Margin(d time.Duration) time.Duration { return d/1000 + time.Second }

// Validity is how long an owner may act on its last proven renewal. After a
// cancellation that the owner can't hear of, the last report that it answers was
// sent before this has passed, and a worker lease later its tasks are gone,
// which must stay below cancel_s. Within that it is as long as can be: a zone
// that is cut off with its controller keeps its tasks for validity and a lease.
// It also stays below the worker lease, so that a peer that waits for an
// owner's claim to end is not too late for the tasks.
func (s *Settings) Validity() time.Duration {
	w := s.Deployment.Workers
	return Validity(Seconds(w.LeaseS), Seconds(w.CancelS))
}

// Validity is that of Settings, from the two durations that it rests on.
func Validity(lease, cancel time.Duration) time.Duration {
	room := cancel - lease - Margin(lease) - 250*time.Millisecond
	return min(room, lease-Margin(lease)-time.Second)
}

// What a controller needs of its sockets besides those for users and workers:
// requests to the state service (8), its watch (2) and the cloud (3), two
// listeners, orders to machines, connections to and from each peer with one
// more each for a moment of change, and a few for the runtime.
const (
	ownSockets = 8 + 2 + 3 + 2 + 5
	// CommandSockets are for telling machines something directly.
	CommandSockets = 32
)

// PeerSockets is how many connections of peers are taken at a time: each makes
// a new one when an answer is late, and old ones may linger behind a cut.
func (s *Settings) PeerSockets() int { return 8*len(s.Peers) + 8 }

// PublicSockets is how many connections of users and workers are taken.
func (s *Settings) PublicSockets() int {
	return s.Deployment.Limits.Sockets - ownSockets - CommandSockets - s.PeerSockets() - len(s.Peers)
}

// minPublicSockets is how many users and workers a controller must be able to take
// to serve at all, and minMemoryMB the MB that its program takes by itself.
const (
	minPublicSockets = 16
	minMemoryMB      = 24
)

// A grant of a gang across shards changes two keys; a record needs a few hundred bytes
// before it lists any task.
const (
	minTransactionOps = 2
	minValueBytes     = 1024
)

// Limits of the state service.
type Limits struct {
	RPS, WriteRPS      float64
	ValueBytes, TxnOps int
}

// Limits that hold at all times, before and after those of state.next come into
// force: the smaller of both.
func (s *Settings) Limits() Limits {
	d, next := &s.Deployment.State, &s.Deployment.State.Next
	l := Limits{RPS: d.RPS, WriteRPS: d.WriteRPS, ValueBytes: int(d.ValueKB * 1024), TxnOps: d.TxnOps}
	if next.RPS != nil {
		l.RPS = min(l.RPS, *next.RPS)
	}
	if next.WriteRPS != nil {
		l.WriteRPS = min(l.WriteRPS, *next.WriteRPS)
	}
	if next.ValueKB != nil {
		l.ValueBytes = min(l.ValueBytes, int(*next.ValueKB*1024))
	}
	if next.TxnOps != nil {
		l.TxnOps = min(l.TxnOps, *next.TxnOps)
	}
	return l
}

// Seconds turns a decimal number of seconds into a duration.
func Seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
