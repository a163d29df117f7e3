package quota

import "micaport/internal/wire"

// Ledger is a controller's view of the accounts of all teams: their records as the controller's
// replica of the records shows them, and the charges that follow from the records of the jobs.
// Teams and shards are identified by their indices in the settings.
type Ledger struct {
	shards   int
	accounts []teamAccount // by team
}

// teamAccount is what is known of a team.
type teamAccount struct {
	settings Quota         // holds where there is no record
	record   *wire.Account // nil: none
	revision uint64        // of the record, or of its removal
	err      error         // why the record can't be used

	byLeader Amount   // charged to the leader
	admitted []Amount // charged to the shares, by shard
}

// NewLedger returns a ledger for teams, whose quotas in the settings it is given, at a site with
// a number of shards.
func NewLedger(teams []Quota, shards int) *Ledger {
	ledger := &Ledger{shards: shards, accounts: make([]teamAccount, len(teams))}
	for i, settings := range teams {
		ledger.accounts[i] = teamAccount{settings: settings, admitted: make([]Amount, shards)}
	}
	return ledger
}

// SetRecord takes in a team's record, or with nil its absence, at a revision. An older revision
// than that known is ignored. The error is that of Validate; it is kept, see Fault.
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

// ChargeLeader adds to what is charged to the leader; a negative amount subtracts.
func (l *Ledger) ChargeLeader(team int, amount Amount) {
	account := &l.accounts[team]
	account.byLeader = account.byLeader.Plus(amount)
}

// ChargeShare adds to what is charged to the share of a shard; a negative amount subtracts.
func (l *Ledger) ChargeShare(team, shard int, amount Amount) {
	account := &l.accounts[team]
	account.admitted[shard] = account.admitted[shard].Plus(amount)
}

// Used returns all that is charged to a team.
func (l *Ledger) Used(team int) Amount { return l.accounts[team].used() }

func (t *teamAccount) used() Amount {
	sum := t.byLeader
	for _, admitted := range t.admitted {
		sum = sum.Plus(admitted)
	}
	return sum
}

// Quota returns the quota in force for a team. Of an invalid record it is used if it is valid by
// itself, otherwise that of the settings holds; but see MayGrant.
func (l *Ledger) Quota(team int) Quota {
	account := &l.accounts[team]
	if account.record == nil || account.err != nil && validateQuota(account.record.Limit, account.record.Guarantee) != nil {
		return account.settings
	}
	return quotaOf(account.record.Limit, account.record.Guarantee)
}

// Revision returns the revision of a team's record, 0 if there is none. Every transaction that
// admits or grants work of the team is conditional on it.
func (l *Ledger) Revision(team int) uint64 {
	if l.accounts[team].record == nil {
		return 0
	}
	return l.accounts[team].revision
}

// Fault returns why a team's record can't be used, or nil if it can.
func (l *Ledger) Fault(team int) error { return l.accounts[team].err }

// share returns the share of a shard. It is not open if the owner may admit nothing at all.
func (t *teamAccount) share(shard int) (share Amount, open bool) {
	if t.record == nil || t.err != nil {
		return Amount{}, false
	}
	for _, s := range t.record.Shares {
		if s.Shard == shard {
			return Of(s.Cores, s.GPUs), true
		}
	}
	return Amount{}, false
}

// reserved returns what is set aside for the shards: of each, the larger of its share and what
// is charged to it. An owner may have admitted up to its share although the replica does not
// show it yet, and what it had admitted before its share was reduced stays charged until it is
// gone.
func (t *teamAccount) reserved() Amount {
	sum := Amount{}
	for shard, admitted := range t.admitted {
		share, _ := t.share(shard)
		sum = sum.Plus(share.max(admitted))
	}
	return sum
}

// MayGrant reports whether the leader may charge more to itself. revision is that of its replica
// of the records. A replica that shows the account but not all that came before it could lack
// what was admitted within the account's earlier shares. Nothing may be granted under a record
// whose limit is invalid.
func (l *Ledger) MayGrant(team int, more Amount, revision uint64) bool {
	account := &l.accounts[team]
	if account.record != nil && (revision < account.revision || account.err != nil && !account.hasValidQuota()) {
		return false
	}
	return account.byLeader.Plus(account.reserved()).Plus(more).within(l.Quota(team).Limit)
}

// hasValidQuota reports whether an invalid record still says what the limit is.
func (t *teamAccount) hasValidQuota() bool {
	return !t.record.Unreadable && validateQuota(t.record.Limit, t.record.Guarantee) == nil
}

// Fits reports whether a team's limit has room for an amount when nothing else runs.
func (l *Ledger) Fits(team int, amount Amount) bool { return amount.within(l.Quota(team).Limit) }

// MayAdmit reports whether the owner of a shard may charge more to the shard's share. revision
// is that of its replica of the records; see MayGrant.
func (l *Ledger) MayAdmit(team, shard int, more Amount, revision uint64) bool {
	account := &l.accounts[team]
	share, open := account.share(shard)
	if !open || revision < account.revision {
		return false
	}
	charged := account.admitted[shard].Plus(more)
	return share.covers(charged.limited(l.Quota(team).Limit))
}

// Excess returns by how much a team's use exceeds its limit. It can do so for as long as tasks
// run that were started before the limit was lowered.
func (l *Ledger) Excess(team int) Amount {
	limit := l.Quota(team).Limit
	return l.Used(team).Minus(limit).limited(limit).positive()
}
