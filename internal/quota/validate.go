package quota

import (
	"errors"
	"fmt"
	"math"

	"micaport/internal/wire"
)

// Quota is a team's limit and guarantee. A quantity of 0 is no limit, or no guarantee.
type Quota struct{ Limit, Guarantee Amount }

func quotaOf(limit, guarantee wire.Resources) Quota {
	return Quota{Limit: amountOf(limit), Guarantee: amountOf(guarantee)}
}

func amountOf(r wire.Resources) Amount { return Of(r.Cores, r.GPUs) }

// Faults of an account. Their texts are printed to operators.
var (
	ErrNotANumber        = errors.New("an amount is not a number of a size that makes sense")
	ErrNegative          = errors.New("an amount is negative")
	ErrGuarantee         = errors.New("the guarantee exceeds the limit")
	ErrUnknownShard      = errors.New("a share is held by a part that does not exist")
	ErrDuplicateShare    = errors.New("a part holds two shares")
	ErrSharesExceedLimit = errors.New("the shares exceed the limit")
	ErrUnreadable        = errors.New("the record can't be read")
)

// Validate checks the record of an account of a site with a number of shards. The error wraps
// one of the faults of an account.
func Validate(account *wire.Account, shards int) error {
	if account.Unreadable {
		return ErrUnreadable
	}
	if err := validateQuota(account.Limit, account.Guarantee); err != nil {
		return err
	}
	holds := make([]bool, shards)
	for _, share := range account.Shares {
		if share.Shard < 0 || share.Shard >= shards {
			return fmt.Errorf("%w: %d", ErrUnknownShard, share.Shard)
		}
		if holds[share.Shard] {
			return fmt.Errorf("%w: %d", ErrDuplicateShare, share.Shard)
		}
		holds[share.Shard] = true
		if err := validateResources(wire.Resources{Cores: share.Cores, GPUs: share.GPUs}); err != nil {
			return fmt.Errorf("share of part %d: %w", share.Shard, err)
		}
	}
	if !sumOfShares(account).within(amountOf(account.Limit)) {
		return ErrSharesExceedLimit
	}
	return nil
}

func validateQuota(limit, guarantee wire.Resources) error {
	if err := validateResources(limit); err != nil {
		return fmt.Errorf("limit: %w", err)
	}
	if err := validateResources(guarantee); err != nil {
		return fmt.Errorf("guarantee: %w", err)
	}
	if limit.Cores > 0 && guarantee.Cores > limit.Cores || limit.GPUs > 0 && guarantee.GPUs > limit.GPUs {
		return ErrGuarantee
	}
	return nil
}

func validateResources(r wire.Resources) error {
	for _, quantity := range []float64{r.Cores, r.GPUs} {
		switch {
		case math.IsNaN(quantity) || quantity > maxQuantity:
			return ErrNotANumber
		case quantity < 0:
			return ErrNegative
		}
	}
	return nil
}

func sumOfShares(account *wire.Account) Amount {
	sum := Amount{}
	for _, share := range account.Shares {
		sum = sum.Plus(Of(share.Cores, share.GPUs))
	}
	return sum
}
