package config

import (
	"errors"
	"fmt"
	"strconv"

	"gopkg.in/ini.v1"

	"micaport/internal/quota"
)

// LoadLimitChanges reads an operators' file of changes to the limits of teams: a section
// for each team, with the version of the account that the change is based on and the
// amounts that change. The error names every fault of the file.
//
//	[candi]
//	version = 0
//	gpus_max = 24
func LoadLimitChanges(path string) ([]quota.Change, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, fmt.Errorf("changes of limits: %w", err)
	}
	var changes []quota.Change
	var faults []error
	for _, section := range f.Sections() {
		if section.Name() == ini.DefaultSection {
			if len(section.Keys()) > 0 {
				faults = append(faults, errors.New("settings outside the section of a team"))
			}
			continue
		}
		change, sectionFaults := limitChange(section)
		changes = append(changes, change)
		faults = append(faults, sectionFaults...)
	}
	if len(changes) == 0 {
		faults = append(faults, errors.New("no team is named"))
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("changes of limits %s:\n%w", path, errors.Join(faults...))
	}
	return changes, nil
}

// limitChange reads the section of one team.
func limitChange(section *ini.Section) (quota.Change, []error) {
	change := quota.Change{Team: section.Name()}
	var faults []error
	amounts := map[string]**float64{
		"cpus": &change.CoresGuarantee, "cpus_max": &change.CoresLimit,
		"gpus": &change.GPUsGuarantee, "gpus_max": &change.GPUsLimit,
	}
	versioned := false
	for _, key := range section.Keys() {
		into, known := amounts[key.Name()]
		switch {
		case key.Name() == "version":
			version, err := strconv.ParseUint(key.Value(), 10, 64)
			if err != nil {
				faults = append(faults, fmt.Errorf("team %s: version: %w", change.Team, err))
			}
			change.Version, versioned = version, true
		case !known:
			faults = append(faults, fmt.Errorf("team %s: unknown setting %s", change.Team, key.Name()))
		default:
			amount, err := strconv.ParseFloat(key.Value(), 64)
			if err != nil {
				faults = append(faults, fmt.Errorf("team %s: %s: %w", change.Team, key.Name(), err))
			}
			*into = &amount
		}
	}
	if !versioned {
		faults = append(faults, fmt.Errorf("team %s: version is missing; see 'micaport limits show'", change.Team))
	}
	return change, faults
}
