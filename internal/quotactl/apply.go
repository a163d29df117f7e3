package quotactl

import (
	"context"
	"errors"
	"fmt"

	"micaport/internal/kv"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

// ErrTooManyTeams is returned for changes of more teams than one transaction can write.
var ErrTooManyTeams = errors.New("more teams are changed than the state service allows in one transaction")

// Apply makes all changes in one transaction, or none. If checkOnly is set it only validates them.
// The error joins all violations, or is the error of records if reading or writing fails.
func Apply(ctx context.Context, records Records, site *Site, changes []quota.Change, checkOnly bool) error {
	if err := site.checkAllUpgraded(ctx, records); err != nil {
		return err
	}
	stored, err := records.List(ctx, wire.AccountPrefix)
	if err != nil {
		return err
	}
	machineTypes, err := offeredTypes(ctx, records)
	if err != nil {
		return err
	}
	planned := newPlan(site, changes, stored)
	if err := site.checkCapacity(planned.accounts, machineTypes); err != nil {
		planned.violations = append(planned.violations, err)
	}
	if len(planned.writes) > site.MaxTransactionOps {
		planned.violations = append(planned.violations, ErrTooManyTeams)
	}
	if len(planned.violations) > 0 || checkOnly {
		return errors.Join(planned.violations...)
	}
	return records.Commit(ctx, planned.conditions, planned.writes)
}

// plan is the transaction for a list of changes, with the resulting accounts.
type plan struct {
	accounts   map[string]*wire.Account // of all teams, after the transaction
	conditions []kv.Condition
	writes     []kv.Write
	violations []error // errors of the changes that are not allowed
}

// newPlan returns the transaction that applies changes to the stored accounts.
func newPlan(site *Site, changes []quota.Change, stored map[string]kv.Event) *plan {
	planned := &plan{accounts: map[string]*wire.Account{}}
	accounts := map[string]Account{}
	for i := range site.Teams {
		account := newAccount(&site.Teams[i], stored, len(site.Shards))
		accounts[account.Team], planned.accounts[account.Team] = account, account.record
	}
	for i := range changes {
		change := &changes[i]
		account, known := accounts[change.Team]
		if !known {
			planned.violations = append(planned.violations, fmt.Errorf("team %s: %w", change.Team, quota.ErrUnknownTeam))
			continue
		}
		changed, err := change.Apply(account.record)
		if err != nil {
			planned.violations = append(planned.violations, err)
			continue
		}
		planned.accounts[change.Team] = changed
		key := wire.AccountKey(change.Team)
		planned.conditions = append(planned.conditions, kv.Condition{Key: key, Revision: account.revision})
		planned.writes = append(planned.writes, kv.Write{Key: key, Value: changed})
	}
	return planned
}
