package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"micaport/internal/failover"
)

// OperatorSettings are the operators' settings, from their INI file and the command line.
type OperatorSettings struct {
	// IdleReturnS is how many seconds a machine may be idle before it is deprovisioned.
	IdleReturnS float64 `ini:"idle_return_s"`
	// SpareMachines is how many idle machines of each type and zone are kept.
	SpareMachines int `ini:"spare_machines"`
	// MaxMachines limits the machines that are up or being provisioned; 0 means no limit.
	MaxMachines int `ini:"max_machines"`
	// Preempt allows tasks to be preempted for guarantees and priorities.
	Preempt bool `ini:"preempt"`
	// Admission determines what controllers admit without the leader: one of the Admit
	// constants.
	Admission string `ini:"admission"`
	// Takeover determines when a failed leader is replaced: one of the Takeover constants.
	Takeover string `ini:"takeover"`
}

// Values of OperatorSettings.Takeover.
const (
	TakeoverByLease = "lease" // after the leader's lease has expired
	TakeoverEarly   = "early" // as soon as a quorum suspects the leader
)

// Values of OperatorSettings.Admission.
const (
	AdmitByLeader   = "leader"     // nothing is admitted without the leader
	AdmitLeaderless = "leaderless" // shard owners admit jobs while no leader can be reached
	AdmitGuaranteed = "guaranteed" // shard owners also admit new work within guarantees at any time
)

// LeaderLease is the duration of the leader's lease in the state service.
const LeaderLease = 5 * time.Second

// DefaultOperator returns the values of settings that neither the INI file nor the command line
// sets.
func DefaultOperator() OperatorSettings {
	return OperatorSettings{IdleReturnS: 40, SpareMachines: 0, Preempt: true, Admission: AdmitByLeader, Takeover: TakeoverByLease}
}

// operatorSections lists the settings of each section of the operators' file.
var operatorSections = map[string][]string{
	"placement": {"idle_return_s", "spare_machines", "max_machines", "preempt"},
	"quota":     {"admission"},
	"standby":   {"takeover"},
}

// LoadOperator reads and validates the operators' settings; the error joins all violations. An
// empty path means an empty file. Overrides, with keys of the form SECTION.NAME such as
// "quota.admission", take precedence over the file; they allow settings on a machine without a
// disk, which has no file.
func LoadOperator(path string, overrides map[string]string) (OperatorSettings, error) {
	settings := DefaultOperator()
	file := ini.Empty()
	if path != "" {
		var err error
		if file, err = ini.Load(path); err != nil {
			return settings, fmt.Errorf("operator settings: %w", err)
		}
	}
	violations := applyOverrides(file, overrides)
	violations = append(violations, unknownNames(file)...)
	for section := range operatorSections {
		if err := file.Section(section).StrictMapTo(&settings); err != nil {
			violations = append(violations, err)
		}
	}
	violations = append(violations, settings.validate()...)
	if len(violations) > 0 {
		return settings, fmt.Errorf("operator settings %s:\n%w", path, errors.Join(violations...))
	}
	return settings, nil
}

// applyOverrides sets the overrides in the parsed file, in the order of their names, and
// returns an error for each name that is malformed.
func applyOverrides(file *ini.File, overrides map[string]string) []error {
	var violations []error
	for _, fullName := range slices.Sorted(maps.Keys(overrides)) {
		section, name, found := strings.Cut(fullName, ".")
		if !found || section == "" || name == "" {
			violations = append(violations, fmt.Errorf("%q is not SECTION.NAME", fullName))
			continue
		}
		file.Section(section).Key(name).SetValue(overrides[fullName])
	}
	return violations
}

// unknownNames returns an error for each section and setting of the file that is not in
// operatorSections.
func unknownNames(file *ini.File) []error {
	var violations []error
	for _, section := range file.Sections() {
		names, known := operatorSections[section.Name()]
		if !known && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			violations = append(violations, fmt.Errorf("unknown section [%s]", section.Name()))
			continue
		}
		for _, key := range section.Keys() {
			if !slices.Contains(names, key.Name()) {
				violations = append(violations, fmt.Errorf("unknown setting %s in [%s]", key.Name(), section.Name()))
			}
		}
	}
	return violations
}

// validate returns the violations of the values. Names and types have been checked while the
// file was read.
func (o *OperatorSettings) validate() []error {
	var violations []error
	if !slices.Contains([]string{AdmitByLeader, AdmitLeaderless, AdmitGuaranteed}, o.Admission) {
		violations = append(violations, fmt.Errorf("admission must be %s, %s or %s, not %q", AdmitByLeader, AdmitLeaderless, AdmitGuaranteed, o.Admission))
	}
	if !slices.Contains([]string{TakeoverByLease, TakeoverEarly}, o.Takeover) {
		violations = append(violations, fmt.Errorf("takeover must be %s or %s, not %q", TakeoverByLease, TakeoverEarly, o.Takeover))
	}
	if o.IdleReturnS < 0 || o.SpareMachines < 0 || o.MaxMachines < 0 {
		violations = append(violations, errors.New("settings of [placement] must not be negative"))
	}
	return violations
}

// ValidateOperator returns an error if the operators' settings conflict with those of the
// platform.
func (s *Settings) ValidateOperator(operator OperatorSettings) error {
	// After an early takeover no controller deprovisions machines until the new leader may
	// call the cloud. The time until then must be shorter than a worker lease.
	untilCloudCalls := LeaderLease + failover.CloudFenceTime(LeaderLease)
	if lease := Seconds(s.Deployment.Workers.LeaseS); operator.Takeover == TakeoverEarly && lease <= untilCloudCalls {
		return fmt.Errorf("takeover = %s needs workers.lease_s above %v, not %v", TakeoverEarly, untilCloudCalls, lease)
	}
	return nil
}
