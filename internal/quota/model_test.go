package quota

import (
	"fmt"

	"micaport/internal/wire"
)

// guard is one of the rules that keep usage within a limit. A model can omit one of them.
type guard int

const (
	noGuard             guard = iota
	accountCondition          // commits are conditional on the account's revision
	termCondition             // commits are conditional on the term of the controller that decides
	idleShares                // the leader counts the idle parts of the shares as in use
	raiseFromUnassigned       // shares are raised only from the part of the limit that is in no share
	oneCommitAtATime          // an actor makes no decision while the outcome of its last commit is unknown
)

func (g guard) String() string {
	return [...]string{"none", "account condition", "term condition", "idle shares", "raise from unassigned", "one at a time"}[g]
}

const (
	modelShards = 3
	leader      = modelShards // index of the leader, after those of the owners
	// modelLimit is the team's initial limit, in GPUs.
	modelLimit = 12
)

// event is the change of a commit, as a watch returns it.
type event struct {
	revision uint64
	account  *wire.Account // nil: the event is a charge
	actor    int           // the owner whose share is charged, or leader
	charge   Amount
}

// commit is a transaction in flight. It may be applied at any later time, or never.
type commit struct {
	actor           int
	term            uint64
	accountRevision uint64
	account         *wire.Account // nil: the commit is a charge
	charge          Amount
}

// actor is a controller in one role, with its replica of the records.
type actor struct {
	term            uint64
	ledger          *Ledger
	seenEvents      int
	revision        uint64 // revision that the replica has reached
	awaitedRevision uint64 // revision that the replica must reach before the next decision; 0: none
	commitPending   bool   // the outcome of a commit is unknown
}

// model is a site with one team: a state service, a leader, and the owner of each shard. The
// function choose determines the next step.
type model struct {
	missing         guard
	choose          func(name string, below int) int // returns a number from 0 to below-1
	revision        uint64
	accountRevision uint64
	account         *wire.Account
	terms           [modelShards + 1]uint64
	events          []event
	inFlight        []commit
	actors          [modelShards + 1]*actor
	charged         [modelShards + 1]Amount
	violation       string // the violation found, or ""
}

func newModel(missing guard, choose func(string, int) int) *model {
	m := &model{missing: missing, choose: choose}
	for i := range m.actors {
		m.restart(i)
	}
	return m
}

// restart replaces an actor by a new one with a new term and with an up-to-date replica.
func (m *model) restart(i int) {
	m.revision++
	m.terms[i] = m.revision
	a := &actor{term: m.revision, ledger: NewLedger([]Quota{{Limit: NewAmount(0, modelLimit)}}, modelShards), revision: m.revision}
	m.actors[i] = a
	m.applyEvents(a, len(m.events))
	a.revision = m.revision
}

// applyEvents applies the events before an index to an actor's replica.
func (m *model) applyEvents(a *actor, upTo int) {
	for ; a.seenEvents < upTo; a.seenEvents++ {
		e := m.events[a.seenEvents]
		switch {
		case e.account != nil:
			_ = a.ledger.SetRecord(0, e.account, e.revision) // check reports an invalid account
		case e.actor == leader:
			a.ledger.ChargeLeader(0, e.charge)
		default:
			a.ledger.ChargeShare(0, e.actor, e.charge)
		}
		a.revision = max(a.revision, e.revision)
	}
	if a.revision >= a.awaitedRevision {
		a.awaitedRevision = 0
	}
}

// mayDecide reports whether an actor may make a decision: its last commit has been answered, and
// its replica has reached the revision of the answer.
func (m *model) mayDecide(a *actor) bool {
	return m.missing == oneCommitAtATime || !a.commitPending && a.awaitedRevision == 0
}

// step executes one step of the model.
func (m *model) step() {
	i := m.choose("actor", modelShards+1)
	a := m.actors[i]
	switch m.choose("action", 12) {
	case 0, 1, 2, 3:
		if m.mayDecide(a) {
			m.sendCommit(i, a, NewAmount(0, float64(1+m.choose("GPUs", 4))))
		}
	case 4, 5:
		m.applyEvents(a, min(len(m.events), a.seenEvents+1+m.choose("events", 4)))
	case 6, 7, 8:
		if len(m.inFlight) > 0 {
			at := m.choose("commit", len(m.inFlight))
			c := m.inFlight[at]
			m.inFlight = append(m.inFlight[:at:at], m.inFlight[at+1:]...)
			m.apply(c, m.choose("answered", 4) > 0)
		}
	case 9:
		m.removeTasks(i)
	case 10:
		if m.choose("restart", 5) == 0 {
			m.restart(i)
		}
	case 11:
		m.changeLimit(float64(4 + m.choose("limit", 14)))
	}
}

// sendCommit sends a commit of an actor that admits or grants an amount, or distributes shares.
func (m *model) sendCommit(i int, a *actor, amount Amount) {
	c := commit{actor: i, term: a.term, accountRevision: a.ledger.Revision(0), charge: amount}
	switch {
	case i != leader:
		if !a.ledger.MayAdmit(0, i, amount, a.revision) {
			return
		}
	case m.choose("distribute", 3) == 0:
		demand := Demand{HasAdmittingOwner: make([]bool, modelShards), SharesEnabled: m.choose("enabled", 6) > 0, LeaderAtLimit: m.choose("blocked", 4) == 0}
		for shard := range demand.HasAdmittingOwner {
			demand.HasAdmittingOwner[shard] = m.choose("owned", 5) > 0
		}
		account, reason := a.ledger.Distribute(0, demand)
		if reason == Unchanged {
			return
		}
		if m.missing == raiseFromUnassigned {
			distributeAllFree(a.ledger, account)
		}
		c.account, c.charge = account, Amount{}
	case m.missing == idleShares:
		if !a.ledger.Used(0).Plus(amount).within(a.ledger.Quota(0).Limit) {
			return
		}
	case !a.ledger.MayGrant(0, amount, a.revision):
		return
	}
	a.commitPending = true
	m.inFlight = append(m.inFlight, c)
}

// distributeAllFree distributes everything that is free according to the replica, including the
// parts of shares that are idle there.
func distributeAllFree(ledger *Ledger, account *wire.Account) {
	_, free := ledger.Quota(0).Limit.Minus(ledger.Used(0)).nonNegative().Decimal()
	for i := range account.Shares {
		_, used := ledger.accounts[0].chargedToShares[account.Shares[i].Shard].Decimal()
		account.Shares[i].GPUs = used
	}
	if len(account.Shares) > 0 {
		account.Shares[0].GPUs += free
	}
}

// apply executes a commit in the state service. If answered is false, the response is lost.
func (m *model) apply(c commit, answered bool) {
	conditionsHold := (m.missing == accountCondition || c.accountRevision == m.accountRevision) &&
		(m.missing == termCondition || c.term == m.terms[c.actor])
	if conditionsHold {
		before := m.total()
		m.revision++
		e := event{revision: m.revision, actor: c.actor, charge: c.charge}
		if c.account != nil {
			e.account, m.account, m.accountRevision = c.account, c.account, m.revision
		} else {
			m.charged[c.actor] = m.charged[c.actor].Plus(c.charge)
		}
		m.events = append(m.events, e)
		m.check(before)
	}
	a := m.actors[c.actor]
	if a.term != c.term {
		return // the actor has been restarted
	}
	if !answered {
		// The actor repeats the commit until it receives a response. The conditions of the
		// repeated commit fail.
		m.inFlight = append(m.inFlight, commit{actor: c.actor, term: c.term, accountRevision: ^uint64(0)})
		return
	}
	a.commitPending, a.awaitedRevision = false, m.revision
	if a.revision >= a.awaitedRevision {
		a.awaitedRevision = 0
	}
}

// removeTasks removes some of the charges of an actor, as for tasks that have ended.
func (m *model) removeTasks(i int) {
	if m.charged[i] == (Amount{}) {
		return
	}
	removed := Amount{GPUs: m.charged[i].GPUs / int64(1+m.choose("fraction", 3)) / scale * scale}
	if removed == (Amount{}) {
		return
	}
	m.revision++
	m.charged[i] = m.charged[i].Minus(removed)
	m.events = append(m.events, event{revision: m.revision, actor: i, charge: Amount{}.Minus(removed)})
}

// changeLimit applies an operator's change of the limit.
func (m *model) changeLimit(gpus float64) {
	if m.account == nil {
		return
	}
	change := Change{Version: m.account.Version, GPUsLimit: &gpus}
	next, err := change.Apply(m.account)
	if err != nil {
		m.violation = err.Error()
		return
	}
	before := m.total()
	m.revision++
	m.account, m.accountRevision = next, m.revision
	m.events = append(m.events, event{revision: m.revision, account: next})
	m.check(before)
}

// total returns the sum of the charges and of the idle parts of the shares.
func (m *model) total() Amount {
	sum := m.charged[leader]
	for shard := range modelShards {
		share := Amount{}
		if m.account != nil {
			for _, s := range m.account.Shares {
				if s.Shard == shard {
					share = NewAmount(s.Cores, s.GPUs)
				}
			}
		}
		sum = sum.Plus(share.max(m.charged[shard]))
	}
	return sum
}

// check records a violation if the last revision charges more than the limit, unless it charges
// no more than the revision before it: operators may have lowered the limit. It also records an
// invalid account.
func (m *model) check(before Amount) {
	limit := NewAmount(0, modelLimit)
	if m.account != nil {
		limit = quotaOf(m.account.Limit, m.account.Guarantee).Limit
	}
	if now := m.total(); !now.within(limit) && now.GPUs > before.GPUs {
		m.violation = fmt.Sprintf("revision %d charges %v, limit %v, before %v", m.revision, now, limit, before)
	}
	if m.account == nil {
		return
	}
	if err := Validate(m.account, modelShards); err != nil {
		m.violation = fmt.Sprintf("revision %d has an invalid account: %v", m.revision, err)
	}
}

// run executes a number of steps and returns the first violation, or "" if none occurs.
func (m *model) run(steps int) string {
	for range steps {
		if m.step(); m.violation != "" {
			return m.violation
		}
	}
	return ""
}
