package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"micaport/internal/wire"
)

// guard is one of the things that keep a limit; the tests take each out in turn.
type guard int

const (
	none             guard = iota
	accountCondition       // commits rest on the account's revision
	termCondition          // commits rest on the term of whoever decides
	idleShares             // the leader counts what nobody uses of the shares
	raiseFromSure          // shares are raised only from what is certainly unspent
	oneAtATime             // nothing is decided while a commit's outcome is unknown
)

const (
	modelParts = 3
	leader     = modelParts // the actor after the owners
)

// event is what a commit did, as the watch shows it.
type event struct {
	rev     uint64
	account *wire.Account
	part    int // leader: charged to no share
	charge  Amount
}

// commit is a transaction on its way; it may be carried out late, or never.
type commit struct {
	actor      int
	term       uint64
	accountRev uint64
	account    *wire.Account
	charge     Amount
}

// actor is a controller in one role, with its copy of the records.
type actor struct {
	term   uint64
	ledger *Ledger
	seen   int // events taken in
	rev    uint64
	until  uint64 // the revision that its copy must reach before it decides again
	busy   bool
}

// model is a site with one team: a store, a leader, and the owner of each shard.
type model struct {
	missing    guard
	choose     func(name string, below int) int
	rev        uint64
	accountRev uint64
	account    *wire.Account
	terms      [modelParts + 1]uint64
	events     []event
	flying     []commit
	actors     [modelParts + 1]*actor
	charged    [modelParts + 1]Amount
	broken     string
}

func newModel(missing guard, choose func(string, int) int) *model {
	m := &model{missing: missing, choose: choose}
	for i := range m.actors {
		m.restart(i)
	}
	return m
}

// restart replaces an actor by a new one, with a new term and a copy that reaches it.
func (m *model) restart(i int) {
	m.rev++
	m.terms[i] = m.rev
	a := &actor{term: m.rev, ledger: NewLedger([]Quota{{Limit: Of(0, 12)}}, modelParts), rev: m.rev}
	m.actors[i] = a
	m.catchUp(a, len(m.events))
	a.rev = m.rev
}

func (m *model) catchUp(a *actor, upTo int) {
	for ; a.seen < upTo; a.seen++ {
		e := m.events[a.seen]
		switch {
		case e.account != nil:
			_ = a.ledger.SetRecord(0, e.account, e.rev)
		case e.part == leader:
			a.ledger.ChargeLeader(0, e.charge)
		default:
			a.ledger.ChargeShare(0, e.part, e.charge)
		}
		a.rev = max(a.rev, e.rev)
	}
	if a.rev >= a.until {
		a.until = 0
	}
}

// mayDecide tells whether an actor knows the outcome of what it decided before.
func (m *model) mayDecide(a *actor) bool { return m.missing == oneAtATime || !a.busy && a.until == 0 }

func (m *model) step() {
	i := m.choose("actor", modelParts+1)
	a := m.actors[i]
	switch m.choose("action", 12) {
	case 0, 1, 2, 3:
		if m.mayDecide(a) {
			m.decide(i, a, Of(0, float64(1+m.choose("cards", 4))))
		}
	case 4, 5:
		m.catchUp(a, min(len(m.events), a.seen+1+m.choose("events", 4)))
	case 6, 7, 8:
		if len(m.flying) > 0 {
			at := m.choose("commit", len(m.flying))
			c := m.flying[at]
			m.flying = append(m.flying[:at:at], m.flying[at+1:]...)
			m.carryOut(c, m.choose("answered", 4) > 0)
		}
	case 9:
		m.end(i)
	case 10:
		if m.choose("restart", 5) == 0 {
			m.restart(i)
		}
	case 11:
		m.operator(float64(4 + m.choose("limit", 14)))
	}
}

func (m *model) decide(i int, a *actor, more Amount) {
	c := commit{actor: i, term: a.term, accountRev: a.ledger.Revision(0), charge: more}
	switch {
	case i != leader:
		if !a.ledger.MayAdmit(0, i, more, a.rev) {
			return
		}
	case m.choose("deal", 3) == 0:
		demand := Demand{Owned: make([]bool, modelParts), Enabled: m.choose("enabled", 6) > 0, Blocked: m.choose("blocked", 4) == 0}
		for part := range demand.Owned {
			demand.Owned[part] = m.choose("owned", 5) > 0
		}
		account, reason := a.ledger.Distribute(0, demand)
		if reason == Unchanged {
			return
		}
		if m.missing == raiseFromSure {
			raiseAll(a.ledger, account)
		}
		c.account, c.charge = account, Amount{}
	case m.missing == idleShares:
		if !a.ledger.Used(0).Plus(more).within(a.ledger.Quota(0).Limit) {
			return
		}
	case !a.ledger.MayGrant(0, more, a.rev):
		return
	}
	a.busy = true
	m.flying = append(m.flying, c)
}

// raiseAll distributes all that seems free, as a dealer would that trusts its copy.
func raiseAll(l *Ledger, account *wire.Account) {
	_, free := l.Quota(0).Limit.Minus(l.Used(0)).max(Amount{}).Decimal()
	for i := range account.Shares {
		_, used := l.teams[0].admitted[account.Shares[i].Shard].Decimal()
		account.Shares[i].GPUs = used
	}
	if len(account.Shares) > 0 {
		account.Shares[0].GPUs += free
	}
}

func (m *model) carryOut(c commit, answered bool) {
	a := m.actors[c.actor]
	current := a.term == c.term
	fits := (m.missing == accountCondition || c.accountRev == m.accountRev) &&
		(m.missing == termCondition || c.term == m.terms[c.actor])
	if fits {
		before := m.total()
		m.rev++
		e := event{rev: m.rev, part: c.actor, charge: c.charge}
		if c.account != nil {
			e.account, m.account, m.accountRev = c.account, c.account, m.rev
		} else {
			m.charged[c.actor] = m.charged[c.actor].Plus(c.charge)
		}
		m.events = append(m.events, e)
		m.check(before)
	}
	if !current {
		return
	}
	if !answered { // it is asked for again until it is certain, and is then no longer new
		m.flying = append(m.flying, commit{actor: c.actor, term: c.term, accountRev: ^uint64(0)})
		return
	}
	a.busy, a.until = false, m.rev
	if a.rev >= a.until {
		a.until = 0
	}
}

// end removes what an actor has charged, or a part of it: tasks that are proven gone.
func (m *model) end(i int) {
	if m.charged[i] == (Amount{}) {
		return
	}
	gone := Amount{GPUs: m.charged[i].GPUs / int64(1+m.choose("part", 3)) / unit * unit}
	if gone == (Amount{}) {
		return
	}
	m.rev++
	m.charged[i] = m.charged[i].Minus(gone)
	m.events = append(m.events, event{rev: m.rev, part: i, charge: Amount{}.Minus(gone)})
}

// operator changes the limit.
func (m *model) operator(cards float64) {
	if m.account == nil {
		return
	}
	change := Change{Version: m.account.Version, GPUsLimit: &cards}
	next, err := change.Apply(m.account)
	if err != nil {
		m.broken = err.Error()
		return
	}
	before := m.total()
	m.rev++
	m.account, m.accountRev = next, m.rev
	m.events = append(m.events, event{rev: m.rev, account: next})
	m.check(before)
}

// total is what is charged, idle shares included.
func (m *model) total() Amount {
	sum := m.charged[leader]
	for part := range modelParts {
		share := Amount{}
		if m.account != nil {
			for _, s := range m.account.Shares {
				if s.Shard == part {
					share = Of(s.Cores, s.GPUs)
				}
			}
		}
		sum = sum.Plus(share.max(m.charged[part]))
	}
	return sum
}

func (m *model) check(before Amount) {
	limit := Of(0, 12)
	if m.account != nil {
		limit = QuotaOf(m.account.Limit, m.account.Guarantee).Limit
	}
	if now := m.total(); !now.within(limit) && now.GPUs > before.GPUs {
		m.broken = fmt.Sprintf("revision %d charges %v, limit %v, before %v", m.rev, now, limit, before)
	}
	if m.account != nil && Validate(m.account, modelParts) != nil {
		m.broken = "an account is invalid: " + Validate(m.account, modelParts).Error()
	}
}

const modelSteps = 120

// Whatever is admitted, ended, distributed, cancelled, changed by operators, lost, late or
// restarted, and in whatever order, no revision charges the team more than its limit.
func TestNoInterleavingExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(none, func(name string, below int) int { return rapid.IntRange(0, below-1).Draw(t, name) })
		for range modelSteps {
			if m.step(); m.broken != "" {
				t.Fatal(m.broken)
			}
		}
	})
}

// Each guard is needed: without it some interleaving exceeds the limit.
func TestEachGuardIsNeeded(t *testing.T) {
	const tries = 20_000
	for missing := none; missing <= oneAtATime; missing++ {
		broken := 0
		for seed := range uint64(tries) {
			rng := rand.New(rand.NewPCG(seed, 1))
			m := newModel(missing, func(_ string, below int) int { return rng.IntN(below) })
			for range modelSteps {
				if m.step(); m.broken != "" {
					break
				}
			}
			if m.broken != "" {
				broken++
				if missing != none {
					break
				}
				t.Fatalf("seed %d, nothing missing: %s", seed, m.broken)
			}
		}
		if missing != none && broken == 0 {
			t.Errorf("without guard %d nothing breaks in %d tries", missing, tries)
		}
	}
}
