package quota

import "micaport/internal/wire"

// Demand is what the dealing of a team's shares goes by.
type Demand struct {
	Owned   []bool // by part: it has an owner that may admit
	Blocked bool   // the leader has work for which only the limit leaves no room
	Granted Amount // by the leader in the same write
	Enabled bool   // shares are dealt at all; otherwise they are withdrawn
}

// Reason says why shares are dealt anew.
type Reason int

// Reasons, those that can't wait first.
const (
	Unchanged Reason = iota
	Withdrawn        // shares are no longer wanted, or their holder is gone
	Gathered         // for work that no single share has room for
	Renewed          // the settings have changed
	Balanced         // the shares no longer fit what is free
)

// Deal gives the account as it should be written next, or no reason to write it.
//
// Shares are lowered to what is used of them at once, but raised only from what no share
// holds as the record stands: what is being withdrawn from one share may have been spent
// by its holder in this moment, and is known to be free only when the copy has reached
// the revision of the withdrawal.
func (l *Ledger) Deal(team int, d Demand) (*wire.Account, Reason) {
	t := &l.teams[team]
	if t.record == nil && !d.Enabled || t.fault != nil {
		return nil, Unchanged
	}
	terms := l.Terms(team)
	if t.record == nil || t.record.Version == 0 {
		terms = t.settings
	}
	plan := dealing{t: t, limit: terms.Limit, demand: d}
	plan.run(l.parts)
	if plan.reason == Unchanged && t.record != nil && terms != l.Terms(team) {
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
func (t *teamAccount) write(terms Terms, shares []partShare) *wire.Account {
	account := &wire.Account{}
	if t.record != nil {
		account.Version = t.record.Version
	}
	account.Limit.Cores, account.Limit.Cards = terms.Limit.Decimal()
	account.Guarantee.Cores, account.Guarantee.Cards = terms.Guarantee.Decimal()
	for _, s := range shares {
		cores, cards := s.amount.Decimal()
		account.Shares = append(account.Shares, wire.Share{Part: s.part, Cores: cores, Cards: cards})
	}
	return account
}

// partShare is the share of one part.
type partShare struct {
	part   int
	amount Amount
}

// dealing works out one team's shares.
type dealing struct {
	t      *teamAccount
	limit  Amount
	demand Demand

	free   Amount // of the limit: neither used nor needed for what the leader grants
	sure   Amount // of that: held by no share, so certainly unspent
	reason Reason
	shares []partShare
}

// dealtFraction is the part of what is free that is dealt out: half, so that the leader,
// which serves whatever no share has room for, keeps as much as all owners together.
const dealtFraction = 2

func (x *dealing) run(parts int) {
	used := x.t.byLeader.Plus(x.demand.Granted)
	x.sure = x.limit.Minus(used).Minus(x.t.reserved())
	for _, admitted := range x.t.admitted {
		used = used.Plus(admitted)
	}
	x.free = x.limit.Minus(used).relevant(x.limit).max(Amount{})
	x.sure = x.sure.relevant(x.limit).max(Amount{})
	owners := 0
	for _, owned := range x.demand.Owned {
		if owned {
			owners++
		}
	}
	headroom := Amount{}
	if x.demand.Enabled && !x.demand.Blocked && owners > 0 {
		headroom = x.free.dividedBy(dealtFraction * owners).whole()
	}
	idle := Amount{}
	for part := range parts {
		idle = idle.Plus(x.part(part, headroom))
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

// part deals one part's share and gives how much of its present share is idle.
func (x *dealing) part(part int, headroom Amount) Amount {
	admitted := x.t.admitted[part]
	share, open := x.t.share(part)
	share, admitted = share.relevant(x.limit), admitted.relevant(x.limit)
	idle := share.Minus(admitted).max(Amount{})
	if !x.demand.Enabled || !x.demand.Owned[part] {
		if open {
			x.note(Withdrawn)
		}
		return idle
	}
	if x.demand.Blocked {
		x.shares = append(x.shares, partShare{part, share.min(admitted)})
		if idle != (Amount{}) {
			x.note(Gathered)
		}
		return idle
	}
	target := admitted.Plus(headroom)
	next := share.min(target)
	raise := target.Minus(next).min(x.sure).whole()
	x.sure = x.sure.Minus(raise)
	if !open || !idle.covers(headroom.dividedBy(2)) && raise != (Amount{}) {
		x.note(Balanced)
	}
	x.shares = append(x.shares, partShare{part, next.Plus(raise)})
	return idle
}

// note keeps the most pressing reason.
func (x *dealing) note(r Reason) {
	if x.reason == Unchanged || r < x.reason {
		x.reason = r
	}
}

// differs tells whether the shares dealt are other than those of the record.
func (x *dealing) differs() bool {
	if x.t.record == nil || len(x.shares) != len(x.t.record.Shares) {
		return true
	}
	for _, s := range x.shares {
		if now, open := x.t.share(s.part); !open || now != s.amount {
			return true
		}
	}
	return false
}
