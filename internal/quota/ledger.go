package quota

import "micaport/internal/wire"

// Ledger is one controller's view of all accounts: their records as its copy shows them,
// and the charges that follow from the jobs' records.
type Ledger struct {
	shards int
	teams  []teamAccount
}

// teamAccount is what is known of one team.
type teamAccount struct {
	settings Quota // hold where no record says otherwise
	record   *wire.Account
	revision uint64
	err      error // why the record can't be used

	byLeader Amount   // charged to what no share holds
	admitted []Amount // charged to the shares, by shard
}

// NewLedger makes a ledger for teams, by index, at a site with a number of shards.
func NewLedger(teams []Quota, parts int) *Ledger {
	l := &Ledger{shards: parts, teams: make([]teamAccount, len(teams))}
	for i, terms := range teams {
		l.teams[i] = teamAccount{settings: terms, admitted: make([]Amount, parts)}
	}
	return l
}

// SetRecord takes in a team's record, or its absence, at a revision.
func (l *Ledger) SetRecord(team int, record *wire.Account, rev uint64) error {
	t := &l.teams[team]
	if rev <= t.revision {
		return nil
	}
	t.record, t.revision, t.err = record, rev, nil
	if record != nil {
		t.err = Validate(record, l.shards)
	}
	return t.err
}

// ChargeLeader adds to what is charged to no share; a negative amount removes.
func (l *Ledger) ChargeLeader(team int, a Amount) {
	t := &l.teams[team]
	t.byLeader = t.byLeader.Plus(a)
}

// ChargeShare adds to what is charged to the share of a shard.
func (l *Ledger) ChargeShare(team, part int, a Amount) {
	t := &l.teams[team]
	t.admitted[part] = t.admitted[part].Plus(a)
}

// Used is all that a team's tasks are charged.
func (l *Ledger) Used(team int) Amount {
	t := &l.teams[team]
	sum := t.byLeader
	for _, a := range t.admitted {
		sum = sum.Plus(a)
	}
	return sum
}

// Quota are those in force for a team. A record that can't be read in whole counts for
// nothing but its terms, if those are sound; what is granted then is bounded by the
// smaller of both limits.
func (l *Ledger) Quota(team int) Quota {
	t := &l.teams[team]
	if t.record == nil || t.err != nil && validateQuota(t.record.Limit, t.record.Guarantee) != nil {
		return t.settings
	}
	return QuotaOf(t.record.Limit, t.record.Guarantee)
}

// Revision is that of the team's record; 0 where there is none. Whatever is admitted or
// granted for the team is conditional on it.
func (l *Ledger) Revision(team int) uint64 {
	if l.teams[team].record == nil {
		return 0
	}
	return l.teams[team].revision
}

// Fault is why a team's record can't be used, or nil.
func (l *Ledger) Fault(team int) error { return l.teams[team].err }

// share is what a shard may hold by itself, and whether it may admit at all.
func (t *teamAccount) share(part int) (Amount, bool) {
	if t.record == nil || t.err != nil {
		return Amount{}, false
	}
	for _, s := range t.record.Shares {
		if s.Shard == part {
			return Of(s.Cores, s.GPUs), true
		}
	}
	return Amount{}, false
}

// reserved is what the shares hold or have admitted, whichever is more of each. An owner
// may have admitted up to its share without the replica showing it yet; and what it admitted
// before its share was reduced stays charged until it is gone.
func (t *teamAccount) reserved() Amount {
	sum := Amount{}
	for part, admitted := range t.admitted {
		share, _ := t.share(part)
		sum = sum.Plus(share.max(admitted))
	}
	return sum
}

// MayGrant tells whether the leader may charge more to what no share holds, given how far
// its copy of the records goes. A copy that shows the account but not all that came
// before it could miss what was admitted under the account's earlier shares.
func (l *Ledger) MayGrant(team int, more Amount, copyRev uint64) bool {
	t := &l.teams[team]
	limit := l.Quota(team).Limit
	if t.record != nil && (copyRev < t.revision || t.err != nil && !t.hasValidQuota()) {
		return false
	}
	return t.byLeader.Plus(t.reserved()).Plus(more).within(limit)
}

// Fits tells whether a team's limit has room for an amount when nothing else runs.
func (l *Ledger) Fits(team int, a Amount) bool { return a.within(l.Quota(team).Limit) }

// hasValidQuota tells whether a faulty record still says what the limit is.
func (t *teamAccount) hasValidQuota() bool {
	return !t.record.Unreadable && validateQuota(t.record.Limit, t.record.Guarantee) == nil
}

// MayAdmit tells whether the owner of a shard may charge more to the shard's share.
func (l *Ledger) MayAdmit(team, part int, more Amount, copyRev uint64) bool {
	t := &l.teams[team]
	share, open := t.share(part)
	if !open || copyRev < t.revision {
		return false
	}
	limit := l.Quota(team).Limit
	charged := t.admitted[part].Plus(more).relevant(limit)
	return share.covers(charged)
}

// Excess is by how much a team uses more than its limit; it can, for as long as tasks
// run that were started before the limit was lowered.
func (l *Ledger) Excess(team int) Amount {
	limit := l.Quota(team).Limit
	return l.Used(team).Minus(limit).relevant(limit).max(Amount{})
}
