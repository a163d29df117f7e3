package quota

import "micaport/internal/wire"

// Demand is the input to the distribution of a team's shares, besides the account.
type Demand struct {
	Owned   []bool // by shard: it has an owner that may admit work
	Blocked bool   // the leader has work that only the limit keeps from starting
	Granted Amount // what the leader grants in the same transaction
	Enabled bool   // whether owners may have shares; if not, all shares are revoked
}

// Reason is the reason why a team's shares are redistributed.
type Reason int

// Reasons for a redistribution. After Unchanged, the most urgent comes first.
const (
	Unchanged Reason = iota // no redistribution
	Revoked                 // shares are disabled, or a shard with a share has no owner that may admit work
	Reclaimed               // idle shares are revoked for work that fits into no single share
	Renewed                 // the settings have changed, or no record exists yet
	Balanced                // the shares no longer match the free part of the limit
)

const (
	// distributedFraction is the divisor of the free part of the limit that gives the part to
	// distribute. With one half, the leader, which grants the work that fits into no share,
	// keeps as much as all owners together.
	distributedFraction = 2
	// refillFraction is the divisor of the headroom of a shard: its share is raised when less
	// than half of the headroom is idle.
	refillFraction = 2
	// leaderFraction is the divisor of the free part of the limit that gives the leader's
	// minimum: the shares are lowered when they leave the leader less than a quarter.
	leaderFraction = 4
)

// Distribute returns the account of a team that should be written next and the reason, or nil
// and Unchanged if it need not be written.
//
// A share may be lowered at once, down to the part of it that is in use, but it is raised only
// from the part of the limit that is in no share according to the record. The owner of a shard
// may admit work within its share at the moment at which the share is lowered. Whether the
// revoked part is free is known only once the replica has reached the revision that lowered it.
func (l *Ledger) Distribute(team int, demand Demand) (*wire.Account, Reason) {
	account := &l.accounts[team]
	if account.record == nil && !demand.Enabled || account.err != nil {
		return nil, Unchanged
	}
	quota := l.Quota(team)
	if account.record == nil || account.record.Version == 0 {
		quota = account.settings
	}
	d := newDistribution(account, quota.Limit, demand)
	d.distribute()
	switch {
	case account.record == nil, d.reason == Unchanged && quota != l.Quota(team):
		d.reason = Renewed
	case d.reason == Unchanged:
		return nil, Unchanged
	}
	return account.newRecord(quota, d.shares), d.reason
}

// newRecord returns a record with a quota and shares and with the version of the current record.
func (t *teamAccount) newRecord(quota Quota, shares []shardShare) *wire.Account {
	record := &wire.Account{}
	if t.record != nil {
		record.Version = t.record.Version
	}
	record.Limit.Cores, record.Limit.GPUs = quota.Limit.Decimal()
	record.Guarantee.Cores, record.Guarantee.GPUs = quota.Guarantee.Decimal()
	for _, share := range shares {
		cores, gpus := share.amount.Decimal()
		record.Shares = append(record.Shares, wire.Share{Shard: share.shard, Cores: cores, GPUs: gpus})
	}
	return record
}

// shardShare is the share of a shard.
type shardShare struct {
	shard  int
	amount Amount
}

// distribution is the computation of new shares for a team.
type distribution struct {
	account *teamAccount
	limit   Amount
	demand  Demand

	free       Amount // part of the limit that the replica shows as not in use
	unassigned Amount // neither charged to the leader nor reserved for a shard, so certainly not in use
	reason     Reason
	shares     []shardShare
}

func newDistribution(account *teamAccount, limit Amount, demand Demand) *distribution {
	byLeader := account.byLeader.Plus(demand.Granted)
	return &distribution{
		account: account, limit: limit, demand: demand,
		free:       limit.Minus(account.used().Plus(demand.Granted)).limited(limit).positive(),
		unassigned: limit.Minus(byLeader).Minus(account.reserved()).limited(limit).positive(),
	}
}

// distribute computes the new shares and the reason to write them.
func (d *distribution) distribute() {
	headroom := d.headroom()
	idle := Amount{}
	for shard := range d.account.admitted {
		idle = idle.Plus(d.distributeTo(shard, headroom))
	}
	// When usage has grown, the shares may contain most of the free part of the limit, and the
	// leader would soon have nothing left to grant.
	mostOfFree := d.free.Minus(d.free.dividedBy(leaderFraction))
	if d.reason == Unchanged && !mostOfFree.covers(idle) {
		d.reason = Balanced
	}
	if d.reason == Balanced && !d.differs() {
		d.reason = Unchanged
	}
}

// headroom returns how much each shard should be able to admit beyond its current usage.
func (d *distribution) headroom() Amount {
	owners := 0
	for _, owned := range d.demand.Owned {
		if owned {
			owners++
		}
	}
	if !d.demand.Enabled || d.demand.Blocked || owners == 0 {
		return Amount{}
	}
	return d.free.dividedBy(distributedFraction * owners).whole()
}

// distributeTo computes the new share of a shard and returns the idle part of its current share.
func (d *distribution) distributeTo(shard int, headroom Amount) (idle Amount) {
	share, open := d.account.share(shard)
	share = share.limited(d.limit)
	admitted := d.account.admitted[shard].limited(d.limit)
	idle = share.Minus(admitted).positive()
	if !d.demand.Enabled || !d.demand.Owned[shard] {
		if open {
			d.note(Revoked)
		}
		return idle
	}
	if d.demand.Blocked {
		d.shares = append(d.shares, shardShare{shard, share.min(admitted)})
		if idle != (Amount{}) {
			d.note(Reclaimed)
		}
		return idle
	}
	target := admitted.Plus(headroom)
	lowered := share.min(target)
	raise := target.Minus(lowered).min(d.unassigned).whole()
	d.unassigned = d.unassigned.Minus(raise)
	if !open || !idle.covers(headroom.dividedBy(refillFraction)) && raise != (Amount{}) {
		d.note(Balanced)
	}
	d.shares = append(d.shares, shardShare{shard, lowered.Plus(raise)})
	return idle
}

// note sets the reason unless a more urgent one is already set.
func (d *distribution) note(reason Reason) {
	if d.reason == Unchanged || reason < d.reason {
		d.reason = reason
	}
}

// differs reports whether the new shares differ from those of the record.
func (d *distribution) differs() bool {
	if d.account.record == nil || len(d.shares) != len(d.account.record.Shares) {
		return true
	}
	for _, next := range d.shares {
		if current, open := d.account.share(next.shard); !open || current != next.amount {
			return true
		}
	}
	return false
}
