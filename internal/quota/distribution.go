package quota

import "micaport/internal/wire"

// Demand is what the distribution of a team's shares depends on, besides the account.
type Demand struct {
	Owned   []bool // by shard: it has an owner that may admit
	Blocked bool   // the leader has work that waits only for room within the limit
	Granted Amount // by the leader in the same transaction
	Enabled bool   // shares are distributed at all; otherwise they are revoked
}

// Reason says why shares are distributed anew.
type Reason int

// Reasons for a distribution, the most urgent first.
const (
	Unchanged Reason = iota // none
	Revoked                 // shares are switched off, or their holder is gone
	Reclaimed               // idle shares are taken back for work for which no single share has room
	Renewed                 // the settings have changed, or there is no record yet
	Balanced                // the shares no longer fit what is free
)

const (
	// distributedFraction divides what is free of the limit: half of it is distributed, so
	// that the leader, which serves what no share has room for, keeps as much as all owners
	// together.
	distributedFraction = 2
	// refillFraction divides what a shard would get anew: its share is raised when less than
	// half of that is idle.
	refillFraction = 2
	// leaderFraction divides what is free: the shares are lowered when less than a quarter of
	// it is left to the leader.
	leaderFraction = 4
)

// Distribute returns the account of a team as it should be written next, and why; without a
// reason to write it, nil and Unchanged.
//
// A share is lowered to what is used of it at once, but raised only from what no share holds
// according to the record. What is revoked from a share may be spent by its holder at the same
// moment; it is known to be free only once the replica has reached the revision at which it was
// revoked.
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

// newRecord returns the record with a quota and shares, and the version of the present one.
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

// distribution computes the shares of a team.
type distribution struct {
	account *teamAccount
	limit   Amount
	demand  Demand

	free       Amount // of the limit: not used
	unassigned Amount // of the limit: not used by the leader and in no share, so certainly unspent
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

func (d *distribution) distribute() {
	headroom := d.headroom()
	idle := Amount{}
	for shard := range d.account.admitted {
		idle = idle.Plus(d.distributeTo(shard, headroom))
	}
	// As the use has grown, the shares may hold most of what is free. The leader would soon
	// have nothing left to grant.
	mostOfFree := d.free.Minus(d.free.dividedBy(leaderFraction))
	if d.reason == Unchanged && !mostOfFree.covers(idle) {
		d.reason = Balanced
	}
	if d.reason == Balanced && !d.differs() {
		d.reason = Unchanged
	}
}

// headroom returns how much each shard should be able to admit besides what it uses.
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

// distributeTo computes the new share of a shard and returns what is idle of its present one.
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

// note keeps the most urgent reason.
func (d *distribution) note(reason Reason) {
	if d.reason == Unchanged || reason < d.reason {
		d.reason = reason
	}
}

// differs reports whether the new shares are not those of the record.
func (d *distribution) differs() bool {
	if d.account.record == nil || len(d.shares) != len(d.account.record.Shares) {
		return true
	}
	for _, next := range d.shares {
		if present, open := d.account.share(next.shard); !open || present != next.amount {
			return true
		}
	}
	return false
}
