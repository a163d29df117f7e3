package quotactl

import (
	"context"
	"errors"
	"fmt"

	"micaport/internal/kv"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

// ErrTooManyTeams says that a file changes more teams than one transaction can.
var ErrTooManyTeams = errors.New("more teams are changed at once than the state service takes in a transaction")

// Apply makes all changes in one transaction, or none. If check is set it writes nothing. The
// error joins every violation; it is one of Records if that fails.
func Apply(ctx context.Context, records Records, site *Site, changes []quota.Change, check bool) error {
	if err := site.allReadAccounts(ctx, records); err != nil {
		return err
	}
	stored, err := records.List(ctx, wire.AccountPrefix)
	if err != nil {
		return err
	}
	machineTypes, err := records.List(ctx, wire.MachineTypesKey)
	if err != nil {
		return err
	}
	planned := newPlan(site, changes, stored)
	if err := site.canHold(planned.accounts, machineTypes); err != nil {
		planned.violations = append(planned.violations, err)
	}
	if len(planned.writes) > site.TxnOps {
		planned.violations = append(planned.violations, ErrTooManyTeams)
	}
	if len(planned.violations) > 0 || check {
		return errors.Join(planned.violations...)
	}
	return records.Commit(ctx, planned.conditions, planned.writes)
}

// plan is the transaction for a list of changes.
type plan struct {
	accounts   map[string]*wire.Account // of all teams, after the transaction
	conditions []kv.Condition
	writes     []kv.Write
	violations []error // changes that are not possible
}

// newPlan applies changes to the stored accounts.
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
