package config

import (
	"errors"
	"fmt"
	"strconv"

	"gopkg.in/ini.v1"

	"micaport/internal/quota"
)

// LoadQuotaChanges reads an operators' file of changes to the quotas and guarantees of teams.
// The file has a section for each team, with the version of the account that the change is
// based on and the amounts that change. The error joins all violations.
//
//	[candi]
//	version = 0
//	gpus_max = 24
func LoadQuotaChanges(path string) ([]quota.Change, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, fmt.Errorf("changes of limits: %w", err)
	}
	var changes []quota.Change
	var violations []error
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection {
			if len(section.Keys()) > 0 {
				violations = append(violations, errors.New("settings outside the section of a team"))
			}
			continue
		}
		change, sectionViolations := quotaChange(section)
		changes = append(changes, change)
		violations = append(violations, sectionViolations...)
	}
	if len(changes) == 0 {
		violations = append(violations, errors.New("no section of a team"))
	}
	if len(violations) > 0 {
		return nil, fmt.Errorf("changes of limits %s:\n%w", path, errors.Join(violations...))
	}
	return changes, nil
}

// quotaChange returns the change that the section of a team describes, and its violations.
func quotaChange(section *ini.Section) (quota.Change, []error) {
	change := quota.Change{Team: section.Name()}
	var violations []error
	amounts := map[string]**float64{
		"cpus": &change.CoresGuarantee, "cpus_max": &change.CoresLimit,
		"gpus": &change.GPUsGuarantee, "gpus_max": &change.GPUsLimit,
	}
	hasVersion := false
	for _, key := range section.Keys() {
		target, known := amounts[key.Name()]
		switch {
		case key.Name() == "version":
			version, err := strconv.ParseUint(key.Value(), 10, 64)
			if err != nil {
				violations = append(violations, fmt.Errorf("team %s: version: %w", change.Team, err))
			}
			change.Version, hasVersion = version, true
		case !known:
			violations = append(violations, fmt.Errorf("team %s: unknown setting %s", change.Team, key.Name()))
		default:
			amount, err := strconv.ParseFloat(key.Value(), 64)
			if err != nil {
				violations = append(violations, fmt.Errorf("team %s: %s: %w", change.Team, key.Name(), err))
			}
			*target = &amount
		}
	}
	if !hasVersion {
		violations = append(violations, fmt.Errorf("team %s: version is missing; see 'micaport limits show'", change.Team))
	}
	return change, violations
}
