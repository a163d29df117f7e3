package simulation

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// errUnknownAmount is returned for a change whose name is not one of quotaAmounts.
var errUnknownAmount = errors.New("unknown amount")

// changeLimit changes a team's limits and guarantee as an operator does with the
// command-line tool. Args are of the form NAME=VALUE, with a name of quotaAmounts.
func (a *quotaAccounting) changeLimit(team string, args []string) error {
	account := a.account(team)
	change := quota.Change{Team: team, Version: account.Version}
	for _, arg := range args {
		if err := setAmount(&change, arg); err != nil {
			return err
		}
	}
	next, err := change.Apply(account)
	if err != nil {
		return fmt.Errorf("change quota of %s: %w", team, err)
	}
	raw, err := wire.Encode(next)
	if err != nil {
		return err
	}
	a.sim.store.overwrite(wire.AccountKey(team), raw)
	return nil
}

// account returns a team's stored account. If none is stored or it can't be read, account
// returns one with the limits of the settings.
func (a *quotaAccounting) account(team string) *wire.Account {
	key := wire.AccountKey(team)
	if record := a.sim.store.records[key]; record != nil {
		if stored := mustDecodeRecord(key, record.raw).(*wire.Account); !stored.Unreadable {
			return stored
		}
	}
	account := &wire.Account{}
	for _, configured := range a.sim.Teams {
		if configured.Name == team {
			account.Limit = wire.Resources{Cores: configured.MaxCores, GPUs: configured.MaxGPUs}
			account.Guarantee = wire.Resources{Cores: configured.GuaranteedCores, GPUs: configured.GuaranteedGPUs}
		}
	}
	return account
}

// quotaAmounts are the amounts of an account that a script can change, by name. Each
// function returns the field of a change that sets the amount.
var quotaAmounts = map[string]func(*quota.Change) **float64{
	"cards":     func(change *quota.Change) **float64 { return &change.GPUsLimit },
	"cores":     func(change *quota.Change) **float64 { return &change.CoresLimit },
	"guarantee": func(change *quota.Change) **float64 { return &change.GPUsGuarantee },
}

// setAmount sets an amount of a change from an argument NAME=VALUE.
func setAmount(change *quota.Change, arg string) error {
	name, value, _ := strings.Cut(arg, "=")
	x, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return fmt.Errorf("bad number in %s: %w", arg, err)
	}
	amount := quotaAmounts[name]
	if amount == nil {
		return fmt.Errorf("%w %s", errUnknownAmount, name)
	}
	*amount(change) = &x
	return nil
}
