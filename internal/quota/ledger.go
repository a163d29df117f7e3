package quota

import "micaport/internal/wire"

// Ledger is a controller's view of the accounts of all teams: their records, as in the
// controller's replica, and the charges that result from the records of the jobs. Teams and
// shards are identified by their indices in the settings.
type Ledger struct {
	shards   int
	accounts []teamAccount // by team
}

// teamAccount is the account of one team.
type teamAccount struct {
	settingsQuota Quota         // quota of the settings, in force if no record exists
	record        *wire.Account // nil: no record exists
	revision      uint64        // of the record, or of its deletion
	err           error         // why the record is invalid, or nil

	chargedToLeader Amount
	chargedToShares []Amount // by shard
}

// NewLedger returns a ledger for a site with a number of shards and for teams with the given
// quotas in the settings.
func NewLedger(teams []Quota, shards int) *Ledger {
	ledger := &Ledger{shards: shards, accounts: make([]teamAccount, len(teams))}
	for i, settings := range teams {
		ledger.accounts[i] = teamAccount{settingsQuota: settings, chargedToShares: make([]Amount, shards)}
	}
	return ledger
}

// SetRecord sets a team's record at a revision; nil means that the record does not exist. It does
// nothing unless the revision is newer than that of the last call. It returns the error that makes
// the new record invalid, or nil; RecordError returns the same error later.
func (l *Ledger) SetRecord(team int, record *wire.Account, revision uint64) error {
	account := &l.accounts[team]
	if revision <= account.revision {
		return nil
	}
	account.record = record
	account.revision = revision
	account.err = nil
	if record != nil {
		account.err = Validate(record, l.shards)
	}
	return account.err
}

// ChargeLeader adds an amount, which may be negative, to the leader's charge for a team.
func (l *Ledger) ChargeLeader(team int, amount Amount) {
	account := &l.accounts[team]
	account.chargedToLeader = account.chargedToLeader.Plus(amount)
}

// ChargeShare adds an amount, which may be negative, to the charge to a shard's share.
func (l *Ledger) ChargeShare(team, shard int, amount Amount) {
	account := &l.accounts[team]
	account.chargedToShares[shard] = account.chargedToShares[shard].Plus(amount)
}

// Used returns the sum of all charges of a team.
func (l *Ledger) Used(team int) Amount { return l.accounts[team].used() }

func (t *teamAccount) used() Amount {
	sum := t.chargedToLeader
	for _, charged := range t.chargedToShares {
		sum = sum.Plus(charged)
	}
	return sum
}

// Quota returns the quota in force for a team. It is that of the team's record, or that of the
// settings if no record exists or the quota in the record is invalid. The quota of a record whose
// shares are invalid may still be valid. An unreadable record has no values, so Quota returns a
// quota with neither a limit nor a guarantee for it; but MayGrant grants nothing under it, nor
// under any other record without a valid quota.
func (l *Ledger) Quota(team int) Quota {
	account := &l.accounts[team]
	if account.record == nil || account.err != nil && validateQuota(account.record.Limit, account.record.Guarantee) != nil {
		return account.settingsQuota
	}
	return quotaOf(account.record.Limit, account.record.Guarantee)
}

// Revision returns the revision of a team's record, or 0 if no record exists. Every transaction
// that admits or grants work of the team is conditional on it.
func (l *Ledger) Revision(team int) uint64 {
	if l.accounts[team].record == nil {
		return 0
	}
	return l.accounts[team].revision
}

// RecordError returns the error that makes a team's record invalid, or nil if it is valid.
func (l *Ledger) RecordError(team int) error { return l.accounts[team].err }

// share returns the share of a shard. exists is false if the shard has no share, so that its owner
// may admit nothing, not even resources without a limit.
func (t *teamAccount) share(shard int) (share Amount, exists bool) {
	if t.record == nil || t.err != nil {
		return Amount{}, false
	}
	for _, s := range t.record.Shares {
		if s.Shard == shard {
			return NewAmount(s.Cores, s.GPUs), true
		}
	}
	return Amount{}, false
}

// reserved returns the amount that is reserved for the shards: for each shard, the larger of its
// share and the charges to it. An owner may have admitted work up to its share that the replica
// does not contain yet, and work admitted before a share was lowered stays charged until it has
// ended.
func (t *teamAccount) reserved() Amount {
	sum := Amount{}
	for shard, charged := range t.chargedToShares {
		share, _ := t.share(shard)
		sum = sum.Plus(share.max(charged))
	}
	return sum
}

// MayGrant reports whether the leader may grant work that needs an amount. revision is that of the
// leader's replica. Until the replica has reached the revision of the account's record, it may lack
// work that owners admitted within the shares of earlier records, so nothing may be granted.
// Nothing may be granted under a record with an invalid quota either.
func (l *Ledger) MayGrant(team int, amount Amount, revision uint64) bool {
	account := &l.accounts[team]
	if account.record != nil && (revision < account.revision || account.err != nil && !account.hasValidQuota()) {
		return false
	}
	return account.chargedToLeader.Plus(account.reserved()).Plus(amount).within(l.Quota(team).Limit)
}

// hasValidQuota reports whether the quota of a record is valid, even if its shares are not.
func (t *teamAccount) hasValidQuota() bool {
	return !t.record.Unreadable && validateQuota(t.record.Limit, t.record.Guarantee) == nil
}

// FitsLimit reports whether an amount is within a team's limit if nothing else runs.
func (l *Ledger) FitsLimit(team int, amount Amount) bool { return amount.within(l.Quota(team).Limit) }

// MayAdmit reports whether the owner of a shard may admit work that needs an amount: whether the
// shard's share covers the amount and what is already charged to it. revision is that of the
// owner's replica; see MayGrant for why it is needed.
func (l *Ledger) MayAdmit(team, shard int, amount Amount, revision uint64) bool {
	account := &l.accounts[team]
	share, exists := account.share(shard)
	if !exists || revision < account.revision {
		return false
	}
	charged := account.chargedToShares[shard].Plus(amount)
	return share.covers(charged.limitedResources(l.Quota(team).Limit))
}

// Excess returns by how much a team's usage exceeds its limit. This happens while tasks run that
// were started before the limit was lowered.
func (l *Ledger) Excess(team int) Amount {
	limit := l.Quota(team).Limit
	return l.Used(team).Minus(limit).limitedResources(limit).nonNegative()
}
