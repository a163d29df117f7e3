// Package limits serves the operators' commands on the limits of teams: it shows the
// accounts with what is used of them, and changes their terms while the controllers serve.
package quotactl

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"micaport/internal/config"
	"micaport/internal/core"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

// Records is the state service, as far as the commands need it.
type Records interface {
	List(prefix string) (map[string]core.Event, error)
	Commit(conds []core.Condition, writes []core.Write) error
}

// Site is what the commands know of a deployment.
type Site struct {
	Shards      []core.ShardID
	Controllers []string
	Teams       []config.Team
	TxnOps      int
	MaxMachines int // that operators allow; 0: any number
}

// SiteOf takes a site from the settings.
func SiteOf(s *config.Settings, op config.OperatorSettings) *Site {
	members := []core.Member{{Name: s.Label, Zone: s.Zone}}
	for _, p := range s.Peers {
		members = append(members, core.Member{Name: p.Label, Zone: p.Zone})
	}
	site := &Site{
		Shards: core.Shards(s.Deployment.Zones, members), Teams: s.Deployment.Teams,
		TxnOps: s.StateLimits().TxnOps, MaxMachines: op.MaxMachines,
	}
	for _, m := range members {
		site.Controllers = append(site.Controllers, m.Name)
	}
	return site
}

// Usage is what a team's active tasks take.
type Usage struct {
	Granted  wire.Resources         `json:"granted"`  // by the leader
	Admitted map[int]wire.Resources `json:"admitted"` // by owners, by shard
}

// Account is the state of a team's account.
type Account struct {
	Team      string         `json:"team"`
	Version   uint64         `json:"version"`
	Limit     wire.Resources `json:"limit"`
	Guarantee wire.Resources `json:"guarantee"`
	Shares    []wire.Share   `json:"shares,omitempty"`
	Usage     Usage          `json:"usage"`
	Error     string         `json:"fault,omitempty"`

	record   *wire.Account
	revision uint64
}

// Read gives the accounts of all teams in the order of the settings.
func Read(records Records, site *Site) ([]Account, error) {
	stored, err := records.List(wire.AccountPrefix)
	if err != nil {
		return nil, err
	}
	usage, err := readUsage(records)
	if err != nil {
		return nil, err
	}
	var accounts []Account
	for i := range site.Teams {
		account := accountOf(&site.Teams[i], stored, len(site.Shards))
		account.Usage = usage[account.Team]
		accounts = append(accounts, account)
	}
	return accounts, nil
}

// accountOf is a team's account as stored, or as the settings have it.
func accountOf(team *config.Team, stored map[string]core.Event, parts int) Account {
	record := &wire.Account{
		Limit:     wire.Resources{Cores: team.MaxCores, GPUs: team.MaxGPUs},
		Guarantee: wire.Resources{Cores: team.GuaranteedCores, GPUs: team.GuaranteedGPUs},
	}
	account := Account{Team: team.Name}
	event, present := stored[wire.AccountKey(team.Name)]
	if present {
		account.revision = event.Revision
		kept, _ := event.Value.(*wire.Account)
		if err := quota.Validate(kept, parts); err != nil {
			account.Error = err.Error()
		}
		switch {
		case kept.Unreadable:
			record.Unreadable = true // a change is based on the settings then
		case account.Error != "":
			withoutShares := *kept
			withoutShares.Shares = nil
			record = &withoutShares
		default:
			record = kept
		}
	}
	account.record, account.Version, account.Shares = record, record.Version, record.Shares
	account.Limit, account.Guarantee = record.Limit, record.Guarantee
	return account
}

// readUsage adds up what the active tasks of all jobs take.
func readUsage(records Records) (map[string]Usage, error) {
	jobs, err := records.List(wire.JobPrefix)
	if err != nil {
		return nil, err
	}
	continuations, err := records.List(wire.OverflowPrefix)
	if err != nil {
		return nil, err
	}
	teams := map[string]Usage{}
	for key, event := range jobs {
		job, is := event.Value.(*wire.Job)
		if !is || job.Spec == nil {
			continue
		}
		active := slices.Clone(job.ActiveTasks)
		for k := 1; k <= job.OverflowKeys; k++ {
			further := continuations[wire.OverflowKey(key[len(wire.JobPrefix):], k)]
			if c, is := further.Value.(*wire.Overflow); is {
				active = append(active, c.ActiveTasks...)
			}
		}
		usage := teams[job.Spec.Team]
		usage.add(active, wire.Resources{Cores: job.Spec.Cores, GPUs: job.Spec.GPUs})
		teams[job.Spec.Team] = usage
	}
	return teams, nil
}

func (u *Usage) add(active wire.ActiveTasks, each wire.Resources) {
	for i := range active {
		if !active[i].Admitted {
			u.Granted = sum(u.Granted, each)
			continue
		}
		if u.Admitted == nil {
			u.Admitted = map[int]wire.Resources{}
		}
		u.Admitted[active[i].Shard] = sum(u.Admitted[active[i].Shard], each)
	}
}

func sum(a, b wire.Resources) wire.Resources {
	return wire.Resources{Cores: a.Cores + b.Cores, GPUs: a.GPUs + b.GPUs}
}

// ErrTooManyTeams says that a file changes more teams than one transaction can.
var ErrTooManyTeams = errors.New("more teams are changed at once than the state service takes in a transaction")

// Apply makes changes, all of them or none. With check set nothing is written. The error
// names every fault.
func Apply(records Records, site *Site, changes []quota.Change, check bool) error {
	if err := allUpgraded(records, site); err != nil {
		return err
	}
	stored, err := records.List(wire.AccountPrefix)
	if err != nil {
		return err
	}
	types, err := records.List(wire.MachineTypesKey)
	if err != nil {
		return err
	}
	next, conds, writes, faults := plan(site, changes, stored)
	if err := site.canHold(next, types); err != nil {
		faults = append(faults, err)
	}
	if len(writes) > site.TxnOps {
		faults = append(faults, ErrTooManyTeams)
	}
	if len(faults) > 0 || check {
		return errors.Join(faults...)
	}
	return records.Commit(conds, writes)
}

// plan works out what changes write, and what all accounts are then.
func plan(site *Site, changes []quota.Change, stored map[string]core.Event) (next map[string]*wire.Account, conds []core.Condition, writes []core.Write, faults []error) {
	next = map[string]*wire.Account{}
	accounts := map[string]Account{}
	for i := range site.Teams {
		account := accountOf(&site.Teams[i], stored, len(site.Shards))
		accounts[account.Team], next[account.Team] = account, account.record
	}
	for i := range changes {
		change := &changes[i]
		account, known := accounts[change.Team]
		if !known {
			faults = append(faults, fmt.Errorf("team %s: %w", change.Team, quota.ErrUnknownTeam))
			continue
		}
		changed, err := change.Apply(account.record)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		next[change.Team] = changed
		key := wire.AccountKey(change.Team)
		conds = append(conds, core.Condition{Key: key, Revision: account.revision})
		writes = append(writes, core.Write{Key: key, Value: changed})
	}
	return next, conds, writes, faults
}

// allUpgraded tells whether every controller reads accounts. One that does not would go
// by the limits of its settings.
func allUpgraded(records Records, site *Site) error {
	formats, err := records.List(wire.FormatPrefix)
	if err != nil {
		return err
	}
	var behind []string
	for _, label := range site.Controllers {
		format, is := formats[wire.FormatPrefix+label].Value.(*wire.SupportedFormat)
		if !is || format.Format < wire.FormatTeamAccounts {
			behind = append(behind, label)
		}
	}
	if len(behind) > 0 {
		return fmt.Errorf("%w: %s", quota.ErrNotAllUpgraded, strings.Join(behind, ", "))
	}
	return nil
}

// canHold checks that the guarantees of all teams fit the site, where its size is known:
// operators have bounded the machines, and the leader has stored their types.
func (s *Site) canHold(accounts map[string]*wire.Account, stored map[string]core.Event) error {
	types, is := stored[wire.MachineTypesKey].Value.(*wire.MachineTypeCache)
	if !is || s.MaxMachines == 0 {
		return nil
	}
	var most, guaranteed wire.Resources
	for i := range types.Types {
		most.Cores = max(most.Cores, types.Types[i].Cores*float64(s.MaxMachines))
		most.GPUs = max(most.GPUs, types.Types[i].GPUs*float64(s.MaxMachines))
	}
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		guaranteed = sum(guaranteed, accounts[name].Guarantee)
	}
	if guaranteed.Cores > most.Cores || guaranteed.GPUs > most.GPUs {
		return fmt.Errorf("%w: %v of %v cores, %v of %v GPUs", quota.ErrBeyondTheSite, guaranteed.Cores, most.Cores, guaranteed.GPUs, most.GPUs)
	}
	return nil
}
