// Package quotactl implements the operators' commands "limits show" and "limits apply", which
// show the accounts of teams with their usage, and change their limits and guarantees while the
// controllers are serving.
package quotactl

import (
	"context"
	"slices"

	"micaport/internal/config"
	"micaport/internal/kv"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

// Usage is the sum of the resources of a team's active tasks.
type Usage struct {
	Granted  wire.Resources         `json:"granted"`  // of tasks granted by the leader
	Admitted map[int]wire.Resources `json:"admitted"` // of tasks admitted by shard owners, by index of the shard
}

// Account is a team's account with its usage.
type Account struct {
	Team      string         `json:"team"`
	Version   uint64         `json:"version"`
	Limit     wire.Resources `json:"limit"`
	Guarantee wire.Resources `json:"guarantee"`
	Shares    []wire.Share   `json:"shares,omitempty"`
	Usage     Usage          `json:"usage"`
	Error     string         `json:"fault,omitempty"` // why the stored record is invalid; empty if it is valid

	record   *wire.Account // the record that a change is based on
	revision uint64        // of the stored record; 0 if there is none
}

// Read returns the accounts of all teams, in the order of the settings.
func Read(ctx context.Context, records Records, site *Site) ([]Account, error) {
	stored, err := records.List(ctx, wire.AccountPrefix)
	if err != nil {
		return nil, err
	}
	usage, err := readUsage(ctx, records)
	if err != nil {
		return nil, err
	}
	var accounts []Account
	for i := range site.Teams {
		account := newAccount(&site.Teams[i], stored, len(site.Shards))
		account.Usage = usage[account.Team]
		accounts = append(accounts, account)
	}
	return accounts, nil
}

// newAccount returns a team's account as stored, without its shares if the record is invalid. If
// no readable record is stored, it returns the account that the settings define.
func newAccount(team *config.Team, stored map[string]kv.Event, shards int) Account {
	record := &wire.Account{
		Limit:     wire.Resources{Cores: team.MaxCores, GPUs: team.MaxGPUs},
		Guarantee: wire.Resources{Cores: team.GuaranteedCores, GPUs: team.GuaranteedGPUs},
	}
	account := Account{Team: team.Name}
	if event, present := stored[wire.AccountKey(team.Name)]; present {
		account.revision = event.Revision
		storedRecord, _ := event.Value.(*wire.Account)
		if err := quota.Validate(storedRecord, shards); err != nil {
			account.Error = err.Error()
		}
		switch {
		case storedRecord.Unreadable:
			record.Unreadable = true // the amounts are those of the settings
		case account.Error != "":
			withoutShares := *storedRecord
			withoutShares.Shares = nil
			record = &withoutShares
		default:
			record = storedRecord
		}
	}
	account.record = record
	account.Version = record.Version
	account.Shares = record.Shares
	account.Limit, account.Guarantee = record.Limit, record.Guarantee
	return account
}

// readUsage returns the usage of each team, the sum over the active tasks of all its jobs.
func readUsage(ctx context.Context, records Records) (map[string]Usage, error) {
	jobs, err := records.List(ctx, wire.JobPrefix)
	if err != nil {
		return nil, err
	}
	overflows, err := records.List(ctx, wire.OverflowPrefix)
	if err != nil {
		return nil, err
	}
	teams := map[string]Usage{}
	for key, event := range jobs {
		job, ok := event.Value.(*wire.Job)
		if !ok || job.Spec == nil {
			continue
		}
		usage := teams[job.Spec.Team]
		usage.add(activeTasks(key[len(wire.JobPrefix):], job, overflows), wire.Resources{Cores: job.Spec.Cores, GPUs: job.Spec.GPUs})
		teams[job.Spec.Team] = usage
	}
	return teams, nil
}

// activeTasks returns the active tasks in a job's record and its overflow records.
func activeTasks(jobID string, job *wire.Job, overflows map[string]kv.Event) wire.ActiveTasks {
	active := slices.Clone(job.ActiveTasks)
	for i := 1; i <= job.OverflowKeys; i++ {
		if overflow, ok := overflows[wire.OverflowKey(jobID, i)].Value.(*wire.Overflow); ok {
			active = append(active, overflow.ActiveTasks...)
		}
	}
	return active
}

// add adds active tasks that use the given resources each.
func (u *Usage) add(active wire.ActiveTasks, each wire.Resources) {
	for i := range active {
		if !active[i].Admitted {
			u.Granted = addResources(u.Granted, each)
			continue
		}
		if u.Admitted == nil {
			u.Admitted = map[int]wire.Resources{}
		}
		u.Admitted[active[i].Shard] = addResources(u.Admitted[active[i].Shard], each)
	}
}

func addResources(a, b wire.Resources) wire.Resources {
	return wire.Resources{Cores: a.Cores + b.Cores, GPUs: a.GPUs + b.GPUs}
}
