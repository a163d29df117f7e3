package core

import (
	"time"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// The leader's side of the teams' accounts: dealing shares to the parts. See package
// quota for what is dealt and docs/team-limits.md for why.

const (
	// dealPause lies between two writes of a team's account, so that shares which follow
	// the load cost a tenth of a put a second for each team at most.
	dealPause = 10 * second
	// urgentDealPause is that for withdrawing shares that somebody waits for.
	urgentDealPause = second
	// excessPause lies between two reports of a team that uses more than its limit.
	excessPause = 30 * second
)

// dealShares writes the account of a team whose shares should be other ones, at most one
// in a commit. It comes last, so that it takes no write that a grant needs.
func (p *plan) dealShares() {
	n := p.n
	if !n.writesAccounts() {
		return
	}
	for team := range n.cfg.Teams {
		pause := dealPause
		if p.atLimit[team] {
			pause = urgentDealPause + Time(n.scarcity()*float64(dealPause-urgentDealPause))
		}
		if n.now-n.leader.dealtAt[team] < pause {
			continue
		}
		account, reason := n.ledger.Deal(team, p.demandOn(team))
		if reason == quota.Unchanged || !n.fits(account) {
			continue
		}
		if p.ungranted > 0 && reason != quota.Gathered {
			return
		}
		key := wire.AccountKey(n.cfg.Teams[team].Name)
		if p.w.also(Write{Key: key, Value: account}, Cond{key, n.ledger.Revision(team)}) {
			n.leader.dealtAt[team] = n.now
			n.log(LogDebug, "shares dealt", "team", n.cfg.Teams[team].Name, "reason", int(reason), "shares", len(account.Shares))
		}
		return
	}
}

// demandOn is what the shares of a team are to be dealt by.
func (p *plan) demandOn(team int) quota.Demand {
	n := p.n
	d := quota.Demand{
		Owned: make([]bool, len(n.parts)), Blocked: p.atLimit[team], Granted: p.added[team],
		Enabled: n.cfg.Admission != AdmitNothing,
	}
	for i, part := range n.parts {
		// What we own ourselves needs no share: we grant there as the leader.
		d.Owned[i] = part.rec != nil && !n.holds(part) && n.ownerThere(part)
	}
	return d
}

// reportExcess tells the operators of teams that use more than their limits allow, which
// happens when a limit has been lowered: nothing is stopped for it.
func (n *Node) reportExcess() {
	if n.now < n.leader.excessAt {
		return
	}
	for team := range n.cfg.Teams {
		if excess := n.ledger.Excess(team); excess != (quota.Amount{}) {
			cores, cards := excess.Decimal()
			n.log(LogInfo, "a team uses more than its limit", "team", n.cfg.Teams[team].Name, "cores", cores, "cards", cards)
			n.leader.excessAt = n.now + excessPause
		}
	}
}

// dealTimes are when a leader last dealt the shares of each team: at first, never.
func dealTimes(teams int) []Time {
	times := make([]Time, teams)
	for i := range times {
		times[i] = -time.Hour
	}
	return times
}
