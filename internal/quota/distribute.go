package quota

import "micaport/internal/wire"

// Demand is what the dealing of a team's shares goes by.
type Demand struct {
	Owned   []bool // by shard: it has an owner that may admit
	Blocked bool   // the leader has work for which only the limit leaves no room
	Granted Amount // by the leader in the same write
	Enabled bool   // shares are distributed at all; otherwise they are cancelled
}

// Reason says why shares are distributed anew.
type Reason int

// Reasons, those that can't wait first.
const (
	Unchanged Reason = iota
	Revoked          // shares are no longer wanted, or their holder is gone
	Reclaimed        // for work that no single share has room for
	Renewed          // the settings have changed
	Balanced         // the shares no longer fit what is free
)

// Distribute gives the account as it should be written next, or no reason to write it.
//
// Shares are lowered to what is used of them at once, but raised only from what no share
// holds as the record stands: what is being cancelled from one share may have been spent
// by its holder in this moment, and is known to be free only when the copy has reached
// the revision of the cancellation.
func (l *Ledger) Distribute(team int, d Demand) (*wire.Account, Reason) {
	t := &l.teams[team]
	if t.record == nil && !d.Enabled || t.err != nil {
		return nil, Unchanged
	}
	terms := l.Quota(team)
	if t.record == nil || t.record.Version == 0 {
		terms = t.settings
	}
	plan := distribution{account: t, limit: terms.Limit, demand: d}
	plan.run(l.shards)
	if plan.reason == Unchanged && t.record != nil && terms != l.Quota(team) {
		plan.reason = Renewed
	}
	if t.record == nil {
		plan.reason = Renewed
	}
	if plan.reason == Unchanged {
		return nil, Unchanged
	}
	return t.write(terms, plan.shares), plan.reason
}

// write makes the record.
func (t *teamAccount) write(terms Quota, shares []shardShare) *wire.Account {
	account := &wire.Account{}
	if t.record != nil {
		account.Version = t.record.Version
	}
	account.Limit.Cores, account.Limit.GPUs = terms.Limit.Decimal()
	account.Guarantee.Cores, account.Guarantee.GPUs = terms.Guarantee.Decimal()
	for _, s := range shares {
		cores, cards := s.amount.Decimal()
		account.Shares = append(account.Shares, wire.Share{Shard: s.shard, Cores: cores, GPUs: cards})
	}
	return account
}

// shardShare is the share of one shard.
type shardShare struct {
	shard  int
	amount Amount
}

// distribution works out one team's shares.
type distribution struct {
	account *teamAccount
	limit   Amount
	demand  Demand

	free       Amount // of the limit: neither used nor needed for what the leader grants
	unassigned Amount // of that: held by no share, so certainly unspent
	reason     Reason
	shares     []shardShare
}

// distributedFraction is the part of what is free that is distributed out: half, so that the leader,
// which serves whatever no share has room for, keeps as much as all owners together.
const distributedFraction = 2

func (x *distribution) run(parts int) {
	used := x.account.byLeader.Plus(x.demand.Granted)
	x.unassigned = x.limit.Minus(used).Minus(x.account.reserved())
	for _, admitted := range x.account.admitted {
		used = used.Plus(admitted)
	}
	x.free = x.limit.Minus(used).relevant(x.limit).max(Amount{})
	x.unassigned = x.unassigned.relevant(x.limit).max(Amount{})
	owners := 0
	for _, owned := range x.demand.Owned {
		if owned {
			owners++
		}
	}
	headroom := Amount{}
	if x.demand.Enabled && !x.demand.Blocked && owners > 0 {
		headroom = x.free.dividedBy(distributedFraction * owners).whole()
	}
	idle := Amount{}
	for part := range parts {
		idle = idle.Plus(x.distributeTo(part, headroom))
	}
	// The shares hold most of what is free, as use has grown: the leader would soon be
	// left without any.
	if x.reason == Unchanged && !x.free.Minus(x.free.dividedBy(4)).covers(idle) {
		x.reason = Balanced
	}
	if x.reason == Balanced && !x.differs() {
		x.reason = Unchanged
	}
}

// distributeTo distributes one shard's share and gives how much of its present share is idle.
func (x *distribution) distributeTo(part int, headroom Amount) Amount {
	admitted := x.account.admitted[part]
	share, open := x.account.share(part)
	share, admitted = share.relevant(x.limit), admitted.relevant(x.limit)
	idle := share.Minus(admitted).max(Amount{})
	if !x.demand.Enabled || !x.demand.Owned[part] {
		if open {
			x.note(Revoked)
		}
		return idle
	}
	if x.demand.Blocked {
		x.shares = append(x.shares, shardShare{part, share.min(admitted)})
		if idle != (Amount{}) {
			x.note(Reclaimed)
		}
		return idle
	}
	target := admitted.Plus(headroom)
	next := share.min(target)
	raise := target.Minus(next).min(x.unassigned).whole()
	x.unassigned = x.unassigned.Minus(raise)
	if !open || !idle.covers(headroom.dividedBy(2)) && raise != (Amount{}) {
		x.note(Balanced)
	}
	x.shares = append(x.shares, shardShare{part, next.Plus(raise)})
	return idle
}

// note keeps the most pressing reason.
func (x *distribution) note(r Reason) {
	if x.reason == Unchanged || r < x.reason {
		x.reason = r
	}
}

// differs tells whether the shares distributed are other than those of the record.
func (x *distribution) differs() bool {
	if x.account.record == nil || len(x.shares) != len(x.account.record.Shares) {
		return true
	}
	for _, s := range x.shares {
		if now, open := x.account.share(s.shard); !open || now != s.amount {
			return true
		}
	}
	return false
}
