package replica

import (
	"slices"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// initQuotas begins with the quotas of the settings.
func (r *Replica) initQuotas() {
	quotas := make([]quota.Quota, len(r.cfg.Teams))
	for i := range r.cfg.Teams {
		team := &r.cfg.Teams[i]
		quotas[i] = quota.Quota{Limit: quota.NewAmount(team.MaxCores, team.MaxGPUs), Guarantee: quota.NewAmount(team.GuaranteedCores, team.GuaranteedGPUs)}
	}
	r.ledger = quota.NewLedger(quotas, r.cfg.Shards)
	r.quotas = slices.Clone(r.cfg.Teams)
}

// Ledger is the ledger of the teams' accounts. Only the replica charges it.
func (r *Replica) Ledger() *quota.Ledger { return r.ledger }

// Quota is a team's guarantee and limit in force.
func (r *Replica) Quota(team int) *Team { return &r.quotas[team] }

// PutAccount applies the record of a team's account, or its absence.
func (r *Replica) PutAccount(name string, account *wire.Account, revision uint64) {
	team := r.names.Teams.Find(name)
	if team < 0 {
		return
	}
	before := r.ledger.Quota(team)
	if err := r.ledger.SetRecord(team, account, revision); err != nil {
		r.observer.AccountInvalid(team, err)
		return
	}
	if now := r.ledger.Quota(team); now != before {
		q := &r.quotas[team]
		q.MaxCores, q.MaxGPUs = now.Limit.Decimal()
		q.GuaranteedCores, q.GuaranteedGPUs = now.Guarantee.Decimal()
		r.observer.QuotaChanged(team)
	}
}

// charge adds the active tasks of a job to what its team is charged, or removes them with
// sign -1.
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
