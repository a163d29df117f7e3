package quota

import (
	"errors"
	"fmt"
	"math"

	"micaport/internal/wire"
)

// Quota are a team's limit and guarantee. A limit of 0 is none, and so is a guarantee.
type Quota struct{ Limit, Guarantee Amount }

// QuotaOf converts decimal quantities.
func QuotaOf(limit, guarantee wire.Resources) Quota {
	return Quota{Limit: Of(limit.Cores, limit.GPUs), Guarantee: Of(guarantee.Cores, guarantee.GPUs)}
}

// Faults of an account or of a change to one.
var (
	ErrNotANumber      = errors.New("an amount is not a number of a size that makes sense")
	ErrNegative        = errors.New("an amount is negative")
	ErrGuarantee       = errors.New("the guarantee exceeds the limit")
	ErrUnknownShard    = errors.New("a share is held by a part that does not exist")
	ErrSharedTwice     = errors.New("a part holds two shares")
	ErrSharesExceed    = errors.New("the shares exceed the limit")
	ErrUnreadable      = errors.New("the record can't be read")
	ErrStaleVersion    = errors.New("the account has been changed since: its version is another")
	ErrUnknownTeam     = errors.New("there is no such team")
	ErrBeyondTheSite   = errors.New("the guarantees of all teams exceed what the site can hold")
	ErrNotAllUpgraded  = errors.New("not all controllers read accounts yet")
	ErrNothingToChange = errors.New("the change names no amount")
)

// Validate checks a record of an account for a site with a number of shards.
func Validate(a *wire.Account, parts int) error {
	if a.Unreadable {
		return ErrUnreadable
	}
	if err := validateQuota(a.Limit, a.Guarantee); err != nil {
		return err
	}
	limit, sum := Of(a.Limit.Cores, a.Limit.GPUs), Amount{}
	seen := make([]bool, parts)
	for _, share := range a.Shares {
		if share.Shard < 0 || share.Shard >= parts {
			return fmt.Errorf("%w: %d", ErrUnknownShard, share.Shard)
		}
		if seen[share.Shard] {
			return fmt.Errorf("%w: %d", ErrSharedTwice, share.Shard)
		}
		seen[share.Shard] = true
		amount := wire.Resources{Cores: share.Cores, GPUs: share.GPUs}
		if err := validateAmount(amount); err != nil {
			return fmt.Errorf("share of part %d: %w", share.Shard, err)
		}
		sum = sum.Plus(Of(share.Cores, share.GPUs))
	}
	if !sum.within(limit) {
		return ErrSharesExceed
	}
	return nil
}

func validateQuota(limit, guarantee wire.Resources) error {
	if err := validateAmount(limit); err != nil {
		return fmt.Errorf("limit: %w", err)
	}
	if err := validateAmount(guarantee); err != nil {
		return fmt.Errorf("guarantee: %w", err)
	}
	if limit.Cores > 0 && guarantee.Cores > limit.Cores || limit.GPUs > 0 && guarantee.GPUs > limit.GPUs {
		return ErrGuarantee
	}
	return nil
}

func validateAmount(r wire.Resources) error {
	for _, x := range []float64{r.Cores, r.GPUs} {
		switch {
		case math.IsNaN(x) || x > maxUnits:
			return ErrNotANumber
		case x < 0:
			return ErrNegative
		}
	}
	return nil
}

// Change is an operator's change of a team's terms. What is nil stays as it is.
type Change struct {
	Team                          string
	Version                       uint64 // of the account that the operator has seen
	CoresLimit, GPUsLimit         *float64
	CoresGuarantee, GPUsGuarantee *float64
}

// Apply gives the account that follows from a change. The account that it is based on is
// what the record holds, or what the settings say where there is no record yet. Shares
// that the new limit has no room for are cancelled in the same write, so that the shares
// are within the limit in every revision; what has been admitted within them stays
// charged.
func (c *Change) Apply(now *wire.Account) (*wire.Account, error) {
	if c.Version != now.Version {
		return nil, fmt.Errorf("team %s: %w: %d, not %d", c.Team, ErrStaleVersion, now.Version, c.Version)
	}
	next := *now
	fields := []struct {
		into *float64
		from *float64
	}{
		{&next.Limit.Cores, c.CoresLimit}, {&next.Limit.GPUs, c.GPUsLimit},
		{&next.Guarantee.Cores, c.CoresGuarantee}, {&next.Guarantee.GPUs, c.GPUsGuarantee},
	}
	named := false
	for _, f := range fields {
		if f.from != nil {
			*f.into, named = *f.from, true
		}
	}
	if !named {
		return nil, fmt.Errorf("team %s: %w", c.Team, ErrNothingToChange)
	}
	if err := validateQuota(next.Limit, next.Guarantee); err != nil {
		return nil, fmt.Errorf("team %s: %w", c.Team, err)
	}
	next.Version++
	next.Unreadable = false
	limit, sum := Of(next.Limit.Cores, next.Limit.GPUs), Amount{}
	for _, share := range now.Shares {
		sum = sum.Plus(Of(share.Cores, share.GPUs))
	}
	if now.Unreadable || !sum.within(limit) {
		next.Shares = nil
	}
	return &next, nil
}
