package quota

import (
	"errors"
	"math"
	"testing"

	"micaport/internal/wire"
)

func TestValidate(t *testing.T) {
	const shards = 2
	for _, c := range []struct {
		name    string
		account wire.Account
		want    error
	}{
		{"no limit", wire.Account{}, nil},
		{"shares within the limit", wire.Account{Limit: wire.Resources{GPUs: 8}, Shares: []wire.Share{{Shard: 0, GPUs: 3}, {Shard: 1, GPUs: 5}}}, nil},
		{"unreadable", wire.Account{Unreadable: true}, ErrUnreadable},
		{"limit is not a number", wire.Account{Limit: wire.Resources{GPUs: math.NaN()}}, ErrInvalidAmount},
		{"limit is too large", wire.Account{Limit: wire.Resources{Cores: math.Inf(1)}}, ErrInvalidAmount},
		{"negative limit", wire.Account{Limit: wire.Resources{GPUs: -1}}, ErrNegative},
		{"negative guarantee", wire.Account{Guarantee: wire.Resources{Cores: -1}}, ErrNegative},
		{"guarantee above the limit", wire.Account{Limit: wire.Resources{GPUs: 8}, Guarantee: wire.Resources{GPUs: 9}}, ErrGuaranteeExceedsLimit},
		{"guarantee without a limit", wire.Account{Guarantee: wire.Resources{GPUs: 9}}, nil},
		{"share of an unknown shard", wire.Account{Shares: []wire.Share{{Shard: shards}}}, ErrUnknownShard},
		{"share of a negative shard", wire.Account{Shares: []wire.Share{{Shard: -1}}}, ErrUnknownShard},
		{"two shares of a shard", wire.Account{Shares: []wire.Share{{Shard: 1}, {Shard: 1}}}, ErrDuplicateShare},
		{"negative share", wire.Account{Shares: []wire.Share{{Shard: 1, Cores: -1}}}, ErrNegative},
		{"shares above the limit", wire.Account{Limit: wire.Resources{GPUs: 8}, Shares: []wire.Share{{Shard: 0, GPUs: 4}, {Shard: 1, GPUs: 5}}}, ErrSharesExceedLimit},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := Validate(&c.account, shards); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
