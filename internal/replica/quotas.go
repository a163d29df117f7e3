package replica

import (
	"slices"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// initQuotas creates the ledger with the quotas from the settings.
func (r *Replica) initQuotas() {
	quotas := make([]quota.Quota, len(r.cfg.Teams))
	for i := range r.cfg.Teams {
		team := &r.cfg.Teams[i]
		quotas[i] = quota.Quota{Limit: quota.NewAmount(team.MaxCores, team.MaxGPUs), Guarantee: quota.NewAmount(team.GuaranteedCores, team.GuaranteedGPUs)}
	}
	r.ledger = quota.NewLedger(quotas, r.cfg.Shards)
	r.quotas = slices.Clone(r.cfg.Teams)
}

// Ledger returns the ledger of the teams' accounts. Only the replica updates it.
func (r *Replica) Ledger() *quota.Ledger { return r.ledger }

// Quota returns the guarantee and the limit of a team that are in force.
func (r *Replica) Quota(team int) *Team { return &r.quotas[team] }

// PutAccount applies the record of a team's account, or its absence if account is nil.
func (r *Replica) PutAccount(name string, account *wire.Account, revision uint64) {
	team := r.names.Teams.Find(name)
	if team < 0 {
		return
	}
	previous := r.ledger.Quota(team)
	if err := r.ledger.SetRecord(team, account, revision); err != nil {
		r.observer.AccountInvalid(team, err)
		return
	}
	if current := r.ledger.Quota(team); current != previous {
		q := &r.quotas[team]
		q.MaxCores, q.MaxGPUs = current.Limit.Decimal()
		q.GuaranteedCores, q.GuaranteedGPUs = current.Guarantee.Decimal()
		r.observer.QuotaChanged(team)
	}
}

// charge adds the demand of a job's active tasks to the charges of its team if sign is 1, and
// subtracts it if sign is -1.
func (r *Replica) charge(job *Job, sign int) {
	if job.Record == nil || job.Record.Spec == nil || job.Team < 0 {
		return
	}
	grantedByLeader := 0
	for i := range job.Record.ActiveTasks {
		if a := &job.Record.ActiveTasks[i]; a.Admitted {
			r.ledger.ChargeShare(job.Team, a.Shard, job.Demand(sign))
		} else {
			grantedByLeader++
		}
	}
	r.ledger.ChargeLeader(job.Team, job.Demand(sign*grantedByLeader))
}
