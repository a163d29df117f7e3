package quota

import (
	"errors"
	"fmt"

	"micaport/internal/wire"
)

// Faults of a change to an account, besides those of the account that follows from it. Their
// texts are printed to operators.
var (
	ErrStaleVersion    = errors.New("the account has been changed since: its version is another")
	ErrUnknownTeam     = errors.New("there is no such team")
	ErrBeyondTheSite   = errors.New("the guarantees of all teams exceed what the site can hold")
	ErrNotAllUpgraded  = errors.New("not all controllers read accounts yet")
	ErrNothingToChange = errors.New("the change names no amount")
)

// Change is an operator's change of a team's quota. What is nil stays as it is.
type Change struct {
	Team                          string
	Version                       uint64 // of the account that the operator has seen
	CoresLimit, GPUsLimit         *float64
	CoresGuarantee, GPUsGuarantee *float64
}

// Apply returns the account that follows from a change of the current one, which is that of the
// record, or of the settings where there is no record yet. The current account is not modified.
//
// Shares for which a lower limit has no room are revoked in the same write, so that the shares
// are within the limit in every revision. What has been admitted within them stays charged.
//
// The error wraps ErrStaleVersion, ErrNothingToChange or a fault of the new quota.
func (c *Change) Apply(current *wire.Account) (*wire.Account, error) {
	if c.Version != current.Version {
		return nil, fmt.Errorf("team %s: %w: %d, not %d", c.Team, ErrStaleVersion, current.Version, c.Version)
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

// setQuota sets the quantities that the change names, and reports whether there are any.
func (c *Change) setQuota(account *wire.Account) bool {
	named := false
	for _, quantity := range []struct {
		current *float64
		changed *float64
	}{
		{&account.Limit.Cores, c.CoresLimit},
		{&account.Limit.GPUs, c.GPUsLimit},
		{&account.Guarantee.Cores, c.CoresGuarantee},
		{&account.Guarantee.GPUs, c.GPUsGuarantee},
	} {
		if quantity.changed != nil {
			*quantity.current, named = *quantity.changed, true
		}
	}
	return named
}
