package quota

import (
	"errors"
	"fmt"

	"micaport/internal/wire"
)

// Errors of a change to an account, besides those of the resulting account. Their texts are
// printed to operators.
var (
	ErrStaleVersion    = errors.New("the account has been changed in the meantime")
	ErrUnknownTeam     = errors.New("unknown team")
	ErrExceedsCapacity = errors.New("the guarantees of all teams together exceed the capacity of the site")
	ErrNotAllUpgraded  = errors.New("not all controllers support team accounts yet")
	ErrNothingToChange = errors.New("the change sets no amount")
)

// Change is an operator's change of a team's quota. Quantities that are nil are not changed.
type Change struct {
	Team                          string
	Version                       uint64 // version of the account that the change is based on
	CoresLimit, GPUsLimit         *float64
	CoresGuarantee, GPUsGuarantee *float64
}

// Apply returns the account that results from the change. current is the account of the record,
// or that of the settings if no record exists; it is not modified.
//
// If the shares exceed the new limit or the current account is unreadable, all shares are revoked
// in the same write, so that the shares are within the limit in every revision. Work that was
// admitted within them stays charged.
//
// The error wraps ErrStaleVersion, ErrNothingToChange or an error of the new quota.
func (c *Change) Apply(current *wire.Account) (*wire.Account, error) {
	if c.Version != current.Version {
		return nil, fmt.Errorf("team %s: %w: its version is %d, not %d", c.Team, ErrStaleVersion, current.Version, c.Version)
	}
	next := *current
	if !c.setQuota(&next) {
		return nil, fmt.Errorf("team %s: %w", c.Team, ErrNothingToChange)
	}
	if err := validateQuota(next.Limit, next.Guarantee); err != nil {
		return nil, fmt.Errorf("team %s: %w", c.Team, err)
	}
	next.Version++
	next.Unreadable = false
	if current.Unreadable || !sumOfShares(current).within(amountOf(next.Limit)) {
		next.Shares = nil
	}
	return &next, nil
}

// setQuota sets the quantities that the change contains, and reports whether it contains any.
func (c *Change) setQuota(account *wire.Account) bool {
	changed := false
	for _, quantity := range []struct {
		current *float64
		next    *float64
	}{
		{&account.Limit.Cores, c.CoresLimit},
		{&account.Limit.GPUs, c.GPUsLimit},
		{&account.Guarantee.Cores, c.CoresGuarantee},
		{&account.Guarantee.GPUs, c.GPUsGuarantee},
	} {
		if quantity.next != nil {
			*quantity.current, changed = *quantity.next, true
		}
	}
	return changed
}
