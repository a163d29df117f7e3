package quota

import "micaport/internal/wire"

// Demand is the input to the distribution of a team's shares, besides the account.
type Demand struct {
	HasAdmittingOwner []bool // by shard: its owner may admit work, and is not the leader
	LeaderAtLimit     bool   // the leader has work that only the limit prevents from starting
	Granted           Amount // amount that the leader grants in the same transaction
	SharesEnabled     bool   // shards may have shares; if not set, all shares are revoked
}

// Reason is the reason why a team's shares are redistributed.
type Reason int

// Reasons for a redistribution. After Unchanged, the most urgent comes first.
const (
	Unchanged       Reason = iota // no redistribution
	Revoked                       // shares are disabled, or a shard with a share has no owner that may admit work
	Reclaimed                     // idle shares are revoked for work that fits into no single share
	SettingsApplied               // the settings have changed, or no record exists yet
	Rebalanced                    // the shares no longer match the free part of the limit
)

const (
	// distributedDivisor is the number by which the free part of the limit is divided to get
	// the part that is distributed to the shards. The leader, which grants the work that fits
	// into no share, keeps the other half.
	distributedDivisor = 2
	// refillDivisor is the number by which the headroom of a shard is divided to get the
	// minimum of the idle part of its share: the share is raised when less than half of the
	// headroom is idle.
	refillDivisor = 2
	// leaderDivisor is the number by which the free part of the limit is divided to get the
	// leader's minimum: the shares are lowered when they leave the leader less than a quarter.
	leaderDivisor = 4
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
	if account.record == nil && !demand.SharesEnabled || account.err != nil {
		return nil, Unchanged
	}
	quota := l.Quota(team)
	if account.record == nil || account.record.Version == 0 { // no operator has changed the quota
		quota = account.settingsQuota
	}
	d := newDistribution(account, quota.Limit, demand)
	d.distribute()
	switch {
	case account.record == nil, d.reason == Unchanged && quota != l.Quota(team):
		d.reason = SettingsApplied
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

// newDistribution returns the computation of a team's shares, with no shard processed yet.
// Unassigned is at most free, as it excludes the idle parts of the shares, which the owners may be
// using already.
func newDistribution(account *teamAccount, limit Amount, demand Demand) *distribution {
	chargedToLeader := account.chargedToLeader.Plus(demand.Granted)
	return &distribution{
		account: account, limit: limit, demand: demand,
		free:       limit.Minus(account.used().Plus(demand.Granted)).limitedResources(limit).nonNegative(),
		unassigned: limit.Minus(chargedToLeader).Minus(account.reserved()).limitedResources(limit).nonNegative(),
	}
}

// distribute computes the new shares and the reason to write them.
func (d *distribution) distribute() {
	headroom := d.headroom()
	idle := Amount{}
	for shard := range d.account.chargedToShares {
		idle = idle.Plus(d.addShare(shard, headroom))
	}
	// When usage has grown, the shares may contain most of the free part of the limit, and the
	// leader would soon have nothing left to grant.
	mostOfFree := d.free.Minus(d.free.dividedBy(leaderDivisor))
	if d.reason == Unchanged && !mostOfFree.covers(idle) {
		d.reason = Rebalanced
	}
	if d.reason == Rebalanced && !d.sharesDiffer() {
		d.reason = Unchanged
	}
}

// headroom returns how much each shard should be able to admit beyond its current usage.
func (d *distribution) headroom() Amount {
	owners := 0
	for _, hasOwner := range d.demand.HasAdmittingOwner {
		if hasOwner {
			owners++
		}
	}
	if !d.demand.SharesEnabled || d.demand.LeaderAtLimit || owners == 0 {
		return Amount{}
	}
	return d.free.dividedBy(distributedDivisor * owners).roundedDown()
}

// addShare adds the new share of a shard, unless the shard may have none, and returns the idle
// part of its current share. It sets the reason if the change must be written.
func (d *distribution) addShare(shard int, headroom Amount) (idle Amount) {
	share, exists := d.account.share(shard)
	share = share.limitedResources(d.limit)
	charged := d.account.chargedToShares[shard].limitedResources(d.limit)
	idle = share.Minus(charged).nonNegative()
	if !d.demand.SharesEnabled || !d.demand.HasAdmittingOwner[shard] {
		if exists {
			d.setReason(Revoked)
		}
		return idle
	}
	if d.demand.LeaderAtLimit {
		d.shares = append(d.shares, shardShare{shard, share.min(charged)})
		if idle != (Amount{}) {
			d.setReason(Reclaimed)
		}
		return idle
	}
	// A share is lowered to the target at once, but raised only by the amount that is certainly
	// not in use; see Distribute.
	target := charged.Plus(headroom)
	lowered := share.min(target)
	raise := target.Minus(lowered).min(d.unassigned).roundedDown()
	d.unassigned = d.unassigned.Minus(raise)
	if !exists || !idle.covers(headroom.dividedBy(refillDivisor)) && raise != (Amount{}) {
		d.setReason(Rebalanced)
	}
	d.shares = append(d.shares, shardShare{shard, lowered.Plus(raise)})
	return idle
}

// setReason sets the reason unless a more urgent one is already set.
func (d *distribution) setReason(reason Reason) {
	if d.reason == Unchanged || reason < d.reason {
		d.reason = reason
	}
}

// sharesDiffer reports whether the new shares differ from those of the record.
func (d *distribution) sharesDiffer() bool {
	if d.account.record == nil || len(d.shares) != len(d.account.record.Shares) {
		return true
	}
	for _, next := range d.shares {
		if current, exists := d.account.share(next.shard); !exists || current != next.amount {
			return true
		}
	}
	return false
}
