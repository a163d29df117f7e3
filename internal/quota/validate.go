package quota

import (
	"errors"
	"fmt"
	"math"

	"micaport/internal/wire"
)

// Quota is a team's limit and guarantee. A quantity of 0 means no limit, or no guarantee.
type Quota struct{ Limit, Guarantee Amount }

func quotaOf(limit, guarantee wire.Resources) Quota {
	return Quota{Limit: amountOf(limit), Guarantee: amountOf(guarantee)}
}

func amountOf(r wire.Resources) Amount { return NewAmount(r.Cores, r.GPUs) }

// Errors in an account's record. Their texts are printed to operators.
var (
	ErrInvalidAmount         = errors.New("an amount is not a number or is too large")
	ErrNegative              = errors.New("an amount is negative")
	ErrGuaranteeExceedsLimit = errors.New("the guarantee exceeds the limit")
	ErrUnknownShard          = errors.New("a share belongs to a shard that does not exist")
	ErrDuplicateShare        = errors.New("a shard has two shares")
	ErrSharesExceedLimit     = errors.New("the shares exceed the limit")
	ErrUnreadable            = errors.New("the record can't be decoded")
)

// Validate checks an account of a site with a number of shards. The error that it returns is, or
// wraps, one of the errors above.
func Validate(account *wire.Account, shards int) error {
	if account.Unreadable {
		return ErrUnreadable
	}
	if err := validateQuota(account.Limit, account.Guarantee); err != nil {
		return err
	}
	hasShare := make([]bool, shards)
	for _, share := range account.Shares {
		if share.Shard < 0 || share.Shard >= shards {
			return fmt.Errorf("%w: %d", ErrUnknownShard, share.Shard)
		}
		if hasShare[share.Shard] {
			return fmt.Errorf("%w: %d", ErrDuplicateShare, share.Shard)
		}
		hasShare[share.Shard] = true
		if err := validateResources(wire.Resources{Cores: share.Cores, GPUs: share.GPUs}); err != nil {
			return fmt.Errorf("share of shard %d: %w", share.Shard, err)
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
		return ErrGuaranteeExceedsLimit
	}
	return nil
}

func validateResources(r wire.Resources) error {
	for _, quantity := range []float64{r.Cores, r.GPUs} {
		switch {
		case math.IsNaN(quantity) || quantity > maxQuantity:
			return ErrInvalidAmount
		case quantity < 0:
			return ErrNegative
		}
	}
	return nil
}

func sumOfShares(account *wire.Account) Amount {
	sum := Amount{}
	for _, share := range account.Shares {
		sum = sum.Plus(NewAmount(share.Cores, share.GPUs))
	}
	return sum
}
