package simulation

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// changeLimit plays an operator who changes a team's limit with the command line.
func (accounting *quotaAccounting) changeLimit(team string, args []string) error {
	now := &wire.Account{}
	for _, t := range accounting.sim.Teams {
		if t.Name == team {
			now.Limit = wire.Resources{Cores: t.MaxCores, GPUs: t.MaxGPUs}
			now.Guarantee = wire.Resources{Cores: t.GuaranteedCores, GPUs: t.GuaranteedGPUs}
		}
	}
	key := wire.AccountKey(team)
	if record := accounting.sim.store.records[key]; record != nil {
		if stored := mustDecodeRecord(key, record.raw).(*wire.Account); !stored.Unreadable {
			now = stored
		}
	}
	change := quota.Change{Team: team, Version: now.Version}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		x, err := strconv.ParseFloat(value, 64)
		switch {
		case err != nil:
			return fmt.Errorf("bad number in %s: %w", arg, err)
		case name == "cards":
			change.GPUsLimit = &x
		case name == "cores":
			change.CoresLimit = &x
		case name == "guarantee":
			change.GPUsGuarantee = &x
		default:
			return errors.New("unknown amount " + name)
		}
	}
	next, err := change.Apply(now)
	if err != nil {
		return err
	}
	raw, err := wire.Encode(next)
	if err != nil {
		return err
	}
	accounting.sim.store.overwrite(key, raw)
	return nil
}
